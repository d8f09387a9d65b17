"""Choice of an endpoint, by predicted time to first token or by load."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import random
from typing import Protocol

from godwitdale_routing import health as health_lib

_SAMPLE_SIZE = 2
_OTHER_ZONE_PENALTY_S = 0.001
_EWMA_WEIGHT = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an endpoint, as its agent reported it last.

    Attributes:
        running: Requests that the endpoint is running.
        queued: Requests that wait at the agent.
        slots: Requests that the endpoint can run at once.
        service_s: Time that one request occupies a slot.
        step_s: Time of one step of the endpoint's group, including stragglers.
        prefill_tokens_per_s: Prompt tokens that the endpoint reads per second.
        is_draining: Whether the endpoint accepts no new requests.
    """

    running: int = 0
    queued: int = 0
    slots: int = 1
    service_s: float = 1.0
    step_s: float = 0.0
    prefill_tokens_per_s: float = 10_000.0
    is_draining: bool = False


class EndpointStats:
    """Load and health of one endpoint, as one entry sees them.

    Attributes:
        name: Name of the endpoint.
        zone: Availability zone of the endpoint.
        report: The last load report.
        in_flight: Requests sent by this entry that the report does not include.
        health: Failures, ejection and slow start.
        first_byte_s: Moving average of the measured time to the first byte. It
            starts at 0 and is therefore too low after the first few answers.
        is_connected: Whether an idle connection to the endpoint is available.
        is_home: Whether it is a home endpoint of this entry.
    """

    __slots__ = (
        "name",
        "zone",
        "report",
        "in_flight",
        "health",
        "first_byte_s",
        "is_connected",
        "is_home",
    )

    def __init__(self, name: str, zone: str, now_s: float) -> None:
        self.name = name
        self.zone = zone
        self.report = LoadReport()
        self.in_flight = 0
        self.health = health_lib.Health(now_s)
        self.first_byte_s = 0.0
        self.is_connected = False
        self.is_home = False

    def update_report(self, report: LoadReport, included_requests: int) -> None:
        """Replaces the load report.

        Args:
            report: The new report.
            included_requests: Requests of this entry that the report includes.
        """
        self.report = report
        self.in_flight = max(0, self.in_flight - included_requests)

    def observe_first_byte(self, first_byte_s: float) -> None:
        """Records a successful answer and its time to the first byte."""
        self.health.record_success()
        self.first_byte_s += _EWMA_WEIGHT * (first_byte_s - self.first_byte_s)

    def predict_first_token_s(
        self, prompt_tokens: int, cached_tokens: int
    ) -> float:
        """Predicts the time to the first token of a new request.

        Args:
            prompt_tokens: Length of the prompt.
            cached_tokens: Tokens of it that are likely in the prefix cache.
        """
        report = self.report
        requests_ahead = report.running + report.queued + self.in_flight
        slots = max(1, report.slots)
        waiting = max(0, requests_ahead + 1 - slots)
        queue_s = waiting * report.service_s / slots
        uncached_tokens = max(0, prompt_tokens - cached_tokens)
        prefill_s = uncached_tokens / report.prefill_tokens_per_s
        return (
            queue_s + prefill_s + report.step_s * (1 + requests_ahead / slots)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTraits:
    """What the choice of an endpoint may depend on.

    Attributes:
        prompt_tokens: Estimated length of the prompt.
        cached_tokens: Estimated cached tokens of the prompt by endpoint.
        zone: Availability zone of the entry.
        sticky_endpoint: Endpoint that the request must go to while it is a
            candidate, or None.
    """

    prompt_tokens: int = 0
    cached_tokens: Mapping[str, int] = dataclasses.field(default_factory=dict)
    zone: str = ""
    sticky_endpoint: str | None = None


class Chooser(Protocol):
    """Chooses one of several endpoints."""

    def choose(
        self,
        candidates: Sequence[EndpointStats],
        traits: RequestTraits,
        now_s: float,
    ) -> EndpointStats:
        """Returns one of the candidates; there has to be at least one."""


class TwoChoices:
    """Compares two random endpoints and two that likely cache the prefix.

    Random sampling keeps the entries from all choosing the endpoint whose
    outdated report looks best. Two random endpoints among those that likely
    hold the prompt's prefix in their cache are compared as well. One of them is
    chosen if its cost is the lowest, but not because of the prefix alone.

    The cost of an endpoint is the predicted time to first token plus one step,
    with a penalty in other availability zones than the entry's. During the slow
    start of an endpoint, its cost is raised.
    """

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        candidates: Sequence[EndpointStats],
        traits: RequestTraits,
        now_s: float,
    ) -> EndpointStats:
        """Returns the sticky endpoint, or the sample with the lowest cost.

        The sticky endpoint is chosen whenever it is a candidate. Otherwise at
        most four candidates are compared.

        Args:
            candidates: Endpoints to choose from; at least one.
            traits: Properties of the request.
            now_s: The current time.
        """
        for each in candidates:
            if each.name == traits.sticky_endpoint:
                return each
        sampled = self._sample(candidates)
        cached = [
            each for each in candidates if each.name in traits.cached_tokens
        ]
        sampled += self._sample(cached)
        return min(sampled, key=lambda each: self._cost_s(each, traits, now_s))

    def _sample(
        self, candidates: Sequence[EndpointStats]
    ) -> list[EndpointStats]:
        count = min(_SAMPLE_SIZE, len(candidates))
        return self._rng.sample(list(candidates), count)

    def _cost_s(
        self, stats: EndpointStats, traits: RequestTraits, now_s: float
    ) -> float:
        cached = traits.cached_tokens.get(stats.name, 0)
        predicted_s = stats.predict_first_token_s(traits.prompt_tokens, cached)
        if stats.zone != traits.zone:
            predicted_s += _OTHER_ZONE_PENALTY_S
        share = stats.health.slow_start_share(now_s)
        return (predicted_s + stats.report.step_s) / share


