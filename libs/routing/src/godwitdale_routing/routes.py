"""Routes: which service a request goes to, and what may be done with it."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import random


class Kind(enum.Enum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A part of a route's traffic.

    Attributes:
        service: Name of the service.
        weight: Its weight among the shares of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host below one path.

    Attributes:
        name: Unique name.
        host: Host in lower case, without a port.
        path_prefix: Begins and ends with a slash.
        kind: What may be repeated.
        weighted_services: Services that take the requests; at least one.
        timeout_s: Longest time that a caller is kept waiting.
        objective_s: Time in which an answer earns its full worth.
        gap_objective_s: Longest pause between events of a stream that is on
            time, or None.
        priority: 0 is the most urgent.
        max_attempts: Endpoints that one request may be sent to.
        is_public: Whether no key is needed.
        is_resumable: Whether a stream may go on at another endpoint.
        start_timeout_s: How long callers wait for the first event of a stream,
            or None where only the deadline of the request bounds the wait.
    """

    name: str
    host: str
    path_prefix: str
    kind: Kind
    weighted_services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    gap_objective_s: float | None = None
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    start_timeout_s: float | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether a second run does no harm."""
        if self.kind is Kind.STREAM:
            return self.is_resumable
        return self.kind is Kind.IDEMPOTENT

    def pick_service(self, rng: random.Random) -> str:
        """Returns the name of a service, drawn by weight.

        Args:
            rng: Source of the draw.
        """
        if len(self.weighted_services) == 1:
            return self.weighted_services[0].service
        weights = [share.weight for share in self.weighted_services]
        if sum(weights) <= 0:
            return self.weighted_services[0].service
        return rng.choices(self.weighted_services, weights)[0].service


class RouteTable:
    """Finds the route of a request by host and longest path prefix."""

    __slots__ = ("_by_host",)

    def __init__(self, routes: Iterable[Route]) -> None:
        """Builds an index.

        Args:
            routes: All routes in force.
        """
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host, {})
            prefixes[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix, or None.

        Args:
            host: As the caller sent it, with or without a port.
            path: The path without the query.
        """
        prefixes = self._by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertLayout:
    """How the experts of a model may lie on the ranks of a group.

    Attributes:
        sets: Sets of layers, each with experts of its own.
        experts: Experts in a set.
        replica_slots: Experts of a set that fit on a rank.
        max_new: Experts of a set that a rank takes in one change.
        copy_s: Time in which a rank copies one expert.
        report_lag_s: How old what a rank reports may be.
    """

    sets: int
    experts: int
    replica_slots: int
    max_new: int
    copy_s: float
    report_lag_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """What is declared of the engines of a service.

    Attributes:
        slots: Requests that an engine runs at once.
        step_s: Time of a step without any request.
        step_per_request_s: What each writing request adds to a step.
        step_per_context_token_s: What each token of their context adds.
        prefill_tokens_per_s: Prompt tokens that are read a second.
        prefill_chunk_tokens: Most prompt tokens in a step.
        steps_per_iteration: Steps in a pass that has writers.
        expert_share: Share of the work on tokens that goes to the experts of
            all ranks of a group.
        mean_prompt_tokens: Mean length of a prompt.
        mean_answer_tokens: Mean length of an answer.
        layout: How the experts may lie, or None where they cannot be moved.
    """

    slots: int
    step_s: float = 0.0
    step_per_request_s: float = 0.0
    step_per_context_token_s: float = 0.0
    prefill_tokens_per_s: float = 0.0
    prefill_chunk_tokens: int = 0
    steps_per_iteration: int = 1
    expert_share: float = 0.0
    mean_prompt_tokens: float = 0.0
    mean_answer_tokens: float = 0.0
    layout: ExpertLayout | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """Who a key belongs to.

    Attributes:
        name: The name that endpoints are told.
        priority: Goes before the priority of the route, or None.
    """

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take.

    Attributes:
        head_bytes: Largest request line with headers.
        body_bytes: Largest body.
        head_timeout_s: Time for a whole head.
        idle_timeout_s: Time that a connection may be idle.
    """

    head_bytes: int = 16384
    body_bytes: int = 1 << 22
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """All that operators have declared, in one version.

    Attributes:
        version: Grows with each change.
        route_table: The routes.
        engines: What is known of the engines, by name of the service.
        accounts: Client accounts by key; None where no keys are asked for.
        limits: Limits of callers.
    """

    version: int
    route_table: RouteTable
    engines: Mapping[str, Engine]
    accounts: Mapping[str, ClientAccount] | None
    limits: CallerLimits
