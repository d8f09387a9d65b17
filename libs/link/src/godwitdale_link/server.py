"""The agent's end: connections of entries, and the answers kept for them."""

import collections
from collections.abc import Callable
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

_MOST_REMEMBERED_IDS = 50_000
_FIRST_DATA_FRAME = 1


class RequestHandler(Protocol):
    """What the agent does with requests; implemented by the daemon."""

    def load(self) -> messages.EndpointLoad:
        """Returns the load of the endpoint."""

    def heaviest_accounts(self) -> list[tuple[str, float]]:
        """Returns requests a second of the heaviest accounts."""

    def position(self) -> messages.Position:
        """Returns how far the declarations are folded."""

    def on_entry_position(
        self, incarnation: str, position: messages.Position
    ) -> None:
        """Is told how far an entry has folded the declarations."""

    def declarations_from(self, next_offset: int) -> messages.Declarations:
        """Returns what is known beyond an offset."""

    def on_declarations(self, message: messages.Declarations) -> None:
        """Takes what an entry knows."""

    def on_submit(self, submit: messages.Submit, sink: "AnswerSink") -> None:
        """Takes a request that has never been seen before."""

    def revoke(self, request_id: identifiers.RequestId) -> bool:
        """Keeps a request from starting; returns whether it has started."""

    def cancel(self, request_id: identifiers.RequestId) -> None:
        """Ends a request that nobody waits for any more."""

    def on_call(self, kind: str, body: bytes) -> "defer.Deferred[bytes]":
        """Answers another agent's question."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetentionPolicy:
    """How long and how much the agent keeps for entries that come back.

    Attributes:
        answer_retention_s: How long a finished answer is kept.
        orphan_timeout_s: How long a request keeps running while no entry that
            waits for its answer is connected.
        max_answer_bytes: Bytes of finished answers kept in all.
        coalesce_delay_s: How long a part of an answer body may be held back
            to be sent together with the next part.
    """

    answer_retention_s: float = 30.0
    orphan_timeout_s: float = 20.0
    max_answer_bytes: int = 24 * 1024 * 1024
    coalesce_delay_s: float = 0.004


class AnswerSink:
    """Takes the answer to one request and passes it on in frames.

    Attributes:
        buffer: The frames so far.
        readers: Incarnations of the entries that want them.
        finished_at_s: When it ended, or None.
        received: Whether an entry has confirmed the end.
    """

    __slots__ = (
        "buffer",
        "readers",
        "finished_at_s",
        "received",
        "_server",
        "_pending",
    )

    def __init__(
        self, buffer: answers.ReplayBuffer, reader: str, server: "LinkServer"
    ) -> None:
        self.buffer = buffer
        self.readers = {reader}
        self.finished_at_s: float | None = None
        self.received = False
        self._server = server
        self._pending: list[bytes] = []

    def write_head(
        self, status: int, headers: messages.Headers, queued_s: float
    ) -> None:
        """Passes on status and headers."""
        self._server.publish(
            self, self.buffer.add_head(status, headers, queued_s)
        )

    def write_data(self, data: bytes) -> None:
        """Passes on a part of the body, together with what follows soon.

        The first part goes at once: a caller waits for nothing as much.
        """
        self._pending.append(data)
        if self.buffer.next_frame == _FIRST_DATA_FRAME:
            self.flush()
        else:
            self._server.flush_later(self)

    def flush(self) -> None:
        """Passes on what has waited."""
        if self._pending:
            data = b"".join(self._pending)
            self._pending.clear()
            self._server.publish(self, self.buffer.add_data(data))

    def finish(self) -> None:
        """Ends the answer."""
        self.flush()
        frame = self.buffer.add_end(self._server.load())
        self._server.publish(self, frame)
        self._server.finished(self)

    def refuse(self, refusal: outcomes.Refusal) -> None:
        """Ends the request without an answer, or without the rest of it."""
        self.flush()
        refused = answers.refused_frame(self.buffer.id, refusal)
        self._server.publish(self, self.buffer.add_refusal(refused))
        self._server.finished(self)


class _EntryConnection(framing.MessageProtocol):
    """One connection from an entry."""

    decoder = messages.entry_message_decoder

    def __init__(self, server: "LinkServer") -> None:
        super().__init__()
        self.server = server
        self.incarnation = ""
        self.number = 0

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
    """Accepts entries and keeps answers until they are surely received.

    Attributes:
        incarnation: The agent's incarnation.
        endpoint: Name of its endpoint.
    """

    def __init__(
        self,
        incarnation: str,
        endpoint: str,
        handler: RequestHandler,
        clock: Any,
        keeping: RetentionPolicy,
    ) -> None:
        """Starts without connections.

        Args:
            incarnation: The agent's incarnation.
            endpoint: Name of its endpoint.
            handler: What to do with requests.
            clock: A Twisted ``IReactorTime``.
            keeping: What to keep and how long.
        """
        self.incarnation = incarnation
        self.endpoint = endpoint
        self._handler = handler
        self._clock = clock
        self._keeping = keeping
        self._connections: dict[str, _EntryConnection] = {}
        self._sinks: dict[identifiers.RequestId, AnswerSink] = {}
        self._finished: collections.deque[AnswerSink] = collections.deque()
        self._finished_bytes = 0
        self._memory = attempt_history.AttemptHistory(_MOST_REMEMBERED_IDS)
        self._dirty: dict[identifiers.RequestId, AnswerSink] = {}
        self._flush_timer: Any = None

    @property
    def unconfirmed_answers(self) -> int:
        """Ended answers that a connected entry has not confirmed yet."""
        return sum(
            1
            for sink in self._finished
            if not sink.received and self._has_reader(sink)
        )

    def buildProtocol(self, addr: Any) -> _EntryConnection:  # noqa: N802
        """Returns the protocol of a new connection."""
        connection = _EntryConnection(self)
        connection.factory = self
        return connection

    def load(self) -> messages.EndpointLoad:
        """Returns the load of the endpoint."""
        return self._handler.load()

    def broadcast_load(self) -> None:
        """Tells all entries the load without being asked."""
        for connection in self._connections.values():
            connection.send(self._pong())

    def fetch_declarations(self, incarnation: str, next_offset: int) -> None:
        """Asks an entry for what it knows beyond an offset."""
        connection = self._connections.get(incarnation)
        if connection is not None:
            connection.send(messages.FetchDeclarations(next_offset))

    def publish(self, sink: AnswerSink, frame: msgspec.Struct) -> None:
        """Sends a frame to the entries that want it."""
        for reader in sink.readers:
            connection = self._connections.get(reader)
            if connection is not None:
                connection.send(frame)

    def flush_later(self, sink: AnswerSink) -> None:
        """Sees to it that what waits in a sink is passed on soon."""
        if self._keeping.coalesce_delay_s <= 0:
            sink.flush()
            return
        self._dirty[sink.buffer.id] = sink
        if self._flush_timer is None:
            self._flush_timer = self._clock.callLater(
                self._keeping.coalesce_delay_s, self._flush_all
            )

    def finished(self, sink: AnswerSink) -> None:
        """Is told that an answer has ended."""
        sink.finished_at_s = self._clock.seconds()
        self._finished.append(sink)
        self._finished_bytes += sink.buffer.size_bytes
        self._forget_old()

    def connection_lost(self, connection: _EntryConnection) -> None:
        """Is told by a connection that it has ended."""
        if self._connections.get(connection.incarnation) is connection:
            del self._connections[connection.incarnation]
            self._clock.callLater(
                self._keeping.orphan_timeout_s, self._cancel_orphans
            )

    def message_received(
        self, connection: _EntryConnection, message: Any
    ) -> None:
        """Takes a message of an entry."""
        handler = self._HANDLERS[type(message)]
        handler(self, connection, message)

    def close(self) -> None:
        """Ends all connections after what was written has been sent."""
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_all()
        for connection in list(self._connections.values()):
            if connection.transport is not None:
                connection.transport.loseConnection()

    def _pong(self) -> messages.Pong:
        return messages.Pong(
            self._handler.position(),
            self._handler.load(),
            self._handler.heaviest_accounts(),
        )

    def _flush_all(self) -> None:
        self._flush_timer = None
        dirty, self._dirty = self._dirty, {}
        for sink in dirty.values():
            sink.flush()

    def _forget_old(self) -> None:
        now_s = self._clock.seconds()
        while self._finished:
            oldest = self._finished[0]
            assert oldest.finished_at_s is not None
            is_old = (
                oldest.finished_at_s + self._keeping.answer_retention_s < now_s
            )
            if (
                not is_old
                and self._finished_bytes <= self._keeping.max_answer_bytes
            ):
                return
            self._finished.popleft()
            self._finished_bytes -= oldest.buffer.size_bytes
            self._sinks.pop(oldest.buffer.id, None)

    def _cancel_orphans(self) -> None:
        for request_id, sink in list(self._sinks.items()):
            if sink.finished_at_s is None and not self._has_reader(sink):
                self._handler.cancel(request_id)

    def _has_reader(self, sink: AnswerSink) -> bool:
        return any(reader in self._connections for reader in sink.readers)

    def _hello(
        self, connection: _EntryConnection, message: messages.Hello
    ) -> None:
        if message.version != messages.PROTOCOL_VERSION:
            raise ValueError(f"protocol version {message.version}")
        older = self._connections.get(message.incarnation)
        if older is not None and older.number >= message.connection:
            connection.discard_input()
            connection.abort()
            return
        if older is not None:
            older.discard_input()
            older.abort()
        connection.incarnation = message.incarnation
        connection.number = message.connection
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

    def _submit(
        self, connection: _EntryConnection, message: messages.Submit
    ) -> None:
        if message.id in self._sinks:
            return
        is_known = self._memory.may_have_seen(message.id)
        if is_known or message.agent_incarnation != self.incarnation:
            self._refuse_submit(connection, message, is_known)
            return
        self._memory.add(message.id)
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
        is_known: bool,
    ) -> None:
        if is_known and not self._memory.is_revoked(message.id):
            self._send_lost(connection, message.id)
            return
        self._send_never(connection, message.id)

    def _send_never(
        self, connection: _EntryConnection, request_id: identifiers.RequestId
    ) -> None:
        refusal = outcomes.not_run(
            outcomes.Reason.REVOKED, "the attempt was revoked in time"
        )
        connection.send(answers.refused_frame(request_id, refusal))

    def _send_lost(
        self, connection: _EntryConnection, request_id: identifiers.RequestId
    ) -> None:
        refusal = outcomes.may_have_run(
            outcomes.Reason.ANSWER_LOST, "the answer is not kept any more"
        )
        connection.send(answers.refused_frame(request_id, refusal))

    def _resume(
        self, connection: _EntryConnection, message: messages.Resume
    ) -> None:
        sink = self._sinks.get(message.id)
        if sink is None:
            self._resume_unknown(connection, message)
        elif sink.buffer.account != message.account:
            self._send_lost(connection, message.id)
        else:
            sink.readers.add(connection.incarnation)
            connection.send_batch(sink.buffer.frames_from(message.next_frame))

    def _resume_unknown(
        self, connection: _EntryConnection, message: messages.Resume
    ) -> None:
        is_own = message.id.incarnation == connection.incarnation
        if not is_own or self._memory.may_have_run(message.id):
            self._send_lost(connection, message.id)
            return
        self._memory.revoke(message.id)
        self._send_never(connection, message.id)

    def _revoke(
        self, connection: _EntryConnection, message: messages.Revoke
    ) -> None:
        sink = self._sinks.get(message.id)
        if sink is None:
            started = self._memory.may_have_run(message.id)
        elif sink.finished_at_s is not None:
            # The end is on its way to the entry and says more.
            started = True
        else:
            started = self._handler.revoke(message.id)
        if not started:
            self._memory.revoke(message.id)
            self._sinks.pop(message.id, None)
        connection.send(messages.Revoked(message.id, started))

    def _cancel(
        self, connection: _EntryConnection, message: messages.Cancel
    ) -> None:
        self._memory.revoke_unseen(message.id)
        sink = self._sinks.get(message.id)
        if sink is not None and sink.finished_at_s is None:
            self._handler.cancel(message.id)

    def _received(
        self, connection: _EntryConnection, message: messages.AnswerReceived
    ) -> None:
        sink = self._sinks.get(message.id)
        if sink is not None:
            sink.received = True

    def _ping(
        self, connection: _EntryConnection, message: messages.Ping
    ) -> None:
        self._handler.on_entry_position(
            connection.incarnation, message.position
        )
        connection.send(self._pong())
        self._forget_old()

    def _call(
        self, connection: _EntryConnection, message: messages.Call
    ) -> None:
        def reply(body: bytes) -> None:
            connection.send(messages.Reply(message.call_id, body))

        # A question that fails stays without an answer; the asker's time-out
        # tells it.
        answering = self._handler.on_call(message.kind, message.body)
        answering.addCallbacks(reply, lambda _: None)

    def _fetch(
        self, connection: _EntryConnection, message: messages.FetchDeclarations
    ) -> None:
        connection.send(self._handler.declarations_from(message.next_offset))

    def _declarations(
        self, connection: _EntryConnection, message: messages.Declarations
    ) -> None:
        self._handler.on_declarations(message)

    _HANDLERS: dict[
        type, Callable[["LinkServer", _EntryConnection, Any], None]
    ] = {
        messages.Hello: _hello,
        messages.Submit: _submit,
        messages.Resume: _resume,
        messages.Revoke: _revoke,
        messages.Cancel: _cancel,
        messages.AnswerReceived: _received,
        messages.Ping: _ping,
        messages.Call: _call,
        messages.FetchDeclarations: _fetch,
        messages.Declarations: _declarations,
    }
