"""Estimate of the demand for each expert, from the counts of one rank.

The hottest expert of a set of layers changes within seconds, and all ranks see
the same demand at the same time. The estimate therefore uses two recent
readings of one rank: its counts over the last second say more about the present
demand than the counts of all ranks over ten seconds.
"""

from collections.abc import Sequence
import dataclasses

from godwitdale_experts import replication

# Counts over a longer interval say too little about the present demand.
_MAX_INTERVAL_S = 2.5
# Mean number of choices per expert below which the counts are not used.
_MIN_CHOICES_PER_EXPERT = 20


@dataclasses.dataclass(frozen=True, slots=True)
class _Reading:
    rank: str
    choices: Sequence[int]
    at_s: float


class DemandEstimator:
    """Estimates the demand from two successive readings of a rank's counts."""

    __slots__ = ("_experts", "_last", "_sets")

    def __init__(self, sets: int, experts: int) -> None:
        """Initializes the estimator without a reading.

        Args:
            sets: Number of sets of layers.
            experts: Number of experts in a set.
        """
        self._sets = sets
        self._experts = experts
        self._last: _Reading | None = None

    def observe(
        self, rank: str, choices: Sequence[int], now_s: float
    ) -> list[list[float]] | None:
        """Adds a reading and returns the demand since the reading before it.

        Args:
            rank: Identifies the incarnation of the rank.
            choices: How often the rank has chosen each expert since it
                started, the experts of all sets in one sequence.
            now_s: Current time.

        Returns:
            For each set, the share of each expert in the tokens. None if the
            number of counts is wrong, if there is no recent earlier reading
            of this rank, or if the rank made too few choices in between.
        """
        if len(choices) != self._sets * self._experts:
            return None
        last = self._last
        self._last = _Reading(rank, choices, now_s)
        if last is None or last.rank != rank:
            return None
        if now_s - last.at_s > _MAX_INTERVAL_S:
            return None
        counts = [
            max(0, new - old)
            for new, old in zip(choices, last.choices, strict=True)
        ]
        if sum(counts) < _MIN_CHOICES_PER_EXPERT * len(counts):
            return None
        return [
            replication.smoothed_shares(counts[begin : begin + self._experts])
            for begin in range(0, len(counts), self._experts)
        ]
