"""Histograms of durations by service class and client account."""

import collections
import dataclasses
import enum

from hdrh import histogram as hdr

_MAX_US = 3_600_000_000
_MIN_US = 10
_SIGNIFICANT_FIGURES = 2
_SIGNIFICANT_BITS = 8
_WORD_BYTES = 4
_US_PER_S = 1_000_000
_MS_PER_US = 0.001
_MAX_PENDING_VALUES = 10_000
# Name of the histograms into which the least used accounts are merged.
OTHER_ACCOUNTS = "(other)"


class Metric(enum.Enum):
    """Measured quantity. The value is its name in metrics."""

    FIRST_TOKEN = "time_to_first_token"
    BETWEEN_TOKENS = "time_between_tokens"
    TOTAL = "whole_time"
    QUEUE = "queue_time"
    STEP_SKEW = "step_time_skew"


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Summary of one histogram.

    Attributes:
        metric: Value of the ``Metric``.
        kind: ``class`` or ``account``.
        name: Name of the service class or the client account.
        count: Number of values.
        p50_ms: Median.
        p95_ms: 95th percentile.
        p99_ms: 99th percentile.
        max_ms: Largest value.
    """

    metric: str
    kind: str
    name: str
    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


def _new_histogram() -> hdr.HdrHistogram:
    return hdr.HdrHistogram(
        _MIN_US, _MAX_US, _SIGNIFICANT_FIGURES, word_size=_WORD_BYTES
    )


class Histograms:
    """Histograms by service class and by client account.

    The number of accounts is limited. When a new account exceeds the limit,
    the account with the fewest values is merged into ``OTHER_ACCOUNTS``.
    """

    __slots__ = ("_max_accounts", "_classes", "_accounts", "_pending")

    def __init__(self, max_accounts: int) -> None:
        """Creates an empty set of histograms.

        Args:
            max_accounts: Maximum number of accounts with histograms of their
                own.
        """
        self._max_accounts = max_accounts
        self._classes: dict[str, dict[Metric, hdr.HdrHistogram]] = {}
        self._accounts: dict[str, dict[Metric, hdr.HdrHistogram]] = {}
        self._pending: dict[tuple[Metric, str, str], list[float]] = {}

    def record(
        self, metric: Metric, service_class: str, account: str, value_s: float
    ) -> None:
        """Adds one value.

        Values are buffered until ``flush`` adds them to the histograms, because
        an entry may record one for every token of an answer.

        Args:
            metric: Measured quantity.
            service_class: Service class of the request.
            account: Client account of the request.
            value_s: Measured value.
        """
        key = (metric, service_class, account)
        pending = self._pending.get(key)
        if pending is None:
            pending = self._pending[key] = []
        pending.append(value_s)
        if len(pending) >= _MAX_PENDING_VALUES:
            self.flush()

    def flush(self) -> None:
        """Adds the buffered values to the histograms."""
        pending, self._pending = self._pending, {}
        for (metric, service_class, account), values_s in pending.items():
            if account not in self._accounts:
                self._merge_least_used()
            by_class = self._get_or_create(self._classes, service_class, metric)
            by_account = self._get_or_create(self._accounts, account, metric)
            for value_us, count in _count_rounded(values_s).items():
                by_class.record_value(value_us, count)
                by_account.record_value(value_us, count)

    def summaries(self) -> list[Summary]:
        """Returns a summary of every histogram."""
        self.flush()
        summaries = []
        for kind, table in (
            ("class", self._classes),
            ("account", self._accounts),
        ):
            for name in sorted(table):
                for metric, histogram in table[name].items():
                    summaries.append(_summarize(metric, kind, name, histogram))
        return summaries

    def _get_or_create(
        self,
        table: dict[str, dict[Metric, hdr.HdrHistogram]],
        name: str,
        metric: Metric,
    ) -> hdr.HdrHistogram:
        by_metric = table.setdefault(name, {})
        if metric not in by_metric:
            by_metric[metric] = _new_histogram()
        return by_metric[metric]

    def _merge_least_used(self) -> None:
        if len(self._accounts) < self._max_accounts:
            return
        candidates = [name for name in self._accounts if name != OTHER_ACCOUNTS]
        least_used = min(candidates, key=self._value_count)
        for metric, histogram in self._accounts.pop(least_used).items():
            self._get_or_create(self._accounts, OTHER_ACCOUNTS, metric).add(
                histogram
            )

    def _value_count(self, account: str) -> int:
        return sum(
            histogram.get_total_count()
            for histogram in self._accounts[account].values()
        )


def _count_rounded(values_s: list[float]) -> collections.Counter[int]:
    """Counts values after rounding them to the precision of a histogram."""
    counts: collections.Counter[int] = collections.Counter()
    for value_s in values_s:
        value_us = min(_MAX_US, max(_MIN_US, int(value_s * _US_PER_S)))
        # Keeps 8 significant bits, which is finer than two decimal digits.
        shift = max(0, value_us.bit_length() - _SIGNIFICANT_BITS)
        counts[value_us >> shift << shift] += 1
    return counts


def _summarize(
    metric: Metric, kind: str, name: str, histogram: hdr.HdrHistogram
) -> Summary:
    def percentile_ms(percentile: float) -> float:
        return histogram.get_value_at_percentile(percentile) * _MS_PER_US

    return Summary(
        metric.value,
        kind,
        name,
        histogram.get_total_count(),
        percentile_ms(50),
        percentile_ms(95),
        percentile_ms(99),
        histogram.get_max_value() * _MS_PER_US,
    )
