"""Placement of expert replicas on the ranks of a group.

A placement is a 0/1 matrix of shape ``(ranks, experts)``. An expert's tokens
are split over its replicas in proportion to the speed of their ranks, so the
time of a rank in a step is ``sum(load of its experts / speed of all their
replicas)``, and the step takes as long as the slowest rank.
"""

import dataclasses
import heapq

import numpy as np
import numpy.typing as npt

Floats = npt.NDArray[np.float64]
Placement = npt.NDArray[np.int8]

_LEAST_LOAD = 1e-12
_STRAGGLER_SHARE = 0.7
_CANDIDATE_EXPERTS = 4
_CANDIDATE_RANKS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Size of a group.

    Attributes:
        ranks: Number of ranks.
        experts: Experts a layer.
        slots: Expert replicas that fit on a rank.
    """

    ranks: int
    experts: int
    slots: int


def rank_times(placement: Placement, load: Floats, speed: Floats) -> Floats:
    """Returns the time of each rank in a step.

    Args:
        placement: Shape ``(ranks, experts)``.
        load: Tokens for each expert, shape ``(experts,)``.
        speed: Tokens per unit of time of each rank, shape ``(ranks,)``.
    """
    replicas_speed = placement.T @ speed
    return placement @ (load / np.maximum(replicas_speed, _LEAST_LOAD))


def skew(times: Floats) -> float:
    """Returns the largest over the mean time of the ranks; at least 1."""
    mean = float(times.mean())
    return float(times.max()) / mean if mean > 0 else 1.0


def min_step_time(load: Floats, speed: Floats) -> float:
    """Returns a time that no placement can beat: perfectly even work.

    Args:
        load: Tokens for each expert, shape ``(experts,)``.
        speed: Speed of each rank, shape ``(ranks,)``.
    """
    return float(load.sum() / speed.sum())


def is_valid(placement: Placement, shape: Shape) -> bool:
    """Tells whether every expert has a replica and no rank is overfull."""
    has_all = bool((placement.sum(axis=0) >= 1).all())
    fits = bool((placement.sum(axis=1) <= shape.slots).all())
    return has_all and fits


def spread_evenly(shape: Shape) -> Placement:
    """Returns the placement of a group that knows no popularity yet.

    Args:
        shape: Size of the group; it needs at least one slot an expert.
    """
    placement = np.zeros((shape.ranks, shape.experts), dtype=np.int8)
    for slot in range(shape.ranks * shape.slots):
        # Each round over the experts is shifted by one, so that a rank does
        # not meet the same expert again.
        expert = (slot + slot // shape.experts) % shape.experts
        placement[slot % shape.ranks, expert] = 1
    return placement


def replica_counts(load: Floats, shape: Shape) -> npt.NDArray[np.int64]:
    """Gives each expert a number of replicas in proportion to its load.

    Every further replica goes to the expert whose replicas are busiest.

    Args:
        load: Tokens for each expert, shape ``(experts,)``.
        shape: Size of the group.
    """
    counts = np.ones(shape.experts, dtype=np.int64)
    heap = [(-float(each), expert) for expert, each in enumerate(load)]
    heapq.heapify(heap)
    left = shape.ranks * shape.slots - shape.experts
    while left > 0 and heap:
        _, expert = heapq.heappop(heap)
        if counts[expert] >= shape.ranks:
            continue
        counts[expert] += 1
        left -= 1
        heapq.heappush(heap, (-float(load[expert] / counts[expert]), expert))
    return counts


def plan(load: Floats, speed: Floats, shape: Shape) -> Placement:
    """Plans a placement from nothing.

    Stragglers get only further replicas of experts that the other ranks carry
    already: a replica on a slow rank takes few tokens, so that an expert that
    relied on it would hold back all the ranks that share it.

    Args:
        load: Tokens for each expert, shape ``(experts,)``.
        speed: Speed of each rank, shape ``(ranks,)``.
        shape: Size of the group.
    """
    is_slow = speed < _STRAGGLER_SHARE * float(np.median(speed))
    fast = np.flatnonzero(~is_slow)
    if len(fast) * shape.slots < shape.experts:
        return _plan_alike(load, speed, shape)
    placement = np.zeros((shape.ranks, shape.experts), dtype=np.int8)
    fast_shape = Shape(len(fast), shape.experts, shape.slots)
    placement[fast] = _plan_alike(load, speed[fast], fast_shape)
    for rank in np.flatnonzero(is_slow):
        _fill_straggler(placement, load, speed, shape, int(rank))
    return placement


def _fill_straggler(
    placement: Placement, load: Floats, speed: Floats, shape: Shape, rank: int
) -> None:
    """Gives a straggler the busiest experts that do not hold it back."""
    budget = float(rank_times(placement, load, speed).mean())
    replicas_speed = placement.T @ speed
    cost = load / (replicas_speed + speed[rank])
    for expert in np.argsort(-cost, kind="stable"):
        if placement[rank].sum() >= shape.slots:
            return
        if cost[expert] <= budget:
            placement[rank, expert] = 1
            budget -= float(cost[expert])


def _plan_alike(load: Floats, speed: Floats, shape: Shape) -> Placement:
    """Plans for ranks of about equal speed: replicate, largest first."""
    counts = replica_counts(load, shape)
    share = load / counts
    placement = np.zeros((shape.ranks, shape.experts), dtype=np.int8)
    times = np.zeros(shape.ranks)
    free = np.full(shape.ranks, shape.slots)
    for expert in np.argsort(-share, kind="stable"):
        for _ in range(int(counts[expert])):
            busy = (free <= 0) | (placement[:, expert] > 0)
            finish = times + share[expert] / speed
            rank = int(np.argmin(np.where(busy, np.inf, finish)))
            if busy[rank]:
                break
            placement[rank, expert] = 1
            times[rank] += share[expert] / speed[rank]
            free[rank] -= 1
    return _with_missing(placement, shape)


def _with_missing(placement: Placement, shape: Shape) -> Placement:
    """Gives a place to experts that found none beside the hotter ones."""
    for expert in np.flatnonzero(placement.sum(axis=0) == 0):
        replicas = placement.sum(axis=0)
        for rank in range(shape.ranks):
            spare = np.flatnonzero((placement[rank] > 0) & (replicas > 1))
            is_full = placement[rank].sum() >= shape.slots
            if is_full and len(spare) == 0:
                continue
            if is_full:
                placement[rank, spare[0]] = 0
            placement[rank, expert] = 1
            break
    return placement


def improve(
    placement: Placement,
    load: Floats,
    speed: Floats,
    shape: Shape,
    max_changes: int,
) -> Placement:
    """Improves a placement by few changes.

    Each change gives one replica of an expert of the slowest rank to the rank
    where it helps most, in place of one whose loss costs least there.

    Args:
        placement: What is in force, shape ``(ranks, experts)``.
        load: Tokens for each expert, shape ``(experts,)``.
        speed: Speed of each rank, shape ``(ranks,)``.
        shape: Size of the group.
        max_changes: Replicas that may be loaded anew.
    """
    current = placement.copy()
    best = float(rank_times(current, load, speed).max())
    for _ in range(max_changes):
        change = _best_change(current, load, speed, shape)
        if change is None or change[1] >= best:
            break
        current, best = change
    return current


def _best_change(
    placement: Placement, load: Floats, speed: Floats, shape: Shape
) -> tuple[Placement, float] | None:
    """Returns the best single change and the step time after it."""
    times = rank_times(placement, load, speed)
    slowest = int(times.argmax())
    replicas_speed = placement.T @ speed
    cost = load / np.maximum(replicas_speed, _LEAST_LOAD)
    held = np.flatnonzero(placement[slowest])
    hot = held[np.argsort(-cost[held], kind="stable")][:_CANDIDATE_EXPERTS]
    idle = np.argsort(times, kind="stable")[:_CANDIDATE_RANKS]
    best: tuple[Placement, float] | None = None
    for expert in hot:
        for rank in idle:
            if rank == slowest or placement[rank, expert]:
                continue
            changed = _place(placement, cost, int(rank), int(expert), shape)
            if changed is None:
                continue
            after = float(rank_times(changed, load, speed).max())
            if best is None or after < best[1]:
                best = (changed, after)
    return best


def _place(
    placement: Placement, cost: Floats, rank: int, expert: int, shape: Shape
) -> Placement | None:
    """Puts an expert on a rank, in place of its least useful replica."""
    changed = placement.copy()
    if changed[rank].sum() >= shape.slots:
        replicas = changed.sum(axis=0)
        spare = np.flatnonzero((changed[rank] > 0) & (replicas > 1))
        if len(spare) == 0:
            return None
        changed[rank, spare[int(np.argmin(cost[spare]))]] = 0
    changed[rank, expert] = 1
    return changed


def count_loads(old: Placement, new: Placement) -> int:
    """Returns how many replicas have to be loaded to get from old to new."""
    return int(((new - old) > 0).sum())
