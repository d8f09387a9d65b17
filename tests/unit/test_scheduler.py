"""Entries that share endpoints, on a virtual clock."""

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
    def __init__(self, clock, prompt_tokens=800):
        now_s = clock.seconds()
        ticket = wait_queue.SchedulingParams(0, now_s + 0.4, now_s + 2.0)
        ask = choice.RequestTraits(prompt_tokens=prompt_tokens)
        self.placement = scheduler.PlacementRequest(SERVICE, ticket, ask)
        self.tried_endpoints = set()
        self.entry = None
        self.refusal = None

    def on_assigned(self, entry):
        self.entry = entry

    def on_refused(self, refusal):
        self.refusal = refusal


class Entry:
    """One entry's scheduler with its view of two endpoints."""

    def __init__(self, clock, endpoints=2):
        self.clock = clock
        self.connected = set()
        self.directory = directory_lib.Directory(lambda _: None)
        for number in range(endpoints):
            self.put(f"e{number}")
        self.board = peer_load.PeerLoads()
        rng = random.Random(1)
        self.scheduler = scheduler.Scheduler(
            self.directory,
            self.board,
            choice.LeastLoaded(rng),
            self.connected.__contains__,
            clock,
            rng,
            logs.EventLog(),
            lambda: None,
        )

    def put(self, name, is_draining=False):
        address = pool.Address("127.0.0.1", 1)
        endpoint = directory_lib.Endpoint(
            name, SERVICE, address, "z", 4, is_draining
        )
        self.directory.put(endpoint, self.clock.seconds())

    def seek(self, prompt_tokens=800):
        request = PendingRequest(self.clock, prompt_tokens)
        self.scheduler.submit(request)
        return request


@pytest.fixture
def clock():
    return task.Clock()


def test_requests_spread_over_the_endpoints(clock):
    entry = Entry(clock)
    names = [entry.seek().entry.endpoint.id for _ in range(8)]
    assert names.count("e0") == names.count("e1") == 4


def test_what_other_entries_have_in_work_counts(clock):
    entry = Entry(clock)
    entry.board.update("peer", peer_load.PeerLoad(1, {"e0": 4}, {}, {}), 0.0)
    names = {entry.seek().entry.endpoint.id for _ in range(4)}
    assert names == {"e1"}


def test_a_full_service_lets_a_request_wait_for_the_next_place(clock):
    entry = Entry(clock)
    running = [entry.seek() for _ in range(8)]
    entry.scheduler.service_times(SERVICE).total_s = 0.4
    waiting_one = entry.seek()
    assert waiting_one.entry is None and waiting_one.refusal is None
    entry.scheduler.release(running[0].entry)
    assert waiting_one.entry is running[0].entry


def test_a_request_without_hope_is_refused_at_once(clock):
    entry = Entry(clock)
    for _ in range(8):
        entry.seek()
    entry.scheduler.service_times(SERVICE).total_s = 8.0
    refusal = entry.seek().refusal
    assert refusal.reason is outcomes.Reason.OVERLOADED
    assert refusal.retry_after_s > 0


def test_turns_follow_the_present_pass_before_any_answer_has_ended(clock):
    """An entry that saw no answer end took turns for twice as frequent."""
    entry = Entry(clock, endpoints=12)
    engine = dataclasses.replace(ENGINE, mean_answer_tokens=139.0)
    entry.scheduler.configure({SERVICE: engine})
    for number in range(1, 30):
        load = peer_load.PeerLoad(number, {"e0": 3}, {}, {})
        entry.board.update("peer", load, clock.seconds())
        clock.advance(0.1)
        entry.scheduler.observe_gap(SERVICE, 0.1, 0.12)
    whole_s = entry.scheduler.service_times(SERVICE).total_s
    assert 28 * 0.1 <= whole_s <= 31 * 0.1


def test_a_service_that_refuses_everything_is_left_alone_for_longer(clock):
    """A group takes no work while a rank is gone; callers come back once."""
    entry = Entry(clock)
    delays_s = [
        entry.scheduler.retry_after_refusal_s(SERVICE, 8.0) for _ in range(8)
    ]
    assert delays_s[0] < 0.7
    assert max(delays_s) > 1.0
    assert max(delays_s) <= 8.0 / 3
    entry.scheduler.observe_first(SERVICE, 0.2)
    assert entry.scheduler.retry_after_refusal_s(SERVICE, 8.0) < 0.7


def test_a_place_falls_to_the_more_urgent_request_of_another_entry(clock):
    entry = Entry(clock)
    running = [entry.seek() for _ in range(8)]
    entry.scheduler.service_times(SERVICE).total_s = 0.4
    clock.advance(0.05)
    own = entry.seek()
    urgent = wait_queue.Urgency(False, 0, clock.seconds())
    load = peer_load.PeerLoad(1, {}, {SERVICE: (urgent,)}, {})
    entry.board.update("peer", load, clock.seconds())
    entry.scheduler.release(running[0].entry)
    assert own.entry is None
    load = peer_load.PeerLoad(2, {"e0": 1}, {}, {})
    entry.board.update("peer", load, clock.seconds())
    entry.scheduler.release(running[1].entry)
    assert own.entry is not None


def test_an_entry_without_streams_of_its_own_still_gets_places(clock):
    """It sees no pass end; starts elsewhere must not add up for ever."""
    entry = Entry(clock, endpoints=12)
    entry.scheduler.configure({SERVICE: ENGINE})
    entry.scheduler.observe_gap(SERVICE, 0.05, 0.12)
    for number in range(1, 200):
        clock.advance(0.05)
        load = peer_load.PeerLoad(number, {}, {}, {SERVICE: 900 * number})
        entry.board.update("peer", load, clock.seconds())
    assert entry.seek().entry is not None


def test_a_connection_at_hand_decides_between_equals_only(clock):
    entry = Entry(clock, endpoints=6)
    entry.connected.add("e3")
    assert entry.seek().entry.endpoint.id == "e3"
    assert entry.seek().entry.endpoint.id != "e3"


@pytest.mark.parametrize(("tokens", "is_refused"), [(30, False), (300, True)])
def test_an_answer_that_cannot_end_in_time_is_refused_at_once(
    clock, tokens, is_refused
):
    """Beside a slow rank passes take 0.6 s; callers leave after 8 s."""
    entry = Entry(clock)
    entry.scheduler.configure({SERVICE: ENGINE})
    for _ in range(200):
        entry.board.update(
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


def test_a_draining_endpoint_gets_nothing(clock):
    entry = Entry(clock)
    entry.put("e0", is_draining=True)
    names = {entry.seek().entry.endpoint.id for _ in range(4)}
    assert names == {"e1"}


def test_a_service_without_endpoints_is_refused(clock):
    entry = Entry(clock, endpoints=0)
    assert entry.seek().refusal.reason is outcomes.Reason.NO_ENDPOINT


def test_a_lapsed_endpoint_is_used_only_while_no_other_is_listed(clock):
    entry = Entry(clock)
    entry.directory.mark_lapsed("e0", clock.seconds())
    assert {entry.seek().entry.endpoint.id for _ in range(3)} == {"e1"}
    entry.directory.remove("e1")
    assert entry.seek().entry.endpoint.id == "e0"
    clock.advance(10)
    entry.directory.expire(clock.seconds())
    assert entry.seek().refusal is not None
