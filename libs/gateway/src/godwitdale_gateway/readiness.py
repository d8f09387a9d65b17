"""The listener that the platform and monitoring ask."""

from typing import Protocol

from godwitdale_http import callers
from godwitdale_routing import routes

_METRICS_TARGET = b"/metrics"
# Nobody has to send a body here.
_LIMITS = routes.CallerLimits(body_bytes=0)


class Status(Protocol):
    """What can be asked of a process."""

    def is_ready(self) -> bool:
        """Tells whether new connections are welcome."""

    def metrics(self) -> str:
        """Returns counters, present values and histograms as text."""


class ReadinessHandler:
    """Answers the platform's looks at readiness, and serves metrics."""

    def __init__(self, gateway: Status) -> None:
        """Serves the readiness of a gateway."""
        self._gateway = gateway

    def limits(self) -> callers.RequestLimits:
        """Returns bounds for the platform's requests."""
        return _LIMITS

    def is_draining(self) -> bool:
        """Keeps the connections of the platform."""
        return False

    def on_connect(self, channel: callers.CallerChannel) -> None:
        """Does not count connections."""

    def on_disconnect(self, channel: callers.CallerChannel) -> None:
        """Does not count connections."""

    def handle(
        self, incoming: callers.IncomingRequest, answer: callers.CallerChannel
    ) -> callers.ActiveRequest:
        """Answers 200 while new connections are welcome."""
        if incoming.target == _METRICS_TARGET:
            kind = (b"content-type", b"text/plain; version=0.0.4")
            answer.send_answer(200, [kind], self._gateway.metrics().encode())
            return callers.NO_ACTIVE_REQUEST
        status = 200 if self._gateway.is_ready() else 503
        answer.send_answer(status, [], b"")
        return callers.NO_ACTIVE_REQUEST
