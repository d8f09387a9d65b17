"""Writes answers to callers, with event streams that can be resumed."""

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
_EVENT_STREAM_TYPE = "text/event-stream"
_FIELD_SEPARATOR = "~"


@dataclasses.dataclass(frozen=True, slots=True)
class EventId:
    """Identifier of an event, with which a caller can resume the stream.

    Attributes:
        endpoint: Endpoint whose agent keeps the answer.
        request_id: Identifier of the attempt.
        frame: Number of the frame that contains the event.
        index: Index of the event in the frame, from 0.
    """

    endpoint: str
    request_id: identifiers.RequestId
    frame: int
    index: int

    @classmethod
    def parse(cls, text: str) -> "EventId":
        """Parses ``ENDPOINT~REQUEST~FRAME.INDEX`` from ``Last-Event-ID``.

        Raises:
            ValueError: The text is not an event identifier of this system.
        """
        endpoint, request_id, event_position = text.split(_FIELD_SEPARATOR)
        frame, _, index = event_position.partition(".")
        return cls(
            endpoint,
            identifiers.RequestId.parse(request_id),
            int(frame),
            int(index),
        )


def _do_nothing() -> None:
    """Default of ``on_overflow``."""


@implementer(interfaces.IPushProducer)
class HttpResponseWriter:
    """Writes the response to one request.

    The events of an event stream are written as they arrive. Any other answer
    is buffered until it is complete or the buffer is full, so that a caller
    never mistakes a part for the complete answer and a retry stays possible.

    Attributes:
        has_begun: Whether a part of the answer was written.
        on_overflow: Called when the backlog of a slow caller is full.
    """

    def __init__(
        self,
        request: Any,
        trace_id: str,
        max_backlog_bytes: int,
        max_buffered_bytes: int,
        resume_after: EventId | None = None,
    ) -> None:
        """Creates a writer that has written nothing.

        Args:
            request: The ``twisted.web`` request.
            trace_id: Identifier of the request in logs.
            max_backlog_bytes: Largest backlog of a caller that reads slowly.
            max_buffered_bytes: Largest answer that is buffered completely.
            resume_after: Last event that the caller of a resumed stream has
                received, or None.
        """
        self.has_begun = False
        self.on_overflow: Callable[[], None] = _do_nothing
        self._request = request
        self._trace_id = trace_id
        self._max_backlog_bytes = max_backlog_bytes
        self._max_buffered_bytes = max_buffered_bytes
        self._resume_after = resume_after
        self._head: messages.AnswerHead | None = None
        self._event_id_prefix = b""
        self._is_stream = False
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._is_paused = False
        self._backlog: list[bytes] = []
        self._backlog_bytes = 0
        self._is_end_pending = False
        self._is_closed = False

    def on_caller_gone(self) -> None:
        """Called when the caller has disconnected."""
        self._is_closed = True

    def write_head(self, head: messages.AnswerHead, endpoint: str) -> None:
        """Records the status and the headers of an answer."""
        self._head = head
        id_prefix = _FIELD_SEPARATOR.join(["id: " + endpoint, str(head.id), ""])
        self._event_id_prefix = id_prefix.encode()
        self._buffer.clear()
        self._buffered_bytes = 0
        self._is_stream = any(
            name.lower() == "content-type"
            and value.startswith(_EVENT_STREAM_TYPE)
            for name, value in head.headers
        )

    def write_data(self, number: int, data: bytes) -> None:
        """Writes or buffers a part of the body."""
        if self._is_closed:
            return
        if self._is_stream:
            self._begin()
            self._write(self._add_event_ids(number, data))
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        if self.has_begun or self._buffered_bytes > self._max_buffered_bytes:
            self._begin()
            self._write_buffer()

    def finish(self) -> None:
        """Completes the answer."""
        if self._is_closed:
            return
        if not self.has_begun and not self._is_stream:
            length = str(self._buffered_bytes)
            self._request.setHeader("Content-Length", length)
        self._begin()
        self._write_buffer()
        self._is_end_pending = True
        self._finish_if_done()

    def refuse(self, refusal: outcomes.Refusal) -> None:
        """Ends the response without an answer or in the middle of it."""
        if self._is_closed:
            return
        if not self.has_begun:
            problems.respond(self._request, refusal, self._trace_id)
            self._is_closed = True
            return
        if self._is_stream:
            problem = problems.encode(refusal, self._trace_id)
            self._write(b"event: error\ndata: " + problem + _EVENT_END)
            self._is_end_pending = True
            self._finish_if_done()
            return
        # In the middle of a body, only a broken connection can tell the caller
        # that the answer is incomplete.
        self._is_closed = True
        self._request.transport.abortConnection()

    def pauseProducing(self) -> None:  # noqa: N802
        """Called when the caller reads more slowly than this writes."""
        self._is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Called when the caller has read what was written."""
        self._is_paused = False
        backlog, self._backlog = self._backlog, []
        self._backlog_bytes = 0
        if backlog:
            self._request.write(b"".join(backlog))
        self._finish_if_done()

    def stopProducing(self) -> None:  # noqa: N802
        """Called when the caller's connection was lost."""
        self._is_closed = True

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
        request.setHeader("Godwitdale-Request-Id", self._trace_id)
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
        if not self._is_paused:
            self._request.write(data)
            return
        self._backlog.append(data)
        self._backlog_bytes += len(data)
        if self._backlog_bytes > self._max_backlog_bytes:
            self._is_closed = True
            self._request.transport.abortConnection()
            self.on_overflow()

    def _finish_if_done(self) -> None:
        if self._is_end_pending and not self._is_paused and not self._is_closed:
            self._is_closed = True
            self._request.unregisterProducer()
            self._request.finish()

    def _add_event_ids(self, number: int, data: bytes) -> bytes:
        """Adds an identifier to each event of a frame.

        A frame contains only whole events, because agents split event streams
        between events.
        """
        parts: list[bytes] = []
        for index, event in enumerate(data.split(_EVENT_END)):
            if not event or self._was_received(number, index):
                continue
            event_id_suffix = f"{number}.{index}\n".encode()
            parts += (self._event_id_prefix, event_id_suffix, event, _EVENT_END)
        return b"".join(parts)

    def _was_received(self, frame: int, index: int) -> bool:
        resume_after = self._resume_after
        if resume_after is None:
            return False
        return (frame, index) <= (resume_after.frame, resume_after.index)
