"""Client side of HTTP/1.1: a connection to an endpoint."""

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

# TCP drops the connection if sent bytes stay unacknowledged for this long. One
# retransmission of a lost packet fits in.
_TCP_USER_TIMEOUT_MS = 1500
# Shortest idle time and interval that Linux accepts for keep-alive probes.
_KEEP_ALIVE_PROBE_S = 1
# Maximum size of the status line and the headers of an answer.
_MAX_HEAD_BYTES = 65536
# Bytes and interim answers that an endpoint may send before the head of the
# answer. The bytes include a late answer to an earlier request.
_MAX_BYTES_BEFORE_ANSWER = 1 << 20
_MAX_INTERIM_ANSWERS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request to an endpoint.

    Attributes:
        method: HTTP method.
        target: Path and query in the form sent on the wire.
        headers: Pairs of a lower-case name and a value, with ``Host`` and
            without the headers that frame the body.
        body: The whole body.
        is_own_answer: Returns, given the headers of an answer, whether it
            answers this request, or None if it names no request. A late answer
            to an earlier request is skipped.
    """

    method: bytes
    target: bytes
    headers: headers_lib.Headers
    body: bytes
    is_own_answer: Callable[[headers_lib.Headers], bool | None]


class AnswerReceiver(Protocol):
    """Receives an answer as it arrives."""

    def on_answer_head(self, status: int, headers: headers_lib.Headers) -> None:
        """Receives the status and the headers."""

    def on_answer_data(self, data: bytes) -> None:
        """Receives a part of the body."""

    def on_answer_end(self) -> None:
        """Called when the answer is complete."""

    def on_answer_failed(self, detail: str) -> None:
        """Called when the connection fails before the answer is complete."""


class Channel(protocol.Protocol):
    """A client connection. It carries one request at a time.

    Attributes:
        is_open: Whether the connection is established.
        is_reusable: Whether another request may be sent on it.
        idle_since_s: Clock time at which the last answer ended.
        keep_alive_s: Time for which the endpoint keeps the connection open
            while it is idle, or None if the endpoint has not stated it.
    """

    transport: Any

    def __init__(self, clock: Any) -> None:
        """Creates the protocol of a connection.

        Args:
            clock: A Twisted ``IReactorTime``.
        """
        self.is_open = False
        self.is_reusable = True
        self.idle_since_s = clock.seconds()
        self.keep_alive_s: float | None = None
        self._clock = clock
        self._http = _new_http_state()
        self._request: OutgoingRequest | None = None
        self._receiver: AnswerReceiver | None = None
        self._is_skipping = False
        self._request_count = 0
        # Bytes received before the head of the answer, or None after it.
        self._bytes_before_answer: int | None = None
        self._interim_answer_count = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Sets socket options that detect an unreachable endpoint."""
        self.is_open = True
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        raw = self.transport.getHandle()
        for option, value in (
            (socket.TCP_KEEPIDLE, _KEEP_ALIVE_PROBE_S),
            (socket.TCP_KEEPINTVL, _KEEP_ALIVE_PROBE_S),
            (socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS),
        ):
            raw.setsockopt(socket.IPPROTO_TCP, option, value)

    def send_request(
        self, request: OutgoingRequest, receiver: AnswerReceiver
    ) -> None:
        """Sends a request.

        Args:
            request: The request.
            receiver: Receives the answer.
        """
        self._request = request
        self._request_count += 1
        self._receiver = receiver
        self._bytes_before_answer = 0
        self._interim_answer_count = 0
        self.transport.write(self._encode(request))

    def abort(self) -> None:
        """Resets the connection, so that the endpoint stops the request."""
        self._receiver = None
        self.is_reusable = False
        if self.is_open:
            self.transport.abortConnection()

    def close(self) -> None:
        """Closes an idle connection."""
        self.is_reusable = False
        if self.is_open:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parses bytes from the endpoint."""
        if self._receiver is None:
            # No request is in flight, so these bytes answer none.
            self.abort()
            return
        self._http.receive_data(data)
        self._process_events()
        if self._receiver is None or self._bytes_before_answer is None:
            return
        self._bytes_before_answer += len(data)
        if self._bytes_before_answer > _MAX_BYTES_BEFORE_ANSWER:
            self._fail(f"no answer within {self._bytes_before_answer} bytes")

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Completes an answer that ends with the connection.

        Any other answer in progress is reported as failed.
        """
        self.is_open = False
        self.is_reusable = False
        if self._receiver is None:
            return
        if reason.check(error.ConnectionDone):
            self._http.receive_data(b"")
            self._process_events()
        if self._receiver is not None:
            self._fail(reason.getErrorMessage())

    def _encode(self, request: OutgoingRequest) -> bytes:
        headers = request.headers
        has_body = bool(request.body) or request.method not in (
            b"GET",
            b"HEAD",
            b"DELETE",
        )
        if has_body:
            headers = [
                *headers,
                (b"content-length", b"%d" % len(request.body)),
            ]
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        parts = [self._http.send(head)]
        if request.body:
            parts.append(self._http.send(h11.Data(data=request.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    def _process_events(self) -> None:
        while self._receiver is not None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                self._fail(f"not HTTP: {exc}")
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._on_event(event)

    def _on_event(self, event: Any) -> None:
        assert self._receiver is not None
        if isinstance(event, h11.Response):
            self._on_head(event)
        elif isinstance(event, h11.InformationalResponse):
            self._interim_answer_count += 1
            if self._interim_answer_count > _MAX_INTERIM_ANSWERS:
                self._fail("too many interim answers")
        elif isinstance(event, h11.Data):
            if not self._is_skipping:
                self._receiver.on_answer_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._on_end()
        elif isinstance(event, h11.ConnectionClosed):
            self._fail("closed without an answer")

    def _on_head(self, response: h11.Response) -> None:
        assert self._receiver is not None and self._request is not None
        headers = list(response.headers)
        is_own = self._request.is_own_answer(headers)
        if is_own is None and self._request_count > 1:
            # It may repeat the answer to an earlier request.
            self._fail("an answer to an unknown request on a kept connection")
            return
        if is_own is False:
            self._is_skipping = True
            return
        self._bytes_before_answer = None
        self.keep_alive_s = _keep_alive_s(headers)
        self._receiver.on_answer_head(response.status_code, headers)

    def _on_end(self) -> None:
        if self._is_skipping:
            self._finish_skipping()
            return
        receiver = self._receiver
        self._receiver = None
        self._request = None
        self.idle_since_s = self._clock.seconds()
        self._start_next_cycle()
        assert receiver is not None
        receiver.on_answer_end()

    def _finish_skipping(self) -> None:
        """Continues after a skipped late answer to an earlier request."""
        rest, is_closed = self._http.trailing_data
        if self._http.their_state is not h11.DONE or is_closed:
            self._fail("only an answer to another request came")
            return
        self._is_skipping = False
        self._http = _new_http_state()
        assert self._request is not None
        # Only advances the new h11 state; the request was sent before.
        self._encode(self._request)
        if rest:
            self._http.receive_data(rest)

    def _start_next_cycle(self) -> None:
        rest, is_closed = self._http.trailing_data
        is_done = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )
        if rest or is_closed or not is_done or not self.is_open:
            self.close()
            return
        self._http.start_next_cycle()

    def _fail(self, detail: str) -> None:
        receiver = self._receiver
        self.abort()
        if receiver is not None:
            receiver.on_answer_failed(detail)


def _new_http_state() -> h11.Connection:
    return h11.Connection(
        our_role=h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
    )


def _keep_alive_s(headers: headers_lib.Headers) -> float | None:
    value = headers_lib.first_value(headers, b"keep-alive") or b""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None
