"""State of a request at an agent, and the forwarding of its answer."""

from twisted.internet import defer

from godwitdale_gateway import answer_buffer
from godwitdale_link import messages
from godwitdale_link import server as link_server

_EVENT_END = b"\n\n"
_EVENT_STREAM_TYPE = "text/event-stream"


class AgentRequest:
    """A request at the agent.

    Attributes:
        submit: Message that submitted the request.
        sink: Receives the answer.
        arrived_s: Time of the request's arrival.
        claim_attempt: Name of the attempt in the claim stream, or None if the
            request has no idempotency key.
        call: Call to the endpoint, or None until the request is started.
        is_revoked: Whether the request must not be started.
    """

    __slots__ = (
        "submit",
        "sink",
        "arrived_s",
        "claim_attempt",
        "call",
        "is_revoked",
    )

    def __init__(
        self,
        submit: messages.Submit,
        sink: link_server.AnswerSink,
        arrived_s: float,
    ) -> None:
        self.submit = submit
        self.sink = sink
        self.arrived_s = arrived_s
        self.claim_attempt: str | None = None
        self.call: defer.Deferred[None] | None = None
        self.is_revoked = False


class AnswerForwarder:
    """Forwards an answer to the link; splits event streams between events.

    Attributes:
        status: HTTP status of the answer, or 0 before the head.
        content_type: Content type of the answer.
        recorded_body: Body of the answer if the request has an idempotency
            key, otherwise empty.
        is_too_large: Whether the answer has exceeded the limit on its size.
    """

    def __init__(
        self,
        request: AgentRequest,
        queued_s: float,
        usage: answer_buffer.BufferUsage,
    ) -> None:
        """Creates a forwarder for one answer.

        Args:
            request: The request.
            queued_s: Time that the request waited in the queue.
            usage: Counts the bytes of the answers in progress, which are kept
                so that entries can resume them.
        """
        self.status = 0
        self.content_type = ""
        self.recorded_body = bytearray()
        self.is_too_large = False
        self._request = request
        self._usage = usage
        self._size_bytes = 0
        self._queued_s = queued_s
        self._is_stream = False
        self._incomplete_event = bytearray()

    def on_head(self, status: int, headers: messages.Headers) -> None:
        """Forwards the status and the headers."""
        self.status = status
        for name, value in headers:
            if name.lower() == "content-type":
                self.content_type = value
        self._is_stream = self.content_type.startswith(_EVENT_STREAM_TYPE)
        self._request.sink.write_head(status, headers, self._queued_s)

    def on_data(self, data: bytes) -> bool:
        """Forwards a part of the body unless the answer is too large."""
        self._size_bytes += len(data)
        self._usage.total_bytes += len(data)
        if self._size_bytes > self._usage.max_answer_bytes:
            self.is_too_large = True
        if self.is_too_large:
            return False
        self._forward(data)
        return True

    def _forward(self, data: bytes) -> None:
        if self._request.claim_attempt is not None:
            self.recorded_body += data
        if not self._is_stream:
            self._request.sink.write_data(data)
            return
        # No event ends before the last byte that was kept.
        searched = max(0, len(self._incomplete_event) - 1)
        self._incomplete_event += data
        last = self._incomplete_event.rfind(_EVENT_END, searched)
        if last >= 0:
            end = last + len(_EVENT_END)
            self._request.sink.write_data(bytes(self._incomplete_event[:end]))
            del self._incomplete_event[:end]

    def close(self) -> None:
        """Ends the count of the bytes of this answer."""
        self._usage.total_bytes -= self._size_bytes
        self._size_bytes = 0

    def finish(self) -> None:
        """Forwards the data after the last complete event, if there is any."""
        if self._incomplete_event:
            self._request.sink.write_data(bytes(self._incomplete_event))
