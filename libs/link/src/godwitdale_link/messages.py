"""Messages between an entry and an agent, as MessagePack.

All times are durations in seconds: the two ends share no clock.
"""

import msgspec

from godwitdale_verdicts import identifiers

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

Headers = list[tuple[str, str]]


class Position(msgspec.Struct, frozen=True, array_like=True):
    """How far the sender has folded the declarations.

    Attributes:
        next_offset: First offset that the sender has not folded.
        age_s: How long ago the sender knew that it was at the log's head.
    """

    next_offset: int
    age_s: float


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """The state of an endpoint, see ``choice.LoadReport`` for the fields."""

    running: int
    queued: int
    slots: int
    service_s: float
    step_s: float
    prefill_tokens_per_s: float
    is_draining: bool


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """Opens a connection; the first message of an entry.

    Attributes:
        incarnation: The entry's incarnation.
        connection: Counts the entry's connections to this agent. The agent
            stops reading older ones, so nothing arrives late from them.
        position: The entry's declarations.
        version: Version of this protocol.
    """

    incarnation: str
    connection: int
    position: Position
    version: int = PROTOCOL_VERSION


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag="welcome"):
    """Answers ``Hello``.

    Attributes:
        incarnation: The agent's incarnation.
        endpoint: Name of its endpoint.
        position: The agent's declarations.
        load: The endpoint's load.
    """

    incarnation: str
    endpoint: str
    position: Position
    load: EndpointLoad


class Submit(msgspec.Struct, frozen=True, array_like=True, tag="submit"):
    """Hands a request to the agent.

    Attributes:
        id: Name of this attempt.
        agent_incarnation: Incarnation of the agent that it is meant for.
        account: Client account.
        weight: The account's share of the endpoint.
        offered_per_admitted: Number of requests that callers sent for each
            admitted one.
        service_class: Class under which it is measured.
        priority: 0 is the most urgent.
        first_byte_timeout_s: Time left to the first byte of the answer.
        timeout_s: Time left to the last byte of the answer.
        key_digest: Digest of account and idempotency key, or None.
        repeatable: Whether running it twice does no harm.
        method: HTTP method.
        path: Path with the query.
        headers: Headers for the endpoint.
        body: Body of the request.
        position: The entry's declarations.
    """

    id: identifiers.RequestId
    agent_incarnation: str
    account: str
    weight: float
    offered_per_admitted: float
    service_class: str
    priority: int
    first_byte_timeout_s: float
    timeout_s: float
    key_digest: str | None
    repeatable: bool
    method: str
    path: str
    headers: Headers
    body: bytes
    position: Position


class Resume(msgspec.Struct, frozen=True, array_like=True, tag="resume"):
    """Asks for the rest of an answer.

    Attributes:
        id: The attempt.
        account: Client account; the agent refuses another one's.
        next_frame: First frame that the sender lacks.
    """

    id: identifiers.RequestId
    account: str
    next_frame: int


class Revoke(msgspec.Struct, frozen=True, array_like=True, tag="revoke"):
    """Asks that an attempt never starts, and to be told if it has.

    Attributes:
        id: The attempt.
    """

    id: identifiers.RequestId


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag="cancel"):
    """Ends an attempt that nobody waits for any more.

    Attributes:
        id: The attempt.
    """

    id: identifiers.RequestId


class AnswerReceived(
    msgspec.Struct, frozen=True, array_like=True, tag="received"
):
    """Tells that a whole answer, or a refusal, has arrived.

    Attributes:
        id: The attempt.
    """

    id: identifiers.RequestId


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """Heartbeat of an entry.

    Attributes:
        position: The entry's declarations.
    """

    position: Position


class Pong(msgspec.Struct, frozen=True, array_like=True, tag="pong"):
    """Answers ``Ping``; also sent unasked when the load changes its nature.

    Attributes:
        position: The agent's declarations.
        load: The endpoint's load.
        account_rates: Requests a second that callers offer of the heaviest
            accounts, all entries together.
    """

    position: Position
    load: EndpointLoad
    account_rates: list[tuple[str, float]] = []


