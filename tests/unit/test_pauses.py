"""Tests of the pauses that endpoints ask for when they refuse requests."""

import random

import pytest

from godwitdale_routing import pauses as pauses_lib

ENDPOINT = "e0"
# Requests that may reach an endpoint in a pause, by the users' rule.
MAX_IN_PAUSE = 2


def paused(pause_s=4.0):
    pauses = pauses_lib.Pauses()
    assert pauses.observe(ENDPOINT, pause_s, 0.0)
    return pauses


def test_endpoint_without_a_pause_is_unlimited():
    pauses = pauses_lib.Pauses()
    assert pauses.room(ENDPOINT, 0.0) is None
    assert pauses.wait_s(ENDPOINT, 0.0) == 0.0


@pytest.mark.parametrize("tenths", range(41))
def test_no_request_is_sent_during_a_pause(tenths):
    now_s = tenths / 10
    pauses = paused()
    assert pauses.room(ENDPOINT, now_s) == (0 if now_s < 4.0 else 1)
    assert pauses.wait_s(ENDPOINT, now_s) == pytest.approx(4.0 - now_s)


def test_one_request_is_tried_before_many():
    pauses = paused()
    pauses.record_sent(ENDPOINT)
    assert pauses.room(ENDPOINT, 4.1) == 0
    pauses.record_run(ENDPOINT, 4.2)
    assert pauses.room(ENDPOINT, 4.2) is None


def test_another_request_is_tried_if_the_first_one_fails():
    pauses = paused()
    pauses.record_sent(ENDPOINT)
    pauses.record_end(ENDPOINT)
    assert pauses.room(ENDPOINT, 4.1) == 1


def test_answer_of_an_earlier_request_does_not_end_a_pause():
    pauses = paused()
    pauses.record_run(ENDPOINT, 2.0)
    pauses.record_end(ENDPOINT)
    assert pauses.room(ENDPOINT, 2.0) == 0


def test_later_refusal_never_shortens_a_pause():
    pauses = paused(4.0)
    assert not pauses.observe(ENDPOINT, 0.5, 1.0)
    assert pauses.room(ENDPOINT, 3.9) == 0


def test_refused_trial_begins_another_pause():
    pauses = paused()
    pauses.record_sent(ENDPOINT)
    assert pauses.observe(ENDPOINT, 3.0, 4.2)
    pauses.record_end(ENDPOINT)
    assert pauses.room(ENDPOINT, 7.1) == 0
    assert pauses.room(ENDPOINT, 7.2) == 1


def test_pause_is_bounded():
    pauses = paused(1e9)
    assert pauses.room(ENDPOINT, pauses_lib.MAX_PAUSE_S) == 1


def test_pause_outlasts_a_missing_record():
    pauses = paused()
    pauses.expire(set(), 1.0)
    assert pauses.room(ENDPOINT, 1.0) == 0
    pauses.expire(set(), 4.0)
    assert pauses.room(ENDPOINT, 4.0) is None


@pytest.mark.parametrize("seed", range(20))
def test_overloaded_endpoint_gets_nothing_in_the_pauses_it_asks_for(seed):
    """Replays an endpoint that refuses most requests with random pauses."""
    rng = random.Random(seed)
    pauses = pauses_lib.Pauses()
    in_flight = []
    asked = []
    arrived_s = []
    now_s = 0.0
    while now_s < 60.0:
        now_s += 0.01
        for end_s, is_run, pause_s in [x for x in in_flight if x[0] <= now_s]:
            in_flight.remove((end_s, is_run, pause_s))
            if is_run:
                pauses.record_run(ENDPOINT, now_s)
            else:
                pauses.observe(ENDPOINT, pause_s, now_s)
                asked.append((now_s, now_s + pause_s))
            pauses.record_end(ENDPOINT)
        if pauses.room(ENDPOINT, now_s) == 0 or rng.random() < 0.5:
            continue
        pauses.record_sent(ENDPOINT)
        arrived_s.append(now_s)
        is_run = rng.random() < 0.3
        end_s = now_s + rng.uniform(0.01, 0.2)
        in_flight.append((end_s, is_run, rng.uniform(0.2, 5.0)))
    for asked_s, until_s in asked:
        late = [x for x in arrived_s if asked_s + 0.5 < x < until_s]
        assert len(late) <= MAX_IN_PAUSE
    assert len(arrived_s) > 10
