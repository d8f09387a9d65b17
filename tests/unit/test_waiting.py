"""A little more arrives than can be served, for many seconds."""

import random

import pytest

from godwitdale_routing import sharing
from godwitdale_routing import waiting

OBJECTIVE_S = 0.4
PATIENCE_S = 2.0
PLACES = 8
WHOLE_S = 0.8
FIRST_S = 0.1


def ticket(at_s, priority=0):
    return waiting.Ticket(priority, at_s + OBJECTIVE_S, at_s + PATIENCE_S)


def test_what_can_still_be_on_time_goes_before_what_is_late():
    pace = waiting.Pace(FIRST_S, WHOLE_S)
    line = waiting.Line()
    line.add("old", ticket(0.0))
    line.add("new", ticket(0.5))
    line.add("urgent but late", ticket(0.1, priority=0))
    order = [item for _, item in line.order(pace, 0.6)]
    assert order[0] == "new"
    assert not line.order(pace, 0.6)[0][0].is_late


def test_a_request_waits_only_for_a_turn_that_comes_in_time():
    pace = waiting.Pace(FIRST_S, WHOLE_S)
    own = waiting.urgency(ticket(0.0), pace, 0.0)
    ahead = [waiting.Urgency(False, 0, 0.01)]
    turn_s = pace.turn_s(PLACES)
    assert waiting.may_wait(own, ahead, turn_s, 0.0, 0.0)
    assert not waiting.may_wait(own, ahead * 3, turn_s, 0.0, 0.0)


def test_late_requests_count_only_on_a_share_of_the_turns():
    own = waiting.Urgency(True, 0, 1.0)
    ahead = [waiting.Urgency(True, 0, 0.5)]
    assert waiting.may_wait(own, ahead, 0.1, 0.0, 0.0)
    assert not waiting.may_wait(own, ahead * 2, 0.1, 0.0, 0.0)
    assert not waiting.may_wait(own, ahead, 0.1, 5.0, 0.0)


@pytest.mark.parametrize(
    ("heads", "free", "takes"),
    [([], 0, False), ([], 1, True), ([0.1], 1, False), ([0.9], 1, True)],
)
def test_a_free_place_falls_to_the_most_urgent_of_all_entries(
    heads, free, takes
):
    own = waiting.Urgency(False, 0, 0.5)
    elsewhere = [waiting.Urgency(False, 0, due_s) for due_s in heads]
    assert waiting.may_take_place(own, elsewhere, free) is takes


def test_late_requests_leave_places_to_those_that_can_be_on_time():
    late = waiting.Urgency(True, 0, 0.5)
    fresh = waiting.Urgency(False, 0, 0.5)
    kept = waiting.reserve(50)
    assert not waiting.may_take_place(late, [], kept, kept)
    assert waiting.may_take_place(late, [], kept + 1, kept)
    assert waiting.may_take_place(fresh, [], 1, kept)


class Replay:
    """One service with a fixed number of places, on a virtual clock."""

    def __init__(self, is_ordered):
        self.is_ordered = is_ordered
        self.pace = waiting.Pace(FIRST_S, WHOLE_S)
        self.line = waiting.Line()
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
            others = [each for each, _ in self.line.order(self.pace, now_s)]
            urgency = waiting.urgency(own, self.pace, now_s)
            turn_s = self.pace.turn_s(PLACES)
            is_full = len(self.ends_s) >= PLACES
            if is_full and not waiting.may_wait(
                urgency, others, turn_s, 0.0, now_s
            ):
                return
        self.line.add(at_s, own)

    def start(self, now_s):
        order = self.line.order(self.pace, now_s)
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
    return sharing.Load(sequence, in_work, {}, {})


def test_loads_of_the_other_entries_add_up():
    board = sharing.LoadBoard()
    board.put("a", load(1, {"e": 2}), 0.0)
    board.put("b", load(1, {"e": 1, "f": 1}), 0.0)
    assert (board.in_work("e"), board.in_work("f")) == (3, 1)
    board.put("a", load(2, {}), 0.1)
    assert board.in_work("e") == 1


def test_an_older_message_changes_nothing():
    board = sharing.LoadBoard()
    board.put("a", load(5, {"e": 2}), 0.0)
    assert not board.put("a", load(4, {"e": 9}), 0.1)
    assert board.in_work("e") == 2


def test_an_entry_that_falls_silent_holds_nothing():
    board = sharing.LoadBoard()
    board.put("a", load(1, {"e": 2}), 0.0)
    board.expire(sharing.SILENCE_S + 0.1)
    assert board.in_work("e") == 0


def test_prompts_sent_by_other_entries_are_counted_once():
    board = sharing.LoadBoard()
    board.put("a", sharing.Load(1, {}, {}, {"llm": 100}), 0.0)
    board.put("a", sharing.Load(2, {}, {}, {"llm": 700}), 1.0)
    board.put("a", sharing.Load(3, {}, {}, {"llm": 700}), 1.1)
    board.note_start("llm", 50, 1.2)
    assert board.tokens_between("llm", 0.5, 1.15) == 600
    assert board.tokens_between("llm", 0.5, 2.0) == 650
