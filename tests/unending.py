"""A server in memory whose answers need not end, for tests of clients."""

from twisted.internet import task
from twisted.internet import testing

URL = "http://127.0.0.1:8000"
_BLOCK = b"x" * 65536


class Server:
    """Accepts the connection of a client that uses ``reactor``.

    Attributes:
        reactor: Reactor with a virtual clock.
    """

    def __init__(self):
        self.reactor = testing.MemoryReactorClock()
        self._transport = testing.StringTransportWithDisconnection()
        self._protocol = None
        self._is_chunked = False

    def cooperator(self):
        """Returns a cooperator for the clients' producers of requests."""
        return task.Cooperator(
            scheduler=lambda call: self.reactor.callLater(0.0, call)
        )

    def accept(self):
        """Accepts the only connection and receives its request."""
        ((_, _, factory, _, _),) = self.reactor.tcpClients
        self._protocol = factory.buildProtocol(None)
        self._transport.protocol = self._protocol
        self._protocol.makeConnection(self._transport)
        self.reactor.pump([0.0] * 8)

    def send_head(self, is_chunked, status=200):
        """Sends the head of an answer whose body has no declared length."""
        self._is_chunked = is_chunked
        framing = (
            b"Transfer-Encoding: chunked"
            if is_chunked
            else b"Connection: close"
        )
        self._protocol.dataReceived(
            b"HTTP/1.1 %d Status\r\n%b\r\n\r\n" % (status, framing)
        )

    def send(self, data):
        """Sends a part of the body unless the client has closed."""
        if not self._transport.connected:
            return
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._protocol.dataReceived(data)

    def send_until_closed(self, max_bytes):
        """Sends while the client reads; returns the bytes that were sent."""
        sent_bytes = 0
        while (
            self._transport.connected
            and self._transport.producerState == "producing"
            and sent_bytes < max_bytes
        ):
            self.send(_BLOCK)
            sent_bytes += len(_BLOCK)
        return sent_bytes

    def end(self):
        """Ends the body."""
        if self._is_chunked:
            self._protocol.dataReceived(b"0\r\n\r\n")
        else:
            self._transport.loseConnection()
