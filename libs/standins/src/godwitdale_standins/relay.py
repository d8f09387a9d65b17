"""A TCP relay that can silence, close or refuse the connections it carries.

``POST /routes`` with a target opens a port that forwards to that target.
``POST /silence`` stops forwarding data on all open connections but keeps them
open; new connections work. ``POST /cut`` closes all open connections.
``POST /refuse`` with ``true`` closes new connections at once, until a
``POST /refuse`` with ``false``.
"""

from typing import Any

import klein
import msgspec
from twisted.internet import protocol
from twisted.internet import reactor as default_reactor
from twisted.protocols import portforward
from twisted.python import failure


class _Target(msgspec.Struct):
    host: str
    port: int


class _RelayedConnection(portforward.ProxyServer):
    """A connection that the relay forwards to its target."""

    factory: "_RelayFactory"
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
        """Stops forwarding data in both directions."""
        self.is_silent = True
        peer: Any = self.peer
        if peer is not None:
            peer.dataReceived = lambda data: None


class _RelayFactory(portforward.ProxyFactory):
    """Creates relayed connections to one target."""

    protocol = _RelayedConnection
    noisy = False

    def __init__(self, relay: "Relay", host: str, port: int) -> None:
        super().__init__(host, port)
        self.relay = relay


class Relay:
    """Forwards TCP connections and disturbs them on request.

    Attributes:
        connections: Open connections.
        is_refusing: Whether new connections are closed at once.
    """

    app = klein.Klein()

    def __init__(self, reactor: Any = None) -> None:
        """Creates a relay without routes.

        Args:
            reactor: The Twisted reactor, or None for the default.
        """
        self.connections: set[_RelayedConnection] = set()
        self.is_refusing = False
        self._reactor = reactor or default_reactor

    @app.route("/routes", methods=["POST"])
    def add_route(self, request: Any) -> bytes:
        """Opens a port that forwards to the target in the body."""
        target = msgspec.json.decode(request.content.read(), type=_Target)
        factory: Any = _RelayFactory(self, target.host, target.port)
        port: Any = self._reactor.listenTCP(0, factory, interface="127.0.0.1")
        return msgspec.json.encode({"port": port.getHost().port})

    @app.route("/silence", methods=["POST"])
    def silence(self, request: Any) -> bytes:
        """Silences all open connections and returns their number."""
        for connection in self.connections:
            connection.silence()
        return str(len(self.connections)).encode()

    @app.route("/cut", methods=["POST"])
    def cut(self, request: Any) -> bytes:
        """Closes all open connections and returns their number."""
        connections = list(self.connections)
        for connection in connections:
            connection.transport.abortConnection()
        return str(len(connections)).encode()

    @app.route("/refuse", methods=["POST"])
    def refuse(self, request: Any) -> bytes:
        """Starts or stops refusing new connections."""
        self.is_refusing = msgspec.json.decode(request.content.read())
        return b""
