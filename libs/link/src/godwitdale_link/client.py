"""The entry's end: one agent, one live connection, many attempts.

A connection that is silent for too long is replaced by a new one, and every
attempt resumes there from the next frame it lacks. The connection goes through
the states of ``_Machine``.
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
    """Takes what becomes of one attempt."""

    def on_answer_head(self, head: messages.AnswerHead) -> None:
        """Takes status and headers."""

    def on_answer_data(self, number: int, data: bytes) -> None:
        """Takes a part of the body, in order and once."""

    def on_answer_end(self) -> None:
        """Is told that the answer is whole."""

    def on_answer_refused(self, refusal: outcomes.Refusal) -> None:
        """Is told that there will be no answer, or no rest of it."""

    def on_revoke_result(self, started: bool) -> None:
        """Is told whether a revoked attempt has started."""


class LinkHost(Protocol):
    """What a link needs from the process that owns it."""

    def position(self) -> messages.Position:
        """Returns how far the declarations are folded."""

    def on_agent_position(
        self, endpoint: str, position: messages.Position
    ) -> None:
        """Is told how far an agent has folded the declarations."""

    def declarations_from(self, next_offset: int) -> messages.Declarations:
        """Returns what is known beyond an offset."""

    def on_declarations(self, message: messages.Declarations) -> None:
        """Takes what an agent knows."""

    def on_load_report(
        self,
        endpoint: str,
        load: messages.EndpointLoad,
        accounts: list[tuple[str, float]] | None,
    ) -> None:
        """Takes a load report; accounts are None where it has none."""

    def on_agent_restart(self, endpoint: str) -> None:
        """Is told that an agent has a new incarnation."""


@dataclasses.dataclass(frozen=True, slots=True)
class LinkTiming:
    """Times of a link.

    Attributes:
        heartbeat_interval_s: Time without any message after which a heartbeat
            is sent while attempts are in progress. Any message that arrives
            counts as a heartbeat.
        idle_heartbeat_interval_s: Time between the heartbeats that only
            exchange log positions and load.
        heartbeat_timeout_s: Maximum time that a heartbeat stays unanswered
            before a new connection is opened.
        connect_timeout_s: Time that a connection may take to open.
        disconnect_grace_s: Time without a connection after which all attempts
            are reported as lost.
        reconnect_delay_s: Time between tries to connect.
    """

    heartbeat_interval_s: float = 1.0
    idle_heartbeat_interval_s: float = 2.0
    heartbeat_timeout_s: float = 3.0
    connect_timeout_s: float = 2.0
    disconnect_grace_s: float = 6.0
    reconnect_delay_s: float = 0.25


@dataclasses.dataclass(slots=True)
class _Attempt:
    """One attempt that has not ended."""

    submit: messages.Submit | messages.Resume
    receiver: AnswerReceiver
    agent: str = ""
    assembly: answers.AnswerAssembler = dataclasses.field(
        default_factory=answers.AnswerAssembler
    )
    handed_over: bool = False


def _lost(attempt: _Attempt, endpoint: str) -> outcomes.Refusal:
    if attempt.handed_over:
        return outcomes.may_have_run(
            outcomes.Reason.ENDPOINT_LOST, f"the agent of {endpoint} is lost"
        )
    return outcomes.not_run(
        outcomes.Reason.ENDPOINT_LOST,
        f"the agent of {endpoint} could not be reached",
    )


class AgentLink:
    """All that an entry has under way with one agent.

    Attributes:
        endpoint: Name of the agent's endpoint.
        replaced_connections: Counts connections replaced for silence.
        dropped_frames: Counts frames of attempts that are not known.
    """

    def __init__(
        self,
        endpoint: str,
        connect: interfaces.IStreamClientEndpoint,
        incarnation: str,
        host: LinkHost,
        clock: Any,
        timing: LinkTiming,
    ) -> None:
        """Starts without a connection.

        Args:
            endpoint: Name of the agent's endpoint.
            connect: Opens a connection to the agent.
            incarnation: The entry's incarnation.
            host: The process that owns the link.
            clock: A Twisted ``IReactorTime``.
            timing: Times of the link.
        """
        self.endpoint = endpoint
        self.replaced_connections = 0
        self.dropped_frames = 0
        self._connect = connect
        self._incarnation = incarnation
        self._host = host
        self._clock = clock
        self._timing = timing
        self._attempts: dict[identifiers.RequestId, _Attempt] = {}
        self._agent = ""
        self._connections = 0
        self._live: connection_lib.AgentConnection | None = None
        self._is_open = False
        self._questions: dict[
            int, tuple[messages.Call, defer.Deferred[bytes]]
        ] = {}
        self._calls = 0
        self._down_since_s: float | None = None
        self._has_failed = False
        self._timer: Any = None
        self._connecting: Any = None
        self._machine = connection_lib.Machine(
            connection_lib.Opener(self._open_connection)
        )

    @property
    def is_open(self) -> bool:
        """Whether the agent has answered on the live connection."""
        return self._is_open

    @property
    def has_failed(self) -> bool:
        """Whether the last connection failed and no new one stands yet."""
        return self._has_failed

    @property
    def attempt_count(self) -> int:
        """Attempts that have not ended."""
        return len(self._attempts)

    @property
    def traffic_bytes(self) -> tuple[int, int]:
        """Bytes received and sent on the live connection."""
        if self._live is None:
            return 0, 0
        return self._live.received_bytes, self._live.sent_bytes

    def open(self) -> None:
        """Opens the connection where there is none."""
        self._machine.wanted()

    def submit(self, submit: messages.Submit, receiver: AnswerReceiver) -> None:
        """Hands a request to the agent.

        Args:
            submit: The request; the agent's incarnation is filled in here.
            receiver: Takes what becomes of it.
        """
        self._start(submit.id, _Attempt(submit, receiver))

    def resume(self, resume: messages.Resume, receiver: AnswerReceiver) -> None:
        """Takes over an answer that another entry began to receive.

        Args:
            resume: The attempt. It asks for all frames, so that the digest
                can be checked; the receiver passes over what the caller has.
            receiver: Takes the frames.
        """
        attempt = _Attempt(resume, receiver, handed_over=True)
        self._start(resume.id, attempt)

    def revoke(self, request_id: identifiers.RequestId) -> None:
        """Asks that an attempt never starts."""
        attempt = self._attempts.get(request_id)
        if attempt is None:
            return
        if not attempt.handed_over:
            del self._attempts[request_id]
            attempt.receiver.on_revoke_result(started=False)
            return
        self._send(messages.Revoke(request_id))

    def cancel(self, request_id: identifiers.RequestId) -> None:
        """Ends an attempt that nobody waits for any more."""
        attempt = self._attempts.pop(request_id, None)
        if attempt is not None and attempt.handed_over:
            self._send(messages.Cancel(request_id))

    def call(self, kind: str, body: bytes) -> "defer.Deferred[bytes]":
        """Asks the agent something that is no caller's request.

        Args:
            kind: What is asked.
            body: The question.

        Returns:
            Fires with the answer. It may never come; set a time-out.
        """
        self._calls += 1
        number = self._calls

        def forget(_: Any) -> None:
            self._questions.pop(number, None)

        asked: defer.Deferred[bytes] = defer.Deferred(forget)
        self._questions[number] = (messages.Call(number, kind, body), asked)
        self._machine.wanted()
        self._send(self._questions[number][0])
        return asked

    def close(self) -> None:
        """Ends the connection; attempts under way are lost."""
        self._machine.closed()
        self._stop_timer()
        self._drop_live()
        self._lose_all()

    def connection_made(
        self, connection: connection_lib.AgentConnection
    ) -> None:
        """Is told by a connection that it stands."""
        if self._live is not None:
            self._live.discard_input()
            self._live.abort()
        self._live = connection
        now_s = self._clock.seconds()
        connection.last_heard_s = now_s
        connection.pinged_at_s = now_s
        connection.unanswered_since_s = now_s
        hello = messages.Hello(
            self._incarnation, self._connections, self._host.position()
        )
        connection.send(hello)

    def connection_lost(
        self, connection: connection_lib.AgentConnection
    ) -> None:
        """Is told by a connection that it has ended."""
        if connection is self._live:
            self._live = None
            self._broken()

    def message_received(
        self, connection: connection_lib.AgentConnection, message: Any
    ) -> None:
        """Takes a message of the live connection."""
        if connection is not self._live:
            return
        connection.last_heard_s = self._clock.seconds()
        connection.unanswered_since_s = None
        handler = self._HANDLERS[type(message)]
        handler(self, message)

    def _start(
        self, request_id: identifiers.RequestId, attempt: _Attempt
    ) -> None:
        self._attempts[request_id] = attempt
        self._machine.wanted()
        if self._is_open:
            self._hand_over(attempt)

    def _hand_over(self, attempt: _Attempt) -> None:
        attempt.agent = self._agent
        attempt.handed_over = True
        message = attempt.submit
        if isinstance(message, messages.Submit):
            message = structs.replace(message, agent_incarnation=self._agent)
        self._send(message)

    def _open_connection(self) -> None:
        self._connections += 1
        if self._down_since_s is None:
            self._down_since_s = self._clock.seconds()
        factory = protocol.Factory.forProtocol(
            lambda: connection_lib.AgentConnection(self)
        )
        opening = self._connect.connect(factory)
        self._connecting = opening
        opening.addTimeout(self._timing.connect_timeout_s, self._clock)
        opening.addErrback(self._connect_failed)
        self._arm_timer()

    def _connect_failed(self, reason: failure.Failure) -> None:
        reason.trap(error.ConnectError, error.TimeoutError, Exception)
        self._broken()

    def _broken(self) -> None:
        self._is_open = False
        self._has_failed = True
        if self._down_since_s is None:
            self._down_since_s = self._clock.seconds()
        self._machine.broken()
        never_sent = [
            each for each in self._attempts.values() if not each.handed_over
        ]
        if never_sent:
            self._lose(never_sent)
        if self._attempts:
            self._clock.callLater(
                self._timing.reconnect_delay_s, self._machine.wanted
            )

    def _arm_timer(self) -> None:
        if self._timer is None or not self._timer.active():
            self._timer = self._clock.callLater(
                self._timing.heartbeat_interval_s, self._beat
            )

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _beat(self) -> None:
        self._timer = None
        self._check_silence()
        self._check_given_up()
        if self._is_open and self._live is not None:
            self._ping_if_due(self._live)
        if self._is_open or self._attempts or self._live is not None:
            self._arm_timer()

    def _ping_if_due(self, live: connection_lib.AgentConnection) -> None:
        now_s = self._clock.seconds()
        is_silent = (
            now_s - live.last_heard_s >= self._timing.heartbeat_interval_s
        )
        is_needed = bool(self._attempts) and is_silent
        if (
            is_needed
            or now_s - live.pinged_at_s
            >= self._timing.idle_heartbeat_interval_s
        ):
            live.pinged_at_s = now_s
            if live.unanswered_since_s is None:
                live.unanswered_since_s = now_s
            self._send(messages.Ping(self._host.position()))

    def _check_silence(self) -> None:
        live = self._live
        if live is None or live.unanswered_since_s is None:
            return
        silent_s = self._clock.seconds() - live.unanswered_since_s
        if silent_s >= self._timing.heartbeat_timeout_s:
            self.replaced_connections += 1
            self._drop_live()
            self._broken()
            self._machine.wanted()

    def _check_given_up(self) -> None:
        if self._down_since_s is None:
            return
        down_s = self._clock.seconds() - self._down_since_s
        if down_s >= self._timing.disconnect_grace_s:
            self._lose_all()

    def _drop_live(self) -> None:
        live, self._live = self._live, None
        self._is_open = False
        if live is not None:
            live.discard_input()
            live.abort()

    def _lose_all(self) -> None:
        self._lose(list(self._attempts.values()))

    def _lose(self, lost: list[_Attempt]) -> None:
        for attempt in lost:
            self._attempts.pop(attempt.submit.id, None)
        for attempt in lost:
            attempt.receiver.on_answer_refused(_lost(attempt, self.endpoint))

    def _send(self, message: Any) -> None:
        if self._live is not None and self._is_open:
            self._live.send(message)

    def _welcomed(self, message: messages.Welcome) -> None:
        restarted = self._agent not in ("", message.incarnation)
        self._agent = message.incarnation
        self._is_open = True
        self._down_since_s = None
        self._has_failed = False
        self._machine.opened()
        if restarted:
            self._host.on_agent_restart(self.endpoint)
        self._host.on_agent_position(self.endpoint, message.position)
        self._host.on_load_report(self.endpoint, message.load, None)
        self._resume_all()
        for question, _ in self._questions.values():
            self._send(question)

    def _replied(self, message: messages.Reply) -> None:
        _, asked = self._questions.pop(message.call_id, (None, None))
        if asked is not None:
            asked.callback(message.body)

    def _resume_all(self) -> None:
        strangers = []
        for request_id, attempt in list(self._attempts.items()):
            if not attempt.handed_over or attempt.agent == "":
                self._hand_over(attempt)
            elif attempt.agent != self._agent:
                strangers.append(attempt)
            else:
                account = attempt.submit.account
                next_frame = attempt.assembly.next_frame
                self._send(messages.Resume(request_id, account, next_frame))
        self._lose(strangers)

    def _ponged(self, message: messages.Pong) -> None:
        self._host.on_agent_position(self.endpoint, message.position)
        self._host.on_load_report(
            self.endpoint, message.load, message.account_rates
        )

    def _fetched(self, message: messages.FetchDeclarations) -> None:
        self._send(self._host.declarations_from(message.next_offset))

    def fetch_declarations(self, next_offset: int) -> None:
        """Asks the agent for what it knows beyond an offset."""
        self._send(messages.FetchDeclarations(next_offset))

    def _declarations(self, message: messages.Declarations) -> None:
        self._host.on_declarations(message)

    def _known(self, request_id: identifiers.RequestId) -> _Attempt | None:
        attempt = self._attempts.get(request_id)
        if attempt is None:
            self.dropped_frames += 1
        return attempt

    def _head(self, message: messages.AnswerHead) -> None:
        attempt = self._known(message.id)
        if attempt is None:
            return
        progress = attempt.assembly.accept_head()
        if progress is answers.FrameResult.ADVANCED:
            attempt.receiver.on_answer_head(message)

    def _data(self, message: messages.AnswerData) -> None:
        attempt = self._known(message.id)
        if attempt is None:
            return
        progress = attempt.assembly.accept_data(
            message.frame_number, message.data
        )
        if progress is answers.FrameResult.ADVANCED:
            attempt.receiver.on_answer_data(message.frame_number, message.data)
        elif progress is answers.FrameResult.GAP:
            self._ask_again(message.id, attempt)

    def _end(self, message: messages.AnswerEnd) -> None:
        attempt = self._known(message.id)
        if attempt is None:
            return
        progress = attempt.assembly.accept_end(
            message.frame_number, message.digest
        )
        if progress is answers.FrameResult.GAP:
            self._ask_again(message.id, attempt)
        elif progress is answers.FrameResult.COMPLETE:
            del self._attempts[message.id]
            self._send(messages.AnswerReceived(message.id))
            self._host.on_load_report(self.endpoint, message.load, None)
            attempt.receiver.on_answer_end()
        elif progress is answers.FrameResult.DAMAGED:
            self._damaged(message.id, attempt)

    def _damaged(
        self, request_id: identifiers.RequestId, attempt: _Attempt
    ) -> None:
        del self._attempts[request_id]
        attempt.receiver.on_answer_refused(
            outcomes.ran(
                outcomes.Reason.ANSWER_LOST, "the answer arrived damaged"
            )
        )

    def _ask_again(
        self, request_id: identifiers.RequestId, attempt: _Attempt
    ) -> None:
        account = attempt.submit.account
        next_frame = attempt.assembly.next_frame
        self._send(messages.Resume(request_id, account, next_frame))

    def _refused(self, message: messages.Refused) -> None:
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

    def _revoked(self, message: messages.Revoked) -> None:
        attempt = self._known(message.id)
        if attempt is None:
            return
        if not message.started:
            del self._attempts[message.id]
        attempt.receiver.on_revoke_result(message.started)

    _HANDLERS: dict[type, Callable[["AgentLink", Any], None]] = {
        messages.Welcome: _welcomed,
        messages.Pong: _ponged,
        messages.FetchDeclarations: _fetched,
        messages.Declarations: _declarations,
        messages.AnswerHead: _head,
        messages.AnswerData: _data,
        messages.AnswerEnd: _end,
        messages.Refused: _refused,
        messages.Revoked: _revoked,
        messages.Reply: _replied,
    }
