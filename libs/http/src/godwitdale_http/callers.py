"""Server side of HTTP/1.1: connections that callers open."""

import dataclasses
import select
import socket
from typing import Any
from typing import Protocol

import h11
from twisted.internet import protocol
from twisted.python import failure

from godwitdale_http import headers as headers_lib
from godwitdale_http import receive_budget
from godwitdale_http import unread_answers

# The rest of a rejected request is read and discarded for this long. Closing a
# socket with unread bytes would reset the connection, and the caller could lose
# the answer.
_LINGER_S = 1.0
# Bytes of an answer that are buffered for a caller that does not read.
_MAX_BACKLOG_BYTES = 1 << 20
# Bytes of further requests that a caller may send before its current request
# is answered.
_MAX_PIPELINED_BYTES = 1 << 17
# Parts of requests that are parsed before other connections get their turn. A
# caller may send a body in chunks of one byte.
_MAX_PARTS_AT_ONCE = 32
_UNAVAILABLE = 503
# Retry-After of requests that were not received for lack of memory.
_NO_ROOM_RETRY_S = 1


class RequestLimits(Protocol):
    """Limits on the size and the duration of a caller's request."""

    @property
    def head_bytes(self) -> int:
        """Maximum size of the request line and the headers."""

    @property
    def body_bytes(self) -> int:
        """Maximum size of the body."""

    @property
    def head_timeout_s(self) -> float:
        """Time within which the whole head has to arrive."""

    @property
    def idle_timeout_s(self) -> float:
        """Maximum time between two requests, or between parts of a body."""


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A complete request of a caller.

    Attributes:
        method: HTTP method.
        target: Path and query as received.
        headers: Pairs of a lower-case name and a value.
        body: The body.
        received_s: Clock time at which the head was complete.
    """

    method: bytes
    target: bytes
    headers: headers_lib.Headers
    body: bytes
    received_s: float


class ActiveRequest(Protocol):
    """A request that is being handled."""

    def cancel(self, detail: str) -> None:
        """Stops handling the request because its connection has ended.

        Args:
            detail: Why the connection has ended.
        """


class RequestHandler(Protocol):
    """Handles the requests of all callers."""

    def limits(self) -> RequestLimits:
        """Returns the limits that apply to the next request."""

    def is_draining(self) -> bool:
        """Returns whether connections are closed after their next answer."""

    def handle(
        self, incoming: IncomingRequest, channel: "CallerChannel"
    ) -> ActiveRequest:
        """Starts to handle a request.

        Args:
            incoming: The request.
            channel: The connection on which the answer is sent.

        Returns:
            The request in progress, or ``NO_ACTIVE_REQUEST`` if its answer has
            already been sent.
        """

    def on_connect(self, channel: "CallerChannel") -> None:
        """Called when a caller has connected."""

    def on_disconnect(self, channel: "CallerChannel") -> None:
        """Called when a connection has been closed."""

    def on_reject(self, reason: str) -> None:
        """Called when a caller is refused or cut for what it sends or reads.

        Args:
            reason: HTTP status of the refusal, or what there was too much of.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class CallerMemory:
    """Memory that the callers of a process share.

    Attributes:
        received: For requests.
        unread: For answers.
    """

    received: receive_budget.ReceiveBudget
    unread: unread_answers.UnreadAnswers


