"""Choice of endpoints, queueing and limits, compared with baselines.

A small simulation with a virtual clock drives the decision code: requests
arrive, a chooser receives delayed load reports, and endpoints serve requests
from their queues. It does not simulate a cluster; it only calls the decision
code and counts the results.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import functools
import heapq
import itertools
import random
import statistics
from typing import Any

from godwitdale.bench import report
from godwitdale_routing import admission
from godwitdale_routing import choice
from godwitdale_routing import limits
from godwitdale_routing import prefixes
from godwitdale_routing import queueing

_ENDPOINTS = 24
_SLOTS = 8
_SERVICE_S = 0.5
_REPORT_S = 1.0
_HORIZON_S = 120.0
_WARM_UP_S = 20.0
_MS_PER_S = 1000
_PREFIXES = 400
_PREFILL_S = 0.2
_CACHED_PREFIXES = 40
_PREFIX_TOKENS = 2000
_INDEXED_BLOCKS = 50_000
_LOST_EVENT_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request of the simulated traffic.

    Attributes:
        at_s: Time of the arrival.
        account: Client account that sends the request.
        priority: Priority; 0 is the most urgent.
        deadline_s: Time from the arrival until the request must start.
        prefix: Number of its prompt prefix.
        service_factor: Factor on the mean service time.
    """

    at_s: float
    account: str
    priority: int
    deadline_s: float
    prefix: int
    service_factor: float


@dataclasses.dataclass(slots=True)
class RequestResult:
    """Result of a request.

    Attributes:
        arrival: The request.
        wait_s: Time to the first token, or None if the request was refused.
    """

    arrival: Arrival
    wait_s: float | None


class _SimulatedEndpoint:
    """An endpoint and the queue of its agent."""

    def __init__(self, queue: Any, speed: float, sheds_load: bool) -> None:
        self.queue = queue
        self.speed = speed
        self.sheds_load = sheds_load
        self.running = 0
        self.cache: dict[int, None] = {}
        self.evicted: list[int] = []

    def service_s(self, arrival: Arrival) -> tuple[float, float]:
        """Returns the time to the first token and the total service time."""
        prefill_s = _PREFILL_S
        if arrival.prefix in self.cache:
            prefill_s = 0.0
            del self.cache[arrival.prefix]
        self.cache[arrival.prefix] = None
        if len(self.cache) > _CACHED_PREFIXES:
            oldest = next(iter(self.cache))
            del self.cache[oldest]
            self.evicted.append(oldest)
        prefill_s /= self.speed
        return (
            prefill_s,
            prefill_s + arrival.service_factor * _SERVICE_S / self.speed,
        )


