"""Placement and the decision to move."""

import numpy as np
import pytest

from godwitdale_experts import placement
from godwitdale_experts import rebalance

SHAPES = [
    placement.Shape(8, 64, 10),
    placement.Shape(64, 64, 4),
    placement.Shape(256, 64, 2),
]
COSTS = rebalance.Costs(load_s=0.05, slowdown=0.1, hold_s=0.02, step_s=0.03)


def observed(shape, seed=1):
    rng = np.random.default_rng(seed)
    load = rng.lognormal(0.0, 1.0, shape.experts)
    return load, np.ones(shape.ranks)


def time_over_bound(placed, load, speed):
    slowest = placement.rank_times(placed, load, speed).max()
    return slowest / placement.min_step_time(load, speed)


@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("seed", range(5))
def test_plans_are_valid_and_near_the_bound(shape, seed):
    load, speed = observed(shape, seed)
    planned = placement.plan(load, speed, shape)
    assert placement.is_valid(planned, shape)
    assert time_over_bound(planned, load, speed) <= 1.15


@pytest.mark.parametrize("shape", SHAPES)
def test_the_even_spread_is_valid(shape):
    assert placement.is_valid(placement.spread_evenly(shape), shape)


@pytest.mark.parametrize("shape", SHAPES)
def test_an_improvement_is_valid_and_changes_little(shape):
    load, speed = observed(shape)
    before = placement.spread_evenly(shape)
    after = placement.improve(before, load, speed, shape, max_changes=6)
    assert placement.is_valid(after, shape)
    assert placement.count_loads(before, after) <= 6
    assert time_over_bound(after, load, speed) <= time_over_bound(
        before, load, speed
    )


def test_a_slow_rank_gets_less():
    shape = SHAPES[1]
    load, speed = observed(shape)
    speed[5] = 0.2
    planned = placement.plan(load, speed, shape)
    assert placement.is_valid(planned, shape)
    assert time_over_bound(planned, load, speed) <= 1.25


def test_a_move_is_made_only_where_it_pays():
    shape = SHAPES[0]
    load, speed = observed(shape)
    current = placement.spread_evenly(shape)
    eager = rebalance.Preference(5.0, 1.0, horizon_s=600.0)
    hurried = rebalance.Preference(1.0, 5.0, horizon_s=0.01)
    quiet = rebalance.Preference(5.0, 1.0, 600.0, is_quiet=True)

    def consider(preference):
        return rebalance.choose_move(
            current, load, speed, shape, preference, COSTS
        )

    move = consider(eager)
    assert move is not None
    assert placement.is_valid(move.placement, shape)
    assert move.gain_s * 5.0 > move.delay_s
    assert consider(hurried) is None
    assert consider(quiet) is None


def test_a_good_placement_stays():
    shape = SHAPES[0]
    load, speed = observed(shape)
    current = placement.plan(load, speed, shape)
    cautious = rebalance.Preference(1.0, 5.0, horizon_s=60.0)
    move = rebalance.choose_move(current, load, speed, shape, cautious, COSTS)
    assert move is None


def test_renaming_ranks_saves_loads():
    shape = SHAPES[1]
    load, speed = observed(shape)
    current = placement.plan(load, speed, shape)
    shifted = np.roll(current, 7, axis=0)
    matched = rebalance.match_ranks(current, shifted, speed)
    assert placement.count_loads(current, matched) == 0
