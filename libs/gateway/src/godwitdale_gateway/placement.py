"""Admitted requests, and what they need of an endpoint."""

import dataclasses
from typing import Protocol

from godwitdale_gateway import dialect as dialect_lib
from godwitdale_gateway import directory as directory_lib
from godwitdale_http import callers
from godwitdale_routing import choice
from godwitdale_routing import routes
from godwitdale_routing import wait_queue
from godwitdale_verdicts import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that passed admission, with its destination.

    Attributes:
        incoming: The request as received from the caller.
        headers: Decoded headers of the request.
        params: Priority of the request and its time limits for scheduling.
        route: The route that the request matches.
        service: Name of the service that the request goes to.
        account: Name of the client account, or None.
        deadline_s: Time by which the caller must have an answer.
    """

    incoming: callers.IncomingRequest
    headers: dialect_lib.RequestHeaders
    params: wait_queue.SchedulingParams
    route: routes.Route
    service: str
    account: str | None
    deadline_s: float

    @property
    def service_class(self) -> str:
        """Key by which latencies are recorded; it has few different values."""
        return f"{self.service}/{self.route.kind.value}"


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request's need for a slot at an endpoint of a service.

    Attributes:
        service: Name of the service.
        params: Priority and time limits of the request in the wait queue.
        traits: Properties of the request that the choice of an endpoint uses.
        expected_answer_tokens: Expected length of the answer, or 0 if unknown.
        deadline_s: When the caller must have received the whole answer.
        account: Name of the client account, or an empty string.
    """

    service: str
    params: wait_queue.SchedulingParams
    traits: choice.RequestTraits
    expected_answer_tokens: float = 0.0
    deadline_s: float = float("inf")
    account: str = ""


class PendingRequest(Protocol):
    """A request that has not been assigned to an endpoint yet.

    Attributes:
        placement: What the request needs.
        tried_endpoints: Ids of the endpoints that it was already sent to.
    """

    placement: PlacementRequest
    tried_endpoints: set[str]

    def on_assigned(self, record: directory_lib.EndpointRecord) -> None:
        """Takes a slot of an endpoint, which ``Scheduler.release`` frees."""

    def on_refused(self, refusal: outcomes.Refusal) -> None:
        """Takes the refusal; the request gets no slot."""
