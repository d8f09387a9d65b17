"""A stand-in of the platform's lagging list of instances."""

import collections
from typing import Any
import zlib

import klein
import msgspec
from twisted.internet import reactor as default_reactor


class InstanceListFaults(msgspec.Struct, forbid_unknown_fields=True):
    """What goes wrong at the list.

    Attributes:
        lag_s: How old the list is that readers see.
        frozen: Readers see the list as it was when this was set.
        down: Every read is answered 503.
    """

    lag_s: float = 0.0
    frozen: bool = False
    down: bool = False


class InstanceList:
    """The service; ``PUT`` and ``DELETE /instances/NAME`` change the list.

    Attributes:
        faults: What goes wrong at the moment.
    """

    app = klein.Klein()

    def __init__(self, reactor: Any = None) -> None:
        """Starts empty.

        Args:
            reactor: The Twisted reactor, or None for the default.
        """
        self.faults = InstanceListFaults()
        self._reactor = reactor or default_reactor
        self._instances: dict[str, Any] = {}
        self._history: collections.deque[tuple[float, bytes]] = (
            collections.deque(maxlen=4096)
        )
        self._note()
        self._frozen = self._history[-1][1]

    @app.route("/faults", methods=["GET", "POST"])
    def set_faults(self, request: Any) -> bytes:
        """Shows or replaces the faults."""
        if request.method == b"POST":
            body = request.content.read()
            self.faults = msgspec.json.decode(body, type=InstanceListFaults)
            self._frozen = self._history[-1][1]
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
        self._note()
        return b""

    @app.route("/instances")
    def get(self, request: Any) -> bytes:
        """Returns the list as it was ``lag_s`` ago."""
        if self.faults.down:
            request.setResponseCode(503)
            return b""
        found = self._as_seen_now()
        tag = f'"{zlib.crc32(found):08x}"'
        request.setHeader("ETag", tag)
        if request.getHeader("if-none-match") == tag:
            request.setResponseCode(304)
            return b""
        return found

    def _as_seen_now(self) -> bytes:
        if self.faults.frozen:
            return self._frozen
        asked_s = self._reactor.seconds() - self.faults.lag_s
        found = self._history[0][1]
        for noted_s, listed in self._history:
            if noted_s <= asked_s:
                found = listed
        return found

    def set_instance(self, instance: dict[str, Any]) -> None:
        """Adds or replaces an instance."""
        self._instances[instance["name"]] = dict(instance)
        self._note()

    def _note(self) -> None:
        listed = msgspec.json.encode(list(self._instances.values()))
        self._history.append((self._reactor.seconds(), listed))
