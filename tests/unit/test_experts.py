"""Tests of expert placement and of the decision to move experts."""

import numpy as np
import pytest

from godwitdale_experts import placement
from godwitdale_experts import rebalance

SHAPES = [
    placement.Shape(8, 64, 10),
    placement.Shape(64, 64, 4),
    placement.Shape(256, 64, 2),
]
COSTS = rebalance.Costs(fetch_s=0.05, slowdown=0.1, hold_s=0.02, step_s=0.03)


def sample_load_and_speed(shape, seed=1):
    rng = np.random.default_rng(seed)
    load = rng.lognormal(0.0, 1.0, shape.experts)
    return load, np.ones(shape.ranks)


def relative_step_time(planned, load, speed):
    slowest = placement.rank_times(planned, load, speed).max()
    return slowest / placement.min_step_time(load, speed)


@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("seed", range(5))
def test_plan_is_valid_and_close_to_minimum_step_time(shape, seed):
    load, speed = sample_load_and_speed(shape, seed)
    planned = placement.plan(load, speed, shape)
    assert placement.is_valid(planned, shape)
    assert relative_step_time(planned, load, speed) <= 1.15


@pytest.mark.parametrize("shape", SHAPES)
def test_even_spread_is_valid(shape):
    assert placement.is_valid(placement.spread_evenly(shape), shape)


@pytest.mark.parametrize("shape", SHAPES)
def test_improved_placement_is_valid_and_loads_few_replicas(shape):
    load, speed = sample_load_and_speed(shape)
    before = placement.spread_evenly(shape)
    after = placement.improve(before, load, speed, shape, max_changes=6)
    assert placement.is_valid(after, shape)
    assert placement.count_new_replicas(before, after) <= 6
    assert relative_step_time(after, load, speed) <= relative_step_time(
        before, load, speed
    )


def test_slow_rank_gets_less_load():
    shape = SHAPES[1]
    load, speed = sample_load_and_speed(shape)
    speed[5] = 0.2
    planned = placement.plan(load, speed, shape)
    assert placement.is_valid(planned, shape)
    assert relative_step_time(planned, load, speed) <= 1.25


def test_move_is_chosen_only_if_its_gain_exceeds_its_cost():
    shape = SHAPES[0]
    load, speed = sample_load_and_speed(shape)
    current = placement.spread_evenly(shape)
    long_horizon = rebalance.Preference(5.0, 1.0, horizon_s=600.0)
    short_horizon = rebalance.Preference(1.0, 5.0, horizon_s=0.01)
    quiet = rebalance.Preference(5.0, 1.0, 600.0, is_in_quiet_window=True)

    def choose(preference):
        return rebalance.choose_move(
            current, load, speed, shape, preference, COSTS
        )

    move = choose(long_horizon)
    assert move is not None
    assert placement.is_valid(move.placement, shape)
    assert move.gain_s * 5.0 > move.delay_s
    assert choose(short_horizon) is None
    assert choose(quiet) is None


def test_good_placement_is_kept():
    shape = SHAPES[0]
    load, speed = sample_load_and_speed(shape)
    current = placement.plan(load, speed, shape)
    cautious = rebalance.Preference(1.0, 5.0, horizon_s=60.0)
    move = rebalance.choose_move(current, load, speed, shape, cautious, COSTS)
    assert move is None


def test_matching_ranks_avoids_loads():
    shape = SHAPES[1]
    load, speed = sample_load_and_speed(shape)
    current = placement.plan(load, speed, shape)
    shifted = np.roll(current, 7, axis=0)
    matched = rebalance.match_ranks(current, shifted, speed)
    assert placement.count_new_replicas(current, matched) == 0
