"""Tests of how long keys are accepted without an answer from the store."""

import pytest

from godwitdale_routing import freshness

BOUND_S = 5.0


def test_a_copy_is_not_fresh_before_the_first_confirmation():
    assert not freshness.Freshness(BOUND_S).is_fresh(0.0)


@pytest.mark.parametrize(
    ("age_s", "is_fresh"), [(0.0, True), (4.5, True), (4.9, False), (9, False)]
)
def test_keys_are_accepted_only_within_the_bound(age_s, is_fresh):
    copy = freshness.Freshness(BOUND_S)
    copy.confirm(100.0)
    assert copy.is_fresh(100.0 + age_s) is is_fresh


def test_an_older_confirmation_changes_nothing():
    copy = freshness.Freshness(BOUND_S)
    copy.confirm(100.0)
    copy.confirm(90.0)
    assert copy.age_s(101.0) == 1.0


def test_peers_are_asked_before_the_store_and_both_before_the_bound():
    copy = freshness.Freshness(BOUND_S)
    copy.confirm(100.0)
    peer_ages = [
        age for age in range(50) if copy.should_ask_peer(100 + age / 10)
    ]
    store_ages = [
        age for age in range(50) if copy.should_read_store(100 + age / 10)
    ]
    assert peer_ages[0] < store_ages[0]
    assert copy.is_fresh(100 + store_ages[0] / 10 + 1.0)
