"""Tests of the rate limits that endpoints name."""

import random

import pytest

from godwitdale_routing import rate_limits

ENDPOINT = "e0"
# Requests in a window of four seconds that the users' rule allows.
WINDOW_S = 4.0


def allowed(limit):
    return 1.5 * limit * WINDOW_S + 5


def stated(limit, at_s):
    return rate_limits.Statement(limit, at_s)


def limits_of(limit, now_s=0.0):
    limits = rate_limits.RateLimits()
    limits.observe(ENDPOINT, stated(limit, now_s), now_s)
    return limits


def most_in_a_window(times_s):
    return max(
        sum(start_s <= each < start_s + WINDOW_S for each in times_s)
        for start_s in times_s
    )


@pytest.mark.parametrize("limit", [0.02, 0.3, 1.1, 4.3, 60.0])
def test_requests_stay_within_the_limit_and_use_it(limit):
    limits = limits_of(limit)
    sent_s = []
    now_s = 0.0
    while now_s < 60.0:
        if limits.room(ENDPOINT, now_s):
            limits.record_sent(ENDPOINT, now_s)
            sent_s.append(now_s)
        now_s += 0.004
    assert most_in_a_window(sent_s) <= allowed(limit)
    assert len(sent_s) >= 0.8 * limit * 60


@pytest.mark.parametrize("limit", [0.3, 1.1, 4.3])
@pytest.mark.parametrize("seed", range(4))
def test_requests_of_many_entries_at_once_stay_within_the_limit(limit, seed):
    """Entries learn of each other's requests some milliseconds later."""
    rng = random.Random(seed)
    entries = [limits_of(limit) for _ in range(18)]
    deliveries = []
    sent_s = []
    now_s = 0.0
    while now_s < 40.0:
        now_s += rng.expovariate(60.0)
        for at_s, receiver, sender, count in list(deliveries):
            if at_s <= now_s:
                deliveries.remove((at_s, receiver, sender, count))
                entries[receiver].record_peer_count(
                    str(sender), ENDPOINT, count, at_s
                )
        sender = rng.randrange(18)
        if not entries[sender].room(ENDPOINT, now_s):
            continue
        entries[sender].record_sent(ENDPOINT, now_s)
        sent_s.append(now_s)
        count = entries[sender].own_counts()[ENDPOINT]
        deliveries += [
            (now_s + rng.uniform(0.005, 0.03), receiver, sender, count)
            for receiver in range(18)
            if receiver != sender
        ]
    assert most_in_a_window(sent_s) <= allowed(limit)


def test_limit_holds_until_an_answer_names_none():
    limits = limits_of(2.0)
    assert limits.room(ENDPOINT, 500.0) == 2
    assert limits.observe(ENDPOINT, stated(None, 501.0), 501.0)
    assert limits.room(ENDPOINT, 501.0) is None


def test_newer_limit_replaces_the_older_one_at_once():
    limits = limits_of(20.0)
    assert limits.room(ENDPOINT, 10.0) == 20
    limits.observe(ENDPOINT, stated(1.0, 10.0), 10.0)
    assert limits.room(ENDPOINT, 10.0) == 1
    limits.record_sent(ENDPOINT, 10.0)
    assert limits.wait_s(ENDPOINT, 10.0) == pytest.approx(1.0)


def test_older_report_of_a_peer_does_not_bring_a_limit_back():
    limits = limits_of(2.0)
    limits.observe(ENDPOINT, stated(None, 9.0), 9.0)
    assert not limits.observe_peer_statement(ENDPOINT, stated(2.0, 8.5), 9.2)
    assert limits.limit(ENDPOINT) is None


def test_entries_that_repeat_a_limit_do_not_outlive_its_end():
    """Repeated reports must not look newer than the answer that ended it."""
    first, second = limits_of(2.0), limits_of(2.0)
    for now_s in range(1, 10):
        for receiver, sender in ((first, second), (second, first)):
            at_s = sender.statements()[ENDPOINT].at_s + 0.05
            receiver.observe_peer_statement(
                ENDPOINT, stated(2.0, at_s), float(now_s)
            )
    first.observe(ENDPOINT, stated(None, 0.5), 0.5)
    assert first.limit(ENDPOINT) is None


def test_surplus_of_other_entries_holds_later_requests_back():
    limits = limits_of(1.0)
    limits.record_peer_count("peer", ENDPOINT, 3, 1.0)
    assert limits.room(ENDPOINT, 3.5) == 0
    assert limits.room(ENDPOINT, 5.0) == 1


def test_large_surplus_counts_only_for_the_time_of_a_window():
    limits = limits_of(1.0)
    limits.record_peer_count("peer", ENDPOINT, 500, 1.0)
    assert limits.room(ENDPOINT, 1.0 + WINDOW_S + 1.01) == 1


def test_reset_count_of_a_peer_is_counted_anew():
    limits = limits_of(1.0)
    limits.record_peer_count("peer", ENDPOINT, 9, 1.0)
    limits.record_peer_count("peer", ENDPOINT, 1, 9.0)
    assert limits.room(ENDPOINT, 9.0) == 0


def test_state_of_endpoints_that_are_gone_is_removed():
    limits = limits_of(1.0)
    limits.record_sent(ENDPOINT, 1.0)
    limits.record_peer_count("peer", ENDPOINT, 1, 1.0)
    limits.expire(set(), 2.0)
    assert limits.limit(ENDPOINT) is None
    assert not limits.statements() and not limits.own_counts()


def test_very_low_limit_still_admits_requests_that_can_notice_its_end():
    limits = limits_of(0.0001)
    assert limits.room(ENDPOINT, 4.0) == 1
