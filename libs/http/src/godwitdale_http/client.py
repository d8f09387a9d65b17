"""HTTP client for requests whose answer is collected as a whole."""

from collections.abc import Callable
import dataclasses
from typing import Any

from twisted.internet import defer
from twisted.internet import error

from godwitdale_http import channel as channel_lib
from godwitdale_http import headers as headers_lib
from godwitdale_http import pool as pool_lib
from godwitdale_verdicts import exceptions

# Maximum size of the body of an answer.
_MAX_BODY_BYTES = 16 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request to a server.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers, without ``Host`` and those that frame the body.
        body: The body.
    """

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """Time limits of a request, in seconds.

    Attributes:
        connect_s: Maximum time to open a connection.
        answer_s: Maximum time from sending the request to the head of its
            answer.
        part_s: Maximum time between two parts of the answer.
        transfer_s: Maximum time from the head of the answer to its end.
        max_idle_s: A pooled connection that was idle for longer is not used.
    """

    connect_s: float
    answer_s: float
    part_s: float
    transfer_s: float
    max_idle_s: float


class _AnswerCollector:
    """Collects the parts of one answer within its time limits.

    Attributes:
        result: Fires with the status and the body, or fails with
            ``PlatformUnavailableError``.
    """

    def __init__(
        self,
        name: str,
        channel: channel_lib.Channel,
        timeouts: Timeouts,
        on_head: Callable[[], None],
        clock: Any,
    ) -> None:
        self.result: defer.Deferred[tuple[int, bytes]] = defer.Deferred()
        self._name = name
        self._channel = channel
        self._timeouts = timeouts
        self._on_head = on_head
        self._clock = clock
        self._status = 0
        self._body = bytearray()
        self._transfer_deadline_s = float("inf")
        self._timer = clock.callLater(timeouts.answer_s, self._on_timeout)

    def on_answer_head(self, status: int, headers: headers_lib.Headers) -> None:
        self._status = status
        self._transfer_deadline_s = (
            self._clock.seconds() + self._timeouts.transfer_s
        )
        self._restart_timer()
        self._on_head()

    def on_answer_data(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > _MAX_BODY_BYTES:
            self._fail(f"{self._name} sent more than {_MAX_BODY_BYTES} bytes")
            return
        self._restart_timer()

    def on_answer_end(self) -> None:
        if not self.result.called:
            self.result.callback((self._status, bytes(self._body)))

    def on_answer_failed(self, detail: str) -> None:
        if not self.result.called:
            self.result.errback(exceptions.PlatformUnavailableError(detail))

    def stop_timer(self) -> None:
        """Ends the time limits of the answer."""
        if self._timer.active():
            self._timer.cancel()

    def _restart_timer(self) -> None:
        if self._timer.active():
            left_s = self._transfer_deadline_s - self._clock.seconds()
            self._timer.reset(max(0.0, min(self._timeouts.part_s, left_s)))

    def _on_timeout(self) -> None:
        self._fail(f"{self._name} did not answer in time")

    def _fail(self, detail: str) -> None:
        self._channel.abort()
        self.on_answer_failed(detail)


def _ignore_head() -> None:
    """Ignores that the head of an answer has arrived."""


class Client:
    """Sends requests over pooled connections."""

    def __init__(self, reactor: Any) -> None:
        """Creates a client without connections.

        Args:
            reactor: The Twisted reactor.
        """
        self._reactor = reactor
        self._pool = pool_lib.Pool(reactor)

    async def send(
        self,
        name: str,
        address: pool_lib.Address,
        request: Request,
        timeouts: Timeouts,
        on_head: Callable[[], None] = _ignore_head,
    ) -> tuple[int, bytes]:
        """Sends a request and returns the status and the body of its answer.

        Args:
            name: Name of the server, under which its connections are pooled.
            address: Address on which the server listens.
            request: The request.
            timeouts: Time limits of the request.
            on_head: Called when the head of the answer has arrived.

        Raises:
            PlatformUnavailableError: No connection could be opened, or no
                complete answer arrived in time.
        """
        channel = self._pool.acquire(name, timeouts.max_idle_s)
        if channel is None:
            channel = await self._connect(name, address, timeouts.connect_s)
        host = f"{address.host}:{address.port}"
        outgoing = channel_lib.OutgoingRequest(
            method=request.method.encode(),
            target=request.target.encode(),
            headers=[(b"host", host.encode()), *request.headers],
            body=request.body,
            is_own_answer=lambda headers: True,
        )
        collector = _AnswerCollector(
            name, channel, timeouts, on_head, self._reactor
        )
        channel.send_request(outgoing, collector)
        try:
            status, body = await collector.result
        except defer.CancelledError:
            channel.abort()
            raise
        finally:
            collector.stop_timer()
        self._pool.release(name, channel)
        return status, body

    async def _connect(
        self, name: str, address: pool_lib.Address, timeout_s: float
    ) -> channel_lib.Channel:
        try:
            return await self._pool.connect(address, timeout_s)
        except error.ConnectError as exc:
            raise exceptions.PlatformUnavailableError(
                f"no connection to {name}: {exc}"
            ) from exc
