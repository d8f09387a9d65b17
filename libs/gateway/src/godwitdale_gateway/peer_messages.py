"""Messages that entries send to each other in datagrams."""

import msgspec

from godwitdale_experts import map_change
from godwitdale_routing import peer_load
from godwitdale_routing import wait_queue
from godwitdale_verdicts import decoding

# Largest message. A larger datagram would be fragmented, and fragmented
# datagrams are lost more often.
MAX_DATAGRAM_BYTES = 1400


class MapChangeNotice(msgspec.Struct, frozen=True, array_like=True):
    """Announcement that an entry is about to change an expert map.

    Attributes:
        service: Name of the service whose map changes.
        plan: Plan of the change.
    """

    service: str
    plan: map_change.ChangePlan


CrashReport = tuple[str, int, list[list[str]]]
"""Id of an endpoint, milliseconds since it crashed, and suspected parts.

The suspected parts are given for each request that may be the cause.
"""


LimitReport = tuple[float | None, int, int]
"""Limit of an endpoint in requests per second or None if it has ended, age of
this statement in milliseconds, and number of requests that the sender has sent.
"""


PaceReport = tuple[decoding.Amount, decoding.Count]
"""Requests that may run at a recovering endpoint at once over all entries, and
the age of this finding in milliseconds.
"""


class LoadMessage(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Load and state of one entry, as broadcast to the other entries.

    Attributes:
        sender: Name of the sender's incarnation.
        sequence: Message number; grows within one incarnation.
        in_flight: Number of requests in flight by endpoint.
        queue_heads: By service, the most urgent waiting requests. Each is
            given as whether it is late, its priority, and the milliseconds
            until it is due.
        positions: By topic, the position up to which the sender has read it
            and the milliseconds since this was certainly the end of the topic.
        sent_prompt_tokens: By iteration group, the prompt tokens that this
            incarnation has sent.
        announced_change: The change of an expert map that the sender is about
            to make, or None.
        is_draining: Whether the sender accepts no new connections.
        is_final: Whether this is the last message of a stopping sender.
        crashes: Crashes that parts of prompts may have caused.
        harmless_parts: Parts that are harmless although they were suspected.
        arrival_rates: Accepted arrivals per second by priority, of the services
            that get requests of several priorities. Missing in the messages of
            older entries.
    """

    sender: str
    sequence: int
    in_flight: dict[str, int]
    queue_heads: dict[str, list[tuple[bool, int, int]]]
    positions: dict[str, tuple[int, int]]
    sent_prompt_tokens: dict[str, int]
    announced_change: MapChangeNotice | None = None
    is_draining: bool = False
    is_final: bool = False
    crashes: list[CrashReport] = []
    harmless_parts: list[str] = []
    arrival_rates: dict[str, dict[int, float]] = {}


class LoadChanges(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Changes of the load of one entry since its previous message.

    Attributes:
        sender: Name of the sender's incarnation.
        sequence: Message number; shared with ``LoadMessage``.
        in_flight: Number of requests in flight at the endpoints for which it
            has changed.
        queue_heads: All queue heads, as in ``LoadMessage``.
        sent_prompt_tokens: Prompt tokens sent to the iteration groups for which
            they have changed.
    """

    sender: str
    sequence: int
    in_flight: dict[str, int]
    queue_heads: dict[str, list[tuple[bool, int, int]]]
    sent_prompt_tokens: dict[str, int]


class StatementMessage(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """What endpoints state in their answers.

    Attributes:
        sender: Name of the sender's incarnation.
        sequence: Message number; shared with ``LoadMessage``.
        limits: Limits by id of the endpoint.
        leaving_ages_ms: Milliseconds since endpoints have stated to leave, by
            id of the endpoint.
        paces: Paces of recovering endpoints by id. Missing in the messages of
            older entries.
    """

    sender: str
    sequence: int
    limits: dict[str, LimitReport]
    leaving_ages_ms: dict[str, decoding.Count] = {}
    paces: dict[str, PaceReport] = {}


class FreshnessQuery(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Asks another entry how fresh its copy of a topic is.

    Attributes:
        query_id: Number of the query, which the reply repeats.
        topic: Name of the topic.
    """

    query_id: int
    topic: str


class FreshnessReply(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Reply to a freshness query.

    Attributes:
        query_id: Number of the query.
        topic: Name of the topic.
        position: Position up to which the replying entry has read the topic.
        age_ms: Milliseconds since this was certainly the end of the topic.
    """

    query_id: int
    topic: str
    position: int
    age_ms: int


class MemberQuery(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Asks another entry for the groups of endpoints.

    Attributes:
        endpoint_ids: Ids of the endpoints.
    """

    endpoint_ids: list[str]


class MemberReply(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Reply to a query for groups, without endpoints that are not known.

    Attributes:
        groups: Name and size of the group by id of the endpoint.
    """

    groups: dict[str, tuple[str, int]]


Message = (
    LoadMessage
    | LoadChanges
    | StatementMessage
    | FreshnessQuery
    | FreshnessReply
    | MemberQuery
    | MemberReply
)

_encoder = msgspec.msgpack.Encoder()
_decoder = decoding.msgpack_decoder(Message)


def encode(message: Message) -> bytes:
    """Returns a message as bytes."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Returns the message in a datagram.

    Args:
        data: The datagram.

    Raises:
        decoding.InvalidDataError: It contains no message.
    """
    return _decoder.decode(data)


def encode_queue_heads(
    queue_heads: dict[str, list[wait_queue.Urgency]], now_s: float
) -> dict[str, list[tuple[bool, int, int]]]:
    """Returns queue heads as they are sent.

    Args:
        queue_heads: The most urgent waiting requests by service.
        now_s: The current time.
    """
    return {
        service: [
            (each.is_late, each.priority, int((each.due_s - now_s) * 1000))
            for each in urgencies
        ]
        for service, urgencies in queue_heads.items()
    }


def decode_load(
    message: LoadMessage | LoadChanges, now_s: float
) -> peer_load.PeerLoad:
    """Returns the load in a message.

    Args:
        message: The message.
        now_s: The time at which it was received.
    """
    queue_heads = {
        service: tuple(
            wait_queue.Urgency(is_late, priority, now_s + due_ms / 1000)
            for is_late, priority, due_ms in urgencies
        )
        for service, urgencies in message.queue_heads.items()
    }
    return peer_load.PeerLoad(
        message.sequence,
        message.in_flight,
        queue_heads,
        message.sent_prompt_tokens,
        message.arrival_rates if isinstance(message, LoadMessage) else {},
    )