class CallerChannel(protocol.Protocol):
    """A connection from a caller. It handles one request at a time.

    Attributes:
        is_answer_started: Whether part of the current answer was written.
    """

    transport: Any

    def __init__(
        self, handler: RequestHandler, clock: Any, memory: CallerMemory
    ) -> None:
        """Creates the protocol of a connection.

        Args:
            handler: Handles the requests.
            clock: A Twisted ``IReactorTime``.
            memory: Memory that all callers share.
        """
        self._memory = memory
        self.is_answer_started = False
        self._handler = handler
        self._clock = clock
        self._limits = handler.limits()
        self._http = h11.Connection(
            our_role=h11.SERVER,
            max_incomplete_event_size=self._limits.head_bytes,
        )
        self._request: h11.Request | None = None
        self._received_s = 0.0
        self._body = bytearray()
        # Bytes of the body that the request in progress holds.
        self._held_body_bytes = 0
        # Whether the connection is not read because there is no memory, or
        # because what was read is still to be parsed.
        self._is_paused = False
        self._is_behind = False
        self._active_request: ActiveRequest | None = None
        self._timer: Any = None
        self._is_closed = False
        self._has_request_bytes = False
        # Bytes written since the caller stopped reading; None while it reads.
        self._backlog_bytes: int | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress or being received."""
        return (
            self._active_request is None
            and self._request is None
            and not self._has_request_bytes
        )

    def has_caller_left(self) -> bool:
        """Returns whether the caller has closed or reset the connection.

        The end may not have been read yet: a process that was held up reads
        requests first and the ends of their connections afterwards.
        """
        return self._is_closed or _has_ended(self.transport.getHandle())

    @property
    def is_in_work(self) -> bool:
        """Whether a request is in progress."""
        return self._active_request is not None

    def connectionMade(self) -> None:  # noqa: N802
        """Registers the connection and waits for its first request."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._handler.on_connect(self)
        self._start_timer(self._limits.idle_timeout_s)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses bytes from the caller."""
        if self._is_closed:
            return
        if self._active_request is not None:
            self._buffer_pipelined(data)
            return
        if self._backlog_bytes is not None and self._request is None:
            self._buffer_pipelined(data)
            return
        if self._request is None and not self._has_request_bytes:
            self._has_request_bytes = True
            self._start_timer(self._limits.head_timeout_s)
        elif self._request is not None:
            self._start_timer(self._limits.idle_timeout_s)
        self._http.receive_data(data)
        self._process_rest()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Cancels the request in progress."""
        self._is_closed = True
        self._cancel_timer()
        self._forget()
        self._memory.unread.clear(self)
        self._handler.on_disconnect(self)
        active_request = self._active_request
        self._active_request = None
        if active_request is not None:
            active_request.cancel("the caller has disconnected")

    def pauseProducing(self) -> None:  # noqa: N802
        """Starts to count the backlog: the caller reads too slowly.

        Twisted calls this again at every write until the caller has read all.
        """
        if self._backlog_bytes is None:
            self._backlog_bytes = 0

    def resumeProducing(self) -> None:  # noqa: N802
        """Stops counting the backlog: the caller has read all of it."""
        self._backlog_bytes = None
        self._memory.unread.clear(self)
        if self._request is None and self._has_trailing_data():
            self._clock.callLater(0, self._process_rest)

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing; ``connectionLost`` handles the end."""

    def send_head(self, status: int, headers: headers_lib.Headers) -> None:
        """Starts an answer whose body is sent in parts.

        Args:
            status: HTTP status.
            headers: Headers, without those that frame the body.
        """
        if self._is_closed:
            return
        self.is_answer_started = True
        self._send(
            h11.Response(
                status_code=status,
                headers=self._with_connection_header(headers),
            )
        )

    def send_data(self, data: bytes) -> None:
        """Sends a part of the body."""
        if self._is_closed:
            return
        self._send(h11.Data(data=data))
        is_too_slow = (self._backlog_bytes or 0) > _MAX_BACKLOG_BYTES
        if is_too_slow and not self._is_closed:
            self.abort_unread()

    def end_answer(self) -> None:
        """Ends an answer whose body was sent in parts."""
        if self._is_closed:
            return
        self._send(h11.EndOfMessage())
        self._finish_cycle()

    def send_answer(
        self, status: int, headers: headers_lib.Headers, body: bytes
    ) -> None:
        """Sends a complete answer in one write.

        Args:
            status: HTTP status.
            headers: Headers, without those that frame the body.
            body: The body.
        """
        if self._is_closed:
            return
        self.is_answer_started = True
        framed = [
            *self._with_connection_header(headers),
            (b"content-length", b"%d" % len(body)),
        ]
        parts = [
            self._http.send(h11.Response(status_code=status, headers=framed)),
            self._http.send(h11.Data(data=body)) if body else b"",
            self._http.send(h11.EndOfMessage()),
        ]
        self._write(b"".join(part for part in parts if part))
        self._finish_cycle()

    def abort_unread(self) -> None:
        """Cuts a caller that does not read its answers."""
        self._handler.on_reject("unread")
        self._abort_and_cancel("the caller reads too slowly")
        # It may be closed already and wait for the caller to read the rest.
        self.transport.abortConnection()

    def abort_for_room(self) -> None:
        """Cuts a connection without a request, to make room for another."""
        self._handler.on_reject("connections")
        self._abort_and_cancel("there are too many connections")

    def resume_receiving(self) -> None:
        """Reads from the connection again after a wait for memory."""
        if self._is_paused and not self._is_closed:
            self._is_paused = False
            self._read_on()

    def refuse_slow_body(self) -> None:
        """Refuses a request whose body takes the room of others."""
        self._reject(408, "the body did not come in time")

    def abort(self) -> None:
        """Resets the connection, so that the answer looks incomplete."""
        self._active_request = None
        self._forget()
        if not self._is_closed:
            self._is_closed = True
            self.transport.abortConnection()

    def close_if_idle(self) -> None:
        """Closes the connection unless it is handling or reading a request."""
        if self.is_idle and not self._is_closed:
            self._close()

    def _with_connection_header(
        self, headers: headers_lib.Headers
    ) -> headers_lib.Headers:
        if self._handler.is_draining():
            return [*headers, (b"connection", b"close")]
        return headers

    def _send(self, event: Any) -> None:
        data = self._http.send(event)
        if data:
            self._write(data)

    def _write(self, data: bytes) -> None:
        self.transport.write(data)
        if self._backlog_bytes is not None:
            self._backlog_bytes += len(data)
            self._memory.unread.add(self, len(data), self._clock.seconds())

    def _buffer_pipelined(self, data: bytes) -> None:
        """Buffers input that arrives before the current answer is sent."""
        self._http.receive_data(data)
        rest, _ = self._http.trailing_data
        if len(rest) > _MAX_PIPELINED_BYTES:
            self._handler.on_reject("ahead")
            self._abort_and_cancel("the caller sends too many requests ahead")
            return
        self._account()

    def _has_trailing_data(self) -> bool:
        rest, _ = self._http.trailing_data
        return bool(rest)

    def _account(self) -> None:
        """Counts what is held for the caller; waits if that is too much."""
        if self._is_closed:
            return
        received = self._memory.received
        rest, _ = self._http.trailing_data
        is_receiving = self._request is not None and not self.is_in_work
        held_bytes = self._held_body_bytes + len(self._body) + len(rest)
        received.set_held(self, held_bytes, is_receiving)
        if self.is_in_work and not rest:
            return  # The end of the connection has to be noticed.
        if received.may_receive(
            self, self._limits.body_bytes, self._clock.seconds()
        ):
            self.resume_receiving()
        elif not self._is_closed:
            self._is_paused = True
            self.transport.pauseProducing()

    def _forget(self) -> None:
        """Frees what is held of the caller's requests."""
        self._body = bytearray()
        self._held_body_bytes = 0
        self._memory.received.set_held(self, 0, is_receiving=False)

    def _abort_and_cancel(self, detail: str) -> None:
        active_request = self._active_request
        self.abort()
        if active_request is not None:
            active_request.cancel(detail)

    def _read_on(self) -> None:
        if not (self._is_paused or self._is_behind or self._is_closed):
            self.transport.resumeProducing()

    def _process_events(self) -> None:
        for _ in range(_MAX_PARTS_AT_ONCE):
            if self._active_request is not None or self._is_closed:
                return
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                self._reject(exc.error_status_hint or 400, str(exc))
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._send_continue_if_expected()
                return
            self._on_event(event)
        if not self._is_behind:
            self._is_behind = True
            self.transport.pauseProducing()
            self._clock.callLater(0, self._catch_up)

    def _catch_up(self) -> None:
        """Parses more of what has been read."""
        self._is_behind = False
        self._process_rest()
        self._read_on()

    def _send_continue_if_expected(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))

    def _on_event(self, event: Any) -> None:
        if isinstance(event, h11.Request):
            self._on_head(event)
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self._limits.body_bytes:
                self._reject(413, "the body is too large")
        elif isinstance(event, h11.EndOfMessage):
            self._handle_request()
        elif isinstance(event, h11.ConnectionClosed):
            self._close()

    def _on_head(self, request: h11.Request) -> None:
        self._limits = self._handler.limits()
        self._received_s = self._clock.seconds()
        self._request = request
        if _head_size_bytes(request) > self._limits.head_bytes:
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
        if length is not None and int(length) > self._limits.body_bytes:
            self._reject(413, "the body is too large")
            return
        if not self._memory.received.has_room_for(
            int(length or 0), self._received_s
        ):
            self._reject(503, "there is no room for the body")
            return
        self._start_timer(self._limits.idle_timeout_s)

    def _handle_request(self) -> None:
        self._cancel_timer()
        request = self._request
        assert request is not None
        incoming = IncomingRequest(
            request.method,
            request.target,
            list(request.headers),
            bytes(self._body),
            self._received_s,
        )
        self._body = bytearray()
        self._held_body_bytes = len(incoming.body)
        self._has_request_bytes = False
        self.is_answer_started = False
        # The handler may send the answer before it returns. _finish_cycle then
        # sets _active_request to None, and it must stay None.
        self._active_request = NO_ACTIVE_REQUEST
        active_request = self._handler.handle(incoming, self)
        if self._active_request is NO_ACTIVE_REQUEST:
            self._active_request = active_request

    def _finish_cycle(self) -> None:
        """Ends the current exchange and prepares for the next request."""
        self._active_request = None
        self._request = None
        self._held_body_bytes = 0
        state = self._http.our_state
        if state is h11.MUST_CLOSE or state is h11.ERROR:
            self._close()
            return
        self._http.start_next_cycle()
        self._start_timer(self._limits.idle_timeout_s)
        self._account()
        if self._backlog_bytes is None and self._has_trailing_data():
            self._clock.callLater(0, self._process_rest)

    def _process_rest(self) -> None:
        """Parses what has been received and counts what is left."""
        self._process_events()
        self._account()

    def _reject(self, status: int, reason: str) -> None:
        """Answers a request that is not handled with an error and closes."""
        self._handler.on_reject(str(status))
        self._forget()
        body = reason.encode()
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [
                (b"content-type", b"text/plain"),
                (b"content-length", b"%d" % len(body)),
                (b"connection", b"close"),
            ]
            if status == _UNAVAILABLE:
                headers.append((b"retry-after", b"%d" % _NO_ROOM_RETRY_S))
            self._send(h11.Response(status_code=status, headers=headers))
            self._send(h11.Data(data=body))
            self._send(h11.EndOfMessage())
        self._close()

    def _close(self) -> None:
        self._is_closed = True
        self._forget()
        self._cancel_timer()
        if self._is_paused or self._is_behind:
            self.transport.resumeProducing()
        # Twisted never closes a connection whose producer is paused.
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self._timer = self._clock.callLater(
            _LINGER_S, self.transport.loseConnection
        )

    def _start_timer(self, delay_s: float) -> None:
        self._cancel_timer()
        self._timer = self._clock.callLater(delay_s, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _on_timeout(self) -> None:
        if self._is_paused:
            self._reject(503, "there is no room for the body")
        elif self._has_request_bytes or self._request is not None:
            self._reject(408, "the request did not come in time")
        else:
            self._close()


def _has_ended(sock: socket.socket) -> bool:
    """Returns whether the peer of a connection has closed or reset it."""
    try:
        data = sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    if not data:
        return True
    # The end may lie behind bytes that have not been read.
    poller = select.poll()
    poller.register(sock, select.POLLRDHUP)
    return bool(poller.poll(0))


def _head_size_bytes(request: h11.Request) -> int:
    """Returns the size of a head. h11 limits only incomplete heads."""
    size = len(request.method) + len(request.target) + len(b"  HTTP/1.1\r\n")
    size += sum(
        len(name) + len(value) + len(b": \r\n")
        for name, value in request.headers
    )
    return size + len(b"\r\n")


class _NoActiveRequest:
    """Placeholder for a request that is already answered or not yet started."""

    def cancel(self, detail: str) -> None:
        """Does nothing; there is nothing to cancel."""


NO_ACTIVE_REQUEST = _NoActiveRequest()


class CallerFactory(protocol.Factory):
    """Creates a ``CallerChannel`` for every connection of a caller."""

    noisy = False

    def __init__(
        self, handler: RequestHandler, clock: Any, memory: CallerMemory
    ) -> None:
        """Creates a factory for a listening port.

        Args:
            handler: Handles the requests.
            clock: A Twisted ``IReactorTime``.
            memory: Memory that all callers share.
        """
        self._memory = memory
        self._handler = handler
        self._clock = clock

    def buildProtocol(self, addr: Any) -> CallerChannel:  # noqa: N802
        """Returns the protocol of a new connection."""
        return CallerChannel(self._handler, self._clock, self._memory)
