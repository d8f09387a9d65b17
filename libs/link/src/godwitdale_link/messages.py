"""Messages that an entry and an agent exchange, encoded as MessagePack.

Every message is an array: its tag, followed by its fields in order. All times
are durations in seconds, because the two processes share no clock.
"""

import msgspec

from godwitdale_verdicts import decoding
from godwitdale_verdicts import identifiers

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

Headers = list[tuple[str, str]]


class Position(msgspec.Struct, frozen=True, array_like=True):
    """How far the sender has folded the declaration log.

    Attributes:
        next_offset: First offset that the sender has not folded.
        age_s: Time since the sender last knew that it had folded the log up to
            its head.
    """

    next_offset: int
    age_s: float


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of an endpoint; ``choice.LoadReport`` describes the fields."""

    running: int
    queued: int
    slots: int
    service_s: float
    step_s: float
    prefill_tokens_per_s: float
    is_draining: bool


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """First message that an entry sends on a connection.

    Attributes:
        incarnation: The entry's incarnation.
        connection_number: Sequence number of this connection among the entry's
            connections to the agent. The agent stops reading connections with
            a lower number, so that no late message arrives from them.
        position: The entry's position in the declaration log.
        version: Version of this protocol.
    """

    incarnation: str
    connection_number: int
    position: Position
    version: int = PROTOCOL_VERSION


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag="welcome"):
    """Answers ``Hello``.

    Attributes:
        incarnation: The agent's incarnation.
        endpoint: Name of the agent's endpoint.
        position: The agent's position in the declaration log.
        load: The endpoint's load.
    """

    incarnation: str
    endpoint: str
    position: Position
    load: EndpointLoad


class Submit(msgspec.Struct, frozen=True, array_like=True, tag="submit"):
    """Sends a request to the agent.

    Attributes:
        id: Identifier of this attempt.
        agent_incarnation: Incarnation of the agent that the request is meant
            for.
        account: Client account.
        weight: Weight of the account where accounts share the endpoint.
        offered_per_admitted: Number of requests that callers sent for each
            admitted one.
        service_class: Class under which the times of the request are recorded.
        priority: Priority of the request; 0 is the most urgent.
        first_byte_timeout_s: Time left until the first byte of the answer.
        timeout_s: Time left until the last byte of the answer.
        key_digest: Digest of account and idempotency key, or None.
        repeatable: Whether the request may run twice without harm.
        method: HTTP method.
        path: Path with the query.
        headers: Headers for the endpoint.
        body: Body of the request.
        position: The entry's position in the declaration log.
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
    """Requests the remaining frames of an answer.

    Attributes:
        id: Identifier of the attempt.
        account: Client account of the attempt. The agent refuses to resume an
            attempt of another account.
        next_frame: Number of the first frame that the sender lacks.
    """

    id: identifiers.RequestId
    account: str
    next_frame: int


class Revoke(msgspec.Struct, frozen=True, array_like=True, tag="revoke"):
    """Prevents an attempt from starting; ``Revoked`` reports if that worked.

    Attributes:
        id: Identifier of the attempt.
    """

    id: identifiers.RequestId


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag="cancel"):
    """Cancels an attempt whose answer is no longer needed.

    Attributes:
        id: Identifier of the attempt.
    """

    id: identifiers.RequestId


class AnswerReceived(
    msgspec.Struct, frozen=True, array_like=True, tag="received"
):
    """Confirms that a complete answer or a refusal has arrived.

    Attributes:
        id: Identifier of the attempt.
    """

    id: identifiers.RequestId


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """Heartbeat of an entry.

    Attributes:
        position: The entry's position in the declaration log.
    """

    position: Position


class Pong(msgspec.Struct, frozen=True, array_like=True, tag="pong"):
    """Answers ``Ping``; also sent when the agent starts or stops draining.

    Attributes:
        position: The agent's position in the declaration log.
        load: The endpoint's load.
        account_rates: The accounts with the most requests, each with its
            rate in requests per second. The agent counts what callers offer
            over all entries together.
    """

    position: Position
    load: EndpointLoad
    account_rates: list[tuple[str, float]] = []


class AnswerHead(msgspec.Struct, frozen=True, array_like=True, tag="head"):
    """Frame 0 of an answer: its status and headers.

    Attributes:
        id: Identifier of the attempt.
        status: HTTP status.
        headers: Headers of the answer.
        queued_s: Time that the request waited in the agent's queue.
    """

    id: identifiers.RequestId
    status: int
    headers: Headers
    queued_s: float


class AnswerData(msgspec.Struct, frozen=True, array_like=True, tag="data"):
    """Frame with a part of an answer's body.

    Attributes:
        id: Identifier of the attempt.
        frame_number: Number of the frame; the first part of the body has 1.
        data: Part of the body.
    """

    id: identifiers.RequestId
    frame_number: int
    data: bytes


class AnswerEnd(msgspec.Struct, frozen=True, array_like=True, tag="end"):
    """Last frame of an answer.

    Attributes:
        id: Identifier of the attempt.
        frame_number: Number of the frame, which equals the count of the frames
            before it.
        digest: Digest of the whole body.
        load: The endpoint's load.
    """

    id: identifiers.RequestId
    frame_number: int
    digest: bytes
    load: EndpointLoad


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """Ends an attempt without a complete answer; see ``outcomes.Refusal``.

    Attributes:
        id: Identifier of the attempt.
        reason: Value of an ``outcomes.Reason``.
        detail: Explanation for the caller.
        verdict: Value of a ``verdict.Verdict``.
        retry_after_s: Time after which a retry may succeed, or None.
    """

    id: identifiers.RequestId
    reason: str
    detail: str
    verdict: str
    retry_after_s: float | None = None


class Revoked(msgspec.Struct, frozen=True, array_like=True, tag="revoked"):
    """Answers ``Revoke``.

    Attributes:
        id: Identifier of the attempt.
        started: Whether the attempt has started. If not, it never will.
    """

    id: identifiers.RequestId
    started: bool


class Call(msgspec.Struct, frozen=True, array_like=True, tag="call"):
    """Calls an operation of the agent itself, not of its endpoint.

    Attributes:
        call_id: Number that the matching ``Reply`` repeats.
        kind: Name of the operation.
        body: Encoded argument of the operation.
    """

    call_id: int
    kind: str
    body: bytes


class Reply(msgspec.Struct, frozen=True, array_like=True, tag="reply"):
    """Answers ``Call``.

    Attributes:
        call_id: Number of the call.
        body: Encoded result of the operation.
    """

    call_id: int
    body: bytes


class FetchDeclarations(
    msgspec.Struct, frozen=True, array_like=True, tag="fetch"
):
    """Requests the declarations that a peer has from an offset on.

    Attributes:
        next_offset: First offset that the sender lacks.
    """

    next_offset: int


class Declarations(
    msgspec.Struct, frozen=True, array_like=True, tag="declarations"
):
    """Answers ``FetchDeclarations``.

    Attributes:
        records: Pairs ``(offset, record)`` in order of offset.
        snapshot: Parts of a snapshot where the sender no longer has the
            records; otherwise empty.
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
entry_message_decoder: decoding.Decoder[EntryMessage] = (
    decoding.msgpack_decoder(EntryMessage)
)
agent_message_decoder: decoding.Decoder[AgentMessage] = (
    decoding.msgpack_decoder(AgentMessage)
)
