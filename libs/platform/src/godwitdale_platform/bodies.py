"""Reads the bodies of answers within limits on their size and their time."""

from collections.abc import Callable
import dataclasses
from typing import Any

from twisted.internet import defer
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client
from twisted.web import http
from twisted.web import iweb


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on a body that is kept until it is complete.

    Attributes:
        max_bytes: Maximum size.
        part_s: Maximum time between two parts, in seconds.
        total_s: Maximum time from the head of the answer to its end, in
            seconds.
    """

    max_bytes: int
    part_s: float
    total_s: float


class IncompleteBodyError(Exception):
    """A body broke off or exceeded a limit."""


class BodyReceiver(protocol.Protocol):
    """Receives a body.

    Attributes:
        done: Fires with the reason why the body has ended.
    """

    def __init__(self, on_data: Callable[[bytes], bool]) -> None:
        """Creates a receiver for one answer.

        Args:
            on_data: Called with each part of the body, in order. Returns
                whether to go on; otherwise, the connection is closed.
        """
        self._on_data = on_data
        self.done: defer.Deferred[BaseException | None] = defer.Deferred()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Passes a part on."""
        if not self._on_data(data):
            self.abort()

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Reports the end of the body."""
        if not self.done.called:
            self.done.callback(reason.value)

    def abort(self) -> None:
        """Closes the connection to the server."""
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()


class _Collector:
    """Keeps a body until it exceeds a limit, and then closes its connection.

    Attributes:
        body: The parts so far.
        failure_detail: Which limit was exceeded, or None.
    """

    __slots__ = (
        "body",
        "failure_detail",
        "receiver",
        "_limits",
        "_clock",
        "_deadline_s",
        "_timer",
    )

    def __init__(self, limits: Limits, clock: Any) -> None:
        self.body = bytearray()
        self.failure_detail: str | None = None
        self.receiver = BodyReceiver(self._on_data)
        self._limits = limits
        self._clock = clock
        self._deadline_s = clock.seconds() + limits.total_s
        self._timer = clock.callLater(
            min(limits.part_s, limits.total_s), self._on_timeout
        )

    def close(self) -> None:
        """Ends the time limits."""
        if self._timer.active():
            self._timer.cancel()

    def _on_data(self, data: bytes) -> bool:
        if self.failure_detail is not None:
            return False
        self.body += data
        if len(self.body) > self._limits.max_bytes:
            self._fail(f"more than {self._limits.max_bytes} bytes")
            return False
        left_s = self._deadline_s - self._clock.seconds()
        self._timer.reset(max(0.0, min(self._limits.part_s, left_s)))
        return True

    def _on_timeout(self) -> None:
        self._fail("it did not end in time")
        self.receiver.abort()

    def _fail(self, detail: str) -> None:
        self.failure_detail = detail
        self.body.clear()
        self.close()


async def read(response: iweb.IResponse, limits: Limits, clock: Any) -> bytes:
    """Returns the whole body of an answer.

    Args:
        response: The answer, whose body has not been read.
        limits: Limits on the body.
        clock: A Twisted ``IReactorTime``.

    Raises:
        IncompleteBodyError: The body broke off or exceeded a limit.
    """
    collector = _Collector(limits, clock)
    response.deliverBody(collector.receiver)
    try:
        reason = await collector.receiver.done
    except defer.CancelledError:
        collector.receiver.abort()
        raise
    finally:
        collector.close()
    if collector.failure_detail is not None:
        raise IncompleteBodyError(collector.failure_detail)
    # A body without a length ends with its connection.
    if not isinstance(reason, (client.ResponseDone, http.PotentialDataLoss)):
        raise IncompleteBodyError(f"it broke off: {reason!r}")
    return bytes(collector.body)
