"""Entries share the work of watching the store."""

import pytest

from godwitdale_routing import poll_schedule

STEP_S = 1.0


@pytest.mark.parametrize("count", [1, 2, 10, 20])
def test_some_poll_ends_in_every_step_after_all_were_woken(count):
    """A store that wakes nobody is noticed within two steps."""
    ends_s = []
    for rank in range(count):
        at_s = poll_schedule.poll_timeout_s(
            STEP_S, rank, count, has_changes=True
        )
        while at_s < 60:
            ends_s.append(at_s)
            at_s += poll_schedule.poll_timeout_s(
                STEP_S, rank, count, has_changes=False
            )
    ends_s.sort()
    pauses_s = [b - a for a, b in zip([0.0, *ends_s], ends_s, strict=False)]
    assert max(pauses_s) <= 2 * STEP_S


def test_no_poll_waits_longer_than_the_store_allows():
    assert (
        poll_schedule.poll_timeout_s(STEP_S, 300, 380, has_changes=True) <= 30
    )
