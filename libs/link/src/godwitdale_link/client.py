"""The entry's side of a link: many attempts over one connection to an agent.

A connection whose heartbeat is not answered in time is replaced by a new one,
on which every attempt resumes from the first frame that it lacks.
``connection.ConnectionMachine`` holds the states of the connection.
"""

from collections.abc import Callable
import dataclasses
from typing import Any
from typing import Protocol

from msgspec import structs
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure

from godwitdale_link import answers
from godwitdale_link import connection as connection_lib
from godwitdale_link import messages
from godwitdale_verdicts import identifiers
from godwitdale_verdicts import outcomes
from godwitdale_verdicts import verdict as verdict_lib


class AnswerReceiver(Protocol):
    """Receives the answer to one attempt."""

    def on_answer_head(self, head: messages.AnswerHead) -> None:
        """Called with the status and the headers of the answer."""

    def on_answer_data(self, number: int, data: bytes) -> None:
        """Called once for each part of the body, in order.

        Args:
            number: Number of the frame, from 1.
            data: Part of the body.
        """

    def on_answer_end(self) -> None:
        """Called when the complete answer has arrived."""

    def on_answer_refused(self, refusal: outcomes.Refusal) -> None:
        """Called when the answer or its remaining part will not arrive.

        Args:
            refusal: End of the attempt without a complete answer. Its verdict
                says whether the request may have run.
        """

    def on_revoke_result(self, started: bool) -> None:
        """Called after ``revoke``; says whether the attempt has started."""


class LinkHost(Protocol):
    """Interface that a link needs from the process that owns it."""

    def position(self) -> messages.Position:
        """Returns the position of this process in the declaration log."""

    def on_agent_position(
        self, endpoint: str, position: messages.Position
    ) -> None:
        """Called with an agent's position in the declaration log."""

    def declarations_from(self, next_offset: int) -> messages.Declarations:
        """Returns the declarations from an offset on."""

    def on_declarations(self, message: messages.Declarations) -> None:
        """Called with declarations that an agent has sent."""

    def on_load_report(
        self,
        endpoint: str,
        load: messages.EndpointLoad,
        accounts: list[tuple[str, float]] | None,
    ) -> None:
        """Called with the load of an agent's endpoint.

        Args:
            endpoint: Name of the endpoint.
            load: Its load.
            accounts: Requests per second of the accounts with the most
                requests, or None if the message does not list them.
        """

    def on_agent_restart(self, endpoint: str) -> None:
        """Called when an agent has a new incarnation."""


@dataclasses.dataclass(frozen=True, slots=True)
class LinkTiming:
    """Intervals and timeouts of a link.

    Attributes:
        heartbeat_interval_s: Time without any message after which a heartbeat
            is sent while attempts are in progress. Any message that arrives
            counts as a heartbeat.
        idle_heartbeat_interval_s: Time between the heartbeats that only
            exchange log positions and load.
        heartbeat_timeout_s: Maximum time that a heartbeat stays unanswered
            before a new connection is opened.
        connect_timeout_s: Maximum time to open a connection.
        disconnect_grace_s: Time without a connection after which all attempts
            are reported as lost. Attempts that were not sent are reported as
            soon as a connection fails.
        reconnect_delay_s: Time between two attempts to connect.
    """

    heartbeat_interval_s: float = 1.0
    idle_heartbeat_interval_s: float = 2.0
    heartbeat_timeout_s: float = 3.0
    connect_timeout_s: float = 2.0
    disconnect_grace_s: float = 6.0
    reconnect_delay_s: float = 0.25


@dataclasses.dataclass(slots=True)
class _Attempt:
    """One attempt that has not ended.

    Attributes:
        first_message: Message that starts the attempt on this link.
        receiver: Receives the answer.
        agent_incarnation: Incarnation of the agent that the first message was
            sent to; empty if it was not sent on this link.
        assembler: Checks the order of the frames of the answer.
        is_sent: Whether an agent may have received the request.
    """

    first_message: messages.Submit | messages.Resume
    receiver: AnswerReceiver
    agent_incarnation: str = ""
    assembler: answers.AnswerAssembler = dataclasses.field(
        default_factory=answers.AnswerAssembler
    )
    is_sent: bool = False


