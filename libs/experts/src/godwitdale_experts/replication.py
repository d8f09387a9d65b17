"""Which experts get further replicas, in plain Python and in small pieces.

The load that this answers: all ranks of a group end a pass together, and a few
experts take most of the tokens. The rank that holds the hottest expert alone
then does several times the mean, and every pass waits for it. Most ranks have
places that the first map leaves empty; a replica there takes its share of the
expert's tokens.

``placement`` plans better where it may take its time. This planner runs in a
process that forwards requests: it needs no numpy, and it makes one move at a
time, so that the caller can do other work in between.
"""

from collections.abc import Sequence
import dataclasses

# Experts of the slowest rank, and of the ranks with the least to do, that are
# tried for a move; the first of them nearly always is the best.
_TRIED_EXPERTS = 4
_TRIED_RANKS = 4
# Power of the ranks' times whose sum a move has to lower: the slowest rank
# rules, and of two that are equally slow the first may be relieved first.
_POWER = 6
# Share of that sum which a move has to take away to be worth its copy.
_LEAST_GAIN = 0.15
# Share of all tokens that is taken to be spread evenly whatever was counted:
# what is in demand changes, and few counts say little of the cold experts.
_EVEN_SHARE = 0.1

# The experts of each rank in one set of layers, by number of the rank.
RankExperts = tuple[tuple[int, ...], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RankCapacity:
    """What fits on a rank.

    Attributes:
        replica_slots: Experts that a rank holds in each set.
        max_new_replicas: Experts of a set that a rank takes in one change.
    """

    replica_slots: int
    max_new_replicas: int


def smoothed_shares(counts: Sequence[float]) -> list[float]:
    """Returns the share of each expert in the tokens, never zero.

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
    holders: RankExperts, load: Sequence[float], paces: Sequence[float]
) -> list[float]:
    """Returns the work of each rank in one set of layers.

    Args:
        holders: The experts of each rank.
        load: Share of each expert in the tokens.
        paces: How many times longer each rank takes than a sound one.
    """
    replicas = _replicas(holders, len(load))
    return [
        pace * sum(load[expert] / replicas[expert] for expert in held)
        for held, pace in zip(holders, paces, strict=True)
    ]


def skew(
    holders: Sequence[RankExperts],
    loads: Sequence[Sequence[float]],
    paces: Sequence[float],
) -> float:
    """Returns the slowest rank's work over an even share, over all sets.

    Args:
        holders: By set, the experts of each rank.
        loads: By set, the share of each expert in the tokens.
        paces: How many times longer each rank takes than a sound one.
    """
    slowest = sum(
        max(rank_times(each, load, paces))
        for each, load in zip(holders, loads, strict=True)
    )
    return slowest * len(paces) / len(loads)


class Planner:
    """Moves replicas in one set of layers, one at a time.

    Attributes:
        replicas_to_copy: Replicas that have to be copied.
    """

    __slots__ = (
        "replicas_to_copy",
        "_base",
        "_held",
        "_load",
        "_paces",
        "_replicas",
        "_room",
        "_sums",
    )

    def __init__(
        self,
        holders: RankExperts,
        load: Sequence[float],
        paces: Sequence[float],
        room: RankCapacity,
    ) -> None:
        """Starts from the map in force.

        Args:
            holders: The experts of each rank.
            load: Share of each expert in the tokens.
            paces: How many times longer each rank takes than a sound one.
            room: What fits on a rank.
        """
        self.replicas_to_copy = 0
        self._base = [frozenset(each) for each in holders]
        self._held = [set(each) for each in holders]
        self._load = load
        self._paces = paces
        self._replicas = _replicas(holders, len(load))
        self._room = room
        self._sums = [sum(map(self._share, held)) for held in holders]

    def make_move(self) -> bool:
        """Makes the next move; returns whether any was worth it."""
        times = self._times()
        ranks = sorted(range(len(times)), key=times.__getitem__)
        slowest = ranks[-1]
        experts = sorted(self._held[slowest], key=self._share, reverse=True)
        before = _strain(times)
        for expert in experts[:_TRIED_EXPERTS]:
            if self._try_drop(expert, slowest, before):
                return True
            for rank in ranks[:_TRIED_RANKS]:
                if self._try_move(expert, rank, before):
                    return True
        return False

    def rank_experts(self) -> RankExperts:
        """Returns the map that the moves have led to."""
        return tuple(tuple(sorted(each)) for each in self._held)

    def _times(self) -> list[float]:
        return [
            pace * work
            for work, pace in zip(self._sums, self._paces, strict=True)
        ]

    def _share(self, expert: int) -> float:
        return self._load[expert] / self._replicas[expert]

    def _try_drop(self, expert: int, rank: int, before: float) -> bool:
        """Takes a replica from a rank that is too slow for it."""
        if self._replicas[expert] < 2:
            return False
        self._remove(expert, rank)
        if _strain(self._times()) > before * (1 - _LEAST_GAIN):
            self._add(expert, rank)
            return False
        self.replicas_to_copy -= expert not in self._base[rank]
        return True

    def _try_move(self, expert: int, rank: int, before: float) -> bool:
        if expert in self._held[rank] or not self._may_take(expert, rank):
            return False
        removed = None
        if len(self._held[rank]) >= self._room.replica_slots:
            removed = self._least_useful(rank)
            if removed is None:
                return False
            self._remove(removed, rank)
        self._add(expert, rank)
        if _strain(self._times()) > before * (1 - _LEAST_GAIN):
            self._remove(expert, rank)
            if removed is not None:
                self._add(removed, rank)
            return False
        self.replicas_to_copy += expert not in self._base[rank]
        return True

    def _may_take(self, expert: int, rank: int) -> bool:
        base = self._base[rank]
        new = len(self._held[rank] - base)
        return expert in base or new < self._room.max_new_replicas

    def _least_useful(self, rank: int) -> int | None:
        """Returns the replica that a rank misses least, or None."""
        spare = [each for each in self._held[rank] if self._replicas[each] > 1]
        return min(spare, key=self._share, default=None)

    def _add(self, expert: int, rank: int) -> None:
        self._reckon(expert, -1)
        self._held[rank].add(expert)
        self._replicas[expert] += 1
        self._reckon(expert, 1)

    def _remove(self, expert: int, rank: int) -> None:
        self._reckon(expert, -1)
        self._held[rank].discard(expert)
        self._replicas[expert] -= 1
        self._reckon(expert, 1)

    def _reckon(self, expert: int, sign: int) -> None:
        """Adds an expert's share to the ranks that hold it, or takes it."""
        if not self._replicas[expert]:
            return
        share = self._share(expert)
        for rank, held in enumerate(self._held):
            if expert in held:
                self._sums[rank] += sign * share


def _replicas(holders: RankExperts, experts: int) -> list[int]:
    counts = [0] * experts
    for held in holders:
        for expert in held:
            counts[expert] += 1
    return counts


def _strain(times: Sequence[float]) -> float:
    return sum(each**_POWER for each in times)
