"""Incremental planner that gives experts in demand further replicas.

All ranks of a group end an iteration together, and a few experts take most of
the tokens. The rank that is the only holder of the hottest expert then does
several times the mean work, and every iteration waits for this rank. Most
ranks have replica slots that the initial map leaves empty; a replica in such a
slot takes its share of the expert's tokens.

``placement`` makes better plans if it has enough time. This planner runs in a
process that forwards requests: it needs no numpy and makes one replica move
at a time, so that the caller can do other work between two moves.
"""

from collections.abc import Sequence
import dataclasses

# Moves are tried for up to this many experts of the slowest rank, and to this
# many of the least loaded ranks. The first move with enough gain is made
# without a comparison of all moves: the first candidate is nearly always the
# best.
_CANDIDATE_EXPERTS = 4
_CANDIDATE_RANKS = 4
# A move has to lower the sum of the ranks' times raised to this power. In this
# sum the slowest rank dominates. With the longest time alone as the measure,
# relieving one of two equally slow ranks would count as no gain.
_TIME_EXPONENT = 6
# Share by which a move has to lower that sum to be worth copying a replica.
_MIN_GAIN_SHARE = 0.15
# Share of all tokens that is assumed to be spread evenly, whatever was counted:
# the demand changes, and small counts say little about the cold experts.
_EVEN_SHARE = 0.1

