"""Where a request would go now, and why, without sending it.

The answer comes from the decision code of a running entry. Another entry, or
the same one a moment later, may decide otherwise.
"""

from collections.abc import Mapping
import dataclasses
import enum
from typing import Any
import urllib.parse

import msgspec

from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import placement as placement_lib
from godwitdale_routing import routes
from godwitdale_verdicts import outcomes


class Decision(enum.Enum):
    """What would become of a request."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointView:
    """An endpoint as an entry sees it.

    Attributes:
        endpoint: Id of the endpoint.
        zone: Its availability zone.
        group: Name of its iteration group, or of its service.
        in_flight: Requests of all entries that it runs.
        slots: Requests that it can run at once.
        room: Requests that this entry may send by what the endpoint states,
            by its cold rate and by its pace, or None if nothing bounds them.
        is_home: Whether this entry fills it first.
        is_evacuated: Whether its zone is evacuated.
        is_ejected: Whether it is left out after failures.
    """

    endpoint: str
    zone: str
    group: str
    in_flight: int
    slots: int
    room: int | None
    is_home: bool
    is_evacuated: bool
    is_ejected: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """What would become of a request to one service.

    Attributes:
        service: Name of the service.
        decision: What would become of the request.
        detail: Why.
        endpoint: Id of the endpoint that it would be sent to, or None.
        limit: Requests that the service may run at once.
        waiting: Requests that wait at this entry.
        free_permits: Permits within the limits, by iteration group.
        endpoints: The endpoints that neither drain nor leave.
    """

    service: str
    decision: Decision
    detail: str
    endpoint: str | None
    limit: float
    waiting: int
    free_permits: Mapping[str, int]
    endpoints: list[EndpointView]


class HypotheticalRequest:
    """A request that is never assigned.

    Attributes:
        placement: What it would need.
        tried_endpoints: Empty.
    """

    __slots__ = ("placement", "tried_endpoints")

    def __init__(self, placement: placement_lib.PlacementRequest) -> None:
        """Creates a request that was not sent anywhere yet."""
        self.placement = placement
        self.tried_endpoints: set[str] = set()

    def on_assigned(self, record: directory_lib.EndpointRecord) -> None:
        """Does nothing; the request is not assigned."""

    def on_refused(self, refusal: outcomes.Refusal) -> None:
        """Does nothing; the request is not refused."""


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """The request that is asked about.

    Attributes:
        host: Host that the request would name.
        path: Its path.
        account: Name of its client account, or None.
        prompt_tokens: Length of its prompt.
    """

    host: str
    path: str
    account: str | None
    prompt_tokens: int

    @classmethod
    def parse(cls, target: bytes) -> "Question":
        """Reads a question from the query of a target.

        Args:
            target: Target of an HTTP request. Missing parameters and a length
                that is no number count as empty.
        """
        query = target.partition(b"?")[2].decode("latin-1")
        values = dict(urllib.parse.parse_qsl(query))
        tokens = values.get("prompt_tokens", "")
        is_number = tokens.isascii() and tokens.isdigit() and len(tokens) < 9
        return cls(
            host=values.get("host", ""),
            path=values.get("path", ""),
            account=values.get("account"),
            prompt_tokens=int(tokens) if is_number else 0,
        )

    def find_account(
        self, configuration: routes.Configuration
    ) -> routes.ClientAccount | None:
        """Returns the client account that is asked about, or None."""
        accounts = (configuration.accounts or {}).values()
        return next(
            (each for each in accounts if each.name == self.account), None
        )


def encode(
    route: routes.Route | None, explanations: list[Explanation]
) -> bytes:
    """Returns the answer to a question as JSON.

    Args:
        route: The route that the request matches, or None.
        explanations: One for each service of the route.
    """
    answer: dict[str, Any] = {
        "route": None if route is None else route.name,
        "services": explanations,
    }
    return msgspec.json.encode(answer)
