"""Passes that get longer with each stream, and ones that are long anyway."""

import random

import pytest

from godwitdale_routing import concurrency

OBJECTIVE_S = 0.12
SLOTS = 72
BASE_S = 0.03
EVEN_S = 0.0006


def learnt(base_s, per_request_s, running, count=400, noise_s=0.002):
    rng = random.Random(3)
    model = concurrency.Concurrency(BASE_S, EVEN_S)
    for _ in range(count):
        writers = rng.randint(*running)
        gap_s = base_s + per_request_s * writers + rng.gauss(0, noise_s)
        model.observe(gap_s, writers, OBJECTIVE_S)
    return model


def test_all_slots_are_used_while_the_pauses_stay_short():
    model = learnt(BASE_S, 0.0008, (40, 72))
    assert model.limit(OBJECTIVE_S, SLOTS) == SLOTS


@pytest.mark.parametrize("per_request_s", [0.0013, 0.0016, 0.002])
def test_the_limit_keeps_the_pauses_within_the_objective(per_request_s):
    """Hot experts: with all slots taken every stream would be late."""
    assert BASE_S + per_request_s * SLOTS > OBJECTIVE_S
    model = learnt(BASE_S, per_request_s, (30, 72))
    limit = model.limit(OBJECTIVE_S, SLOTS)
    assert BASE_S + per_request_s * limit <= OBJECTIVE_S
    assert limit > 0.75 * (OBJECTIVE_S - BASE_S) / per_request_s


def test_nothing_is_limited_where_a_slow_rank_makes_all_late():
    model = learnt(0.14, 0.0005, (20, 60))
    assert model.limit(OBJECTIVE_S, SLOTS) == SLOTS


def test_a_slow_rank_that_recovers_is_forgotten():
    model = learnt(0.14, 0.0005, (20, 60))
    for _ in range(400):
        model.observe(BASE_S + 0.0016 * 40, 40, OBJECTIVE_S)
    assert 40 < model.limit(OBJECTIVE_S, SLOTS) < SLOTS


def test_before_anything_is_seen_the_declared_figures_are_used_with_care():
    model = concurrency.Concurrency(BASE_S, EVEN_S)
    assert model.limit(OBJECTIVE_S, SLOTS) < SLOTS
