"""One connection to an endpoint; one exchange runs on it at a time."""

from collections.abc import Callable
import dataclasses
import socket
from typing import Any
from typing import Protocol

import h11
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure

from godwitdale_http import headers as headers_lib

# An endpoint that does not acknowledge bytes for this long is taken as cut
# off; one retransmission of a lost packet fits in.
_UNACKNOWLEDGED_MS = 1500
# Shortest idle time and interval that Linux takes for keep-alive probes.
_PROBE_S = 1
# Largest head of an answer.
_MOST_HEAD_BYTES = 65536


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request for an endpoint.

    Attributes:
        method: HTTP method.
        target: Path and query as they go on the wire.
        headers: Names in lower case; ``Host`` included, framing not.
        body: The whole body.
        is_own_answer: Tells by the headers whether an answer belongs to this
            request; a late answer to an earlier one is skipped.
    """

    method: bytes
    target: bytes
    headers: headers_lib.Headers
    body: bytes
    is_own_answer: Callable[[headers_lib.Headers], bool]


class AnswerReceiver(Protocol):
    """Takes an answer as it arrives."""

    def on_answer_head(self, status: int, headers: headers_lib.Headers) -> None:
        """Takes status and headers."""

    def on_answer_data(self, data: bytes) -> None:
        """Takes a part of the body."""

    def on_answer_end(self) -> None:
        """The answer is complete."""

    def on_answer_failed(self, detail: str) -> None:
        """The channel broke before the answer was complete."""


class Channel(protocol.Protocol):
    """An HTTP/1.1 client connection.

    Attributes:
        is_open: Whether the connection stands.
        is_reusable: Whether another exchange may run on it.
        idle_since_s: When the last exchange ended.
        keep_alive_s: How long the endpoint keeps it open idle, or None where
            it has not said so.
    """

    transport: Any

    def __init__(self, clock: Any) -> None:
        """Prepares a connection.

        Args:
            clock: A Twisted ``IReactorTime``.
        """
        self.is_open = False
        self.is_reusable = True
        self.idle_since_s = clock.seconds()
        self.keep_alive_s: float | None = None
        self._clock = clock
        self._http = _connection()
        self._outgoing: OutgoingRequest | None = None
        self._taker: AnswerReceiver | None = None
        self._skipping = False

    def connectionMade(self) -> None:  # noqa: N802
        """Makes a silent connection show itself."""
        self.is_open = True
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        raw = self.transport.getHandle()
        for option, value in (
            (socket.TCP_KEEPIDLE, _PROBE_S),
            (socket.TCP_KEEPINTVL, _PROBE_S),
            (socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
        ):
            raw.setsockopt(socket.IPPROTO_TCP, option, value)

    def send_request(
        self, outgoing: OutgoingRequest, taker: AnswerReceiver
    ) -> None:
        """Sends a request; the answer goes to the taker.

        Args:
            outgoing: The request.
            taker: Takes the answer.
        """
        self._outgoing = outgoing
        self._taker = taker
        self.transport.write(self._encode(outgoing))

    def abort(self) -> None:
        """Resets the connection, so that the endpoint stops its work."""
        self._taker = None
        self.is_reusable = False
        if self.is_open:
            self.transport.abortConnection()

    def close(self) -> None:
        """Closes an idle connection."""
        self.is_reusable = False
        if self.is_open:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Takes bytes from the endpoint."""
        if self._taker is None:
            # Bytes that nobody asked for belong to no request.
            self.abort()
            return
        self._http.receive_data(data)
        self._pump()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Ends an answer without length, or tells that it broke off."""
        self.is_open = False
        self.is_reusable = False
        if self._taker is None:
            return
        if reason.check(error.ConnectionDone):
            self._http.receive_data(b"")
            self._pump()
        if self._taker is not None:
            self._break(reason.getErrorMessage())

    def _encode(self, outgoing: OutgoingRequest) -> bytes:
        headers = outgoing.headers
        has_body = bool(outgoing.body) or outgoing.method not in (
            b"GET",
            b"HEAD",
            b"DELETE",
        )
        if has_body:
            headers = [
                *headers,
                (b"content-length", b"%d" % len(outgoing.body)),
            ]
        request = h11.Request(
            method=outgoing.method, target=outgoing.target, headers=headers
        )
        parts = [self._http.send(request)]
        if outgoing.body:
            parts.append(self._http.send(h11.Data(data=outgoing.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    def _pump(self) -> None:
        while self._taker is not None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as broken:
                self._break(f"not HTTP: {broken}")
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._take(event)

    def _take(self, event: Any) -> None:
        assert self._taker is not None
        if isinstance(event, h11.Response):
            self._take_head(event)
        elif isinstance(event, h11.Data):
            if not self._skipping:
                self._taker.on_answer_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._take_end()
        elif isinstance(event, h11.ConnectionClosed):
            self._break("closed without an answer")

    def _take_head(self, response: h11.Response) -> None:
        assert self._taker is not None and self._outgoing is not None
        headers = list(response.headers)
        if not self._outgoing.is_own_answer(headers):
            self._skipping = True
            return
        self.keep_alive_s = _keep_alive_s(headers)
        self._taker.on_answer_head(response.status_code, headers)

    def _take_end(self) -> None:
        if self._skipping:
            self._skip_to_next()
            return
        taker = self._taker
        self._taker = None
        self._outgoing = None
        self.idle_since_s = self._clock.seconds()
        self._prepare_next()
        assert taker is not None
        taker.on_answer_end()

    def _skip_to_next(self) -> None:
        """Reads on behind a late answer to an earlier request."""
        rest, is_closed = self._http.trailing_data
        if self._http.their_state is not h11.DONE or is_closed:
            self._break("only an answer to another request came")
            return
        self._skipping = False
        self._http = _connection()
        assert self._outgoing is not None
        self._encode(self._outgoing)  # It has been sent already.
        if rest:
            self._http.receive_data(rest)

    def _prepare_next(self) -> None:
        rest, is_closed = self._http.trailing_data
        is_done = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )
        if rest or is_closed or not is_done or not self.is_open:
            self.close()
            return
        self._http.start_next_cycle()

    def _break(self, detail: str) -> None:
        taker = self._taker
        self.abort()
        if taker is not None:
            taker.on_answer_failed(detail)


def _connection() -> h11.Connection:
    return h11.Connection(
        our_role=h11.CLIENT, max_incomplete_event_size=_MOST_HEAD_BYTES
    )


def _keep_alive_s(headers: headers_lib.Headers) -> float | None:
    value = headers_lib.first_value(headers, b"keep-alive") or b""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None
