"""A stand-in for the platform's rate-limited weight store."""

from typing import Any

import klein
import msgspec
from twisted.internet import reactor as default_reactor
from twisted.internet import task


class WeightFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Limits and faults that the store applies.

    Attributes:
        down: Every request is answered 503.
        bytes_per_s: Transfer rate that all readers share.
        weight_bytes: Size of the weights of one expert.
    """

    down: bool = False
    bytes_per_s: float = 1e9
    weight_bytes: int = 50_000_000


class WeightStore:
    """Serves ``GET /weights/NAME`` at a limited rate.

    Attributes:
        faults: Limits and faults that apply now.
        served: Names of the weights served, oldest first.
    """

    app = klein.Klein()

    def __init__(self, reactor: Any = None) -> None:
        """Creates an idle store.

        Args:
            reactor: The Twisted reactor, or None for the default.
        """
        self.faults = WeightFaults()
        self.served: list[str] = []
        self._reactor = reactor or default_reactor
        self._free_at_s = 0.0

    @app.route("/faults", methods=["GET", "POST"])
    def set_faults(self, request: Any) -> bytes:
        """Returns limits and faults; ``POST`` replaces them first."""
        if request.method == b"POST":
            body = request.content.read()
            self.faults = msgspec.json.decode(body, type=WeightFaults)
        return msgspec.json.encode(self.faults)

    @app.route("/weights/<name>")
    async def get(self, request: Any, name: str) -> bytes:
        """Returns the size of the weights when their transfer would end."""
        if self.faults.down:
            request.setResponseCode(503)
            return b""
        now_s = self._reactor.seconds()
        transfer_s = self.faults.weight_bytes / self.faults.bytes_per_s
        self._free_at_s = max(now_s, self._free_at_s) + transfer_s
        await task.deferLater(
            self._reactor, self._free_at_s - now_s, lambda: None
        )
        self.served.append(name)
        return msgspec.json.encode({"bytes": self.faults.weight_bytes})