# Experts of each rank in one set of layers, indexed by the number of the rank.
# The layers of a set share one placement of experts.
RankExperts = tuple[tuple[int, ...], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RankCapacity:
    """Number of replicas that a rank can hold and take.

    Attributes:
        replica_slots: Replicas that fit on a rank in each set of layers.
        max_new_replicas: New replicas of a set that a rank can take in one
            change.
    """

    replica_slots: int
    max_new_replicas: int


def smoothed_shares(counts: Sequence[float]) -> list[float]:
    """Returns the share of each expert in the tokens; no share is zero.

    Args:
        counts: How often each expert was chosen.
    """
    total = sum(counts)
    even = 1 / len(counts)
    if total <= 0:
        return [even] * len(counts)
    return [
        _EVEN_SHARE * even + (1 - _EVEN_SHARE) * each / total for each in counts
    ]


def rank_times(
    rank_experts: RankExperts, load: Sequence[float], slowdowns: Sequence[float]
) -> list[float]:
    """Returns the relative time that each rank takes for one set of layers.

    Args:
        rank_experts: Experts of each rank.
        load: Share of each expert in the tokens.
        slowdowns: Time of each rank as a multiple of a healthy rank's time.
    """
    replica_counts = _count_replicas(rank_experts, len(load))
    return [
        slowdown * sum(load[expert] / replica_counts[expert] for expert in held)
        for held, slowdown in zip(rank_experts, slowdowns, strict=True)
    ]


def skew(
    expert_map: Sequence[RankExperts],
    loads: Sequence[Sequence[float]],
    slowdowns: Sequence[float],
) -> float:
    """Returns the slowest rank's time relative to an even share of the work.

    The value is the mean over all sets of layers. An even share is the time of
    a rank if the work is spread evenly over ranks that are all healthy;
    ``placement.skew`` compares with the mean time of the ranks instead.

    Args:
        expert_map: For each set, the experts of each rank.
        loads: For each set, the share of each expert in the tokens; the shares
            of a set sum to 1.
        slowdowns: Time of each rank as a multiple of a healthy rank's time.
    """
    slowest = sum(
        max(rank_times(each, load, slowdowns))
        for each, load in zip(expert_map, loads, strict=True)
    )
    return slowest * len(slowdowns) / len(loads)


class Planner:
    """Plans replica moves in one set of layers, one move at a time.

    Attributes:
        replicas_to_copy: Number of replicas that have to be copied for the
            moves so far.
    """

    __slots__ = (
        "replicas_to_copy",
        "_initial",
        "_held",
        "_expert_load",
        "_slowdowns",
        "_replica_counts",
        "_capacity",
        "_rank_loads",
    )

    def __init__(
        self,
        rank_experts: RankExperts,
        load: Sequence[float],
        slowdowns: Sequence[float],
        capacity: RankCapacity,
    ) -> None:
        """Initializes the planner with the map in force.

        Args:
            rank_experts: Experts of each rank.
            load: Share of each expert in the tokens.
            slowdowns: Time of each rank as a multiple of a healthy rank's
                time.
            capacity: Capacity of each rank.
        """
        self.replicas_to_copy = 0
        self._initial = [frozenset(each) for each in rank_experts]
        self._held = [set(each) for each in rank_experts]
        self._expert_load = load
        self._slowdowns = slowdowns
        self._replica_counts = _count_replicas(rank_experts, len(load))
        self._capacity = capacity
        self._rank_loads = [
            sum(map(self._replica_share, held)) for held in rank_experts
        ]

    def make_move(self) -> bool:
        """Makes the next move; returns False if no move is worth its cost."""
        times = self._times()
        ranks = sorted(range(len(times)), key=times.__getitem__)
        slowest = ranks[-1]
        experts = sorted(
            self._held[slowest], key=self._replica_share, reverse=True
        )
        before = _time_sum(times)
        for expert in experts[:_CANDIDATE_EXPERTS]:
            if self._try_drop(expert, slowest, before):
                return True
            for rank in ranks[:_CANDIDATE_RANKS]:
                if self._try_move(expert, rank, before):
                    return True
        return False

    def rank_experts(self) -> RankExperts:
        """Returns the experts of each rank after the moves so far."""
        return tuple(tuple(sorted(each)) for each in self._held)

    def _times(self) -> list[float]:
        return [
            slowdown * load
            for load, slowdown in zip(
                self._rank_loads, self._slowdowns, strict=True
            )
        ]

    def _replica_share(self, expert: int) -> float:
        return self._expert_load[expert] / self._replica_counts[expert]

    def _try_drop(self, expert: int, rank: int, before: float) -> bool:
        """Removes a replica from a rank if that lowers the times enough."""
        if self._replica_counts[expert] < 2:
            return False
        self._remove(expert, rank)
        if _time_sum(self._times()) > before * (1 - _MIN_GAIN_SHARE):
            self._add(expert, rank)
            return False
        self.replicas_to_copy -= expert not in self._initial[rank]
        return True

    def _try_move(self, expert: int, rank: int, before: float) -> bool:
        """Adds a replica to a rank if that lowers the times enough."""
        if expert in self._held[rank] or not self._may_add(expert, rank):
            return False
        removed = None
        if len(self._held[rank]) >= self._capacity.replica_slots:
            removed = self._least_loaded_replica(rank)
            if removed is None:
                return False
            self._remove(removed, rank)
        self._add(expert, rank)
        if _time_sum(self._times()) > before * (1 - _MIN_GAIN_SHARE):
            self._remove(expert, rank)
            if removed is not None:
                self._add(removed, rank)
            return False
        self.replicas_to_copy += expert not in self._initial[rank]
        return True

    def _may_add(self, expert: int, rank: int) -> bool:
        """Returns whether a rank may take a replica in this change."""
        initial = self._initial[rank]
        new = len(self._held[rank] - initial)
        return expert in initial or new < self._capacity.max_new_replicas

    def _least_loaded_replica(self, rank: int) -> int | None:
        """Returns the expert with the smallest load that a rank can drop.

        Returns None if the rank holds no expert that has another replica.
        """
        droppable = [
            each for each in self._held[rank] if self._replica_counts[each] > 1
        ]
        return min(droppable, key=self._replica_share, default=None)

    def _add(self, expert: int, rank: int) -> None:
        self._add_share(expert, -1)
        self._held[rank].add(expert)
        self._replica_counts[expert] += 1
        self._add_share(expert, 1)

    def _remove(self, expert: int, rank: int) -> None:
        self._add_share(expert, -1)
        self._held[rank].discard(expert)
        self._replica_counts[expert] -= 1
        self._add_share(expert, 1)

    def _add_share(self, expert: int, sign: int) -> None:
        """Adds an expert's share to the load of its ranks, or subtracts it.

        Args:
            expert: Number of the expert.
            sign: 1 to add the share, -1 to subtract it.
        """
        if not self._replica_counts[expert]:
            return
        share = self._replica_share(expert)
        for rank, held in enumerate(self._held):
            if expert in held:
                self._rank_loads[rank] += sign * share


def _count_replicas(rank_experts: RankExperts, experts: int) -> list[int]:
    counts = [0] * experts
    for held in rank_experts:
        for expert in held:
            counts[expert] += 1
    return counts


def _time_sum(times: Sequence[float]) -> float:
    return sum(each**_TIME_EXPONENT for each in times)
