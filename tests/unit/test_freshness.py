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


def test_others_are_asked_before_the_store_and_both_before_the_bound():
    known = freshness.Freshness(BOUND_S)
    known.confirm(100.0)
    asked = [age for age in range(50) if known.should_ask_peer(100 + age / 10)]
    read = [age for age in range(50) if known.should_read_store(100 + age / 10)]
    assert asked[0] < read[0]
    assert known.is_fresh(100 + read[0] / 10 + 1.0)
