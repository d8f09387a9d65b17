"""Entries share the work of watching the store."""

import pytest

from godwitdale_routing import turns

STEP_S = 1.0


@pytest.mark.parametrize("count", [1, 2, 10, 20])
def test_some_poll_ends_in_every_step_after_all_were_woken(count):
    """A store that wakes nobody is noticed within two steps."""
    ends_s = []
    for rank in range(count):
        at_s = turns.wait_s(STEP_S, rank, count, is_woken=True)
        while at_s < 60:
            ends_s.append(at_s)
            at_s += turns.wait_s(STEP_S, rank, count, is_woken=False)
    ends_s.sort()
    pauses_s = [b - a for a, b in zip([0.0, *ends_s], ends_s, strict=False)]
    assert max(pauses_s) <= 2 * STEP_S


def test_no_poll_waits_longer_than_the_store_allows():
    assert turns.wait_s(STEP_S, 300, 380, is_woken=True) <= 30
