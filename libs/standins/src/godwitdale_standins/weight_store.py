"""A stand-in of the platform's rate-limited weight store."""

from typing import Any

import klein
import msgspec
from twisted.internet import reactor as default_reactor
from twisted.internet import task


class WeightFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Limits and faults of the store.

    Attributes:
        down: Every request is answered 503.
        bytes_per_s: Rate over all readers together.
        weight_bytes: Size of one expert's weights.
    """

    down: bool = False
    bytes_per_s: float = 1e9
    weight_bytes: int = 50_000_000


class WeightStore:
    """The service; ``GET /weights/NAME`` answers when the rate allows it.

    Attributes:
        faults: Limits and faults at the moment.
        served: Names of the weights served, in order.
    """

    app = klein.Klein()

    def __init__(self, reactor: Any = None) -> None:
        """Starts idle.

        Args:
            reactor: The Twisted reactor, or None for the default.
        """
        self.faults = WeightFaults()
        self.served: list[str] = []
        self._reactor = reactor or default_reactor
        self._free_at_s = 0.0

    @app.route("/faults", methods=["GET", "POST"])
    def set_faults(self, request: Any) -> bytes:
        """Shows or replaces limits and faults."""
        if request.method == b"POST":
            body = request.content.read()
            self.faults = msgspec.json.decode(body, type=WeightFaults)
        return msgspec.json.encode(self.faults)

    @app.route("/weights/<name>")
    async def get(self, request: Any, name: str) -> bytes:
        """Returns the size of some weights once their transfer would end."""
        if self.faults.down:
            request.setResponseCode(503)
            return b""
        now_s = self._reactor.seconds()
        took_s = self.faults.weight_bytes / self.faults.bytes_per_s
        self._free_at_s = max(now_s, self._free_at_s) + took_s
        await task.deferLater(
            self._reactor, self._free_at_s - now_s, lambda: None
        )
        self.served.append(name)
        return msgspec.json.encode({"bytes": self.faults.weight_bytes})
