"""Choice of an endpoint by predicted time to first token."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import random
from typing import Protocol

from godwitdale_routing import health as health_lib

_CHOICES = 2
_OTHER_ZONE_PENALTY_S = 0.001
_EWMA_WEIGHT = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What an agent last said of its endpoint.

    Attributes:
        running: Requests in the endpoint.
        queued: Requests that wait at the agent.
        slots: Requests that the endpoint takes at once.
        service_s: Time that one request occupies a slot.
        step_s: Time of one step of its group, stragglers included.
        prefill_tokens_per_s: Prompt tokens that it reads a second.
        is_draining: Whether it takes no new work.
    """

    running: int = 0
    queued: int = 0
    slots: int = 1
    service_s: float = 1.0
    step_s: float = 0.0
    prefill_tokens_per_s: float = 10_000.0
    is_draining: bool = False


class EndpointStats:
    """One endpoint as an entry sees it.

    Attributes:
        name: Name of the endpoint.
        zone: Its availability zone.
        report: The last load report.
        in_flight: Requests sent by this entry that the report does not include.
        health: Failures and slow start.
        first_byte_s: Smoothed measured time to the first byte.
        is_connected: Whether an idle connection to it is at hand.
    """

    __slots__ = (
        "name",
        "zone",
        "report",
        "in_flight",
        "health",
        "first_byte_s",
        "is_connected",
    )

    def __init__(self, name: str, zone: str, now_s: float) -> None:
        self.name = name
        self.zone = zone
        self.report = LoadReport()
        self.in_flight = 0
        self.health = health_lib.Health(now_s)
        self.first_byte_s = 0.0
        self.is_connected = False

    def update_report(self, report: LoadReport, included_requests: int) -> None:
        """Takes over a report.

        Args:
            report: The report.
            included_requests: Requests of this entry that the report includes.
        """
        self.report = report
        self.in_flight = max(0, self.in_flight - included_requests)

    def observe_first_byte(self, first_byte_s: float) -> None:
        """Notes a measured time to the first byte."""
        self.health.record_success()
        self.first_byte_s += _EWMA_WEIGHT * (first_byte_s - self.first_byte_s)

    def predict_first_token_s(
        self, prompt_tokens: int, cached_tokens: int
    ) -> float:
        """Predicts the time to the first token of a new request.

        Args:
            prompt_tokens: Length of the prompt.
            cached_tokens: Its part that is likely in the prefix cache.
        """
        report = self.report
        ahead = report.running + report.queued + self.in_flight
        slots = max(1, report.slots)
        waiting = max(0, ahead + 1 - slots)
        queue_s = waiting * report.service_s / slots
        fresh_tokens = max(0, prompt_tokens - cached_tokens)
        prefill_s = fresh_tokens / report.prefill_tokens_per_s
        return queue_s + prefill_s + report.step_s * (1 + ahead / slots)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTraits:
    """What a chooser may know of a request.

    Attributes:
        prompt_tokens: Estimated length of the prompt.
        cached_tokens: Estimated cached part by endpoint.
        zone: Availability zone of the entry.
        sticky_endpoint: Endpoint that the key is homed at, or None.
    """

    prompt_tokens: int = 0
    cached_tokens: Mapping[str, int] = dataclasses.field(default_factory=dict)
    zone: str = ""
    sticky_endpoint: str | None = None


class Chooser(Protocol):
    """Picks one of several endpoints."""

    def choose(
        self,
        candidates: Sequence[EndpointStats],
        traits: RequestTraits,
        now_s: float,
    ) -> EndpointStats:
        """Returns one of the candidates, of which there is at least one."""


class TwoChoices:
    """The best of two random endpoints and two warm ones.

    Two choices avoid that every entry runs to the endpoint whose late report
    looks best. Two of those that likely hold the prompt's prefix join them,
    so that a cached prefix is used while it wins by prediction, and only then.
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
        """Returns the candidate with the lowest predicted time."""
        for each in candidates:
            if each.name == traits.sticky_endpoint:
                return each
        drawn = self._draw(candidates)
        warm = [
            each for each in candidates if each.name in traits.cached_tokens
        ]
        drawn += self._draw(warm)
        return min(drawn, key=lambda each: self._cost_s(each, traits, now_s))

    def _draw(self, candidates: Sequence[EndpointStats]) -> list[EndpointStats]:
        count = min(_CHOICES, len(candidates))
        return self._rng.sample(list(candidates), count)

    def _cost_s(
        self, each: EndpointStats, ask: RequestTraits, now_s: float
    ) -> float:
        cached = ask.cached_tokens.get(each.name, 0)
        predicted_s = each.predict_first_token_s(ask.prompt_tokens, cached)
        if each.zone != ask.zone:
            predicted_s += _OTHER_ZONE_PENALTY_S
        ramp = each.health.slow_start_share(now_s)
        return (predicted_s + each.report.step_s) / ramp


class RoundRobin:
    """Each in turn, a baseline of the benchmarks."""

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
    """Any endpoint, a baseline of the benchmarks."""

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
    """The least loaded by its last report, a baseline of the benchmarks."""

    __slots__ = ()

    def choose(
        self,
        candidates: Sequence[EndpointStats],
        traits: RequestTraits,
        now_s: float,
    ) -> EndpointStats:
        """Returns the candidate with the fewest requests known of."""
        return min(
            candidates,
            key=lambda each: (
                each.report.running + each.report.queued + each.in_flight
            ),
        )


class LeastLoaded:
    """The endpoint with the smallest share of its slots taken.

    Ties are drawn, so that entries that know the same do not all run to the
    same endpoint; an endpoint to which a connection is at hand and then the own
    availability zone go first among equals.
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
                _taken_share(each),
                not each.is_connected,
                each.zone != traits.zone,
                self._rng.random(),
            ),
        )


def _taken_share(each: EndpointStats) -> float:
    report = each.report
    taken = report.running + report.queued + each.in_flight
    return taken / max(1, report.slots)
