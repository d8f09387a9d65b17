"""The agent's side of links: accepts entries and keeps answers for them."""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
from typing import Any
from typing import Protocol

import msgspec
from twisted.internet import defer
from twisted.internet import protocol
from twisted.python import failure

from godwitdale_link import answers
from godwitdale_link import attempt_history
from godwitdale_link import framing
from godwitdale_link import messages
from godwitdale_verdicts import identifiers
from godwitdale_verdicts import outcomes

_MAX_HISTORY_IDS = 50_000
_FIRST_DATA_FRAME = 1


class RequestHandler(Protocol):
    """Processes the requests of entries; implemented by the agent."""

    def load(self) -> messages.EndpointLoad:
        """Returns the current load of the endpoint."""

    def heaviest_accounts(self) -> list[tuple[str, float]]:
        """Returns the busiest accounts with their requests per second."""

    def position(self) -> messages.Position:
        """Returns the agent's position in the declaration log."""

    def on_entry_position(
        self, incarnation: str, position: messages.Position
    ) -> None:
        """Called with an entry's position in the declaration log."""

    def declarations_from(self, next_offset: int) -> messages.Declarations:
        """Returns the declarations from an offset on."""

    def on_declarations(self, message: messages.Declarations) -> None:
        """Called with declarations that an entry has sent."""

    def on_submit(self, submit: messages.Submit, sink: "AnswerSink") -> None:
        """Called once for each attempt; ``sink`` takes its answer."""

    def revoke(self, request_id: identifiers.RequestId) -> bool:
        """Prevents a request from starting; returns whether it has started."""

    def cancel(self, request_ids: Sequence[identifiers.RequestId]) -> None:
        """Cancels requests whose answers are no longer needed.

        All of them are passed in one call: the end of one makes room, which
        must not be given to another of them.
        """

    def on_call(self, kind: str, body: bytes) -> "defer.Deferred[bytes]":
        """Executes a call that arrived on a link; returns its encoded result.

        Other agents connect over links, too, and make these calls.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class RetentionPolicy:
    """Limits on how long and how much the agent keeps for entries.

    Attributes:
        answer_retention_s: How long a finished answer is kept.
        orphan_timeout_s: How long a request keeps running while no entry that
            waits for its answer is connected.
        max_answer_bytes: Maximum total size of the finished answers that are
            kept.
        coalesce_delay_s: How long a part of an answer body may be held back
            to be sent together with the next part.
    """

    answer_retention_s: float = 30.0
    orphan_timeout_s: float = 20.0
    max_answer_bytes: int = 24 * 1024 * 1024
    coalesce_delay_s: float = 0.004


class AnswerSink:
    """Splits the answer to one request into frames and sends them.

    Attributes:
        buffer: Frames of the answer so far.
        readers: Incarnations of the entries that receive the frames.
        finished_at_s: When the answer or a refusal was complete, or None.
        is_confirmed: Whether an entry has confirmed that it received the
            complete answer or the refusal.
    """

    __slots__ = (
        "buffer",
        "readers",
        "finished_at_s",
        "is_confirmed",
        "_server",
        "_unflushed_parts",
    )

    def __init__(
        self, buffer: answers.ReplayBuffer, reader: str, server: "LinkServer"
    ) -> None:
        self.buffer = buffer
        self.readers = {reader}
        self.finished_at_s: float | None = None
        self.is_confirmed = False
        self._server = server
        self._unflushed_parts: list[bytes] = []

    def write_head(
        self, status: int, headers: messages.Headers, queued_s: float
    ) -> None:
        """Sends the status and the headers."""
        self._server.send_frame(
            self, self.buffer.add_head(status, headers, queued_s)
        )

    def write_data(self, data: bytes) -> None:
        """Sends a part of the body, combined with the parts that follow soon.

        The first part is sent immediately, because the caller is waiting for
        the first byte.
        """
        self._unflushed_parts.append(data)
        if self.buffer.next_frame == _FIRST_DATA_FRAME:
            self.flush()
        else:
            self._server.schedule_flush(self)

    def flush(self) -> None:
        """Sends the parts that were held back."""
        if self._unflushed_parts:
            data = b"".join(self._unflushed_parts)
            self._unflushed_parts.clear()
            self._server.send_frame(self, self.buffer.add_data(data))

    def finish(self) -> None:
        """Completes the answer."""
        self.flush()
        frame = self.buffer.add_end(self._server.load())
        self._server.send_frame(self, frame)
        self._server.on_finished(self)

    def refuse(self, refusal: outcomes.Refusal) -> None:
        """Ends the request without an answer or without the rest of it."""
        self.flush()
        refused = answers.build_refusal_frame(self.buffer.id, refusal)
        self._server.send_frame(self, self.buffer.add_refusal(refused))
        self._server.on_finished(self)


class _EntryConnection(framing.MessageProtocol):
    """Protocol of one connection from an entry."""

    decoder = messages.entry_message_decoder

    def __init__(self, server: "LinkServer") -> None:
        super().__init__()
        self.server = server
        self.incarnation = ""
        self.connection_number = 0

    def connectionMade(self) -> None:  # noqa: N802
        framing.set_no_delay(self.transport)

    def message_received(self, message: Any) -> None:
        if not self.incarnation and not isinstance(message, messages.Hello):
            raise ValueError("the first message is not Hello")
        self.server.message_received(self, message)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        self.server.connection_lost(self)


class LinkServer(protocol.Factory):
    """Accepts entries and keeps answers so that entries can resume them.

    Attributes:
        incarnation: The agent's incarnation.
        endpoint: Name of the agent's endpoint.
    """

    def __init__(
        self,
        incarnation: str,
        endpoint: str,
        handler: RequestHandler,
        clock: Any,
        retention: RetentionPolicy,
    ) -> None:
        """Creates a server without connections.

        Args:
            incarnation: The agent's incarnation.
            endpoint: Name of the agent's endpoint.
            handler: Processes the requests.
            clock: A Twisted ``IReactorTime``.
            retention: Limits on how long and how much the server keeps.
        """
        self.incarnation = incarnation
        self.endpoint = endpoint
        self._handler = handler
        self._clock = clock
        self._retention = retention
        self._connections: dict[str, _EntryConnection] = {}
        self._sinks: dict[identifiers.RequestId, AnswerSink] = {}
        self._finished: collections.deque[AnswerSink] = collections.deque()
        self._finished_bytes = 0
        self._attempt_history = attempt_history.AttemptHistory(_MAX_HISTORY_IDS)
        self._unflushed: dict[identifiers.RequestId, AnswerSink] = {}
        self._flush_timer: Any = None

    @property
    def unconfirmed_answers(self) -> int:
        """Finished answers that a connected entry has not confirmed yet."""
        return sum(
            1
            for sink in self._finished
            if not sink.is_confirmed and self._has_connected_reader(sink)
        )

    def buildProtocol(self, addr: Any) -> _EntryConnection:  # noqa: N802
        """Returns the protocol of a new connection."""
        connection = _EntryConnection(self)
        connection.factory = self
        return connection

    def load(self) -> messages.EndpointLoad:
        """Returns the current load of the endpoint."""
        return self._handler.load()

    def broadcast_load(self) -> None:
        """Sends the load to all connected entries."""
        for connection in self._connections.values():
            connection.send(self._make_pong())

    def fetch_declarations(self, incarnation: str, next_offset: int) -> None:
        """Requests the declarations that an entry has from an offset on."""
        connection = self._connections.get(incarnation)
        if connection is not None:
            connection.send(messages.FetchDeclarations(next_offset))

    def send_frame(self, sink: AnswerSink, frame: msgspec.Struct) -> None:
        """Sends a frame to the connected readers of an answer."""
        for reader in sink.readers:
            connection = self._connections.get(reader)
            if connection is not None:
                connection.send(frame)

    def schedule_flush(self, sink: AnswerSink) -> None:
        """Flushes a sink after the coalescing delay."""
        if self._retention.coalesce_delay_s <= 0:
            sink.flush()
            return
        self._unflushed[sink.buffer.id] = sink
        if self._flush_timer is None:
            self._flush_timer = self._clock.callLater(
                self._retention.coalesce_delay_s, self._flush_all
            )

    def on_finished(self, sink: AnswerSink) -> None:
        """Called by a sink when its answer or refusal is complete."""
        sink.finished_at_s = self._clock.seconds()
        self._finished.append(sink)
        self._finished_bytes += sink.buffer.size_bytes
        self._evict_answers()

    def connection_lost(self, connection: _EntryConnection) -> None:
        """Called by a connection that has ended."""
        if self._connections.get(connection.incarnation) is connection:
            del self._connections[connection.incarnation]
            self._clock.callLater(
                self._retention.orphan_timeout_s, self._cancel_orphans
            )

    def message_received(
        self, connection: _EntryConnection, message: Any
    ) -> None:
        """Handles a message from an entry."""
        handler = self._HANDLERS[type(message)]
        handler(self, connection, message)

    def close(self) -> None:
        """Closes all connections after all pending data has been sent."""
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_all()
        for connection in list(self._connections.values()):
            if connection.transport is not None:
                connection.transport.loseConnection()

    def _make_pong(self) -> messages.Pong:
        return messages.Pong(
            self._handler.position(),
            self._handler.load(),
            self._handler.heaviest_accounts(),
        )

    def _flush_all(self) -> None:
        self._flush_timer = None
        unflushed, self._unflushed = self._unflushed, {}
        for sink in unflushed.values():
            sink.flush()

    def _evict_answers(self) -> None:
        now_s = self._clock.seconds()
        while self._finished:
            oldest = self._finished[0]
            assert oldest.finished_at_s is not None
            is_expired = (
                oldest.finished_at_s + self._retention.answer_retention_s
                < now_s
            )
            if (
                not is_expired
                and self._finished_bytes <= self._retention.max_answer_bytes
            ):
                return
            self._finished.popleft()
            self._finished_bytes -= oldest.buffer.size_bytes
            self._sinks.pop(oldest.buffer.id, None)

    def _cancel_orphans(self) -> None:
        orphans = [
            request_id
            for request_id, sink in self._sinks.items()
            if sink.finished_at_s is None
            and not self._has_connected_reader(sink)
        ]
        self._handler.cancel(orphans)

    def _has_connected_reader(self, sink: AnswerSink) -> bool:
        return any(reader in self._connections for reader in sink.readers)

    def _on_hello(
        self, connection: _EntryConnection, message: messages.Hello
    ) -> None:
        if message.version != messages.PROTOCOL_VERSION:
            raise ValueError(f"unsupported protocol version {message.version}")
        older = self._connections.get(message.incarnation)
        if (
            older is not None
            and older.connection_number >= message.connection_number
        ):
            connection.discard_input()
            connection.abort()
            return
        if older is not None:
            older.discard_input()
            older.abort()
        connection.incarnation = message.incarnation
        connection.connection_number = message.connection_number
        self._connections[message.incarnation] = connection
        self._handler.on_entry_position(message.incarnation, message.position)
        connection.send(
            messages.Welcome(
                self.incarnation,
                self.endpoint,
                self._handler.position(),
                self._handler.load(),
            )
        )

    def _on_submit(
        self, connection: _EntryConnection, message: messages.Submit
    ) -> None:
        if message.id in self._sinks:
            return
        was_seen = self._attempt_history.may_have_seen(message.id)
        if was_seen or message.agent_incarnation != self.incarnation:
            self._refuse_submit(connection, message, was_seen)
            return
        self._attempt_history.record_submitted(message.id)
        buffer = answers.ReplayBuffer(message.id, message.account)
        sink = AnswerSink(buffer, connection.incarnation, self)
        self._sinks[message.id] = sink
        self._handler.on_entry_position(
            connection.incarnation, message.position
        )
        self._handler.on_submit(message, sink)

    def _refuse_submit(
        self,
        connection: _EntryConnection,
        message: messages.Submit,
        was_seen: bool,
    ) -> None:
        if was_seen and not self._attempt_history.is_revoked(message.id):
            self._send_lost_refusal(connection, message.id)
            return
        self._send_revoked_refusal(connection, message.id)

    def _send_revoked_refusal(
        self, connection: _EntryConnection, request_id: identifiers.RequestId
    ) -> None:
        refusal = outcomes.not_run(
            outcomes.Reason.REVOKED, "the attempt was revoked in time"
        )
        connection.send(answers.build_refusal_frame(request_id, refusal))

    def _send_lost_refusal(
        self, connection: _EntryConnection, request_id: identifiers.RequestId
    ) -> None:
        refusal = outcomes.may_have_run(
            outcomes.Reason.ANSWER_LOST, "the answer is not kept any more"
        )
        connection.send(answers.build_refusal_frame(request_id, refusal))

    def _on_resume(
        self, connection: _EntryConnection, message: messages.Resume
    ) -> None:
        sink = self._sinks.get(message.id)
        if sink is None:
            self._resume_unknown(connection, message)
        elif sink.buffer.account != message.account:
            self._send_lost_refusal(connection, message.id)
        else:
            sink.readers.add(connection.incarnation)
            connection.send_batch(sink.buffer.frames_from(message.next_frame))

    def _resume_unknown(
        self, connection: _EntryConnection, message: messages.Resume
    ) -> None:
        is_own_attempt = message.id.incarnation == connection.incarnation
        if not is_own_attempt or self._attempt_history.may_have_run(message.id):
            self._send_lost_refusal(connection, message.id)
            return
        self._attempt_history.record_revoked(message.id)
        self._send_revoked_refusal(connection, message.id)

    def _on_revoke(
        self, connection: _EntryConnection, message: messages.Revoke
    ) -> None:
        sink = self._sinks.get(message.id)
        if sink is None:
            started = self._attempt_history.may_have_run(message.id)
        elif sink.finished_at_s is not None:
            # The final frame is already on its way to the entry and carries
            # more information than this reply.
            started = True
        else:
            started = self._handler.revoke(message.id)
        if not started:
            self._attempt_history.record_revoked(message.id)
            self._sinks.pop(message.id, None)
        connection.send(messages.Revoked(message.id, started))

    def _on_cancel(
        self, connection: _EntryConnection, message: messages.Cancel
    ) -> None:
        self._attempt_history.record_revoked_if_unseen(message.id)
        sink = self._sinks.get(message.id)
        if sink is not None and sink.finished_at_s is None:
            self._handler.cancel([message.id])

    def _on_received(
        self, connection: _EntryConnection, message: messages.AnswerReceived
    ) -> None:
        sink = self._sinks.get(message.id)
        if sink is not None:
            sink.is_confirmed = True

    def _on_ping(
        self, connection: _EntryConnection, message: messages.Ping
    ) -> None:
        self._handler.on_entry_position(
            connection.incarnation, message.position
        )
        connection.send(self._make_pong())
        self._evict_answers()

    def _on_call(
        self, connection: _EntryConnection, message: messages.Call
    ) -> None:
        def reply(body: bytes) -> None:
            connection.send(messages.Reply(message.call_id, body))

        # A call that fails gets no reply; the caller's timeout detects that.
        result = self._handler.on_call(message.kind, message.body)
        result.addCallbacks(reply, lambda _: None)

    def _on_fetch_declarations(
        self, connection: _EntryConnection, message: messages.FetchDeclarations
    ) -> None:
        connection.send(self._handler.declarations_from(message.next_offset))

    def _on_declarations(
        self, connection: _EntryConnection, message: messages.Declarations
    ) -> None:
        self._handler.on_declarations(message)

    _HANDLERS: dict[
        type, Callable[["LinkServer", _EntryConnection, Any], None]
    ] = {
        messages.Hello: _on_hello,
        messages.Submit: _on_submit,
        messages.Resume: _on_resume,
        messages.Revoke: _on_revoke,
        messages.Cancel: _on_cancel,
        messages.AnswerReceived: _on_received,
        messages.Ping: _on_ping,
        messages.Call: _on_call,
        messages.FetchDeclarations: _on_fetch_declarations,
        messages.Declarations: _on_declarations,
    }
