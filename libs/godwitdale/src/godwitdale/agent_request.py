"""State of a request at an agent, and the forwarding of its answer."""

from twisted.internet import defer

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
    """

    def __init__(self, request: AgentRequest, queued_s: float) -> None:
        """Creates a forwarder for one answer.

        Args:
            request: The request.
            queued_s: Time that the request waited in the queue.
        """
        self.status = 0
        self.content_type = ""
        self.recorded_body = bytearray()
        self._request = request
        self._queued_s = queued_s
        self._is_stream = False
        self._incomplete_event = b""

    def on_head(self, status: int, headers: messages.Headers) -> None:
        """Forwards the status and the headers."""
        self.status = status
        for name, value in headers:
            if name.lower() == "content-type":
                self.content_type = value
        self._is_stream = self.content_type.startswith(_EVENT_STREAM_TYPE)
        self._request.sink.write_head(status, headers, self._queued_s)

    def on_data(self, data: bytes) -> None:
        """Forwards a part of the body."""
        if self._request.claim_attempt is not None:
            self.recorded_body += data
        if not self._is_stream:
            self._request.sink.write_data(data)
            return
        complete_events, separator, incomplete_event = (
            self._incomplete_event + data
        ).rpartition(_EVENT_END)
        self._incomplete_event = incomplete_event
        if separator:
            self._request.sink.write_data(complete_events + separator)

    def finish(self) -> None:
        """Forwards the data after the last complete event, if there is any."""
        if self._incomplete_event:
            self._request.sink.write_data(self._incomplete_event)
