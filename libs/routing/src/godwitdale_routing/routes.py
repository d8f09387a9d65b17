"""Routes: which service a request goes to, and under which rules."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import enum
import random

from godwitdale_routing import cold_rates as cold_rates_lib


class Kind(enum.Enum):
    """Kind of a route's requests; it decides whether they can be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that receives a weighted part of a route's traffic.

    Attributes:
        service: Name of the service.
        weight: Its weight relative to the other services of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests to one host below one path.

    Attributes:
        name: Unique name.
        host: Host in lower case, without a port.
        path_prefix: Begins and ends with a slash.
        kind: Kind of the requests.
        weighted_services: Services that receive the requests; at least one.
        timeout_s: Longest time that a caller has to wait.
        objective_s: Time from the receipt of a request within which its answer
            has to begin to be on time, for requests of every kind.
        gap_objective_s: Longest inter-event gap of a stream that is on time, or
            None.
        priority: 0 is the most urgent.
        max_attempts: Largest number of endpoints that one request is sent to.
        is_public: Whether requests need no API key.
        is_resumable: Whether a stream can continue at another endpoint.
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
    def is_stream(self) -> bool:
        """Whether the answers are streams of events."""
        return self.kind is Kind.STREAM

    @property
    def is_repeatable(self) -> bool:
        """Whether it is harmless to run a request twice."""
        if self.is_stream:
            return self.is_resumable
        return self.kind is Kind.IDEMPOTENT

    def pick_service(self, rng: random.Random) -> str:
        """Returns the name of a service, chosen at random by weight.

        Args:
            rng: Source of randomness.
        """
        if len(self.weighted_services) == 1:
            return self.weighted_services[0].service
        weights = [each.weight for each in self.weighted_services]
        if sum(weights) <= 0:
            return self.weighted_services[0].service
        return rng.choices(self.weighted_services, weights)[0].service


class RouteTable:
    """Finds the route of a request by host and longest path prefix."""

    __slots__ = ("_by_host",)

    def __init__(self, routes: Iterable[Route]) -> None:
        """Builds the index.

        Args:
            routes: All routes in force.
        """
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host, {})
            prefixes[route.path_prefix] = route

    def __iter__(self) -> Iterator[Route]:
        """Yields all routes in no particular order."""
        for prefixes in self._by_host.values():
            yield from prefixes.values()

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix, or None.

        Args:
            host: Host as the caller sent it, with or without a port.
            path: Path without the query.
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
    """How the experts of a model can be placed on the ranks of a group.

    Attributes:
        sets: Number of sets of layers. The layers of a set share one placement
            of their experts; each set has its own experts.
        experts: Number of experts in a set.
        replica_slots: Number of experts of a set that fit on a rank.
        max_new: Largest number of experts of a set that a rank accepts in one
            change.
        copy_s: Time that a rank needs to copy one expert.
        report_lag_s: Largest age of the values that a rank reports.
    """

    sets: int
    experts: int
    replica_slots: int
    max_new: int
    copy_s: float
    report_lag_s: float

    @property
    def longest_copy_s(self) -> float:
        """Time in which a rank copies all experts that one change may add."""
        return self.sets * self.max_new * self.copy_s


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Declared properties of the engines of a service.

    Attributes:
        slots: Requests that an engine can run at once.
        step_s: Time of a step without any request.
        step_per_request_s: Time that each decoding request adds to a step.
        step_per_context_token_s: Time that each token in the context of a
            decoding request adds to a step.
        prefill_tokens_per_s: Prompt tokens that are read per second.
        prefill_chunk_tokens: Largest number of prompt tokens in a step.
        steps_per_iteration: Decode steps between two events of a stream. These
            steps together are one iteration.
        expert_share: Share of the work on a token that its experts do, on
            whichever ranks of the group they are. The rank that runs the
            request does the rest of the work.
        mean_prompt_tokens: Mean length of a prompt.
        mean_answer_tokens: Mean length of an answer.
        layout: How the experts can be placed, or None if they cannot be moved.
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
    """The client account that an API key belongs to.

    Attributes:
        name: Name that is sent to the endpoints.
        priority: Priority that overrides the priority of the route, or None.
    """

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits for the requests of callers.

    Attributes:
        head_bytes: Largest request line and headers together.
        body_bytes: Largest body.
        head_timeout_s: Time within which the whole head has to arrive.
        idle_timeout_s: Time after which an idle connection is closed.
    """

    head_bytes: int = 16384
    body_bytes: int = 1 << 22
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of everything that operators have declared.

    Attributes:
        version: Increases with each change.
        route_table: The routes.
        engines: Declared properties of the engines, by name of the service.
        accounts: Client accounts by API key, or None if no key is required.
        limits: Limits for the requests of callers.
        cold_rates: Rates that cold endpoints stand, by name of the service.
    """

    version: int
    route_table: RouteTable
    engines: Mapping[str, Engine]
    accounts: Mapping[str, ClientAccount] | None
    limits: CallerLimits
    cold_rates: Mapping[str, cold_rates_lib.ColdRate] = dataclasses.field(
        default_factory=dict
    )

    def paced_services(self) -> set[str]:
        """Returns the services whose recovering endpoints are paced.

        There are some only where cold rates are declared. The endpoints of
        engines that declare a step time iterate in groups, which have limits of
        their own.
        """
        if not self.cold_rates:
            return set()
        return {
            service
            for service in self.priorities()
            if service not in self.engines or self.engines[service].step_s <= 0
        }

    def priorities(self) -> dict[str, set[int]]:
        """Returns the priorities of the routes by name of the service."""
        by_service: dict[str, set[int]] = {}
        for route in self.route_table:
            for weighted in route.weighted_services:
                priorities = by_service.setdefault(weighted.service, set())
                priorities.add(route.priority)
        return by_service
