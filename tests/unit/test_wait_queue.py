"""Tests of the wait queue in an overload, and of the load of peers."""

import random

import pytest

from godwitdale_routing import peer_load
from godwitdale_routing import wait_queue

OBJECTIVE_S = 0.4
START_TIMEOUT_S = 2.0
PERMITS = 8
TOTAL_S = 0.8
FIRST_S = 0.1


def params(at_s, priority=0):
    return wait_queue.SchedulingParams(
        priority, at_s + OBJECTIVE_S, at_s + START_TIMEOUT_S
    )


def test_requests_that_can_be_on_time_go_before_late_ones():
    times = wait_queue.ServiceTimes(FIRST_S, TOTAL_S)
    queue = wait_queue.WaitQueue()
    queue.add("old", params(0.0))
    queue.add("new", params(0.5))
    queue.add("urgent but late", params(0.1, priority=0))
    order = [item for _, item in queue.sorted_by_urgency(times, 0.6)]
    assert order[0] == "new"
    assert not queue.sorted_by_urgency(times, 0.6)[0][0].is_late


def test_a_request_waits_only_for_a_permit_that_is_free_in_time():
    times = wait_queue.ServiceTimes(FIRST_S, TOTAL_S)
    own = wait_queue.urgency(params(0.0), times, 0.0)
    ahead = [wait_queue.Urgency(False, 0, 0.01)]
    permit_interval_s = times.permit_interval_s(PERMITS)
    assert wait_queue.may_wait(own, ahead, permit_interval_s, 0.0, 0.0)
    assert not wait_queue.may_wait(own, ahead * 3, permit_interval_s, 0.0, 0.0)


def test_late_requests_count_on_only_a_share_of_the_permits():
    own = wait_queue.Urgency(True, 0, 1.0)
    ahead = [wait_queue.Urgency(True, 0, 0.5)]
    assert wait_queue.may_wait(own, ahead, 0.1, 0.0, 0.0)
    assert not wait_queue.may_wait(own, ahead * 2, 0.1, 0.0, 0.0)
    assert not wait_queue.may_wait(own, ahead, 0.1, 5.0, 0.0)


@pytest.mark.parametrize(
    ("heads", "free_permits", "may_take"),
    [([], 0, False), ([], 1, True), ([0.1], 1, False), ([0.9], 1, True)],
)
def test_the_most_urgent_request_of_all_entries_takes_a_free_permit(
    heads, free_permits, may_take
):
    own = wait_queue.Urgency(False, 0, 0.5)
    peer_heads = [wait_queue.Urgency(False, 0, due_s) for due_s in heads]
    assert wait_queue.may_take_permit(own, peer_heads, free_permits) is may_take


def test_late_requests_leave_permits_to_those_that_can_be_on_time():
    late = wait_queue.Urgency(True, 0, 0.5)
    on_time = wait_queue.Urgency(False, 0, 0.5)
    reserved = wait_queue.reserved_permits(50)
    assert not wait_queue.may_take_permit(late, [], reserved, reserved)
    assert wait_queue.may_take_permit(late, [], reserved + 1, reserved)
    assert wait_queue.may_take_permit(on_time, [], 1, reserved)


class Simulation:
    """One service with a fixed number of permits, on a virtual clock."""

    def __init__(self, is_by_urgency):
        self.is_by_urgency = is_by_urgency
        self.times = wait_queue.ServiceTimes(FIRST_S, TOTAL_S)
        self.queue = wait_queue.WaitQueue()
        self.ends_s = []
        self.on_time = 0

    def run(self, arrivals_s):
        now_s = 0.0
        tick_s = 0.005
        pending = list(arrivals_s)
        while pending or len(self.queue):
            while pending and pending[0] <= now_s:
                self.arrive(pending.pop(0), now_s)
            self.ends_s = [end for end in self.ends_s if end > now_s]
            while len(self.ends_s) < PERMITS and len(self.queue):
                self.start(now_s)
            now_s += tick_s
        return self.on_time / len(arrivals_s)

    def arrive(self, at_s, now_s):
        own = params(at_s)
        if self.is_by_urgency:
            others = [
                each
                for each, _ in self.queue.sorted_by_urgency(self.times, now_s)
            ]
            urgency = wait_queue.urgency(own, self.times, now_s)
            permit_interval_s = self.times.permit_interval_s(PERMITS)
            is_full = len(self.ends_s) >= PERMITS
            if is_full and not wait_queue.may_wait(
                urgency, others, permit_interval_s, 0.0, now_s
            ):
                return
        self.queue.add(at_s, own)

    def start(self, now_s):
        order = self.queue.sorted_by_urgency(self.times, now_s)
        item = order[0][1] if self.is_by_urgency else min(i for _, i in order)
        self.queue.remove(item)
        self.ends_s.append(now_s + TOTAL_S)
        if now_s + FIRST_S <= item + OBJECTIVE_S:
            self.on_time += 1


def test_sustained_overload_keeps_most_answers_on_time():
    """Guards against an overload that makes nearly all answers late.

    That happens when a little more arrives than can be served, for many
    seconds, and requests are started in the order of their arrival.
    """
    rng = random.Random(7)
    at_s, arrivals_s = 0.0, []
    while at_s < 20:
        at_s += rng.expovariate(1.2 * PERMITS / TOTAL_S)
        arrivals_s.append(at_s)
    assert Simulation(is_by_urgency=False).run(arrivals_s) < 0.3
    assert Simulation(is_by_urgency=True).run(arrivals_s) > 0.7


def load(sequence, in_flight):
    return peer_load.PeerLoad(sequence, in_flight, {}, {})


def test_load_reports_of_other_entries_are_added_up():
    peer_loads = peer_load.PeerLoads()
    peer_loads.update("a", load(1, {"e": 2}), 0.0)
    peer_loads.update("b", load(1, {"e": 1, "f": 1}), 0.0)
    assert (peer_loads.in_flight("e"), peer_loads.in_flight("f")) == (3, 1)
    peer_loads.update("a", load(2, {}), 0.1)
    assert peer_loads.in_flight("e") == 1


def test_an_older_load_report_changes_nothing():
    peer_loads = peer_load.PeerLoads()
    peer_loads.update("a", load(5, {"e": 2}), 0.0)
    assert not peer_loads.update("a", load(4, {"e": 9}), 0.1)
    assert peer_loads.in_flight("e") == 2


def test_a_silent_entry_no_longer_counts():
    peer_loads = peer_load.PeerLoads()
    peer_loads.update("a", load(1, {"e": 2}), 0.0)
    peer_loads.remove_silent(peer_load.PEER_TIMEOUT_S + 0.1)
    assert peer_loads.in_flight("e") == 0


def test_prompts_sent_by_other_entries_are_counted_once():
    peer_loads = peer_load.PeerLoads()
    peer_loads.update("a", peer_load.PeerLoad(1, {}, {}, {"llm": 100}), 0.0)
    peer_loads.update("a", peer_load.PeerLoad(2, {}, {}, {"llm": 700}), 1.0)
    peer_loads.update("a", peer_load.PeerLoad(3, {}, {}, {"llm": 700}), 1.1)
    peer_loads.record_prompt("llm", 50, 1.2)
    assert peer_loads.prompt_tokens_between("llm", 0.5, 1.15) == 600
    assert peer_loads.prompt_tokens_between("llm", 0.5, 2.0) == 650
