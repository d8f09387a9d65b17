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


@pytest.mark.parametrize("index", [1, 2, 34])
def test_peers_are_asked_before_the_store_and_both_before_the_bound(index):
    copy = freshness.Freshness(BOUND_S)
    copy.confirm(100.0)
    peer_ages = [
        age for age in range(50) if copy.should_ask_peer(100 + age / 10)
    ]
    store_ages = [
        age
        for age in range(50)
        if copy.should_read_store(100 + age / 10, index)
    ]
    assert peer_ages[0] < store_ages[0]
    assert copy.is_fresh(100 + store_ages[0] / 10 + 1.0)


def test_a_fleet_reads_the_store_once_for_all():
    """Guards against entries that read the store all at the same moment.

    Replays 35 entries whose copies were confirmed together and none of whose
    polls ends. An entry that asks another one learns the age of its copy.
    """
    copies = [freshness.Freshness(BOUND_S) for _ in range(35)]
    for copy in copies:
        copy.confirm(0.0)
    reads = 0
    for tick in range(1, 241):
        now_s = tick / 4
        for index, copy in enumerate(copies):
            if copy.should_ask_peer(now_s):
                # The age that entries broadcast is up to a second old.
                known = max(copies, key=lambda each: -each.age_s(now_s - 1.0))
                copy.confirm(now_s - known.age_s(now_s))
            if copy.should_read_store(now_s, index):
                copy.confirm(now_s)
                reads += 1
        assert all(copy.is_ready(now_s) for copy in copies)
    assert reads <= 60


def test_next_entry_reads_the_store_if_the_first_one_does_not():
    copy = freshness.Freshness(BOUND_S)
    copy.confirm(0.0)
    first_reads_s = [
        min(
            age / 100
            for age in range(500)
            if copy.should_read_store(age / 100, index)
        )
        for index in range(4)
    ]
    assert first_reads_s == sorted(first_reads_s)
    assert first_reads_s[0] < first_reads_s[1] < first_reads_s[2]
    assert copy.is_ready(first_reads_s[3])