class RoundRobin:
    """Chooses endpoints in turn; a baseline of the benchmarks."""

    __slots__ = ("_next",)

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self,
        candidates: Sequence[EndpointStats],
        traits: RequestTraits,
        now_s: float,
    ) -> EndpointStats:
        """Returns the next candidate."""
        self._next += 1
        return candidates[self._next % len(candidates)]


class Random:
    """Chooses a random endpoint; a baseline of the benchmarks."""

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        candidates: Sequence[EndpointStats],
        traits: RequestTraits,
        now_s: float,
    ) -> EndpointStats:
        """Returns a random candidate."""
        return self._rng.choice(candidates)


class LeastOutstanding:
    """Chooses by the fewest known requests; a baseline of the benchmarks."""

    __slots__ = ()

    def choose(
        self,
        candidates: Sequence[EndpointStats],
        traits: RequestTraits,
        now_s: float,
    ) -> EndpointStats:
        """Returns the candidate with the fewest known requests."""
        return min(
            candidates,
            key=lambda each: (
                each.report.running + each.report.queued + each.in_flight
            ),
        )


class LeastLoaded:
    """Chooses the endpoint with the fewest requests for each of its slots.

    Home endpoints of the entry come before all others; see ``home_endpoints``.
    Requests that wait at the endpoint's agent count, too. Among equals, an
    endpoint with an idle connection is preferred, then one in the availability
    zone of the entry. Remaining ties are broken at random, so that entries with
    the same information do not all choose the same endpoint.
    """

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        candidates: Sequence[EndpointStats],
        traits: RequestTraits,
        now_s: float,
    ) -> EndpointStats:
        """Returns the least loaded candidate."""
        return min(
            candidates,
            key=lambda each: (
                not each.is_home,
                _requests_per_slot(each),
                not each.is_connected,
                each.zone != traits.zone,
                self._rng.random(),
            ),
        )


def _requests_per_slot(stats: EndpointStats) -> float:
    report = stats.report
    requests = report.running + report.queued + stats.in_flight
    return requests / max(1, report.slots)
