"""Skew and cost of moving experts, against never and always moving.

The popularity of experts drifts by a seeded trace, or by one that a user
declares in JSON; the decision code sees only noisy counts of the past minute.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import time
from typing import Any
from typing import Protocol

import msgspec
import numpy as np

from godwitdale.bench import report
from godwitdale_declarations import objects
from godwitdale_declarations import selectors
from godwitdale_experts import placement as placement_lib
from godwitdale_experts import popularity as popularity_lib
from godwitdale_experts import rebalance

_MINUTES = 180
_STEP_S = 0.025
_TOKENS_PER_MINUTE = 2_000_000
_TIME_CONSTANT_S = 45.0
_MINUTE_S = 60.0
_START_MINUTE = 9 * 60
_HORIZON_S = 600.0
_COSTS = rebalance.Costs(
    fetch_s=0.4, slowdown=0.05, hold_s=0.05, step_s=_STEP_S
)
_SHAPES = (
    placement_lib.Shape(8, 64, 10),
    placement_lib.Shape(64, 64, 4),
    placement_lib.Shape(256, 64, 2),
)


class Trace(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Popularity and speed by the minute, as a user may declare it.

    Attributes:
        name: Its name in the table.
        load: Relative popularity, one row a minute, one column an expert.
        speed: Relative speed, one row a minute, one column a rank.
    """

    name: str
    load: list[list[float]]
    speed: list[list[float]]


def _drift(shape: placement_lib.Shape, rng: Any) -> Trace:
    """Popularity that turns over within hours."""
    phase = rng.uniform(0, 2 * np.pi, shape.experts)
    rate = rng.uniform(0.3, 1.0, shape.experts) * 2 * np.pi / 180
    height = rng.lognormal(0.0, 0.7, shape.experts)
    minutes = np.arange(_MINUTES)[:, None]
    load = height * (1.2 + np.sin(phase + rate * minutes))
    return _trace("drift by the hour", load, _even_speed(shape))


def _peaks(shape: placement_lib.Shape, rng: Any) -> Trace:
    """Sudden peaks of some experts, ten minutes long."""
    base = rng.lognormal(0.0, 0.5, shape.experts)
    load = np.tile(base, (_MINUTES, 1))
    for start in range(20, _MINUTES - 10, 40):
        hot = rng.choice(shape.experts, 4, replace=False)
        load[start : start + 10, hot] *= 6
    return _trace("sudden peaks", load, _even_speed(shape))


def _straggler(shape: placement_lib.Shape, rng: Any) -> Trace:
    """One rank at a fifth of its speed for an hour."""
    base = rng.lognormal(0.0, 0.5, shape.experts)
    load = np.tile(base, (_MINUTES, 1))
    speed = _even_speed(shape)
    speed[60:120, int(rng.integers(shape.ranks))] = 0.2
    return _trace("one straggler", load, speed)


def _even_speed(shape: placement_lib.Shape) -> Any:
    return np.ones((_MINUTES, shape.ranks))


def _trace(name: str, load: Any, speed: Any) -> Trace:
    return Trace(name, load.tolist(), speed.tolist())


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a policy came to on a trace.

    Attributes:
        skew_p50: Median step-time skew, the largest over the mean rank time.
        skew_p95: 95th percentile of it.
        bound_p50: Median step time over the bound that none can beat.
        delayed_s_per_h: Work delayed by moves, seconds an hour.
        moves_per_h: Moves an hour.
        plan_p95_s: 95th percentile of the time of one decision.
    """

    skew_p50: float
    skew_p95: float
    bound_p50: float
    delayed_s_per_h: float
    moves_per_h: float
    plan_p95_s: float


class Policy(Protocol):
    """Decides once a minute whether to move."""

    def decide(
        self,
        current: placement_lib.Placement,
        watched: popularity_lib.Popularity,
        shape: placement_lib.Shape,
        minute: int,
    ) -> placement_lib.Placement | None:
        """Returns a new placement, or None to stay."""


class Never:
    """Leaves the even spread, a baseline."""

    __slots__ = ()

    def decide(
        self,
        current: placement_lib.Placement,
        watched: popularity_lib.Popularity,
        shape: placement_lib.Shape,
        minute: int,
    ) -> placement_lib.Placement | None:
        """Returns None."""
        return None


class Always:
    """Plans anew every minute, a baseline."""

    __slots__ = ()

    def decide(
        self,
        current: placement_lib.Placement,
        watched: popularity_lib.Popularity,
        shape: placement_lib.Shape,
        minute: int,
    ) -> placement_lib.Placement | None:
        """Returns a plan from nothing."""
        return placement_lib.plan(watched.load, watched.speed, shape)


class Declared:
    """The project's decision with weights that operators declare."""

    __slots__ = ("_group", "_horizon")

    def __init__(self, group: objects.Group) -> None:
        """Prepares.

        Args:
            group: The declared group.
        """
        self._group = group
        self._horizon = rebalance.Horizon(_HORIZON_S, 0.0)

    def decide(
        self,
        current: placement_lib.Placement,
        watched: popularity_lib.Popularity,
        shape: placement_lib.Shape,
        minute: int,
    ) -> placement_lib.Placement | None:
        """Returns a placement that is worth its cost, or None."""
        now_s = minute * _MINUTE_S
        self._horizon.on_kept(now_s)
        move = rebalance.choose_move(
            current,
            watched.load,
            watched.speed,
            shape,
            rebalance.Preference(
                self._group.skew_weight,
                self._group.cost_weight,
                horizon_s=self._horizon.expected_s,
                is_in_quiet_window=any(
                    selectors.is_minute_in_window(
                        _START_MINUTE + minute, window
                    )
                    for window in self._group.quiet_windows
                ),
            ),
            _COSTS,
        )
        if move is None:
            return None
        self._horizon.on_moved(now_s)
        return move.placement


