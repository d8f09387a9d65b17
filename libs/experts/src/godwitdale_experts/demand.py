"""Estimate of the demand for each expert, from the counts of one rank.

The hottest expert of a set of layers changes within seconds, and all ranks see
the same demand at the same time. The estimate therefore uses recent readings of
one rank: its counts over the last second say more about the present demand than
the counts of all ranks over ten seconds.

A shift of the demand within an interval between two readings mixes both demands
in the counts of that interval. Where demand is followed, an interval that
differs from the interval before it is therefore not used, unless the next one
differs again; and similar intervals are added up for a time.
"""

from collections.abc import Sequence
import dataclasses
import math

from godwitdale_experts import replication

# Counts over a longer interval say too little about the present demand.
_MAX_INTERVAL_S = 2.5
# Mean number of choices per expert below which the counts are not used.
_MIN_CHOICES_PER_EXPERT = 20
# Two intervals show the same demand if what they were counted from correlates
# more than this, as a mean over the sets.
_SAME_DEMAND_CORRELATION = 0.8
# Similar intervals are added up over this time.
_SPAN_S = 1.0
# Time that a demand lasts until shifts have been observed, and its bounds.
_LASTING_S = 4.0
_MIN_LASTING_S = 2.0
_MAX_LASTING_S = 10.0
# Weight of the latest time between two shifts in the mean.
_LASTING_WEIGHT = 0.3
# A demand that was known before a group formed again is used for this long.
_MAX_AGE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Reading:
    rank: str
    choices: Sequence[int]
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Interval:
    """Choices between two readings.

    Attributes:
        counts: Number of choices of each expert.
        at_s: Time of the latter reading.
        is_mixed: Whether the demand has shifted within the interval.
    """

    counts: list[int]
    at_s: float
    is_mixed: bool = False


class DemandEstimator:
    """Estimates the demand from successive readings of a rank's counts.

    Attributes:
        lasting_s: Mean time between shifts of the demand.
    """

    __slots__ = (
        "lasting_s",
        "_experts",
        "_intervals",
        "_is_following",
        "_last",
        "_latest",
        "_min_choices",
        "_sets",
        "_shifted_s",
    )

    def __init__(
        self,
        sets: int,
        experts: int,
        min_choices: int = _MIN_CHOICES_PER_EXPERT,
        is_following: bool = False,
    ) -> None:
        """Initializes the estimator without a reading.

        Args:
            sets: Number of sets of layers.
            experts: Number of experts in a set.
            min_choices: Mean number of choices per expert below which the
                counts are not used.
            is_following: Whether shifts of the demand are looked for.
        """
        self.lasting_s = _LASTING_S
        self._sets = sets
        self._experts = experts
        self._min_choices = min_choices
        self._is_following = is_following
        self._last: _Reading | None = None
        # Similar intervals, the latest last.
        self._intervals: list[_Interval] = []
        self._shifted_s: float | None = None
        self._latest: tuple[list[list[float]], float] | None = None

    def latest(self, now_s: float) -> list[list[float]] | None:
        """Returns the latest demand, or None if it is too old.

        Args:
            now_s: Current time.
        """
        if self._latest is None or now_s - self._latest[1] > _MAX_AGE_S:
            return None
        return self._latest[0]

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
        if sum(counts) < self._min_choices * len(counts):
            if self._is_following and now_s - last.at_s < _SPAN_S:
                self._last = last  # The interval goes on.
            return None
        if self._is_following and not self._add_interval(counts, now_s):
            return None
        if self._is_following:
            counts = [
                sum(each)
                for each in zip(
                    *(each.counts for each in self._intervals), strict=True
                )
            ]
        shares = [
            replication.smoothed_shares(each) for each in self._by_set(counts)
        ]
        self._latest = (shares, now_s)
        return shares

    def _by_set(self, counts: list[int]) -> list[list[int]]:
        return [
            counts[begin : begin + self._experts]
            for begin in range(0, len(counts), self._experts)
        ]

    def _add_interval(self, counts: list[int], now_s: float) -> bool:
        """Adds an interval; returns whether the demand is known now."""
        previous = self._intervals[-1] if self._intervals else None
        if previous is None or self._is_same(previous.counts, counts):
            self._intervals = [
                each
                for each in self._intervals
                if not each.is_mixed and now_s - each.at_s <= _SPAN_S
            ]
            self._intervals.append(_Interval(counts, now_s))
            return True
        is_mixed = not previous.is_mixed
        self._intervals = [_Interval(counts, now_s, is_mixed)]
        if is_mixed:
            self._on_shift(now_s)
        return not is_mixed

    def _on_shift(self, now_s: float) -> None:
        if self._shifted_s is not None:
            lasted_s = min(
                max(now_s - self._shifted_s, _MIN_LASTING_S), _MAX_LASTING_S
            )
            self.lasting_s += _LASTING_WEIGHT * (lasted_s - self.lasting_s)
        self._shifted_s = now_s

    def _is_same(self, first: list[int], second: list[int]) -> bool:
        """Tells whether the counts of two intervals show the same demand."""
        correlations = map(
            _correlation, self._by_set(first), self._by_set(second)
        )
        return sum(correlations) > _SAME_DEMAND_CORRELATION * self._sets


def _correlation(first: list[int], second: list[int]) -> float:
    """Returns the correlation of the demands that two counts come from.

    The counts of a short interval vary by chance, with a variance that is equal
    to their mean. That variance is not part of the demand. The result is 1 if
    one of the counts varies no more than by chance.
    """
    first_mean = sum(first) / len(first)
    second_mean = sum(second) / len(second)
    first_square = second_square = product = 0.0
    for first_count, second_count in zip(first, second, strict=True):
        first_off = first_count - first_mean
        second_off = second_count - second_mean
        first_square += first_off * first_off
        second_square += second_off * second_off
        product += first_off * second_off
    first_square -= first_mean * len(first)
    second_square -= second_mean * len(second)
    if first_square <= 0 or second_square <= 0:
        return 1.0
    return product / math.sqrt(first_square * second_square)
