"""Status and readiness of a daemon, for operators and the platform."""

from collections.abc import Callable
from typing import Any

import klein
import msgspec
from twisted.web import server


class AdminApi:
    """Serves ``/ready`` and ``/status`` on the admin address."""

    app = klein.Klein()

    def __init__(
        self,
        is_ready: Callable[[], bool],
        status: Callable[[], dict[str, Any]],
    ) -> None:
        """Prepares the interface.

        Args:
            is_ready: Tells whether new work is taken.
            status: Returns what ``godwitdale status`` shows.
        """
        self._is_ready = is_ready
        self._status = status

    def site(self) -> server.Site:
        """Returns the factory to listen with."""
        return server.Site(self.app.resource())

    @app.route("/ready")
    def ready(self, request: Any) -> bytes:
        """Answers 200 while new work is taken, else 503."""
        is_ready = self._is_ready()
        request.setResponseCode(200 if is_ready else 503)
        return b"ready\n" if is_ready else b"not ready\n"

    @app.route("/status")
    def status(self, request: Any) -> bytes:
        """Answers with the state of the daemon as JSON."""
        request.setHeader("Content-Type", "application/json")
        return msgspec.json.encode(self._status())