class Simulation:
    """Sends arrivals to choosers and queues on a virtual clock."""

    def __init__(
        self,
        chooser: choice.Chooser,
        make_queue: Callable[[], Any],
        speeds: list[float],
        sheds_load: bool,
        knows_prefixes: bool,
    ) -> None:
        """Creates a simulation of idle endpoints.

        Args:
            chooser: Chooses the endpoint of each request.
            make_queue: Creates the queue of an endpoint.
            speeds: Relative speed of each endpoint.
            sheds_load: Whether requests that cannot meet their deadline are
                refused.
            knows_prefixes: Whether the chooser receives the cached prefixes.
        """
        self._chooser = chooser
        self._endpoints = [
            _SimulatedEndpoint(make_queue(), s, sheds_load) for s in speeds
        ]
        self._stats = [
            choice.EndpointStats(str(number), "z", -100.0)
            for number in range(len(speeds))
        ]
        self._knows_prefixes = knows_prefixes
        self._index = prefixes.PrefixIndex(_INDEXED_BLOCKS)
        self._rng = random.Random(len(speeds))
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._now_s = 0.0
        self.served: list[RequestResult] = []

    def run(self, arrivals: Iterable[Arrival]) -> list[RequestResult]:
        """Serves all arrivals and returns their results."""
        for arrival in arrivals:
            self._schedule(
                arrival.at_s, functools.partial(self._arrive, arrival)
            )
        for number in range(len(self._endpoints)):
            self._schedule(
                _REPORT_S * number / len(self._endpoints),
                self._make_reporter(number),
            )
        while self._events:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        return self.served

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), action))

    def _make_reporter(self, number: int) -> Callable[[], None]:
        def send_report() -> None:
            endpoint = self._endpoints[number]
            self._forward_evictions(number)
            load_report = choice.LoadReport(
                running=endpoint.running,
                queued=len(endpoint.queue),
                slots=_SLOTS,
                service_s=_SERVICE_S / endpoint.speed,
                step_s=0.02 / endpoint.speed,
            )
            in_flight = self._stats[number].in_flight
            # The report arrives with a delay. Requests that are sent in the
            # meantime still count as in flight.
            self._schedule(
                self._now_s + _REPORT_S / 2,
                lambda: self._receive_report(number, load_report, in_flight),
            )
            if self._now_s < _HORIZON_S:
                self._schedule(self._now_s + _REPORT_S, send_report)

        return send_report

    def _forward_evictions(self, number: int) -> None:
        """Forwards cache events to the index; some of them are lost."""
        endpoint = self._endpoints[number]
        evicted, endpoint.evicted = endpoint.evicted, []
        received = [
            e for e in evicted if self._rng.random() >= _LOST_EVENT_SHARE
        ]
        self._index.remove_blocks(str(number), received)

    def _receive_report(
        self, number: int, load_report: choice.LoadReport, in_flight: int
    ) -> None:
        self._stats[number].update_report(
            load_report, included_requests=in_flight
        )

    def _arrive(self, arrival: Arrival) -> None:
        cached_tokens = {}
        if self._knows_prefixes:
            holders = self._index.cached_tokens([arrival.prefix])
            cached_tokens = dict.fromkeys(holders, _PREFIX_TOKENS)
        traits = choice.RequestTraits(
            prompt_tokens=_PREFIX_TOKENS, cached_tokens=cached_tokens, zone="z"
        )
        chosen = self._chooser.choose(self._stats, traits, self._now_s)
        number = int(chosen.name)
        chosen.in_flight += 1
        self._index.add_blocks(chosen.name, [arrival.prefix])
        self._enqueue(self._endpoints[number], arrival)

    def _enqueue(self, endpoint: _SimulatedEndpoint, arrival: Arrival) -> None:
        params = queueing.SchedulingParams(
            arrival.account,
            1.0,
            arrival.priority,
            self._now_s + arrival.deadline_s,
        )
        if endpoint.sheds_load:
            slots = admission.SlotUsage(endpoint.running, _SLOTS)
            refusal = admission.check_deadline(
                endpoint.queue,
                params,
                slots,
                _SERVICE_S / endpoint.speed,
                self._now_s,
            )
            if refusal is not None:
                self.served.append(RequestResult(arrival, None))
                return
        endpoint.queue.push(params, arrival)
        self._start_queued(endpoint)

    def _start_queued(self, endpoint: _SimulatedEndpoint) -> None:
        while endpoint.running < _SLOTS:
            arrival = endpoint.queue.pop()
            if arrival is None:
                return
            wait_s = self._now_s - arrival.at_s
            if endpoint.sheds_load and wait_s > arrival.deadline_s:
                self.served.append(RequestResult(arrival, None))
                continue
            time_to_first_s, total_s = endpoint.service_s(arrival)
            endpoint.running += 1
            self.served.append(RequestResult(arrival, wait_s + time_to_first_s))
            self._schedule(
                self._now_s + total_s, lambda: self._finish_request(endpoint)
            )

    def _finish_request(self, endpoint: _SimulatedEndpoint) -> None:
        endpoint.running -= 1
        self._start_queued(endpoint)


def _traffic(
    rng: random.Random,
    per_s: float,
    accounts: dict[str, float],
    urgent_share: float = 0.5,
) -> list[Arrival]:
    """Returns Poisson arrivals with skewed prefixes and service times."""
    names = list(accounts)
    weights = list(accounts.values())
    arrivals = []
    at_s = 0.0
    while at_s < _HORIZON_S:
        at_s += rng.expovariate(per_s)
        is_urgent = rng.random() < urgent_share
        arrivals.append(
            Arrival(
                at_s=at_s,
                account=rng.choices(names, weights)[0],
                priority=0 if is_urgent else 7,
                deadline_s=2.0 if is_urgent else 20.0,
                prefix=min(_PREFIXES, int(rng.paretovariate(0.8))),
                service_factor=rng.expovariate(1.0),
            )
        )
    return arrivals


def _wait_times_s(
    served: list[RequestResult], keep: Callable[[Arrival], bool]
) -> list[float]:
    return [
        result.wait_s
        for result in served
        if result.wait_s is not None
        and result.arrival.at_s > _WARM_UP_S
        and keep(result.arrival)
    ]


