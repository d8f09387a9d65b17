"""Histograms of times per service class and client account."""

import collections
import dataclasses
import enum

from hdrh import histogram as hdr

_MOST_US = 3_600_000_000
_LEAST_US = 10
_SIGNIFICANT_FIGURES = 2
_SIGNIFICANT_BITS = 8
_WORD_BYTES = 4
_US_PER_S = 1_000_000
_MS_PER_US = 0.001
_MOST_PENDING = 10_000
OTHER_ACCOUNTS = "(other)"


class Metric(enum.Enum):
    """What is measured."""

    FIRST_TOKEN = "time_to_first_token"
    BETWEEN_TOKENS = "time_between_tokens"
    TOTAL = "whole_time"
    QUEUE = "queue_time"
    STEP_SKEW = "step_time_skew"


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """A summary of one histogram.

    Attributes:
        metric: What is measured.
        kind: ``class`` or ``account``.
        name: Name of the class or the account.
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


def _new() -> hdr.HdrHistogram:
    return hdr.HdrHistogram(
        _LEAST_US, _MOST_US, _SIGNIFICANT_FIGURES, word_size=_WORD_BYTES
    )


class Histograms:
    """A bounded set of histograms.

    The first accounts seen have histograms of their own; when there are too
    many, the least used one is merged into ``OTHER_ACCOUNTS``.
    """

    __slots__ = ("_max_accounts", "_classes", "_accounts", "_pending")

    def __init__(self, max_accounts: int) -> None:
        """Starts empty.

        Args:
            max_accounts: Accounts with histograms of their own.
        """
        self._max_accounts = max_accounts
        self._classes: dict[str, dict[Metric, hdr.HdrHistogram]] = {}
        self._accounts: dict[str, dict[Metric, hdr.HdrHistogram]] = {}
        self._pending: dict[tuple[Metric, str, str], list[float]] = {}

    def record(
        self, metric: Metric, service_class: str, account: str, value_s: float
    ) -> None:
        """Adds one value.

        Values are gathered and counted by ``flush``, because there is one
        for every token.

        Args:
            metric: What was measured.
            service_class: The request's class.
            account: Its client account.
            value_s: The value.
        """
        key = (metric, service_class, account)
        pending = self._pending.get(key)
        if pending is None:
            pending = self._pending[key] = []
        pending.append(value_s)
        if len(pending) >= _MOST_PENDING:
            self.flush()

    def flush(self) -> None:
        """Counts the values that were gathered since the last call."""
        pending, self._pending = self._pending, {}
        for (metric, service_class, account), values_s in pending.items():
            if account not in self._accounts:
                self._make_room()
            by_class = self._find(self._classes, service_class, metric)
            by_account = self._find(self._accounts, account, metric)
            for value_us, count in _counted(values_s).items():
                by_class.record_value(value_us, count)
                by_account.record_value(value_us, count)

    def summaries(self) -> list[Summary]:
        """Returns a summary of every histogram."""
        self.flush()
        found = []
        for kind, table in (
            ("class", self._classes),
            ("account", self._accounts),
        ):
            for name in sorted(table):
                for metric, each in table[name].items():
                    found.append(_summary(metric, kind, name, each))
        return found

    def _find(
        self,
        table: dict[str, dict[Metric, hdr.HdrHistogram]],
        name: str,
        metric: Metric,
    ) -> hdr.HdrHistogram:
        by_metric = table.setdefault(name, {})
        if metric not in by_metric:
            by_metric[metric] = _new()
        return by_metric[metric]

    def _make_room(self) -> None:
        if len(self._accounts) < self._max_accounts:
            return
        candidates = [name for name in self._accounts if name != OTHER_ACCOUNTS]
        least = min(candidates, key=self._use_of)
        for metric, each in self._accounts.pop(least).items():
            self._find(self._accounts, OTHER_ACCOUNTS, metric).add(each)

    def _use_of(self, account: str) -> int:
        return sum(
            each.get_total_count() for each in self._accounts[account].values()
        )


def _counted(values_s: list[float]) -> collections.Counter[int]:
    """Rounds values as the histograms do and counts equal ones."""
    counted: collections.Counter[int] = collections.Counter()
    for value_s in values_s:
        value_us = min(_MOST_US, max(_LEAST_US, int(value_s * _US_PER_S)))
        # Keeps 8 significant bits, finer than two decimal digits.
        shift = max(0, value_us.bit_length() - _SIGNIFICANT_BITS)
        counted[value_us >> shift << shift] += 1
    return counted


def _summary(
    metric: Metric, kind: str, name: str, each: hdr.HdrHistogram
) -> Summary:
    def at(percentile: float) -> float:
        return each.get_value_at_percentile(percentile) * _MS_PER_US

    return Summary(
        metric.value,
        kind,
        name,
        each.get_total_count(),
        at(50),
        at(95),
        at(99),
        each.get_max_value() * _MS_PER_US,
    )
