"""Tests of scheduling by entries that share endpoints on a virtual clock."""

import dataclasses
import random

import pytest
from twisted.internet import task

from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import scheduler
from godwitdale_http import pool
from godwitdale_observe import logs
from godwitdale_routing import choice
from godwitdale_routing import peer_load
from godwitdale_routing import routes
from godwitdale_routing import wait_queue
from godwitdale_verdicts import outcomes

SERVICE = "llm"
ENGINE = routes.Engine(
    slots=4,
    step_s=0.006,
    step_per_request_s=0.0007,
    prefill_tokens_per_s=61200.0,
    steps_per_iteration=5,
    expert_share=0.85,
    mean_prompt_tokens=800.0,
)


class PendingRequest:
    """A request that records its assignment or refusal."""

    def __init__(self, clock, prompt_tokens=800):
        now_s = clock.seconds()
        params = wait_queue.SchedulingParams(0, now_s + 0.4, now_s + 2.0)
        traits = choice.RequestTraits(prompt_tokens=prompt_tokens)
        self.placement = scheduler.PlacementRequest(SERVICE, params, traits)
        self.tried_endpoints = set()
        self.record = None
        self.refusal = None

    def on_assigned(self, record):
        self.record = record

    def on_refused(self, refusal):
        self.refusal = refusal


class Entry:
    """One entry with its scheduler and its directory of endpoints."""

    def __init__(self, clock, endpoints=2):
        self.clock = clock
        self.connected = set()
        self.directory = directory_lib.Directory(lambda _: None)
        for number in range(endpoints):
            self.put_endpoint(f"e{number}")
        self.peer_loads = peer_load.PeerLoads()
        rng = random.Random(1)
        self.scheduler = scheduler.Scheduler(
            self.directory,
            self.peer_loads,
            choice.LeastLoaded(rng),
            self.connected.__contains__,
            clock,
            rng,
            logs.EventLog(),
            lambda: None,
        )

    def put_endpoint(self, name, is_draining=False):
        address = pool.Address("127.0.0.1", 1)
        endpoint = directory_lib.Endpoint(
            name, SERVICE, address, "z", 4, is_draining
        )
        self.directory.put(endpoint, self.clock.seconds())

    def submit(self, prompt_tokens=800):
        request = PendingRequest(self.clock, prompt_tokens)
        self.scheduler.submit(request)
        return request


@pytest.fixture
def clock():
    return task.Clock()


def test_requests_spread_over_the_endpoints(clock):
    entry = Entry(clock)
    names = [entry.submit().record.endpoint.id for _ in range(8)]
    assert names.count("e0") == names.count("e1") == 4


def test_requests_in_flight_from_other_entries_count(clock):
    entry = Entry(clock)
    entry.peer_loads.update(
        "peer", peer_load.PeerLoad(1, {"e0": 4}, {}, {}), 0.0
    )
    names = {entry.submit().record.endpoint.id for _ in range(4)}
    assert names == {"e1"}


def test_request_to_a_full_service_waits_for_the_next_free_slot(clock):
    entry = Entry(clock)
    running = [entry.submit() for _ in range(8)]
    entry.scheduler.service_times(SERVICE).total_s = 0.4
    queued = entry.submit()
    assert queued.record is None and queued.refusal is None
    entry.scheduler.release(running[0].record)
    assert queued.record is running[0].record


def test_request_that_cannot_start_in_time_is_refused_at_once(clock):
    entry = Entry(clock)
    for _ in range(8):
        entry.submit()
    entry.scheduler.service_times(SERVICE).total_s = 8.0
    refusal = entry.submit().refusal
    assert refusal.reason is outcomes.Reason.OVERLOADED
    assert refusal.retry_after_s > 0


def test_total_time_follows_the_iteration_time_before_any_answer_ends(clock):
    """The initial total time must not stay in use until an answer ends.

    An entry that had seen no answer end expected permits to become free twice
    as often as they did.
    """
    entry = Entry(clock, endpoints=12)
    engine = dataclasses.replace(ENGINE, mean_answer_tokens=139.0)
    entry.scheduler.configure({SERVICE: engine})
    for number in range(1, 30):
        load = peer_load.PeerLoad(number, {"e0": 3}, {}, {})
        entry.peer_loads.update("peer", load, clock.seconds())
        clock.advance(0.1)
        entry.scheduler.observe_gap(SERVICE, 0.1, 0.12)
    total_s = entry.scheduler.service_times(SERVICE).total_s
    assert 28 * 0.1 <= total_s <= 31 * 0.1


