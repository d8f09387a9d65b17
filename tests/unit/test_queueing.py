"""Tests of fair queueing, against a reference queue, and of admission."""

import hypothesis
from hypothesis import strategies as st
import pytest

from godwitdale_routing import admission
from godwitdale_routing import queueing


def params(account="a", priority=5, deadline_at_s=100.0, weight=1.0):
    return queueing.SchedulingParams(account, weight, priority, deadline_at_s)


class ReferenceQueue:
    """Scans one list by virtual start, then priority, deadline and arrival."""

    def __init__(self):
        self.waiting = []
        self.starts = {}
        self.virtual_time = 0.0
        self.arrivals = 0

    def push(self, pushed, item):
        is_idle = all(p.account != pushed.account for p, _, _ in self.waiting)
        if is_idle:
            start = self.starts.get(pushed.account, 0.0)
            self.starts[pushed.account] = max(self.virtual_time, start)
        self.arrivals += 1
        self.waiting.append((pushed, self.arrivals, item))

    def pop(self):
        if not self.waiting:
            return None
        account = min(
            {p.account for p, _, _ in self.waiting},
            key=lambda name: (self.starts[name], name),
        )
        best = min(
            (each for each in self.waiting if each[0].account == account),
            key=lambda each: (each[0].priority, each[0].deadline_at_s, each[1]),
        )
        self.waiting.remove(best)
        self.virtual_time = self.starts[account]
        self.starts[account] += best[0].cost / best[0].weight
        return best[2]

    def remove(self, item):
        found = [each for each in self.waiting if each[2] == item]
        for each in found:
            self.waiting.remove(each)
        return bool(found)


PARAMS = st.builds(
    queueing.SchedulingParams,
    account=st.sampled_from("abc"),
    weight=st.sampled_from([0.5, 1.0, 2.0]),
    priority=st.integers(0, 2),
    deadline_at_s=st.sampled_from([1.0, 2.0, 3.0]),
)
ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.just("push"), PARAMS),
        st.tuples(st.just("pop"), st.none()),
        st.tuples(st.just("remove"), st.integers(0, 30)),
    ),
    max_size=60,
)


@hypothesis.given(ACTIONS)
def test_the_queue_has_the_order_of_the_reference_queue(actions):
    queue = queueing.FairQueue()
    reference = ReferenceQueue()
    weights = {}
    for number, (action, argument) in enumerate(actions):
        if action == "push":
            # An account has one weight at a time.
            weight = weights.setdefault(argument.account, argument.weight)
            pushed = queueing.SchedulingParams(
                argument.account,
                weight,
                argument.priority,
                argument.deadline_at_s,
            )
            queue.push(pushed, number)
            reference.push(pushed, number)
        elif action == "pop":
            assert queue.pop() == reference.pop()
        else:
            assert queue.remove(argument) == reference.remove(argument)
        assert len(queue) == len(reference.waiting)


def test_a_heavy_account_does_not_delay_a_light_one():
    queue = queueing.FairQueue()
    for number in range(100):
        queue.push(params("heavy"), f"heavy-{number}")
    queue.push(params("light"), "light")
    assert "light" in [queue.pop(), queue.pop()]


def test_the_most_urgent_request_of_an_account_goes_first():
    queue = queueing.FairQueue()
    queue.push(params(priority=7), "summary")
    queue.push(params(priority=0, deadline_at_s=9.0), "late quote")
    queue.push(params(priority=0, deadline_at_s=3.0), "early quote")
    assert [queue.pop() for _ in range(3)] == [
        "early quote",
        "late quote",
        "summary",
    ]


def test_expired_requests_are_removed():
    queue = queueing.FairQueue()
    queue.push(params(deadline_at_s=1.0), "late")
    queue.push(params(deadline_at_s=5.0), "early")
    assert queue.remove_expired(now_s=2.0) == ["late"]
    assert queue.pop() == "early"


@pytest.mark.parametrize(
    ("waiting", "left_s", "is_admitted"),
    [(0, 1.0, True), (3, 1.0, True), (40, 1.0, False), (0, 0.0, False)],
)
def test_only_requests_that_can_meet_their_deadline_are_admitted(
    waiting, left_s, is_admitted
):
    queue = queueing.FairQueue()
    for number in range(waiting):
        queue.push(params("a", deadline_at_s=10.5), number)
    refusal = admission.check_deadline(
        queue,
        params("a", deadline_at_s=10.0 + left_s),
        admission.SlotUsage(running=4, total=4),
        service_s=0.5,
        now_s=10.0,
    )
    assert (refusal is None) == is_admitted
    if refusal is not None and left_s > 0:
        assert refusal.verdict.value == "not-run"
        assert refusal.retry_after_s > 0


def test_an_urgent_request_is_admitted_ahead_of_less_urgent_ones():
    queue = queueing.FairQueue()
    for number in range(40):
        queue.push(params("a", priority=7, deadline_at_s=99.0), number)
    refusal = admission.check_deadline(
        queue,
        params("a", priority=0, deadline_at_s=1.0),
        admission.SlotUsage(running=4, total=4),
        service_s=0.5,
        now_s=0.0,
    )
    assert refusal is None
