"""A little more arrives than can be served, for many seconds."""

import random

import pytest

from godwitdale_routing import peer_load
from godwitdale_routing import wait_queue

OBJECTIVE_S = 0.4
PATIENCE_S = 2.0
PLACES = 8
WHOLE_S = 0.8
FIRST_S = 0.1


def ticket(at_s, priority=0):
    return wait_queue.SchedulingParams(
        priority, at_s + OBJECTIVE_S, at_s + PATIENCE_S
    )


def test_what_can_still_be_on_time_goes_before_what_is_late():
    pace = wait_queue.ServiceTimes(FIRST_S, WHOLE_S)
    line = wait_queue.WaitQueue()
    line.add("old", ticket(0.0))
    line.add("new", ticket(0.5))
    line.add("urgent but late", ticket(0.1, priority=0))
    order = [item for _, item in line.sorted_by_urgency(pace, 0.6)]
    assert order[0] == "new"
    assert not line.sorted_by_urgency(pace, 0.6)[0][0].is_late


def test_a_request_waits_only_for_a_turn_that_comes_in_time():
    pace = wait_queue.ServiceTimes(FIRST_S, WHOLE_S)
    own = wait_queue.urgency(ticket(0.0), pace, 0.0)
    ahead = [wait_queue.Urgency(False, 0, 0.01)]
    turn_s = pace.permit_interval_s(PLACES)
    assert wait_queue.may_wait(own, ahead, turn_s, 0.0, 0.0)
    assert not wait_queue.may_wait(own, ahead * 3, turn_s, 0.0, 0.0)


def test_late_requests_count_only_on_a_share_of_the_turns():
    own = wait_queue.Urgency(True, 0, 1.0)
    ahead = [wait_queue.Urgency(True, 0, 0.5)]
    assert wait_queue.may_wait(own, ahead, 0.1, 0.0, 0.0)
    assert not wait_queue.may_wait(own, ahead * 2, 0.1, 0.0, 0.0)
    assert not wait_queue.may_wait(own, ahead, 0.1, 5.0, 0.0)


@pytest.mark.parametrize(
    ("heads", "free", "takes"),
    [([], 0, False), ([], 1, True), ([0.1], 1, False), ([0.9], 1, True)],
)
def test_a_free_place_falls_to_the_most_urgent_of_all_entries(
    heads, free, takes
):
    own = wait_queue.Urgency(False, 0, 0.5)
    elsewhere = [wait_queue.Urgency(False, 0, due_s) for due_s in heads]
    assert wait_queue.may_take_permit(own, elsewhere, free) is takes


def test_late_requests_leave_places_to_those_that_can_be_on_time():
    late = wait_queue.Urgency(True, 0, 0.5)
    fresh = wait_queue.Urgency(False, 0, 0.5)
    kept = wait_queue.reserved_permits(50)
    assert not wait_queue.may_take_permit(late, [], kept, kept)
    assert wait_queue.may_take_permit(late, [], kept + 1, kept)
    assert wait_queue.may_take_permit(fresh, [], 1, kept)


class Replay:
    """One service with a fixed number of places, on a virtual clock."""

    def __init__(self, is_ordered):
        self.is_ordered = is_ordered
        self.pace = wait_queue.ServiceTimes(FIRST_S, WHOLE_S)
        self.line = wait_queue.WaitQueue()
        self.ends_s = []
        self.on_time = 0

    def run(self, arrivals_s):
        now_s = 0.0
        step_s = 0.005
        pending = list(arrivals_s)
        while pending or len(self.line):
            while pending and pending[0] <= now_s:
                self.arrive(pending.pop(0), now_s)
            self.ends_s = [end for end in self.ends_s if end > now_s]
            while len(self.ends_s) < PLACES and len(self.line):
                self.start(now_s)
            now_s += step_s
        return self.on_time / len(arrivals_s)

    def arrive(self, at_s, now_s):
        own = ticket(at_s)
        if self.is_ordered:
            others = [
                each
                for each, _ in self.line.sorted_by_urgency(self.pace, now_s)
            ]
            urgency = wait_queue.urgency(own, self.pace, now_s)
            turn_s = self.pace.permit_interval_s(PLACES)
            is_full = len(self.ends_s) >= PLACES
            if is_full and not wait_queue.may_wait(
                urgency, others, turn_s, 0.0, now_s
            ):
                return
        self.line.add(at_s, own)

    def start(self, now_s):
        order = self.line.sorted_by_urgency(self.pace, now_s)
        item = order[0][1] if self.is_ordered else min(i for _, i in order)
        self.line.remove(item)
        self.ends_s.append(now_s + WHOLE_S)
        if now_s + FIRST_S <= item + OBJECTIVE_S:
            self.on_time += 1


def test_sustained_overload_keeps_most_answers_on_time():
    """Earlier policy, first come first served: nearly all come late."""
    rng = random.Random(7)
    at_s, arrivals_s = 0.0, []
    while at_s < 20:
        at_s += rng.expovariate(1.2 * PLACES / WHOLE_S)
        arrivals_s.append(at_s)
    assert Replay(is_ordered=False).run(arrivals_s) < 0.3
    assert Replay(is_ordered=True).run(arrivals_s) > 0.7


def load(sequence, in_work):
    return peer_load.PeerLoad(sequence, in_work, {}, {})


def test_loads_of_the_other_entries_add_up():
    board = peer_load.PeerLoads()
    board.update("a", load(1, {"e": 2}), 0.0)
    board.update("b", load(1, {"e": 1, "f": 1}), 0.0)
    assert (board.in_flight("e"), board.in_flight("f")) == (3, 1)
    board.update("a", load(2, {}), 0.1)
    assert board.in_flight("e") == 1


def test_an_older_message_changes_nothing():
    board = peer_load.PeerLoads()
    board.update("a", load(5, {"e": 2}), 0.0)
    assert not board.update("a", load(4, {"e": 9}), 0.1)
    assert board.in_flight("e") == 2


def test_an_entry_that_falls_silent_holds_nothing():
    board = peer_load.PeerLoads()
    board.update("a", load(1, {"e": 2}), 0.0)
    board.remove_silent(peer_load.PEER_TIMEOUT_S + 0.1)
    assert board.in_flight("e") == 0


def test_prompts_sent_by_other_entries_are_counted_once():
    board = peer_load.PeerLoads()
    board.update("a", peer_load.PeerLoad(1, {}, {}, {"llm": 100}), 0.0)
    board.update("a", peer_load.PeerLoad(2, {}, {}, {"llm": 700}), 1.0)
    board.update("a", peer_load.PeerLoad(3, {}, {}, {"llm": 700}), 1.1)
    board.record_prompt("llm", 50, 1.2)
    assert board.prompt_tokens_between("llm", 0.5, 1.15) == 600
    assert board.prompt_tokens_between("llm", 0.5, 2.0) == 650