def _lost_refusal(attempt: _Attempt, endpoint: str) -> outcomes.Refusal:
    if attempt.is_sent:
        return outcomes.may_have_run(
            outcomes.Reason.ENDPOINT_LOST, f"the agent of {endpoint} is lost"
        )
    return outcomes.not_run(
        outcomes.Reason.ENDPOINT_LOST,
        f"the agent of {endpoint} could not be reached",
    )


class AgentLink:
    """Link from an entry to one agent, with all attempts in progress there.

    Attributes:
        endpoint: Name of the agent's endpoint.
        replaced_connections: Number of connections that were replaced because
            a heartbeat was not answered in time.
        dropped_frames: Number of frames that were dropped because their
            attempt is unknown.
    """

    def __init__(
        self,
        endpoint: str,
        stream_endpoint: interfaces.IStreamClientEndpoint,
        incarnation: str,
        host: LinkHost,
        clock: Any,
        timing: LinkTiming,
    ) -> None:
        """Creates a link without a connection.

        Args:
            endpoint: Name of the agent's endpoint.
            stream_endpoint: Opens a connection to the agent.
            incarnation: The entry's incarnation.
            host: Interface of the process that owns the link.
            clock: A Twisted ``IReactorTime``.
            timing: Intervals and timeouts of the link.
        """
        self.endpoint = endpoint
        self.replaced_connections = 0
        self.dropped_frames = 0
        self._stream_endpoint = stream_endpoint
        self._incarnation = incarnation
        self._host = host
        self._clock = clock
        self._timing = timing
        self._attempts: dict[identifiers.RequestId, _Attempt] = {}
        self._agent_incarnation = ""
        self._connection_count = 0
        self._connection: connection_lib.AgentConnection | None = None
        self._is_open = False
        self._pending_calls: dict[
            int, tuple[messages.Call, defer.Deferred[bytes]]
        ] = {}
        self._call_count = 0
        self._disconnected_at_s: float | None = None
        self._has_failed = False
        self._heartbeat_timer: Any = None
        self._connecting: Any = None
        self._machine = connection_lib.ConnectionMachine(
            connection_lib.ConnectionOpener(self._open_connection)
        )

    @property
    def is_open(self) -> bool:
        """Whether the agent has answered ``Hello`` on the connection."""
        return self._is_open

    @property
    def has_failed(self) -> bool:
        """Whether the last connection failed and no new one is open yet."""
        return self._has_failed

    @property
    def attempt_count(self) -> int:
        """Number of attempts that have not ended."""
        return len(self._attempts)

    @property
    def traffic_bytes(self) -> tuple[int, int]:
        """Numbers of bytes received and sent on the current connection."""
        if self._connection is None:
            return 0, 0
        return self._connection.received_bytes, self._connection.sent_bytes

    def open(self) -> None:
        """Opens a connection if there is none."""
        self._machine.connection_needed()

    def submit(self, submit: messages.Submit, receiver: AnswerReceiver) -> None:
        """Sends a request to the agent.

        Args:
            submit: The request; the link fills in the agent's incarnation.
            receiver: Receives the answer.
        """
        self._add_attempt(submit.id, _Attempt(submit, receiver))

    def resume(self, resume: messages.Resume, receiver: AnswerReceiver) -> None:
        """Receives an answer that another entry began to receive.

        Args:
            resume: Names the attempt and requests all frames, so that the
                digest can be checked. The receiver skips the frames that the
                caller already has.
            receiver: Receives the answer.
        """
        attempt = _Attempt(resume, receiver, is_sent=True)
        self._add_attempt(resume.id, attempt)

    def revoke(self, request_id: identifiers.RequestId) -> None:
        """Prevents an attempt from starting, if it has not started yet."""
        attempt = self._attempts.get(request_id)
        if attempt is None:
            return
        if not attempt.is_sent:
            del self._attempts[request_id]
            attempt.receiver.on_revoke_result(started=False)
            return
        self._send(messages.Revoke(request_id))

    def cancel(self, request_id: identifiers.RequestId) -> None:
        """Cancels an attempt whose answer is no longer needed."""
        attempt = self._attempts.pop(request_id, None)
        if attempt is not None and attempt.is_sent:
            self._send(messages.Cancel(request_id))

    def call(self, kind: str, body: bytes) -> "defer.Deferred[bytes]":
        """Calls an operation of the agent itself, not of its endpoint.

        Args:
            kind: Name of the operation.
            body: Encoded argument of the operation.

        Returns:
            A Deferred that fires with the encoded result. It may never fire,
            so callers set a timeout.
        """
        self._call_count += 1
        call_id = self._call_count

        def remove_call(_: Any) -> None:
            self._pending_calls.pop(call_id, None)

        reply: defer.Deferred[bytes] = defer.Deferred(remove_call)
        self._pending_calls[call_id] = (
            messages.Call(call_id, kind, body),
            reply,
        )
        self._machine.connection_needed()
        self._send(self._pending_calls[call_id][0])
        return reply

    def close(self) -> None:
        """Closes the connection and reports all attempts as lost."""
        self._machine.link_closed()
        self._stop_heartbeat_timer()
        self._drop_connection()
        self._report_all_lost()

    def connection_made(
        self, connection: connection_lib.AgentConnection
    ) -> None:
        """Sends ``Hello`` on a new connection, which replaces any other."""
        if self._connection is not None:
            self._connection.discard_input()
            self._connection.abort()
        self._connection = connection
        now_s = self._clock.seconds()
        connection.last_received_at_s = now_s
        connection.pinged_at_s = now_s
        connection.unanswered_since_s = now_s
        hello = messages.Hello(
            self._incarnation, self._connection_count, self._host.position()
        )
        connection.send(hello)

    def connection_lost(
        self, connection: connection_lib.AgentConnection
    ) -> None:
        """Handles the loss of the current connection."""
        if connection is self._connection:
            self._connection = None
            self._on_connection_failed()

    def message_received(
        self, connection: connection_lib.AgentConnection, message: Any
    ) -> None:
        """Handles a message that arrives on the current connection."""
        if connection is not self._connection:
            return
        connection.last_received_at_s = self._clock.seconds()
        connection.unanswered_since_s = None
        handler = self._HANDLERS[type(message)]
        handler(self, message)

    def _add_attempt(
        self, request_id: identifiers.RequestId, attempt: _Attempt
    ) -> None:
        self._attempts[request_id] = attempt
        self._machine.connection_needed()
        if self._is_open:
            self._send_attempt(attempt)

    def _send_attempt(self, attempt: _Attempt) -> None:
        attempt.agent_incarnation = self._agent_incarnation
        attempt.is_sent = True
        message = attempt.first_message
        if isinstance(message, messages.Submit):
            message = structs.replace(
                message, agent_incarnation=self._agent_incarnation
            )
        self._send(message)

    def _open_connection(self) -> None:
        self._connection_count += 1
        if self._disconnected_at_s is None:
            self._disconnected_at_s = self._clock.seconds()
        factory = protocol.Factory.forProtocol(
            lambda: connection_lib.AgentConnection(self)
        )
        connecting = self._stream_endpoint.connect(factory)
        self._connecting = connecting
        connecting.addTimeout(self._timing.connect_timeout_s, self._clock)
        connecting.addErrback(self._on_connect_error)
        self._start_heartbeat_timer()

    def _on_connect_error(self, reason: failure.Failure) -> None:
        reason.trap(error.ConnectError, error.TimeoutError, Exception)
        self._on_connection_failed()

    def _on_connection_failed(self) -> None:
        self._is_open = False
        self._has_failed = True
        if self._disconnected_at_s is None:
            self._disconnected_at_s = self._clock.seconds()
        self._machine.connection_failed()
        unsent = [each for each in self._attempts.values() if not each.is_sent]
        if unsent:
            self._report_lost(unsent)
        if self._attempts:
            self._clock.callLater(
                self._timing.reconnect_delay_s, self._machine.connection_needed
            )

    def _start_heartbeat_timer(self) -> None:
        if self._heartbeat_timer is None or not self._heartbeat_timer.active():
            self._heartbeat_timer = self._clock.callLater(
                self._timing.heartbeat_interval_s, self._on_heartbeat_timer
            )

    def _stop_heartbeat_timer(self) -> None:
        if self._heartbeat_timer is not None and self._heartbeat_timer.active():
            self._heartbeat_timer.cancel()
        self._heartbeat_timer = None

    def _on_heartbeat_timer(self) -> None:
        self._heartbeat_timer = None
        self._check_heartbeat_timeout()
        self._check_disconnect_grace()
        if self._is_open and self._connection is not None:
            self._ping_if_due(self._connection)
        if self._is_open or self._attempts or self._connection is not None:
            self._start_heartbeat_timer()

    def _ping_if_due(self, connection: connection_lib.AgentConnection) -> None:
        now_s = self._clock.seconds()
        is_silent = (
            now_s - connection.last_received_at_s
            >= self._timing.heartbeat_interval_s
        )
        is_needed = bool(self._attempts) and is_silent
        if (
            is_needed
            or now_s - connection.pinged_at_s
            >= self._timing.idle_heartbeat_interval_s
        ):
            connection.pinged_at_s = now_s
            if connection.unanswered_since_s is None:
                connection.unanswered_since_s = now_s
            self._send(messages.Ping(self._host.position()))

    def _check_heartbeat_timeout(self) -> None:
        connection = self._connection
        if connection is None or connection.unanswered_since_s is None:
            return
        unanswered_s = self._clock.seconds() - connection.unanswered_since_s
        if unanswered_s >= self._timing.heartbeat_timeout_s:
            self.replaced_connections += 1
            self._drop_connection()
            self._on_connection_failed()
            self._machine.connection_needed()

    def _check_disconnect_grace(self) -> None:
        if self._disconnected_at_s is None:
            return
        disconnected_s = self._clock.seconds() - self._disconnected_at_s
        if disconnected_s >= self._timing.disconnect_grace_s:
            self._report_all_lost()

    def _drop_connection(self) -> None:
        connection, self._connection = self._connection, None
        self._is_open = False
        if connection is not None:
            connection.discard_input()
            connection.abort()

    def _report_all_lost(self) -> None:
        self._report_lost(list(self._attempts.values()))

    def _report_lost(self, attempts: list[_Attempt]) -> None:
        for attempt in attempts:
            self._attempts.pop(attempt.first_message.id, None)
        for attempt in attempts:
            attempt.receiver.on_answer_refused(
                _lost_refusal(attempt, self.endpoint)
            )

    def _send(self, message: Any) -> None:
        if self._connection is not None and self._is_open:
            self._connection.send(message)

    def _on_welcome(self, message: messages.Welcome) -> None:
        has_restarted = self._agent_incarnation not in ("", message.incarnation)
        self._agent_incarnation = message.incarnation
        self._is_open = True
        self._disconnected_at_s = None
        self._has_failed = False
        self._machine.connection_opened()
        if has_restarted:
            self._host.on_agent_restart(self.endpoint)
        self._host.on_agent_position(self.endpoint, message.position)
        self._host.on_load_report(self.endpoint, message.load, None)
        self._resume_all()
        for call, _ in self._pending_calls.values():
            self._send(call)

    def _on_reply(self, message: messages.Reply) -> None:
        _, reply = self._pending_calls.pop(message.call_id, (None, None))
        if reply is not None:
            reply.callback(message.body)

    def _resume_all(self) -> None:
        lost = []
        for request_id, attempt in list(self._attempts.items()):
            if not attempt.is_sent or attempt.agent_incarnation == "":
                self._send_attempt(attempt)
            elif attempt.agent_incarnation != self._agent_incarnation:
                lost.append(attempt)
            else:
                account = attempt.first_message.account
                next_frame = attempt.assembler.next_frame
                self._send(messages.Resume(request_id, account, next_frame))
        self._report_lost(lost)

    def _on_pong(self, message: messages.Pong) -> None:
        self._host.on_agent_position(self.endpoint, message.position)
        self._host.on_load_report(
            self.endpoint, message.load, message.account_rates
        )

    def _on_fetch_declarations(
        self, message: messages.FetchDeclarations
    ) -> None:
        self._send(self._host.declarations_from(message.next_offset))

    def fetch_declarations(self, next_offset: int) -> None:
        """Requests the declarations that the agent has from an offset on."""
        self._send(messages.FetchDeclarations(next_offset))

    def _on_declarations(self, message: messages.Declarations) -> None:
        self._host.on_declarations(message)

    def _find_attempt(
        self, request_id: identifiers.RequestId
    ) -> _Attempt | None:
        attempt = self._attempts.get(request_id)
        if attempt is None:
            self.dropped_frames += 1
        return attempt

    def _on_head(self, message: messages.AnswerHead) -> None:
        attempt = self._find_attempt(message.id)
        if attempt is None:
            return
        result = attempt.assembler.accept_head()
        if result is answers.FrameResult.ADVANCED:
            attempt.receiver.on_answer_head(message)

    def _on_data(self, message: messages.AnswerData) -> None:
        attempt = self._find_attempt(message.id)
        if attempt is None:
            return
        result = attempt.assembler.accept_data(
            message.frame_number, message.data
        )
        if result is answers.FrameResult.ADVANCED:
            attempt.receiver.on_answer_data(message.frame_number, message.data)
        elif result is answers.FrameResult.GAP:
            self._send_resume(message.id, attempt)

    def _on_end(self, message: messages.AnswerEnd) -> None:
        attempt = self._find_attempt(message.id)
        if attempt is None:
            return
        result = attempt.assembler.accept_end(
            message.frame_number, message.digest
        )
        if result is answers.FrameResult.GAP:
            self._send_resume(message.id, attempt)
        elif result is answers.FrameResult.COMPLETE:
            del self._attempts[message.id]
            self._send(messages.AnswerReceived(message.id))
            self._host.on_load_report(self.endpoint, message.load, None)
            attempt.receiver.on_answer_end()
        elif result is answers.FrameResult.DAMAGED:
            self._report_damaged(message.id, attempt)

    def _report_damaged(
        self, request_id: identifiers.RequestId, attempt: _Attempt
    ) -> None:
        del self._attempts[request_id]
        attempt.receiver.on_answer_refused(
            outcomes.ran(
                outcomes.Reason.ANSWER_LOST, "the answer arrived damaged"
            )
        )

    def _send_resume(
        self, request_id: identifiers.RequestId, attempt: _Attempt
    ) -> None:
        account = attempt.first_message.account
        next_frame = attempt.assembler.next_frame
        self._send(messages.Resume(request_id, account, next_frame))

    def _on_refused(self, message: messages.Refused) -> None:
        attempt = self._attempts.pop(message.id, None)
        if attempt is None:
            self.dropped_frames += 1
            return
        self._send(messages.AnswerReceived(message.id))
        refusal = outcomes.Refusal(
            outcomes.Reason(message.reason),
            message.detail,
            verdict_lib.Verdict(message.verdict),
            message.retry_after_s,
        )
        attempt.receiver.on_answer_refused(refusal)

    def _on_revoked(self, message: messages.Revoked) -> None:
        attempt = self._find_attempt(message.id)
        if attempt is None:
            return
        if not message.started:
            del self._attempts[message.id]
        attempt.receiver.on_revoke_result(message.started)

    _HANDLERS: dict[type, Callable[["AgentLink", Any], None]] = {
        messages.Welcome: _on_welcome,
        messages.Pong: _on_pong,
        messages.FetchDeclarations: _on_fetch_declarations,
        messages.Declarations: _on_declarations,
        messages.AnswerHead: _on_head,
        messages.AnswerData: _on_data,
        messages.AnswerEnd: _on_end,
        messages.Refused: _on_refused,
        messages.Revoked: _on_revoked,
        messages.Reply: _on_reply,
    }
