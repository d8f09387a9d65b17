"""Which experts are in demand, from the counts of one rank.

The hottest expert of a set changes within seconds, and all ranks see the same
demand at a moment, so that one rank's counts of the last second say more than
those of all ranks over ten.
"""

from collections.abc import Sequence
import dataclasses

from godwitdale_experts import replication

# Counts between two readings that lie further apart say too little of now.
_LONGEST_S = 2.5
# Choices for each expert of a set that make a reading worth something.
_LEAST_CHOICES = 20


@dataclasses.dataclass(frozen=True, slots=True)
class _Reading:
    rank: str
    chosen: Sequence[int]
    at_s: float


class DemandEstimator:
    """The choices between the last two readings of a rank."""

    __slots__ = ("_experts", "_last", "_sets")

    def __init__(self, sets: int, experts: int) -> None:
        """Starts without any reading.

        Args:
            sets: Sets of layers.
            experts: Experts in a set.
        """
        self._sets = sets
        self._experts = experts
        self._last: _Reading | None = None

    def observe(
        self, rank: str, chosen: Sequence[int], now_s: float
    ) -> list[list[float]] | None:
        """Takes a reading; returns, by set, the share of each expert.

        Args:
            rank: Names this life of the rank.
            chosen: Choices since the rank started, all sets in a row.
            now_s: The present time.

        Returns:
            None where there is no recent reading of this rank before it, or
            the rank has had too little to do in between.
        """
        if len(chosen) != self._sets * self._experts:
            return None
        last = self._last
        self._last = _Reading(rank, chosen, now_s)
        if last is None or last.rank != rank:
            return None
        if now_s - last.at_s > _LONGEST_S:
            return None
        counts = [
            max(0, new - old)
            for new, old in zip(chosen, last.chosen, strict=True)
        ]
        if sum(counts) < _LEAST_CHOICES * len(counts):
            return None
        return [
            replication.smoothed_shares(counts[begin : begin + self._experts])
            for begin in range(0, len(counts), self._experts)
        ]
