"""Metrics that are sent to a statsd server."""

from typing import Protocol

import statsd


class Metrics(Protocol):
    """Destination of counters, timings and gauges."""

    def incr(self, name: str, count: int = 1) -> None:
        """Adds to a counter."""

    def timing(self, name: str, delta: float) -> None:
        """Records a time in milliseconds."""

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""


class NullMetrics:
    """Discards metrics, for a process without a statsd server."""

    __slots__ = ()

    def incr(self, name: str, count: int = 1) -> None:
        """Does nothing."""

    def timing(self, name: str, delta: float) -> None:
        """Does nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Does nothing."""


def connect(host: str | None, port: int, prefix: str) -> Metrics:
    """Returns the destination of metrics.

    Args:
        host: IP address of the statsd server, or None to discard metrics.
        port: UDP port of the server.
        prefix: Prefix of every metric name.
    """
    if host is None:
        return NullMetrics()
    return statsd.StatsClient(host=host, port=port, prefix=prefix)