def _group(
    skew_weight: float, cost_weight: float, windows: list[str]
) -> objects.Group:
    return objects.Group(
        name="bench",
        ranks=1,
        experts=1,
        slots_per_rank=1,
        skew_weight=skew_weight,
        cost_weight=cost_weight,
        quiet_windows=windows,
    )


POLICIES: dict[str, Callable[[], Policy]] = {
    "never": Never,
    "always": Always,
    "kelantan (skew 5, cost 1)": lambda: Declared(_group(5.0, 1.0, [])),
    "kochi (skew 1, cost 5, quiet)": lambda: Declared(
        _group(1.0, 5.0, ["11:00-11:15"])
    ),
}


def follow(
    trace: Trace, shape: placement_lib.Shape, policy: Policy, seed: int
) -> Outcome:
    """Runs a policy over a trace.

    Args:
        trace: What happens.
        shape: Size of the group.
        policy: Decides once a minute.
        seed: Seed of the noise in what is observed.
    """
    rng = np.random.default_rng(seed)
    watched = popularity_lib.Popularity(shape, _TIME_CONSTANT_S)
    current = placement_lib.spread_evenly(shape)
    skews, over_bound, times = [], [], []
    delayed_s = 0.0
    moves = 0
    for minute, (load, speed) in enumerate(_minutes(trace)):
        started_s = time.perf_counter()
        wanted = policy.decide(current, watched, shape, minute)
        times.append(time.perf_counter() - started_s)
        if wanted is not None:
            loads = placement_lib.count_new_replicas(current, wanted)
            moves += loads > 0
            if loads > 0:
                delayed_s += rebalance.delay_s(loads, _COSTS)
            current = wanted
        rank_times = placement_lib.rank_times(current, load, speed)
        skews.append(placement_lib.skew(rank_times))
        bound = placement_lib.min_step_time(load, speed)
        over_bound.append(float(rank_times.max()) / bound)
        counts = rng.poisson(load / load.sum() * _TOKENS_PER_MINUTE)
        noisy_speed = speed * rng.normal(1.0, 0.02, shape.ranks)
        watched.observe(counts.astype(float), noisy_speed, _MINUTE_S)
    hours = len(trace.load) / 60
    return Outcome(
        report.percentile(skews, 0.5),
        report.percentile(skews, 0.95),
        report.percentile(over_bound, 0.5),
        delayed_s / hours,
        moves / hours,
        report.percentile(times, 0.95),
    )


def _minutes(trace: Trace) -> Iterator[tuple[Any, Any]]:
    for load, speed in zip(trace.load, trace.speed, strict=True):
        yield np.array(load), np.array(speed)


def run(
    seeds: list[int], trace: Trace | None, folder: str | None
) -> list[report.Result]:
    """Runs all policies on all traces and sizes.

    Args:
        seeds: Seeds of traces and noise.
        trace: A user's own trace instead of the seeded ones, or None.
        folder: Where plots go, or None.
    """
    results = []
    for shape in _shapes(trace):
        rows: list[list[Any]] = []
        medians: dict[str, dict[str, float]] = {name: {} for name in POLICIES}
        for make in (_drift, _peaks, _straggler):
            for name, make_policy in POLICIES.items():
                found = []
                title = ""
                for seed in seeds:
                    rng = np.random.default_rng(seed)
                    used = trace if trace is not None else make(shape, rng)
                    title = used.name
                    found.append(follow(used, shape, make_policy(), seed))
                rows.append([title, name, *_cells(found)])
                skew = report.percentile([f.skew_p50 for f in found], 0.5)
                medians[name][title] = skew
            if trace is not None:
                break
        report.plot_bars(
            folder,
            f"experts-{shape.ranks}",
            f"Median step-time skew, {shape.ranks} ranks",
            "largest over mean rank time",
            medians,
        )
        results.append(
            report.Result(
                f"{shape.ranks} ranks, {shape.experts} experts a layer, "
                f"{shape.slots} slots a rank, {_MINUTES} minutes",
                _HEADER,
                rows,
                [f"Seeds {seeds}: median (least-most)."],
            )
        )
    return results


_HEADER = (
    "trace",
    "policy",
    "skew p50",
    "skew p95",
    "step over bound p50",
    "delayed s/h",
    "moves/h",
    "decision p95 ms",
)


def _shapes(trace: Trace | None) -> tuple[placement_lib.Shape, ...]:
    if trace is None:
        return _SHAPES
    ranks, experts = len(trace.speed[0]), len(trace.load[0])
    slots = max(2, -(-2 * experts // ranks))
    return (placement_lib.Shape(ranks, experts, slots),)


def _cells(found: list[Outcome]) -> list[str]:
    return [
        report.spread([each.skew_p50 for each in found]),
        report.spread([each.skew_p95 for each in found]),
        report.spread([each.bound_p50 for each in found]),
        report.spread([each.delayed_s_per_h for each in found]),
        report.spread([each.moves_per_h for each in found], 1),
        report.spread([each.plan_p95_s * 1000 for each in found], 1),
    ]
