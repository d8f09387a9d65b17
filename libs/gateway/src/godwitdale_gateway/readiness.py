"""HTTP handler for readiness probes, metrics and explanations."""

from typing import Protocol

from godwitdale_http import callers
from godwitdale_routing import routes

_METRICS_TARGET = b"/metrics"
_EXPLAIN_PREFIX = b"/explain?"
# Readiness probes and metric requests have no body.
_LIMITS = routes.CallerLimits(body_bytes=0)


class StatusSource(Protocol):
    """A process that reports its readiness and metrics."""

    def is_ready(self) -> bool:
        """Returns whether the process accepts new connections."""

    def metrics(self) -> str:
        """Returns counters, gauges and histograms in Prometheus text format."""

    def explain(self, target: bytes) -> bytes:
        """Returns as JSON where a request would go now."""


class ReadinessHandler:
    """Answers the platform's readiness probes and serves metrics."""

    def __init__(self, gateway: StatusSource) -> None:
        """Creates a handler.

        Args:
            gateway: The process whose readiness and metrics are served.
        """
        self._gateway = gateway

    def limits(self) -> callers.RequestLimits:
        """Returns the limits for requests to this listener."""
        return _LIMITS

    def is_draining(self) -> bool:
        """Returns False: probe connections stay open during a drain."""
        return False

    def on_connect(self, channel: callers.CallerChannel) -> None:
        """Does nothing; connections to this listener are not tracked."""

    def on_disconnect(self, channel: callers.CallerChannel) -> None:
        """Does nothing; connections to this listener are not tracked."""

    def on_reject(self, reason: str) -> None:
        """Does nothing; only rejections of callers are counted."""

    def handle(
        self, incoming: callers.IncomingRequest, channel: callers.CallerChannel
    ) -> callers.ActiveRequest:
        """Serves ``/metrics`` and ``/explain``, else answers the readiness.

        The status is 200 while the process accepts new connections, else 503.
        """
        if incoming.target == _METRICS_TARGET:
            content_type = (b"content-type", b"text/plain; version=0.0.4")
            channel.send_answer(
                200, [content_type], self._gateway.metrics().encode()
            )
            return callers.NO_ACTIVE_REQUEST
        if incoming.target.startswith(_EXPLAIN_PREFIX):
            channel.send_answer(
                200,
                [(b"content-type", b"application/json")],
                self._gateway.explain(incoming.target),
            )
            return callers.NO_ACTIVE_REQUEST
        status = 200 if self._gateway.is_ready() else 503
        channel.send_answer(status, [], b"")
        return callers.NO_ACTIVE_REQUEST
