"""Connections of callers: requests in, answers out."""

import dataclasses
from typing import Any
from typing import Protocol

import h11
from twisted.internet import protocol
from twisted.python import failure

from godwitdale_http import headers as headers_lib

# Time in which the rest of a refused request is read and dropped; closing
# with unread bytes would reset the connection under the answer.
_LINGER_S = 1.0
# Bytes of an answer kept for a caller that does not read.
_MOST_BACKLOG_BYTES = 1 << 20
# Bytes that a caller may send ahead of its turn.
_MOST_AHEAD_BYTES = 1 << 17


class RequestLimits(Protocol):
    """What a caller may send, and how long it may take."""

    @property
    def head_bytes(self) -> int:
        """Largest request line with headers."""

    @property
    def body_bytes(self) -> int:
        """Largest body."""

    @property
    def head_timeout_s(self) -> float:
        """Time for a whole head."""

    @property
    def idle_timeout_s(self) -> float:
        """Time without a request, or between parts of a body."""


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A whole request of a caller.

    Attributes:
        method: HTTP method.
        target: Path and query as they came.
        headers: Names in lower case, and values.
        body: The body.
        received_s: When its head was complete.
    """

    method: bytes
    target: bytes
    headers: headers_lib.Headers
    body: bytes
    received_s: float


class ActiveRequest(Protocol):
    """What becomes of a request."""

    def cancel(self) -> None:
        """The caller has gone."""


class RequestHandler(Protocol):
    """Serves the requests of all callers."""

    def limits(self) -> RequestLimits:
        """Returns the bounds in force."""

    def is_draining(self) -> bool:
        """Tells whether connections are closed after their next answer."""

    def handle(
        self, incoming: IncomingRequest, answer: "CallerChannel"
    ) -> ActiveRequest:
        """Begins to serve a request."""

    def on_connect(self, channel: "CallerChannel") -> None:
        """A caller has connected."""

    def on_disconnect(self, channel: "CallerChannel") -> None:
        """A connection is gone."""


class CallerChannel(protocol.Protocol):
    """One connection of a caller; one request is served at a time.

    Attributes:
        is_idle: Whether no request is in work or on its way in.
        is_answer_started: Whether part of the current answer was written.
    """

    transport: Any

    def __init__(self, handler: RequestHandler, clock: Any) -> None:
        """Prepares a connection.

        Args:
            handler: Serves the requests.
            clock: A Twisted ``IReactorTime``.
        """
        self.is_answer_started = False
        self._handler = handler
        self._clock = clock
        self._bounds = handler.limits()
        self._http = h11.Connection(
            our_role=h11.SERVER,
            max_incomplete_event_size=self._bounds.head_bytes,
        )
        self._request: h11.Request | None = None
        self._received_s = 0.0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._work: ActiveRequest | None = None
        self._timer: Any = None
        self._is_over = False
        self._has_bytes = False
        self._backlog_bytes: int | None = None

    @property
    def is_idle(self) -> bool:
        """Whether nothing is in work or on its way in."""
        return (
            self._work is None and self._request is None and not self._has_bytes
        )

    def connectionMade(self) -> None:  # noqa: N802
        """Waits for the first request."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._handler.on_connect(self)
        self._arm(self._bounds.idle_timeout_s)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Takes bytes from the caller."""
        if self._is_over:
            return
        if self._work is not None:
            self._take_ahead(data)
            return
        if self._request is None and not self._has_bytes:
            self._has_bytes = True
            self._arm(self._bounds.head_timeout_s)
        elif self._request is not None:
            self._arm(self._bounds.idle_timeout_s)
        self._http.receive_data(data)
        self._pump()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Gives up what is in work."""
        self._is_over = True
        self._disarm()
        self._handler.on_disconnect(self)
        work = self._work
        self._work = None
        if work is not None:
            work.cancel()

    def pauseProducing(self) -> None:  # noqa: N802
        """Is told that the caller reads more slowly than is written."""
        self._backlog_bytes = 0

    def resumeProducing(self) -> None:  # noqa: N802
        """Is told that the caller has caught up."""
        self._backlog_bytes = None

    def stopProducing(self) -> None:  # noqa: N802
        """Is told that the connection is closing."""

    def send_head(self, status: int, headers: headers_lib.Headers) -> None:
        """Begins an answer whose body follows in parts.

        Args:
            status: HTTP status.
            headers: Headers without framing.
        """
        if self._is_over:
            return
        self.is_answer_started = True
        self._send(h11.Response(status_code=status, headers=self._own(headers)))

    def send_data(self, data: bytes) -> None:
        """Writes a part of the body."""
        if self._is_over:
            return
        self._send(h11.Data(data=data))
        if self._backlog_bytes is None:
            return
        self._backlog_bytes += len(data)
        if self._backlog_bytes > _MOST_BACKLOG_BYTES:
            self._cut_and_abandon()

    def end_answer(self) -> None:
        """Ends a whole answer."""
        if self._is_over:
            return
        self._send(h11.EndOfMessage())
        self._finish()

    def send_answer(
        self, status: int, headers: headers_lib.Headers, body: bytes
    ) -> None:
        """Writes a whole answer at once.

        Args:
            status: HTTP status.
            headers: Headers without framing.
            body: The body.
        """
        if self._is_over:
            return
        self.is_answer_started = True
        framed = [*self._own(headers), (b"content-length", b"%d" % len(body))]
        parts = [
            self._http.send(h11.Response(status_code=status, headers=framed)),
            self._http.send(h11.Data(data=body)) if body else b"",
            self._http.send(h11.EndOfMessage()),
        ]
        self.transport.write(b"".join(part for part in parts if part))
        self._finish()

    def abort(self) -> None:
        """Breaks the connection, so that the answer does not look whole."""
        self._work = None
        if not self._is_over:
            self._is_over = True
            self.transport.abortConnection()

    def close_if_idle(self) -> None:
        """Closes the connection if no request is in work or coming in."""
        if self.is_idle and not self._is_over:
            self._close()

    def _own(self, headers: headers_lib.Headers) -> headers_lib.Headers:
        if self._handler.is_draining():
            return [*headers, (b"connection", b"close")]
        return headers

    def _send(self, event: Any) -> None:
        data = self._http.send(event)
        if data:
            self.transport.write(data)

    def _take_ahead(self, data: bytes) -> None:
        """Keeps what a caller sends before its last request is answered."""
        self._http.receive_data(data)
        rest, _ = self._http.trailing_data
        if len(rest) > _MOST_AHEAD_BYTES:
            self._cut_and_abandon()

    def _cut_and_abandon(self) -> None:
        work = self._work
        self.abort()
        if work is not None:
            work.cancel()

    def _pump(self) -> None:
        while self._work is None and not self._is_over:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as fault:
                self._reject(fault.error_status_hint or 400, str(fault))
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._continue_if_asked()
                return
            self._take(event)

    def _continue_if_asked(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))

    def _take(self, event: Any) -> None:
        if isinstance(event, h11.Request):
            self._take_head(event)
        elif isinstance(event, h11.Data):
            self._body.append(bytes(event.data))
            self._body_bytes += len(event.data)
            if self._body_bytes > self._bounds.body_bytes:
                self._reject(413, "the body is too large")
        elif isinstance(event, h11.EndOfMessage):
            self._begin()
        elif isinstance(event, h11.ConnectionClosed):
            self._close()

    def _take_head(self, request: h11.Request) -> None:
        self._bounds = self._handler.limits()
        self._received_s = self._clock.seconds()
        self._request = request
        if _head_bytes(request) > self._bounds.head_bytes:
            self._reject(431, "the head is too large")
            return
        names = [name for name, _ in request.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            self._reject(400, "a body has either a length or chunks")
            return
        if not request.target.startswith(b"/"):
            self._reject(400, "the target has to be a path")
            return
        length = headers_lib.first_value(request.headers, b"content-length")
        if length is not None and int(length) > self._bounds.body_bytes:
            self._reject(413, "the body is too large")
            return
        self._arm(self._bounds.idle_timeout_s)

    def _begin(self) -> None:
        self._disarm()
        request = self._request
        assert request is not None
        incoming = IncomingRequest(
            request.method,
            request.target,
            list(request.headers),
            b"".join(self._body),
            self._received_s,
        )
        self._body = []
        self._body_bytes = 0
        self._has_bytes = False
        self.is_answer_started = False
        self._work = NO_ACTIVE_REQUEST
        work = self._handler.handle(incoming, self)
        if self._work is NO_ACTIVE_REQUEST:
            self._work = work

    def _finish(self) -> None:
        """Ends the present cycle, and begins the next one."""
        self._work = None
        self._request = None
        state = self._http.our_state
        if state is h11.MUST_CLOSE or state is h11.ERROR:
            self._close()
            return
        self._http.start_next_cycle()
        self._arm(self._bounds.idle_timeout_s)
        rest, _ = self._http.trailing_data
        if rest:
            self._clock.callLater(0, self._pump)

    def _reject(self, status: int, reason: str) -> None:
        """Answers what is no proper request, and closes."""
        body = reason.encode()
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [
                (b"content-type", b"text/plain"),
                (b"content-length", b"%d" % len(body)),
                (b"connection", b"close"),
            ]
            self._send(h11.Response(status_code=status, headers=headers))
            self._send(h11.Data(data=body))
            self._send(h11.EndOfMessage())
        self._close()

    def _close(self) -> None:
        self._is_over = True
        self._disarm()
        # Twisted never closes a connection whose producer is paused.
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self._timer = self._clock.callLater(
            _LINGER_S, self.transport.loseConnection
        )

    def _arm(self, delay_s: float) -> None:
        self._disarm()
        self._timer = self._clock.callLater(delay_s, self._time_out)

    def _disarm(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _time_out(self) -> None:
        if self._has_bytes or self._request is not None:
            self._reject(408, "the request did not come in time")
        else:
            self._close()


def _head_bytes(request: h11.Request) -> int:
    """Returns the size of a head; h11 bounds only one that is incomplete."""
    size = len(request.method) + len(request.target) + len(b"  HTTP/1.1\r\n")
    size += sum(
        len(name) + len(value) + len(b": \r\n")
        for name, value in request.headers
    )
    return size + len(b"\r\n")


class _NoActiveRequest:
    """Stands for work that was done at once, or has not begun yet."""

    def cancel(self) -> None:
        """Has nothing to give up."""


NO_ACTIVE_REQUEST = _NoActiveRequest()


class CallerFactory(protocol.Factory):
    """Makes the connections of callers."""

    noisy = False

    def __init__(self, handler: RequestHandler, clock: Any) -> None:
        """Prepares to listen.

        Args:
            handler: Serves the requests.
            clock: A Twisted ``IReactorTime``.
        """
        self._handler = handler
        self._clock = clock

    def buildProtocol(self, addr: Any) -> CallerChannel:  # noqa: N802
        """Returns the protocol of a new connection."""
        return CallerChannel(self._handler, self._clock)
