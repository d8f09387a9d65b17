"""Objects that operators declare.

Every object is a ``msgspec`` structure whose tag is the kind of the object.
Unknown fields are errors, so that a misspelt field never silently gets its
default value.
"""

from typing import Annotated
from typing import Literal

import msgspec

Name = Annotated[
    str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$", max_length=100)
]
Labels = dict[str, str]
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
TimeWindow = Annotated[
    str,
    msgspec.Meta(pattern=r"^([01]\d|2[0-3]):[0-5]\d-([01]\d|2[0-3]):[0-5]\d$"),
]

KeyPolicy = Literal["ignored", "optional", "required", "time-ordered"]
Operator = Literal["equals", "in", "exists", "prefix", "within"]

LEAVING_LABEL = "leaving"


class Condition(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A test of an attribute of a request or of a label of an endpoint.

    Attributes:
        attribute: For a request, one of ``path``, ``method``, ``model``,
            ``account``, ``time``, ``header:NAME`` and ``account-label:NAME``;
            for an endpoint, the name of a label.
        op: Operator of the test. ``within`` takes UTC ranges ``HH:MM-HH:MM``.
        values: Values that the attribute is compared with; empty for
            ``exists``.
        negate: Whether the result is inverted.
    """

    attribute: str
    op: Operator
    values: list[str] = []
    negate: bool = False


class Key(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A bearer key, of which only a salted digest is stored.

    Attributes:
        id: Public part of the key, before the dot.
        salt: Hexadecimal salt.
        digest: Hexadecimal digest of the salt and the whole key.
    """

    id: Name
    salt: str
    digest: str


class Account(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="account"
):
    """A client account.

    Attributes:
        name: Unique name.
        labels: Labels that selectors can test.
        keys: Valid keys; two while a key is replaced by a new one.
        weight: Share of a contended endpoint relative to other accounts.
        requests_per_s: Limit of the request rate over the whole system, or
            None for no limit.
        burst_s: Largest burst, in seconds of ``requests_per_s``.
    """

    name: Name
    labels: Labels = {}
    keys: Annotated[list[Key], msgspec.Meta(max_length=4)] = []
    weight: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0
    requests_per_s: Annotated[float, msgspec.Meta(gt=0)] | None = None
    burst_s: PositiveSeconds = 2.0


class Endpoint(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="endpoint"
):
    """A back end behind one agent.

    Attributes:
        name: Unique name, the same as in the agent's settings.
        labels: Labels that selectors can test. ``model`` names the model that
            the endpoint serves; ``leaving`` set to ``true`` drains it.
    """

    name: Name
    labels: Labels = {}


class Work(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="work"):
    """A kind of work, which determines the urgency of its requests.

    Attributes:
        name: Unique name.
        labels: Arbitrary labels, shown by ``explain``.
        service_class: Name under which the requests are measured.
        priority: Priority of the requests; 0 is the most urgent.
        deadline_s: Time limit for the first byte of the answer.
        timeout_s: Time limit for the last byte of the answer.
        repeatable: Whether a request may be run twice without harm.
        keys: How an ``Idempotency-Key`` of a request is treated.
    """

    name: Name
    labels: Labels = {}
    service_class: Name = "default"
    priority: Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    deadline_s: PositiveSeconds = 30.0
    timeout_s: PositiveSeconds = 300.0
    repeatable: bool = False
    keys: KeyPolicy = "optional"


class Selector(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="selector"
):
    """Binds requests to a kind of work and to endpoints.

    Attributes:
        name: Unique name.
        work: Name of the kind of work.
        endpoints: Conditions that must all hold for an endpoint's labels.
        precedence: The matching selector with the highest precedence binds.
        when: Conditions that must all hold for the request.
    """

    name: Name
    work: Name
    endpoints: Annotated[list[Condition], msgspec.Meta(min_length=1)]
    precedence: int = 0
    when: list[Condition] = []


class Group(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="group"
):
    """Ranks that run in lock-step on one expert map.

    Attributes:
        name: Unique name; the label ``group`` of an endpoint refers to it.
        ranks: Number of ranks.
        experts: Number of experts per layer.
        slots_per_rank: Number of expert replicas that fit on a rank.
        skew_weight: Weight of a second of step-time skew.
        cost_weight: Weight of a second of work that a move loses or delays.
        quiet_windows: UTC ranges in which no move is started.
        decide_every_s: Interval between decisions whether to move experts.
    """

    name: Name
    ranks: Annotated[int, msgspec.Meta(ge=1, le=4096)]
    experts: Annotated[int, msgspec.Meta(ge=1, le=4096)]
    slots_per_rank: Annotated[int, msgspec.Meta(ge=1, le=4096)]
    skew_weight: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    cost_weight: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    quiet_windows: list[TimeWindow] = []
    decide_every_s: PositiveSeconds = 30.0


class Policy(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="policy"
):
    """Limits of the whole system; only the policy ``default`` is read.

    Attributes:
        name: ``default``.
        stale_limit_s: Time for which an instance continues to serve while it
            reaches neither the log nor a fresher peer.
        retry_share: Allowed retries as a share of recent requests.
        key_window_s: Time for which an idempotency key is remembered; shorter
            than the retention of the log.
        ejected_share: Largest share of a selector's endpoints that may be
            ejected.
    """

    name: Literal["default"] = "default"
    stale_limit_s: PositiveSeconds = 3600.0
    retry_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    key_window_s: PositiveSeconds = 43_200.0
    ejected_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.5


class Evacuation(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="evacuation"
):
    """An order that the endpoints of an availability zone get nothing new.

    It lasts until the object is removed.

    Attributes:
        name: Name of the zone.
        reason: Why the zone is evacuated, for operators.
    """

    name: Name
    reason: str = ""


Object = Account | Endpoint | Work | Selector | Group | Policy | Evacuation


def object_key(declared: Object) -> str:
    """Returns ``KIND/NAME``, the key of an object in the folded state."""
    return f"{declared.__struct_config__.tag}/{declared.name}"
