"""Writing answers to callers, with resumable event streams."""

from collections.abc import Callable
import dataclasses
from typing import Any

from twisted.internet import interfaces
from zope.interface import implementer

from godwitdale import problems
from godwitdale_link import messages
from godwitdale_verdicts import identifiers
from godwitdale_verdicts import outcomes
from godwitdale_verdicts import verdict as verdict_lib

_EVENT_END = b"\n\n"
_EVENT_STREAM = "text/event-stream"
_SEPARATOR = "~"


@dataclasses.dataclass(frozen=True, slots=True)
class EventId:
    """Names one event of a stream, so that a caller can resume after it.

    Attributes:
        endpoint: Endpoint whose agent keeps the answer.
        request_id: The attempt.
        frame: Frame of the answer.
        index: Number of the event in the frame, from 0.
    """

    endpoint: str
    request_id: identifiers.RequestId
    frame: int
    index: int

    @classmethod
    def parse(cls, text: str) -> "EventId":
        """Reads ``ENDPOINT~REQUEST~FRAME.INDEX``, a caller's ``Last-Event-ID``.

        Raises:
            ValueError: It is none of ours.
        """
        endpoint, request_id, place = text.split(_SEPARATOR)
        frame, _, index = place.partition(".")
        return cls(
            endpoint,
            identifiers.RequestId.parse(request_id),
            int(frame),
            int(index),
        )


def _ignore() -> None:
    """Does nothing."""


@implementer(interfaces.IPushProducer)
class HttpResponseWriter:
    """Writes one answer to one caller.

    An event stream is passed on event by event. Any other answer is kept
    until it is whole, up to a bound, so that a caller never takes a part for
    the whole and a retry stays possible.

    Attributes:
        has_begun: Whether the caller has seen a part of the answer.
        on_overflow: Called when the caller reads too slowly.
    """

    def __init__(
        self,
        request: Any,
        trace: str,
        most_backlog_bytes: int,
        most_buffered_bytes: int,
        after: EventId | None = None,
    ) -> None:
        """Prepares; nothing is written yet.

        Args:
            request: The ``twisted.web`` request.
            trace: Names the request in logs.
            most_backlog_bytes: Bytes kept for a caller that reads slowly.
            most_buffered_bytes: Largest answer that is kept until whole.
            after: The last event that a resuming caller has, or None.
        """
        self.has_begun = False
        self.on_overflow: Callable[[], None] = _ignore
        self._request = request
        self._trace = trace
        self._most_backlog_bytes = most_backlog_bytes
        self._most_buffered_bytes = most_buffered_bytes
        self._after = after
        self._head: messages.AnswerHead | None = None
        self._id_prefix = b""
        self._is_stream = False
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._paused = False
        self._backlog: list[bytes] = []
        self._backlog_bytes = 0
        self._end_pending = False
        self._is_gone = False

    def on_caller_gone(self) -> None:
        """Is told that the caller has hung up."""
        self._is_gone = True

    def head(self, head: messages.AnswerHead, endpoint: str) -> None:
        """Takes status and headers of an answer."""
        self._head = head
        origin = _SEPARATOR.join(["id: " + endpoint, str(head.id), ""])
        self._id_prefix = origin.encode()
        self._buffer.clear()
        self._buffered_bytes = 0
        self._is_stream = any(
            name.lower() == "content-type" and value.startswith(_EVENT_STREAM)
            for name, value in head.headers
        )

    def data(self, number: int, data: bytes) -> None:
        """Takes a part of the body."""
        if self._is_gone:
            return
        if self._is_stream:
            self._begin()
            self._write(self._with_ids(number, data))
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        if self.has_begun or self._buffered_bytes > self._most_buffered_bytes:
            self._begin()
            self._write_buffer()

    def end(self) -> None:
        """Ends a whole answer."""
        if self._is_gone:
            return
        if not self.has_begun and not self._is_stream:
            length = str(self._buffered_bytes)
            self._request.setHeader("Content-Length", length)
        self._begin()
        self._write_buffer()
        self._end_pending = True
        self._finish_if_done()

    def refuse(self, refusal: outcomes.Refusal) -> None:
        """Ends without an answer, or without the rest of it."""
        if self._is_gone:
            return
        if not self.has_begun:
            problems.respond(self._request, refusal, self._trace)
            self._is_gone = True
            return
        if self._is_stream:
            problem = problems.encode(refusal, self._trace)
            self._write(b"event: error\ndata: " + problem + _EVENT_END)
            self._end_pending = True
            self._finish_if_done()
            return
        # A broken connection is the only truth left in the middle of a body.
        self._is_gone = True
        self._request.transport.abortConnection()

    def pauseProducing(self) -> None:  # noqa: N802
        """Is told that the caller reads more slowly than we write."""
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Is told that the caller has caught up."""
        self._paused = False
        backlog, self._backlog = self._backlog, []
        self._backlog_bytes = 0
        if backlog:
            self._request.write(b"".join(backlog))
        self._finish_if_done()

    def stopProducing(self) -> None:  # noqa: N802
        """Is told that the caller's connection has ended."""
        self._is_gone = True

    def _begin(self) -> None:
        if self.has_begun:
            return
        self.has_begun = True
        head = self._head
        assert head is not None
        request = self._request
        request.setResponseCode(head.status)
        for name, value in head.headers:
            request.responseHeaders.addRawHeader(name, value)
        ran = verdict_lib.Verdict.RAN.value
        request.setHeader(problems.VERDICT_HEADER, ran)
        request.setHeader("Godwitdale-Request-Id", self._trace)
        if self._is_stream:
            request.setHeader("Cache-Control", "no-store")
        request.registerProducer(self, True)

    def _write_buffer(self) -> None:
        data = b"".join(self._buffer)
        self._buffer.clear()
        if data:
            self._write(data)

    def _write(self, data: bytes) -> None:
        if not data:
            return
        if not self._paused:
            self._request.write(data)
            return
        self._backlog.append(data)
        self._backlog_bytes += len(data)
        if self._backlog_bytes > self._most_backlog_bytes:
            self._is_gone = True
            self._request.transport.abortConnection()
            self.on_overflow()

    def _finish_if_done(self) -> None:
        if self._end_pending and not self._paused and not self._is_gone:
            self._is_gone = True
            self._request.unregisterProducer()
            self._request.finish()

    def _with_ids(self, number: int, data: bytes) -> bytes:
        """Gives every event of a frame its identifier.

        Agents cut event streams into frames between events only.
        """
        parts: list[bytes] = []
        for index, event in enumerate(data.split(_EVENT_END)):
            if not event or self._is_known(number, index):
                continue
            place = f"{number}.{index}\n".encode()
            parts += (self._id_prefix, place, event, _EVENT_END)
        return b"".join(parts)

    def _is_known(self, frame: int, index: int) -> bool:
        after = self._after
        if after is None:
            return False
        return (frame, index) <= (after.frame, after.index)
