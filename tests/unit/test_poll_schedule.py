"""Tests of the schedule of the long polls to the store."""

import pytest

from godwitdale_routing import poll_schedule

INTERVAL_S = 1.0


@pytest.mark.parametrize("count", [1, 2, 10, 20])
def test_a_poll_ends_within_every_two_intervals(count):
    """Guards against a store that fails to end polls after a change.

    Some entry has to notice the change within two intervals.
    """
    ends_s = []
    for index in range(count):
        at_s = poll_schedule.poll_timeout_s(
            INTERVAL_S, index, count, has_changes=True
        )
        while at_s < 60:
            ends_s.append(at_s)
            at_s += poll_schedule.poll_timeout_s(
                INTERVAL_S, index, count, has_changes=False
            )
    ends_s.sort()
    gaps_s = [b - a for a, b in zip([0.0, *ends_s], ends_s, strict=False)]
    assert max(gaps_s) <= 2 * INTERVAL_S


def test_a_poll_timeout_stays_below_the_limit_of_the_store():
    assert (
        poll_schedule.poll_timeout_s(INTERVAL_S, 300, 380, has_changes=True)
        <= 30
    )
