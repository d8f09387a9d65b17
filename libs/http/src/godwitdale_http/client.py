"""Calls that take one whole answer, for dependencies that speak JSON."""

import dataclasses
from typing import Any

from twisted.internet import defer
from twisted.internet import error

from godwitdale_http import channel as channel_lib
from godwitdale_http import headers as headers_lib
from godwitdale_http import pool as pool_lib
from godwitdale_verdicts import exceptions


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request for a dependency.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers beside ``Host`` and the framing.
        body: The body.
    """

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """How long a client waits.

    Attributes:
        connect_timeout_s: For a new connection.
        answer_timeout_s: For a whole answer.
        max_idle_s: A kept connection that was idle for longer is not reused.
    """

    connect_timeout_s: float
    answer_timeout_s: float
    max_idle_s: float


class _Collector:
    """Takes one whole answer."""

    def __init__(self) -> None:
        self.done: defer.Deferred[tuple[int, bytes]] = defer.Deferred()
        self._status = 0
        self._body: list[bytes] = []

    def on_answer_head(self, status: int, headers: headers_lib.Headers) -> None:
        self._status = status

    def on_answer_data(self, data: bytes) -> None:
        self._body.append(data)

    def on_answer_end(self) -> None:
        if not self.done.called:
            self.done.callback((self._status, b"".join(self._body)))

    def on_answer_failed(self, detail: str) -> None:
        if not self.done.called:
            self.done.errback(exceptions.PlatformUnavailableError(detail))


class Client:
    """Sends calls; each of them raises ``PlatformUnavailableError``."""

    def __init__(self, reactor: Any) -> None:
        """Prepares a client; nothing is sent yet.

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
    ) -> tuple[int, bytes]:
        """Sends a call and returns status and body of its answer.

        Args:
            name: Name of the dependency, for its kept connections.
            address: Where it listens.
            request: The request.
            timeouts: How long to wait.
        """
        channel = self._pool.acquire(name, timeouts.max_idle_s)
        if channel is None:
            channel = await self._connect(
                name, address, timeouts.connect_timeout_s
            )
        host = f"{address.host}:{address.port}"
        outgoing = channel_lib.OutgoingRequest(
            method=request.method.encode(),
            target=request.target.encode(),
            headers=[(b"host", host.encode()), *request.headers],
            body=request.body,
            is_own_answer=lambda headers: True,
        )
        collector = _Collector()
        channel.send_request(outgoing, collector)
        timer = self._reactor.callLater(
            timeouts.answer_timeout_s, _time_out, channel, collector, name
        )
        try:
            status, answer = await collector.done
        except defer.CancelledError:
            channel.abort()
            raise
        finally:
            if timer.active():
                timer.cancel()
        self._pool.release(name, channel)
        return status, answer

    async def _connect(
        self, name: str, address: pool_lib.Address, timeout_s: float
    ) -> channel_lib.Channel:
        try:
            return await self._pool.connect(address, timeout_s)
        except error.ConnectError as failed:
            raise exceptions.PlatformUnavailableError(
                f"no connection to {name}: {failed}"
            ) from failed


def _time_out(
    channel: channel_lib.Channel, collector: _Collector, name: str
) -> None:
    channel.abort()
    collector.on_answer_failed(f"{name} did not answer in time")
