"""The objects that operators declare.

Every object is a ``msgspec`` structure whose tag is its kind. Unknown fields
are errors, so that a misspelt field never silently means its default.
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
    """One test of a request or of an endpoint's labels.

    Attributes:
        attribute: What is tested: ``path``, ``method``, ``model``,
            ``account``, ``time``, ``header:NAME`` or ``account-label:NAME``
            of a request; the name of a label of an endpoint.
        op: How it is tested. ``within`` takes UTC ranges ``HH:MM-HH:MM``.
        values: What it is compared with; empty for ``exists``.
        negate: Whether the result is inverted.
    """

    attribute: str
    op: Operator
    values: list[str] = []
    negate: bool = False


class Key(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A bearer key, of which only a salted digest is kept.

    Attributes:
        id: The public part in front of the dot.
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
        labels: What selectors may bind.
        keys: Keys in force; two while a key is being changed.
        weight: Share of a contended endpoint relative to other accounts.
        requests_per_s: Limit over the whole system, or None for no limit.
        burst_s: How many seconds of the limit may be used at once.
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
        name: Unique name, the one that the agent's settings give.
        labels: What selectors may bind. ``model`` names the model that it
            serves; ``leaving`` set to ``true`` drains it.
    """

    name: Name
    labels: Labels = {}


class Work(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="work"):
    """A kind of work, from which urgency is inferred.

    Attributes:
        name: Unique name.
        labels: Free labels, shown by ``explain``.
        service_class: The name under which it is measured.
        priority: 0 is the most urgent.
        deadline_s: Time to the first byte of the answer.
        timeout_s: Time to the last byte of the answer.
        repeatable: Whether running it twice does no harm.
        keys: What an ``Idempotency-Key`` means for it.
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
        precedence: The highest matching selector binds.
        when: All must hold for the request.
        work: Name of the kind of work.
        endpoints: All must hold for an endpoint's labels.
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
        name: Unique name; endpoints belong to it by the label ``group``.
        ranks: Number of ranks.
        experts: Experts a layer.
        slots_per_rank: Expert replicas that fit beside each other on a rank.
        skew_weight: Worth of a second of step-time skew.
        cost_weight: Worth of a second of work lost or delayed by a move.
        quiet_windows: UTC ranges in which no move is started.
        decide_every_s: Time between two looks at whether to move.
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
    """Limits that hold for the whole system; only ``default`` is read.

    Attributes:
        name: ``default``.
        stale_limit_s: How long an instance that reaches neither the log nor
            a fresher peer goes on serving.
        retry_share: Retries allowed as a share of recent requests.
        key_window_s: How long an idempotency key is remembered; shorter
            than the retention of the log.
        ejected_share: Share of a selector's endpoints that may be ejected.
    """

    name: Literal["default"] = "default"
    stale_limit_s: PositiveSeconds = 3600.0
    retry_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    key_window_s: PositiveSeconds = 43_200.0
    ejected_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.5


Object = Account | Endpoint | Work | Selector | Group | Policy


def object_key(declared: Object) -> str:
    """Returns ``KIND/NAME``, under which the fold keeps an object."""
    return f"{declared.__struct_config__.tag}/{declared.name}"