def _capacity_per_s(speeds: list[float]) -> float:
    """Returns the request rate at capacity if half the prompts are cached."""
    return sum(speeds) * _SLOTS / (_SERVICE_S + _PREFILL_S / 2)


def _choosers(seed: int) -> dict[str, tuple[choice.Chooser, bool]]:
    return {
        "round robin": (choice.RoundRobin(), False),
        "random": (choice.Random(random.Random(seed)), False),
        "least outstanding": (choice.LeastOutstanding(), False),
        "two choices": (choice.TwoChoices(random.Random(seed)), False),
        "two choices, prefixes": (choice.TwoChoices(random.Random(seed)), True),
    }


def compare_choosers(seeds: list[int]) -> report.Result:
    """Compares choosers at a load of 0.8, with two endpoints at half speed.

    Args:
        seeds: Seeds of the traffic and of random choices.
    """
    speeds = [1.0] * (_ENDPOINTS - 2) + [0.5] * 2
    cells: dict[str, list[list[float]]] = {}
    for seed in seeds:
        traffic = _traffic(
            random.Random(seed), 0.8 * _capacity_per_s(speeds), {"a": 1, "b": 1}
        )
        for name, (chooser, knows_prefixes) in _choosers(seed).items():
            simulation = Simulation(
                chooser, queueing.FairQueue, speeds, False, knows_prefixes
            )
            wait_times_s = _wait_times_s(
                simulation.run(traffic), lambda _: True
            )
            cells.setdefault(name, []).append(
                [
                    report.percentile(wait_times_s, share)
                    for share in (0.5, 0.95, 0.99)
                ]
                + [statistics.fmean(wait_times_s)]
            )
    rows = [
        [name]
        + [
            report.format_median([run[column] * _MS_PER_S for run in runs], 0)
            for column in range(4)
        ]
        for name, runs in cells.items()
    ]
    return report.Result(
        f"Time to first token, {_ENDPOINTS} endpoints (2 at half speed), load "
        "0.8, reports 0.5 to 1.5 s old",
        ("chooser", "p50 ms", "p95 ms", "p99 ms", "mean ms"),
        rows,
        [f"Seeds {seeds}: median (least-most)."],
    )


def compare_queues(seeds: list[int]) -> report.Result:
    """Compares queues at a load of twice the capacity.

    Args:
        seeds: Seeds of the traffic and of random choices.
    """
    speeds = [1.0] * 4
    cells: dict[str, list[list[float]]] = {}
    for seed in seeds:
        traffic = _traffic(
            random.Random(seed),
            2.0 * _capacity_per_s(speeds),
            {"a": 1, "b": 1, "c": 1},
            urgent_share=0.4,
        )
        for name, make_queue, sheds_load in (
            ("first come first served", queueing.FifoQueue, False),
            ("fair, no shedding", queueing.FairQueue, False),
            ("fair, shedding", queueing.FairQueue, True),
        ):
            chooser = choice.TwoChoices(random.Random(seed))
            simulation = Simulation(
                chooser, make_queue, speeds, sheds_load, True
            )
            served = simulation.run(traffic)
            cells.setdefault(name, []).append(_queue_cells(served))
    rows = [
        [name]
        + [report.format_median([run[c] for run in runs], 2) for c in range(4)]
        for name, runs in cells.items()
    ]
    return report.Result(
        "A peak of twice capacity, 40% urgent with 2 s to the first token",
        (
            "queue",
            "urgent in time",
            "urgent p95 s",
            "less urgent served",
            "less urgent p95 s",
        ),
        rows,
        [f"Shares of what was offered. Seeds {seeds}: median (least-most)."],
    )


def _queue_cells(served: list[RequestResult]) -> list[float]:
    def is_urgent(arrival: Arrival) -> bool:
        return arrival.priority == 0

    def is_other(arrival: Arrival) -> bool:
        return arrival.priority != 0

    counted = [s for s in served if s.arrival.at_s > _WARM_UP_S]
    urgent = [s for s in counted if is_urgent(s.arrival)]
    others = [s for s in counted if is_other(s.arrival)]
    urgent_in_time = [
        s
        for s in urgent
        if s.wait_s is not None and s.wait_s <= s.arrival.deadline_s
    ]
    others_in_time = [
        s
        for s in others
        if s.wait_s is not None and s.wait_s <= s.arrival.deadline_s
    ]
    return [
        len(urgent_in_time) / max(1, len(urgent)),
        report.percentile(_wait_times_s(served, is_urgent), 0.95),
        len(others_in_time) / max(1, len(others)),
        report.percentile(_wait_times_s(served, is_other), 0.95),
    ]


