"""How long keys are accepted without word from the store."""

import pytest

from godwitdale_routing import freshness

BOUND_S = 5.0


def test_nothing_is_fresh_before_the_first_confirmation():
    assert not freshness.Freshness(BOUND_S).is_fresh(0.0)


@pytest.mark.parametrize(
    ("age_s", "is_fresh"), [(0.0, True), (4.5, True), (4.9, False), (9, False)]
)
def test_keys_are_accepted_only_within_the_bound(age_s, is_fresh):
    known = freshness.Freshness(BOUND_S)
    known.confirm(100.0)
    assert known.is_fresh(100.0 + age_s) is is_fresh


def test_an_older_confirmation_changes_nothing():
    known = freshness.Freshness(BOUND_S)
    known.confirm(100.0)
    known.confirm(90.0)
    assert known.age_s(101.0) == 1.0


def test_polls_that_end_with_changes_never_let_the_copy_expire():
    """Changes that come just before each poll ends confirm the least."""
    known = freshness.Freshness(BOUND_S)
    now_s = 100.0
    known.confirm(now_s)
    for _ in range(20):
        wait_s = known.poll_s(now_s)
        asked_s = now_s
        now_s += wait_s
        assert known.is_fresh(now_s)
        known.confirm(asked_s)


def test_a_stale_copy_is_asked_for_at_short_intervals():
    known = freshness.Freshness(BOUND_S)
    known.confirm(100.0)
    assert known.poll_s(110.0) < 0.2
