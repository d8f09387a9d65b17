"""One request at an agent, and the passing on of its answer."""

from twisted.internet import defer

from godwitdale_link import messages
from godwitdale_link import server as link_server

_EVENT_END = b"\n\n"
_EVENT_STREAM = "text/event-stream"


class AgentRequest:
    """One request at the agent.

    Attributes:
        submit: The request.
        sink: Takes its answer.
        arrived_s: When it came.
        attempt: Its name in the claim stream, or None without a key.
        call: The call to the endpoint, once it has started.
        revoked: Whether it must not start any more.
    """

    __slots__ = ("submit", "sink", "arrived_s", "attempt", "call", "revoked")

    def __init__(
        self,
        submit: messages.Submit,
        sink: link_server.AnswerSink,
        arrived_s: float,
    ) -> None:
        self.submit = submit
        self.sink = sink
        self.arrived_s = arrived_s
        self.attempt: str | None = None
        self.call: defer.Deferred[None] | None = None
        self.revoked = False


class AnswerForwarder:
    """Passes an answer on to the link; cuts event streams between events."""

    def __init__(self, work: AgentRequest, queued_s: float) -> None:
        """Prepares to receive.

        Args:
            work: The request.
            queued_s: Time that it waited.
        """
        self.status = 0
        self.content_type = ""
        self.kept = bytearray()
        self._work = work
        self._queued_s = queued_s
        self._is_stream = False
        self._rest = b""

    def on_head(self, status: int, headers: messages.Headers) -> None:
        """Takes status and headers."""
        self.status = status
        for name, value in headers:
            if name.lower() == "content-type":
                self.content_type = value
        self._is_stream = self.content_type.startswith(_EVENT_STREAM)
        self._work.sink.write_head(status, headers, self._queued_s)

    def on_data(self, data: bytes) -> None:
        """Takes a part of the body."""
        if self._work.attempt is not None:
            self.kept += data
        if not self._is_stream:
            self._work.sink.write_data(data)
            return
        whole, separator, rest = (self._rest + data).rpartition(_EVENT_END)
        self._rest = rest
        if separator:
            self._work.sink.write_data(whole + separator)

    def finish(self) -> None:
        """Passes on what stands after the last event, if anything does."""
        if self._rest:
            self._work.sink.write_data(self._rest)
