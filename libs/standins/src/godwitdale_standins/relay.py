"""A TCP relay that can lose track of the connections it carries.

``POST /routes`` with a target opens a port that leads there. ``POST /silence``
stops passing anything on connections that stand, and keeps them open; new
connections work. ``POST /cut`` closes all that stand. ``POST /refuse`` with
``true`` closes new connections at once, until it is told ``false``.
"""

from typing import Any

import klein
import msgspec
from twisted.internet import protocol
from twisted.internet import reactor as default_reactor
from twisted.protocols import portforward
from twisted.python import failure


class _Route(msgspec.Struct):
    host: str
    port: int


class _Incoming(portforward.ProxyServer):
    """One relayed connection."""

    factory: "_Factory"
    transport: Any
    is_silent = False

    def connectionMade(self) -> None:  # noqa: N802
        if self.factory.relay.is_refusing:
            self.transport.abortConnection()
            return
        self.factory.relay.connections.add(self)
        super().connectionMade()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self.is_silent:
            super().dataReceived(data)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        self.factory.relay.connections.discard(self)
        super().connectionLost(reason)

    def silence(self) -> None:
        """Passes nothing on any more, in either direction."""
        self.is_silent = True
        peer: Any = self.peer
        if peer is not None:
            peer.dataReceived = lambda data: None


class _Factory(portforward.ProxyFactory):
    """Makes relayed connections towards one target."""

    protocol = _Incoming
    noisy = False

    def __init__(self, relay: "Relay", host: str, port: int) -> None:
        super().__init__(host, port)
        self.relay = relay


class Relay:
    """The relay.

    Attributes:
        connections: Connections that stand.
        is_refusing: Whether new connections are closed at once.
    """

    app = klein.Klein()

    def __init__(self, reactor: Any = None) -> None:
        """Starts without routes.

        Args:
            reactor: The Twisted reactor, or None for the default.
        """
        self.connections: set[_Incoming] = set()
        self.is_refusing = False
        self._reactor = reactor or default_reactor

    @app.route("/routes", methods=["POST"])
    def add_route(self, request: Any) -> bytes:
        """Opens a port that leads to the target in the body."""
        target = msgspec.json.decode(request.content.read(), type=_Route)
        factory: Any = _Factory(self, target.host, target.port)
        port: Any = self._reactor.listenTCP(0, factory, interface="127.0.0.1")
        return msgspec.json.encode({"port": port.getHost().port})

    @app.route("/silence", methods=["POST"])
    def silence(self, request: Any) -> bytes:
        """Silences all connections that stand."""
        for each in self.connections:
            each.silence()
        return str(len(self.connections)).encode()

    @app.route("/cut", methods=["POST"])
    def cut(self, request: Any) -> bytes:
        """Closes all connections that stand."""
        cut = list(self.connections)
        for each in cut:
            each.transport.abortConnection()
        return str(len(cut)).encode()

    @app.route("/refuse", methods=["POST"])
    def refuse(self, request: Any) -> bytes:
        """Refuses new connections, or takes them again."""
        self.is_refusing = msgspec.json.decode(request.content.read())
        return b""
