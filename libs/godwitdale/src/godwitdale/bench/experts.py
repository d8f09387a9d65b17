"""Skew and cost of moving experts, against never and always moving.

The popularity of experts follows a seeded trace, or a trace that a user
declares in JSON. The decision code receives only noisy counts of the past
minute.
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
    """Popularity of experts and speed of ranks in each minute.

    Attributes:
        name: Name of the trace in the table.
        load: Relative popularity, one row per minute, one column per expert.
        speed: Relative speed, one row per minute, one column per rank.
    """

    name: str
    load: list[list[float]]
    speed: list[list[float]]


def _drift_trace(shape: placement_lib.Shape, rng: Any) -> Trace:
    """Returns a trace whose popular experts change within hours."""
    phase = rng.uniform(0, 2 * np.pi, shape.experts)
    rate = rng.uniform(0.3, 1.0, shape.experts) * 2 * np.pi / 180
    height = rng.lognormal(0.0, 0.7, shape.experts)
    minutes = np.arange(_MINUTES)[:, None]
    load = height * (1.2 + np.sin(phase + rate * minutes))
    return _make_trace("drift by the hour", load, _equal_speeds(shape))


def _peaks_trace(shape: placement_lib.Shape, rng: Any) -> Trace:
    """Returns a trace with sudden ten-minute peaks of some experts."""
    base = rng.lognormal(0.0, 0.5, shape.experts)
    load = np.tile(base, (_MINUTES, 1))
    for start in range(20, _MINUTES - 10, 40):
        hot = rng.choice(shape.experts, 4, replace=False)
        load[start : start + 10, hot] *= 6
    return _make_trace("sudden peaks", load, _equal_speeds(shape))


def _straggler_trace(shape: placement_lib.Shape, rng: Any) -> Trace:
    """Returns a trace with one rank at a fifth of its speed for an hour."""
    base = rng.lognormal(0.0, 0.5, shape.experts)
    load = np.tile(base, (_MINUTES, 1))
    speed = _equal_speeds(shape)
    speed[60:120, int(rng.integers(shape.ranks))] = 0.2
    return _make_trace("one straggler", load, speed)


def _equal_speeds(shape: placement_lib.Shape) -> Any:
    return np.ones((_MINUTES, shape.ranks))


def _make_trace(name: str, load: Any, speed: Any) -> Trace:
    return Trace(name, load.tolist(), speed.tolist())


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyResult:
    """Measurements of a policy on a trace.

    Attributes:
        skew_p50: Median step-time skew (largest rank time over the mean).
        skew_p95: 95th percentile of the step-time skew.
        bound_p50: Median ratio of the step time to its lower bound.
        delayed_s_per_h: Work that moves delay, in seconds per hour.
        moves_per_h: Moves per hour.
        plan_p95_s: 95th percentile of the duration of one decision.
    """

    skew_p50: float
    skew_p95: float
    bound_p50: float
    delayed_s_per_h: float
    moves_per_h: float
    plan_p95_s: float


class Policy(Protocol):
    """Decides once a minute whether to move experts."""

    def decide(
        self,
        current: placement_lib.Placement,
        estimate: popularity_lib.Popularity,
        shape: placement_lib.Shape,
        minute: int,
    ) -> placement_lib.Placement | None:
        """Returns a new placement, or None to keep the current one."""


class NeverMove:
    """Keeps the initial even placement; a baseline."""

    __slots__ = ()

    def decide(
        self,
        current: placement_lib.Placement,
        estimate: popularity_lib.Popularity,
        shape: placement_lib.Shape,
        minute: int,
    ) -> placement_lib.Placement | None:
        """Returns None."""
        return None


class AlwaysReplan:
    """Plans a new placement every minute; a baseline."""

    __slots__ = ()

    def decide(
        self,
        current: placement_lib.Placement,
        estimate: popularity_lib.Popularity,
        shape: placement_lib.Shape,
        minute: int,
    ) -> placement_lib.Placement | None:
        """Returns a placement planned without regard to the current one."""
        return placement_lib.plan(estimate.load, estimate.speed, shape)


class DeclaredGroup:
    """Decides as the system does, with the weights of a declared group."""

    __slots__ = ("_group", "_horizon")

    def __init__(self, group: objects.Group) -> None:
        """Creates a policy that has not moved any experts.

        Args:
            group: The declared group.
        """
        self._group = group
        self._horizon = rebalance.Horizon(_HORIZON_S, 0.0)

    def decide(
        self,
        current: placement_lib.Placement,
        estimate: popularity_lib.Popularity,
        shape: placement_lib.Shape,
        minute: int,
    ) -> placement_lib.Placement | None:
        """Returns a placement that is worth its cost, or None without one."""
        now_s = minute * _MINUTE_S
        self._horizon.on_kept(now_s)
        move = rebalance.choose_move(
            current,
            estimate.load,
            estimate.speed,
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
    "never": NeverMove,
    "always": AlwaysReplan,
    "kelantan (skew 5, cost 1)": lambda: DeclaredGroup(_group(5.0, 1.0, [])),
    "kochi (skew 1, cost 5, quiet)": lambda: DeclaredGroup(
        _group(1.0, 5.0, ["11:00-11:15"])
    ),
}


def simulate(
    trace: Trace, shape: placement_lib.Shape, policy: Policy, seed: int
) -> PolicyResult:
    """Simulates a policy on a trace.

    Args:
        trace: Popularity and speed in each minute.
        shape: Size of the group.
        policy: Policy that decides once a minute.
        seed: Seed of the noise in the observed counts and speeds.
    """
    rng = np.random.default_rng(seed)
    estimate = popularity_lib.Popularity(shape, _TIME_CONSTANT_S)
    current = placement_lib.spread_evenly(shape)
    skews, bound_ratios, decision_times_s = [], [], []
    delayed_s = 0.0
    moves = 0
    for minute, (load, speed) in enumerate(_iterate_minutes(trace)):
        started_s = time.perf_counter()
        planned = policy.decide(current, estimate, shape, minute)
        decision_times_s.append(time.perf_counter() - started_s)
        if planned is not None:
            loads = placement_lib.count_new_replicas(current, planned)
            moves += loads > 0
            if loads > 0:
                delayed_s += rebalance.delay_s(loads, _COSTS)
            current = planned
        rank_times = placement_lib.rank_times(current, load, speed)
        skews.append(placement_lib.skew(rank_times))
        bound = placement_lib.min_step_time(load, speed)
        bound_ratios.append(float(rank_times.max()) / bound)
        counts = rng.poisson(load / load.sum() * _TOKENS_PER_MINUTE)
        noisy_speed = speed * rng.normal(1.0, 0.02, shape.ranks)
        estimate.observe(counts.astype(float), noisy_speed, _MINUTE_S)
    hours = len(trace.load) / 60
    return PolicyResult(
        report.percentile(skews, 0.5),
        report.percentile(skews, 0.95),
        report.percentile(bound_ratios, 0.5),
        delayed_s / hours,
        moves / hours,
        report.percentile(decision_times_s, 0.95),
    )


def _iterate_minutes(trace: Trace) -> Iterator[tuple[Any, Any]]:
    for load, speed in zip(trace.load, trace.speed, strict=True):
        yield np.array(load), np.array(speed)


def run(
    seeds: list[int], trace: Trace | None, folder: str | None
) -> list[report.Result]:
    """Simulates all policies on all traces and group sizes.

    Args:
        seeds: Seeds of the traces and of the noise.
        trace: Trace to use instead of the seeded traces, or None.
        folder: Folder of the plots, or None to draw none.
    """
    results = []
    for shape in _shapes(trace):
        rows: list[list[Any]] = []
        medians: dict[str, dict[str, float]] = {name: {} for name in POLICIES}
        for make_trace in (_drift_trace, _peaks_trace, _straggler_trace):
            for name, make_policy in POLICIES.items():
                policy_results = []
                trace_name = ""
                for seed in seeds:
                    rng = np.random.default_rng(seed)
                    used_trace = (
                        trace if trace is not None else make_trace(shape, rng)
                    )
                    trace_name = used_trace.name
                    policy_results.append(
                        simulate(used_trace, shape, make_policy(), seed)
                    )
                rows.append([trace_name, name, *_cells(policy_results)])
                skew = report.percentile(
                    [result.skew_p50 for result in policy_results], 0.5
                )
                medians[name][trace_name] = skew
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


def _cells(policy_results: list[PolicyResult]) -> list[str]:
    return [
        report.format_median([result.skew_p50 for result in policy_results]),
        report.format_median([result.skew_p95 for result in policy_results]),
        report.format_median([result.bound_p50 for result in policy_results]),
        report.format_median(
            [result.delayed_s_per_h for result in policy_results]
        ),
        report.format_median(
            [result.moves_per_h for result in policy_results], 1
        ),
        report.format_median(
            [result.plan_p95_s * 1000 for result in policy_results], 1
        ),
    ]
