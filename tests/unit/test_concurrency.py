"""Tests of the concurrency limit and of its model of the iterations."""

import random

import pytest

from godwitdale_routing import concurrency

OBJECTIVE_S = 0.12
SLOTS = 72
BASE_S = 0.03
DECLARED = concurrency.DeclaredTimes(
    base_s=BASE_S,
    per_request_s=0.0036,
    even_load_share=1 / 6,
    rank_local_share=0.15,
    prefill_per_token_s=1 / 61200,
    mean_prompt_tokens=835,
)


def fitted_model(base_s, per_request_s, running, count=400, noise_s=0.002):
    rng = random.Random(3)
    model = concurrency.ConcurrencyModel(DECLARED)
    for _ in range(count):
        requests = rng.randint(*running)
        gap_s = base_s + per_request_s * requests + rng.gauss(0, noise_s)
        model.observe(gap_s, requests, 0, OBJECTIVE_S)
    return model


def test_all_slots_are_used_while_the_gaps_stay_short():
    model = fitted_model(BASE_S, 0.0008, (40, 72))
    assert model.max_running(OBJECTIVE_S, SLOTS) == SLOTS


@pytest.mark.parametrize("per_request_s", [0.0013, 0.0016, 0.002])
def test_the_limit_keeps_the_gaps_within_the_objective(per_request_s):
    """Guards against late streams when a few experts are in high demand.

    With all slots in use, every stream would be late.
    """
    assert BASE_S + per_request_s * SLOTS > OBJECTIVE_S
    model = fitted_model(BASE_S, per_request_s, (30, 72))
    limit = model.max_running(OBJECTIVE_S, SLOTS)
    assert BASE_S + per_request_s * limit <= OBJECTIVE_S
    assert limit > 0.75 * (OBJECTIVE_S - BASE_S) / per_request_s


def test_gaps_that_vary_more_lower_the_limit():
    """Guards against long iterations: one makes all running streams late."""
    steady = fitted_model(BASE_S, 0.0014, (40, 72), noise_s=0.001)
    varying = fitted_model(BASE_S, 0.0014, (40, 72), noise_s=0.008)
    limit = varying.max_running(OBJECTIVE_S, SLOTS)
    assert limit < steady.max_running(OBJECTIVE_S, SLOTS)
    rng = random.Random(5)
    too_long = sum(
        BASE_S + 0.0014 * limit + rng.gauss(0, 0.008) > OBJECTIVE_S
        for _ in range(2000)
    )
    assert too_long / 2000 < 0.02


def test_there_is_no_limit_when_a_slow_rank_makes_all_streams_late():
    model = fitted_model(0.14, 0.0005, (20, 60))
    assert model.max_running(OBJECTIVE_S, SLOTS) == SLOTS


def test_the_limit_returns_after_a_slow_rank_recovers():
    model = fitted_model(0.14, 0.0005, (20, 60))
    for _ in range(400):
        model.observe(BASE_S + 0.0016 * 40, 40, 0, OBJECTIVE_S)
    assert 40 < model.max_running(OBJECTIVE_S, SLOTS) < SLOTS


def test_before_any_gap_the_declared_times_give_a_limit():
    model = concurrency.ConcurrencyModel(DECLARED)
    assert model.max_running(OBJECTIVE_S, 2 * SLOTS) < 2 * SLOTS


def test_prompts_that_arrive_together_lower_the_limit():
    model = fitted_model(BASE_S, 0.0011, (40, 72))
    one_prompt = model.max_running(OBJECTIVE_S, SLOTS, 800)
    six_prompts = model.max_running(OBJECTIVE_S, SLOTS, 6 * 800)
    assert six_prompts < one_prompt
    assert (
        BASE_S + 0.0011 * six_prompts + model.prefill_s(6 * 800) <= OBJECTIVE_S
    )


def test_prefill_time_is_not_counted_as_decoding_time():
    model = fitted_model(BASE_S, 0.0011, (40, 72))
    rng = random.Random(4)
    for _ in range(400):
        requests, tokens = rng.randint(40, 72), rng.choice([0, 800, 4000])
        gap_s = BASE_S + 0.0011 * requests + model.prefill_s(tokens)
        model.observe(gap_s, requests, tokens, OBJECTIVE_S)
    assert model.iteration_s(60) <= BASE_S + 0.0011 * 60 + 0.003
    expected = (0.98 * OBJECTIVE_S - BASE_S) / 0.0011
    assert abs(model.max_running(OBJECTIVE_S, 150) - expected) < 0.003 / 0.0011


def test_the_tokens_of_a_long_prompt_are_capped():
    model = concurrency.ConcurrencyModel(DECLARED)
    assert model.capped_prompt_tokens(100000) < 2 * 835
    assert model.capped_prompt_tokens(100) == 100


def test_a_very_slow_rank_is_noticed_within_a_few_iterations():
    """Iterations of 0.7 s are rare, so each is weighted by its duration."""
    model = fitted_model(BASE_S, 0.0009, (60, 72))
    for _ in range(4):
        model.observe(0.7, 70, 0, OBJECTIVE_S)
    assert model.iteration_s(70) > 0.5
    for _ in range(12):
        model.observe(0.09, 70, 0, OBJECTIVE_S)
    # An answer of 28 iterations fits into a caller's 8 s again.
    assert 28 * model.iteration_s(70) < 8


def test_an_expert_map_change_does_not_count_as_variation():
    """Before the change, a request added twice as much to an iteration."""
    after_s = BASE_S + 0.0006 * 60

    def limit(discounts_history):
        model = fitted_model(BASE_S, 0.0012, (50, 70), noise_s=0.001)
        if discounts_history:
            model.discount_history()
        for _ in range(6):
            model.observe(after_s, 60, 0, OBJECTIVE_S)
        return model.max_running(OBJECTIVE_S, SLOTS)

    assert limit(discounts_history=True) == SLOTS
    assert limit(discounts_history=False) < SLOTS
