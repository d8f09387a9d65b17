"""Passes that get longer with each stream, and ones that are long anyway."""

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


def learnt(base_s, per_request_s, running, count=400, noise_s=0.002):
    rng = random.Random(3)
    model = concurrency.ConcurrencyModel(DECLARED)
    for _ in range(count):
        writers = rng.randint(*running)
        gap_s = base_s + per_request_s * writers + rng.gauss(0, noise_s)
        model.observe(gap_s, writers, 0, OBJECTIVE_S)
    return model


def test_all_slots_are_used_while_the_pauses_stay_short():
    model = learnt(BASE_S, 0.0008, (40, 72))
    assert model.max_running(OBJECTIVE_S, SLOTS) == SLOTS


@pytest.mark.parametrize("per_request_s", [0.0013, 0.0016, 0.002])
def test_the_limit_keeps_the_pauses_within_the_objective(per_request_s):
    """Hot experts: with all slots taken every stream would be late."""
    assert BASE_S + per_request_s * SLOTS > OBJECTIVE_S
    model = learnt(BASE_S, per_request_s, (30, 72))
    limit = model.max_running(OBJECTIVE_S, SLOTS)
    assert BASE_S + per_request_s * limit <= OBJECTIVE_S
    assert limit > 0.75 * (OBJECTIVE_S - BASE_S) / per_request_s


def test_pauses_that_vary_leave_room_for_the_long_ones():
    """One long pass makes every stream in progress late."""
    steady = learnt(BASE_S, 0.0014, (40, 72), noise_s=0.001)
    uneven = learnt(BASE_S, 0.0014, (40, 72), noise_s=0.008)
    limit = uneven.max_running(OBJECTIVE_S, SLOTS)
    assert limit < steady.max_running(OBJECTIVE_S, SLOTS)
    rng = random.Random(5)
    long = sum(
        BASE_S + 0.0014 * limit + rng.gauss(0, 0.008) > OBJECTIVE_S
        for _ in range(2000)
    )
    assert long / 2000 < 0.02


def test_nothing_is_limited_where_a_slow_rank_makes_all_late():
    model = learnt(0.14, 0.0005, (20, 60))
    assert model.max_running(OBJECTIVE_S, SLOTS) == SLOTS


def test_a_slow_rank_that_recovers_is_forgotten():
    model = learnt(0.14, 0.0005, (20, 60))
    for _ in range(400):
        model.observe(BASE_S + 0.0016 * 40, 40, 0, OBJECTIVE_S)
    assert 40 < model.max_running(OBJECTIVE_S, SLOTS) < SLOTS


def test_before_anything_is_seen_the_declared_figures_are_used_with_care():
    model = concurrency.ConcurrencyModel(DECLARED)
    assert model.max_running(OBJECTIVE_S, 2 * SLOTS) < 2 * SLOTS


def test_prompts_that_arrive_together_leave_room_for_fewer():
    model = learnt(BASE_S, 0.0011, (40, 72))
    alone = model.max_running(OBJECTIVE_S, SLOTS, 800)
    crowd = model.max_running(OBJECTIVE_S, SLOTS, 6 * 800)
    assert crowd < alone
    assert BASE_S + 0.0011 * crowd + model.prefill_s(6 * 800) <= OBJECTIVE_S


def test_the_time_for_prompts_is_not_taken_for_that_of_writers():
    reading = learnt(BASE_S, 0.0011, (40, 72))
    rng = random.Random(4)
    for _ in range(400):
        writers, tokens = rng.randint(40, 72), rng.choice([0, 800, 4000])
        gap_s = BASE_S + 0.0011 * writers + reading.prefill_s(tokens)
        reading.observe(gap_s, writers, tokens, OBJECTIVE_S)
    assert reading.iteration_s(60) <= BASE_S + 0.0011 * 60 + 0.003
    even = (0.98 * OBJECTIVE_S - BASE_S) / 0.0011
    assert abs(reading.max_running(OBJECTIVE_S, 150) - even) < 0.003 / 0.0011


def test_the_longest_prompts_count_no_more_than_a_few_usual_ones():
    model = concurrency.ConcurrencyModel(DECLARED)
    assert model.capped_prompt_tokens(100000) < 2 * 835
    assert model.capped_prompt_tokens(100) == 100


def test_a_rank_that_turns_very_slow_shows_within_a_few_passes():
    """Passes of 0.7 s are rare; each has to count for its time."""
    model = learnt(BASE_S, 0.0009, (60, 72))
    for _ in range(4):
        model.observe(0.7, 70, 0, OBJECTIVE_S)
    assert model.iteration_s(70) > 0.5
    for _ in range(12):
        model.observe(0.09, 70, 0, OBJECTIVE_S)
    # A usual answer of 28 passes fits into a caller's 8 s again.
    assert 28 * model.iteration_s(70) < 8


def test_a_change_of_the_experts_places_does_not_look_like_chance():
    """Before it a stream added twice as much to a pass as after it."""
    after_s = BASE_S + 0.0006 * 60

    def limit(fades):
        model = learnt(BASE_S, 0.0012, (50, 70), noise_s=0.001)
        if fades:
            model.discount_history()
        for _ in range(6):
            model.observe(after_s, 60, 0, OBJECTIVE_S)
        return model.max_running(OBJECTIVE_S, SLOTS)

    assert limit(fades=True) == SLOTS
    assert limit(fades=False) < SLOTS
