"""HTTP interface with the status and the readiness of a daemon."""

from collections.abc import Callable
from typing import Any

import klein
import msgspec
from twisted.web import server


class AdminApi:
    """Serves ``/ready`` and ``/status`` on the admin address.

    Its users are operators and the platform.
    """

    app = klein.Klein()

    def __init__(
        self,
        is_ready: Callable[[], bool],
        status: Callable[[], dict[str, Any]],
    ) -> None:
        """Creates the interface; it does not listen yet.

        Args:
            is_ready: Returns whether the daemon accepts new requests.
            status: Returns the document that ``/status`` serves.
        """
        self._is_ready = is_ready
        self._status = status

    def site(self) -> server.Site:
        """Returns the protocol factory of the HTTP server."""
        return server.Site(self.app.resource())

    @app.route("/ready")
    def ready(self, request: Any) -> bytes:
        """Answers 200 while the daemon accepts new requests, else 503."""
        is_ready = self._is_ready()
        request.setResponseCode(200 if is_ready else 503)
        return b"ready\n" if is_ready else b"not ready\n"

    @app.route("/status")
    def status(self, request: Any) -> bytes:
        """Answers with the status document as JSON."""
        request.setHeader("Content-Type", "application/json")
        return msgspec.json.encode(self._status())
