"""A stand-in for the platform's instance list, which lags behind."""

import collections
from typing import Any
import zlib

import klein
import msgspec
from twisted.internet import reactor as default_reactor


class InstanceListFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that the instance list injects.

    Attributes:
        lag_s: Age of the list that readers receive.
        frozen: Readers receive the list as it was at the last ``POST`` of
            faults.
        down: Every read is answered 503.
    """

    lag_s: float = 0.0
    frozen: bool = False
    down: bool = False


class InstanceList:
    """Serves the list; ``PUT`` and ``DELETE /instances/NAME`` change it.

    Attributes:
        faults: Faults that are injected now.
    """

    app = klein.Klein()

    def __init__(self, reactor: Any = None) -> None:
        """Creates an empty list.

        Args:
            reactor: The Twisted reactor, or None for the default.
        """
        self.faults = InstanceListFaults()
        self._reactor = reactor or default_reactor
        self._instances: dict[str, Any] = {}
        self._history: collections.deque[tuple[float, bytes]] = (
            collections.deque(maxlen=4096)
        )
        self._record_change()
        self._frozen_list = self._history[-1][1]

    @app.route("/faults", methods=["GET", "POST"])
    def set_faults(self, request: Any) -> bytes:
        """Returns the injected faults; ``POST`` replaces them first."""
        if request.method == b"POST":
            body = request.content.read()
            self.faults = msgspec.json.decode(body, type=InstanceListFaults)
            self._frozen_list = self._history[-1][1]
        return msgspec.json.encode(self.faults)

    @app.route("/instances/<name>", methods=["PUT"])
    def put(self, request: Any, name: str) -> bytes:
        """Adds or replaces an instance."""
        self.set_instance(msgspec.json.decode(request.content.read()))
        return b""

    @app.route("/instances/<name>", methods=["DELETE"])
    def delete(self, request: Any, name: str) -> bytes:
        """Removes an instance."""
        self._instances.pop(name, None)
        self._record_change()
        return b""

    @app.route("/instances")
    def get(self, request: Any) -> bytes:
        """Returns the list as it was ``lag_s`` ago."""
        if self.faults.down:
            request.setResponseCode(503)
            return b""
        visible = self._visible_list()
        etag = f'"{zlib.crc32(visible):08x}"'
        request.setHeader("ETag", etag)
        if request.getHeader("if-none-match") == etag:
            request.setResponseCode(304)
            return b""
        return visible

    def _visible_list(self) -> bytes:
        if self.faults.frozen:
            return self._frozen_list
        visible_at_s = self._reactor.seconds() - self.faults.lag_s
        visible = self._history[0][1]
        for changed_at_s, encoded in self._history:
            if changed_at_s <= visible_at_s:
                visible = encoded
        return visible

    def set_instance(self, instance: dict[str, Any]) -> None:
        """Adds or replaces an instance."""
        self._instances[instance["name"]] = dict(instance)
        self._record_change()

    def _record_change(self) -> None:
        encoded = msgspec.json.encode(list(self._instances.values()))
        self._history.append((self._reactor.seconds(), encoded))
