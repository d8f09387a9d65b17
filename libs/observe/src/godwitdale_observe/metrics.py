"""Counters and timings over statsd."""

from typing import Protocol

import statsd


class Metrics(Protocol):
    """Where counters and timings go."""

    def incr(self, name: str, count: int = 1) -> None:
        """Adds to a counter."""

    def timing(self, name: str, delta: float) -> None:
        """Records a time in milliseconds."""

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""


class NullMetrics:
    """Metrics of a process without a statsd address."""

    __slots__ = ()

    def incr(self, name: str, count: int = 1) -> None:
        """Does nothing."""

    def timing(self, name: str, delta: float) -> None:
        """Does nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Does nothing."""


def connect(host: str | None, port: int, prefix: str) -> Metrics:
    """Returns where metrics go.

    Args:
        host: IP number of the statsd server, or None to discard.
        port: Its UDP port.
        prefix: Put in front of every name.
    """
    if host is None:
        return NullMetrics()
    return statsd.StatsClient(host=host, port=port, prefix=prefix)
