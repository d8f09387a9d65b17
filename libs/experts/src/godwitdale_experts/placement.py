"""Placement of expert replicas on the ranks of a group.

A placement is a 0/1 matrix of shape ``(ranks, experts)``. The tokens of an
expert are split over its replicas in proportion to the speed of their ranks.
The time of a rank in a step is therefore the sum, over its experts, of the
expert's load divided by the total speed of the ranks that hold the expert. A
step takes as long as its slowest rank.
"""

import dataclasses
import heapq

import numpy as np
import numpy.typing as npt

Floats = npt.NDArray[np.float64]
Placement = npt.NDArray[np.int8]

_MIN_SPEED = 1e-12  # Avoids a division by zero.
# Ranks below this share of the median speed are stragglers.
_STRAGGLER_SHARE = 0.7
# A change is tried for this many experts of the slowest rank, and on this many
# of the least busy ranks.
_CANDIDATE_EXPERTS = 4
_CANDIDATE_RANKS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Size of a group.

    Attributes:
        ranks: Number of ranks.
        experts: Number of experts per layer.
        slots: Number of expert replicas that fit on a rank.
    """

    ranks: int
    experts: int
    slots: int


def rank_times(placement: Placement, load: Floats, speed: Floats) -> Floats:
    """Returns the time of each rank in a step, shape ``(ranks,)``.

    Args:
        placement: The placement, shape ``(ranks, experts)``.
        load: Tokens for each expert, shape ``(experts,)``.
        speed: Tokens per unit of time of each rank, shape ``(ranks,)``.
    """
    replicas_speed = placement.T @ speed
    return placement @ (load / np.maximum(replicas_speed, _MIN_SPEED))


def skew(times: Floats) -> float:
    """Returns the ratio of the longest to the mean rank time; at least 1.

    Args:
        times: Time of each rank, shape ``(ranks,)``.
    """
    mean = float(times.mean())
    return float(times.max()) / mean if mean > 0 else 1.0


def min_step_time(load: Floats, speed: Floats) -> float:
    """Returns the step time for perfectly even work, a lower bound.

    Args:
        load: Tokens for each expert, shape ``(experts,)``.
        speed: Speed of each rank, shape ``(ranks,)``.
    """
    return float(load.sum() / speed.sum())


def is_valid(placement: Placement, shape: Shape) -> bool:
    """Returns whether all experts have a replica and no rank exceeds its slots.

    Args:
        placement: The placement, shape ``(ranks, experts)``.
        shape: Size of the group.
    """
    has_all = bool((placement.sum(axis=0) >= 1).all())
    fits = bool((placement.sum(axis=1) <= shape.slots).all())
    return has_all and fits


def spread_evenly(shape: Shape) -> Placement:
    """Returns the initial placement, before the experts' loads are known.

    Args:
        shape: Size of the group; it needs at least one slot per expert.
    """
    placement = np.zeros((shape.ranks, shape.experts), dtype=np.int8)
    for slot in range(shape.ranks * shape.slots):
        # Each round over the experts is shifted by one, so that a rank does
        # not get the same expert twice.
        expert = (slot + slot // shape.experts) % shape.experts
        placement[slot % shape.ranks, expert] = 1
    return placement


def replica_counts(load: Floats, shape: Shape) -> npt.NDArray[np.int64]:
    """Returns the number of replicas of each expert, shape ``(experts,)``.

    The numbers are in proportion to the loads: each further replica goes to
    the expert whose replicas have the highest load.

    Args:
        load: Tokens for each expert, shape ``(experts,)``.
        shape: Size of the group.
    """
    counts = np.ones(shape.experts, dtype=np.int64)
    heap = [(-float(each), expert) for expert, each in enumerate(load)]
    heapq.heapify(heap)
    unassigned = shape.ranks * shape.slots - shape.experts
    while unassigned > 0 and heap:
        _, expert = heapq.heappop(heap)
        if counts[expert] >= shape.ranks:
            continue
        counts[expert] += 1
        unassigned -= 1
        heapq.heappush(heap, (-float(load[expert] / counts[expert]), expert))
    return counts


def plan(load: Floats, speed: Floats, shape: Shape) -> Placement:
    """Returns a new placement, planned from scratch.

    Stragglers get only further replicas of experts that the other ranks hold
    already. A replica on a slow rank takes few tokens, so an expert that
    relies on it would slow down all other ranks that hold the expert.

    Args:
        load: Tokens for each expert, shape ``(experts,)``.
        speed: Speed of each rank, shape ``(ranks,)``.
        shape: Size of the group.
    """
    is_slow = speed < _STRAGGLER_SHARE * float(np.median(speed))
    fast = np.flatnonzero(~is_slow)
    if len(fast) * shape.slots < shape.experts:
        return _plan_greedily(load, speed, shape)
    placement = np.zeros((shape.ranks, shape.experts), dtype=np.int8)
    fast_shape = Shape(len(fast), shape.experts, shape.slots)
    placement[fast] = _plan_greedily(load, speed[fast], fast_shape)
    for rank in np.flatnonzero(is_slow):
        _fill_straggler(placement, load, speed, shape, int(rank))
    return placement


def _fill_straggler(
    placement: Placement, load: Floats, speed: Floats, shape: Shape, rank: int
) -> None:
    """Adds to a straggler the most loaded experts that it can serve in time.

    The straggler's time is limited to the mean rank time of the placement so
    far.
    """
    time_left = float(rank_times(placement, load, speed).mean())
    replicas_speed = placement.T @ speed
    cost = load / (replicas_speed + speed[rank])
    for expert in np.argsort(-cost, kind="stable"):
        if placement[rank].sum() >= shape.slots:
            return
        if cost[expert] <= time_left:
            placement[rank, expert] = 1
            time_left -= float(cost[expert])


def _plan_greedily(load: Floats, speed: Floats, shape: Shape) -> Placement:
    """Plans with all given ranks, without special treatment of stragglers.

    Replicas are placed in descending order of their load, each on the rank
    that finishes first with it.
    """
    counts = replica_counts(load, shape)
    share = load / counts
    placement = np.zeros((shape.ranks, shape.experts), dtype=np.int8)
    times = np.zeros(shape.ranks)
    free_slots = np.full(shape.ranks, shape.slots)
    for expert in np.argsort(-share, kind="stable"):
        for _ in range(int(counts[expert])):
            is_excluded = (free_slots <= 0) | (placement[:, expert] > 0)
            finish = times + share[expert] / speed
            rank = int(np.argmin(np.where(is_excluded, np.inf, finish)))
            if is_excluded[rank]:
                break
            placement[rank, expert] = 1
            times[rank] += share[expert] / speed[rank]
            free_slots[rank] -= 1
    return _add_missing_experts(placement, shape)


def _add_missing_experts(placement: Placement, shape: Shape) -> Placement:
    """Adds experts that got no slot because hotter experts took them all."""
    for expert in np.flatnonzero(placement.sum(axis=0) == 0):
        replicas = placement.sum(axis=0)
        for rank in range(shape.ranks):
            droppable = np.flatnonzero((placement[rank] > 0) & (replicas > 1))
            is_full = placement[rank].sum() >= shape.slots
            if is_full and len(droppable) == 0:
                continue
            if is_full:
                placement[rank, droppable[0]] = 0
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
    """Returns a placement that is improved by a few changes.

    Each change adds a replica of an expert of the slowest rank to the rank
    where this shortens the step most. If that rank is full, its least useful
    replica is removed.

    Args:
        placement: Placement in force, shape ``(ranks, experts)``.
        load: Tokens for each expert, shape ``(experts,)``.
        speed: Speed of each rank, shape ``(ranks,)``.
        shape: Size of the group.
        max_changes: Maximum number of replicas to add.
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
    """Returns the placement after the best single change, and its step time.

    Returns None if no change is possible.
    """
    times = rank_times(placement, load, speed)
    slowest = int(times.argmax())
    replicas_speed = placement.T @ speed
    cost = load / np.maximum(replicas_speed, _MIN_SPEED)
    held = np.flatnonzero(placement[slowest])
    hot = held[np.argsort(-cost[held], kind="stable")][:_CANDIDATE_EXPERTS]
    least_busy = np.argsort(times, kind="stable")[:_CANDIDATE_RANKS]
    best: tuple[Placement, float] | None = None
    for expert in hot:
        for rank in least_busy:
            if rank == slowest or placement[rank, expert]:
                continue
            changed = _add_replica(
                placement, cost, int(rank), int(expert), shape
            )
            if changed is None:
                continue
            after = float(rank_times(changed, load, speed).max())
            if best is None or after < best[1]:
                best = (changed, after)
    return best


def _add_replica(
    placement: Placement, cost: Floats, rank: int, expert: int, shape: Shape
) -> Placement | None:
    """Returns the placement with an expert added to a rank.

    If the rank is full, the expert replaces the rank's least useful replica.
    Returns None if no replica of the rank can be dropped.
    """
    changed = placement.copy()
    if changed[rank].sum() >= shape.slots:
        replicas = changed.sum(axis=0)
        droppable = np.flatnonzero((changed[rank] > 0) & (replicas > 1))
        if len(droppable) == 0:
            return None
        changed[rank, droppable[int(np.argmin(cost[droppable]))]] = 0
    changed[rank, expert] = 1
    return changed


def count_new_replicas(old: Placement, new: Placement) -> int:
    """Returns how many replicas a new placement has to fetch.

    Args:
        old: Placement in force, shape ``(ranks, experts)``.
        new: New placement, shape ``(ranks, experts)``.
    """
    return int(((new - old) > 0).sum())