def measure_heavy_account(seeds: list[int]) -> report.Result:
    """Measures how a heavy account affects the p95 latency of a light one.

    Args:
        seeds: Seeds of the traffic and of random choices.
    """
    speeds = [1.0] * 8
    light_per_s = 0.1 * _capacity_per_s(speeds)
    cells: dict[str, list[list[float]]] = {}
    for seed in seeds:
        for name, make_queue in (
            ("first come first served", queueing.FifoQueue),
            ("fair", queueing.FairQueue),
        ):
            p95 = []
            for heavy_share in (0.5, 0.85, 1.6):
                heavy_per_s = heavy_share * _capacity_per_s(speeds)
                rng = random.Random(seed)
                traffic = _traffic(rng, light_per_s, {"light": 1}, 1.0)
                traffic += _traffic(rng, heavy_per_s, {"heavy": 1}, 1.0)
                simulation = Simulation(
                    choice.TwoChoices(random.Random(seed)),
                    make_queue,
                    speeds,
                    False,
                    True,
                )
                served = simulation.run(sorted(traffic, key=lambda a: a.at_s))
                wait_times_s = _wait_times_s(
                    served, lambda a: a.account == "light"
                )
                p95.append(report.percentile(wait_times_s, 0.95) * _MS_PER_S)
            cells.setdefault(name, []).append(p95)
    rows = [
        [name]
        + [report.format_median([run[c] for run in runs], 0) for c in range(3)]
        for name, runs in cells.items()
    ]
    return report.Result(
        "A light account's time to first token (p95 ms) beside a heavy one",
        ("queue", "total load 0.6", "total load 0.95", "total load 1.7"),
        rows,
        [f"Seeds {seeds}: median (least-most)."],
    )


def measure_limit_errors(seeds: list[int]) -> report.Result:
    """Measures how exactly a rate limit is kept across several entries.

    Args:
        seeds: Seeds of the traffic.
    """
    rows = []
    for entries in (2, 8, 64):
        for name, uses_reports in (("equal shares", False), ("reports", True)):
            errors = [
                _limit_error(entries, uses_reports, seed) for seed in seeds
            ]
            spread = report.format_median([error * 100 for error in errors], 1)
            rows.append([entries, name, spread, 0])
    return report.Result(
        "Limit of 200 requests/s, 500/s offered, half of it at one entry",
        ("entries", "way", "error %", "further messages"),
        rows,
        [
            "Error: admitted over the limit, less one. Reports ride on "
            "messages that are sent anyway.",
            f"Seeds {seeds}: median (least-most).",
        ],
    )


def _limit_error(entries: int, uses_reports: bool, seed: int) -> float:
    rng = random.Random(seed)
    limit_per_s = 200.0
    entry_limits = [
        limits.AccountLimit(limit_per_s, 1.0, entries, 5.0, 0.0)
        for _ in range(entries)
    ]
    total = limits.DecayingCount(5.0, 0.0)
    admitted = 0
    for tick in range(30_000):
        now_s = tick * 0.002
        index = 0 if rng.random() < 0.5 else rng.randrange(entries)
        if entry_limits[index].take(now_s) == 0:
            total.add(entry_limits[index].offered_per_admitted(now_s), now_s)
            admitted += now_s >= 30.0
        if uses_reports and tick % 250 == 0:
            for limit in entry_limits:
                limit.update_share(total.rate_per_s(now_s), entries, now_s)
    return admitted / 30.0 / limit_per_s - 1


def run(seeds: list[int], folder: str | None) -> list[report.Result]:
    """Runs all comparisons.

    Args:
        seeds: Seeds of the traffic and of random choices.
        folder: Folder of the plot, or None to draw none.
    """
    results = [
        compare_choosers(seeds),
        compare_queues(seeds),
        measure_heavy_account(seeds),
        measure_limit_errors(seeds),
    ]
    p95 = {
        str(row[0]): float(str(row[2]).split()[0]) for row in results[0].rows
    }
    report.plot_bars(
        folder,
        "policy-choice",
        "Time to first token, 95 in 100",
        "ms",
        {name: {"p95": value} for name, value in p95.items()},
    )
    return results