def test_consecutive_refusals_increase_the_retry_delay(clock):
    """A group accepts no requests while one of its ranks is down.

    Callers of such a group should retry only once.
    """
    entry = Entry(clock)
    delays_s = [
        entry.scheduler.retry_after_refusal_s(SERVICE, 8.0) for _ in range(8)
    ]
    assert delays_s[0] < 0.7
    assert max(delays_s) > 1.0
    assert max(delays_s) <= 8.0 / 3
    entry.scheduler.observe_first(SERVICE, 0.2)
    assert entry.scheduler.retry_after_refusal_s(SERVICE, 8.0) < 0.7


def test_free_slot_is_left_to_a_more_urgent_request_of_another_entry(clock):
    entry = Entry(clock)
    running = [entry.submit() for _ in range(8)]
    entry.scheduler.service_times(SERVICE).total_s = 0.4
    clock.advance(0.05)
    own = entry.submit()
    urgent = wait_queue.Urgency(False, 0, clock.seconds())
    load = peer_load.PeerLoad(1, {}, {SERVICE: (urgent,)}, {})
    entry.peer_loads.update("peer", load, clock.seconds())
    entry.scheduler.release(running[0].record)
    assert own.record is None
    load = peer_load.PeerLoad(2, {"e0": 1}, {}, {})
    entry.peer_loads.update("peer", load, clock.seconds())
    entry.scheduler.release(running[1].record)
    assert own.record is not None


def test_entry_without_streams_of_its_own_is_still_assigned_slots(clock):
    """Such an entry observes no iteration end.

    The prompt tokens that other entries send must not add up without limit,
    or the entry would find no free permit any more.
    """
    entry = Entry(clock, endpoints=12)
    entry.scheduler.configure({SERVICE: ENGINE})
    entry.scheduler.observe_gap(SERVICE, 0.05, 0.12)
    for number in range(1, 200):
        clock.advance(0.05)
        load = peer_load.PeerLoad(number, {}, {}, {SERVICE: 900 * number})
        entry.peer_loads.update("peer", load, clock.seconds())
    assert entry.submit().record is not None


def test_idle_connection_only_breaks_ties(clock):
    entry = Entry(clock, endpoints=6)
    entry.connected.add("e3")
    assert entry.submit().record.endpoint.id == "e3"
    assert entry.submit().record.endpoint.id != "e3"


@pytest.mark.parametrize(("tokens", "is_refused"), [(30, False), (300, True)])
def test_answer_that_cannot_end_in_time_is_refused_at_once(
    clock, tokens, is_refused
):
    """With a slow rank an iteration takes 0.6 s; callers leave after 8 s."""
    entry = Entry(clock)
    entry.scheduler.configure({SERVICE: ENGINE})
    for _ in range(200):
        entry.peer_loads.update(
            "peer", peer_load.PeerLoad(1, {"e0": 3}, {}, {}), 0.0
        )
        clock.advance(0.6)
        entry.scheduler.observe_gap(SERVICE, 0.6, 0.12)
    request = PendingRequest(clock)
    request.placement = dataclasses.replace(
        request.placement,
        expected_answer_tokens=tokens,
        deadline_s=clock.seconds() + 8,
    )
    entry.scheduler.submit(request)
    assert (request.refusal is not None) is is_refused


def test_draining_endpoint_gets_no_requests(clock):
    entry = Entry(clock)
    entry.put_endpoint("e0", is_draining=True)
    names = {entry.submit().record.endpoint.id for _ in range(4)}
    assert names == {"e1"}


def test_request_to_a_service_without_endpoints_is_refused(clock):
    entry = Entry(clock, endpoints=0)
    assert entry.submit().refusal.reason is outcomes.Reason.NO_ENDPOINT


def test_lapsed_endpoint_is_used_only_while_no_other_is_listed(clock):
    entry = Entry(clock)
    entry.directory.mark_lapsed("e0", clock.seconds())
    assert {entry.submit().record.endpoint.id for _ in range(3)} == {"e1"}
    entry.directory.remove("e1")
    assert entry.submit().record.endpoint.id == "e0"
    clock.advance(10)
    entry.directory.expire(clock.seconds())
    assert entry.submit().refusal is not None