class AnswerHead(msgspec.Struct, frozen=True, array_like=True, tag="head"):
    """Frame 0 of an answer.

    Attributes:
        id: The attempt.
        status: HTTP status.
        headers: Headers of the answer.
        queued_s: Time that the request waited at the agent.
    """

    id: identifiers.RequestId
    status: int
    headers: Headers
    queued_s: float


class AnswerData(msgspec.Struct, frozen=True, array_like=True, tag="data"):
    """A part of an answer's body.

    Attributes:
        id: The attempt.
        frame_number: Counts the frames of the answer, from 1.
        data: The part.
    """

    id: identifiers.RequestId
    frame_number: int
    data: bytes


class AnswerEnd(msgspec.Struct, frozen=True, array_like=True, tag="end"):
    """The last frame of an answer.

    Attributes:
        id: The attempt.
        frame_number: Number of this frame; equals the number of frames before
            it.
        digest: Digest of all data in order.
        load: The endpoint's load.
    """

    id: identifiers.RequestId
    frame_number: int
    digest: bytes
    load: EndpointLoad


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """Ends an attempt without an answer; see ``outcomes.Refusal``.

    Attributes:
        id: The attempt.
        reason: Value of an ``outcomes.Reason``.
        detail: A sentence for the caller.
        verdict: Value of a ``verdict.Verdict``.
        retry_after_s: When it is worth asking again, or None.
    """

    id: identifiers.RequestId
    reason: str
    detail: str
    verdict: str
    retry_after_s: float | None = None


class Revoked(msgspec.Struct, frozen=True, array_like=True, tag="revoked"):
    """Answers ``Revoke``.

    Attributes:
        id: The attempt.
        started: Whether it has started; if not, it never will.
    """

    id: identifiers.RequestId
    started: bool


class Call(msgspec.Struct, frozen=True, array_like=True, tag="call"):
    """Asks an agent something that is no caller's request.

    Attributes:
        call_id: Tells the answer which question it belongs to.
        kind: What is asked.
        body: The question.
    """

    call_id: int
    kind: str
    body: bytes


class Reply(msgspec.Struct, frozen=True, array_like=True, tag="reply"):
    """Answers ``Call``.

    Attributes:
        call_id: Number of the question.
        body: The answer.
    """

    call_id: int
    body: bytes


class FetchDeclarations(
    msgspec.Struct, frozen=True, array_like=True, tag="fetch"
):
    """Asks a peer for what it knows beyond an offset.

    Attributes:
        next_offset: First offset that the sender lacks.
    """

    next_offset: int


class Declarations(
    msgspec.Struct, frozen=True, array_like=True, tag="declarations"
):
    """Answers ``FetchDeclarations``.

    Attributes:
        records: ``(offset, record)`` in order.
        snapshot: Parts of a snapshot, where the records are gone.
    """

    records: list[tuple[int, bytes]]
    snapshot: list[bytes]


EntryMessage = (
    Hello
    | Submit
    | Resume
    | Revoke
    | Cancel
    | AnswerReceived
    | Ping
    | Call
    | FetchDeclarations
    | Declarations
)
AgentMessage = (
    Welcome
    | Pong
    | AnswerHead
    | AnswerData
    | AnswerEnd
    | Refused
    | Revoked
    | Reply
    | FetchDeclarations
    | Declarations
)

encoder = msgspec.msgpack.Encoder()
entry_message_decoder: msgspec.msgpack.Decoder[EntryMessage] = (
    msgspec.msgpack.Decoder(EntryMessage)
)
agent_message_decoder: msgspec.msgpack.Decoder[AgentMessage] = (
    msgspec.msgpack.Decoder(AgentMessage)
)
