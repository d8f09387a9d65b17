"""Choice of endpoint and order of service, against naive versions.

The decision code is driven by a small loop over a virtual clock: requests
arrive, a chooser sees late reports, endpoints serve from their queues. It
stands in for no cluster; it only feeds the decisions and counts.
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
    """One request of the traffic.

    Attributes:
        at_s: When it comes.
        account: Its client account.
        priority: 0 is the most urgent.
        deadline_s: Time to its start.
        prefix: Which prompt prefix it has.
        work: Factor of its service time.
    """

    at_s: float
    account: str
    priority: int
    deadline_s: float
    prefix: int
    work: float


@dataclasses.dataclass(slots=True)
class Served:
    """What became of a request.

    Attributes:
        arrival: The request.
        wait_s: Time to its first token, or None where it was refused.
    """

    arrival: Arrival
    wait_s: float | None


class _Server:
    """One endpoint behind its agent's queue."""

    def __init__(self, queue: Any, speed: float, sheds: bool) -> None:
        self.queue = queue
        self.speed = speed
        self.sheds = sheds
        self.running = 0
        self.cache: dict[int, None] = {}
        self.evicted: list[int] = []

    def service_s(self, arrival: Arrival) -> tuple[float, float]:
        """Returns the time to the first token and the whole time."""
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
        return prefill_s, prefill_s + arrival.work * _SERVICE_S / self.speed


class Loop:
    """Feeds arrivals to choosers and queues over a virtual clock."""

    def __init__(
        self,
        chooser: choice.Chooser,
        make_queue: Callable[[], Any],
        speeds: list[float],
        sheds: bool,
        knows_prefixes: bool,
    ) -> None:
        """Prepares.

        Args:
            chooser: Picks the endpoint.
            make_queue: Makes the queue of an endpoint.
            speeds: Speed of each endpoint.
            sheds: Whether what cannot meet its deadline is refused.
            knows_prefixes: Whether the chooser is told of cached prefixes.
        """
        self._chooser = chooser
        self._servers = [_Server(make_queue(), s, sheds) for s in speeds]
        self._tracked = [
            choice.EndpointStats(str(number), "z", -100.0)
            for number in range(len(speeds))
        ]
        self._knows_prefixes = knows_prefixes
        self._index = prefixes.PrefixIndex(_INDEXED_BLOCKS)
        self._rng = random.Random(len(speeds))
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._now_s = 0.0
        self.served: list[Served] = []

    def run(self, arrivals: Iterable[Arrival]) -> list[Served]:
        """Serves all arrivals and returns what became of them."""
        for arrival in arrivals:
            self._at(arrival.at_s, functools.partial(self._arrive, arrival))
        for number in range(len(self._servers)):
            self._at(
                _REPORT_S * number / len(self._servers), self._reporter(number)
            )
        while self._events:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        return self.served

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), action))

    def _reporter(self, number: int) -> Callable[[], None]:
        def make_report() -> None:
            server = self._servers[number]
            self._tell_evictions(number)
            made = choice.LoadReport(
                running=server.running,
                queued=len(server.queue),
                slots=_SLOTS,
                service_s=_SERVICE_S / server.speed,
                step_s=0.02 / server.speed,
            )
            sent = self._tracked[number].in_flight
            # The report takes a while to come; what is sent meanwhile stays.
            self._at(
                self._now_s + _REPORT_S / 2,
                lambda: self._take(number, made, sent),
            )
            if self._now_s < _HORIZON_S:
                self._at(self._now_s + _REPORT_S, make_report)

        return make_report

    def _tell_evictions(self, number: int) -> None:
        """Passes on cache events, some of which are lost."""
        server = self._servers[number]
        evicted, server.evicted = server.evicted, []
        kept = [e for e in evicted if self._rng.random() >= _LOST_EVENT_SHARE]
        self._index.remove_blocks(str(number), kept)

    def _take(self, number: int, made: choice.LoadReport, sent: int) -> None:
        self._tracked[number].update_report(made, included_requests=sent)

    def _arrive(self, arrival: Arrival) -> None:
        cached = {}
        if self._knows_prefixes:
            held = self._index.cached_tokens([arrival.prefix])
            cached = dict.fromkeys(held, _PREFIX_TOKENS)
        ask = choice.RequestTraits(
            prompt_tokens=_PREFIX_TOKENS, cached_tokens=cached, zone="z"
        )
        chosen = self._chooser.choose(self._tracked, ask, self._now_s)
        number = int(chosen.name)
        chosen.in_flight += 1
        self._index.add_blocks(chosen.name, [arrival.prefix])
        self._enqueue(self._servers[number], arrival)

    def _enqueue(self, server: _Server, arrival: Arrival) -> None:
        ticket = queueing.SchedulingParams(
            arrival.account,
            1.0,
            arrival.priority,
            self._now_s + arrival.deadline_s,
        )
        if server.sheds:
            slots = admission.SlotUsage(server.running, _SLOTS)
            refusal = admission.check_deadline(
                server.queue,
                ticket,
                slots,
                _SERVICE_S / server.speed,
                self._now_s,
            )
            if refusal is not None:
                self.served.append(Served(arrival, None))
                return
        server.queue.push(ticket, arrival)
        self._pump(server)

    def _pump(self, server: _Server) -> None:
        while server.running < _SLOTS:
            arrival = server.queue.pop()
            if arrival is None:
                return
            wait_s = self._now_s - arrival.at_s
            if server.sheds and wait_s > arrival.deadline_s:
                self.served.append(Served(arrival, None))
                continue
            first_s, whole_s = server.service_s(arrival)
            server.running += 1
            self.served.append(Served(arrival, wait_s + first_s))
            self._at(self._now_s + whole_s, lambda: self._done(server))

    def _done(self, server: _Server) -> None:
        server.running -= 1
        self._pump(server)


def _traffic(
    rng: random.Random,
    per_s: float,
    accounts: dict[str, float],
    urgent_share: float = 0.5,
) -> list[Arrival]:
    """Returns Poisson arrivals with skewed prefixes and service times."""
    names = list(accounts)
    weights = list(accounts.values())
    found = []
    at_s = 0.0
    while at_s < _HORIZON_S:
        at_s += rng.expovariate(per_s)
        is_urgent = rng.random() < urgent_share
        found.append(
            Arrival(
                at_s=at_s,
                account=rng.choices(names, weights)[0],
                priority=0 if is_urgent else 7,
                deadline_s=2.0 if is_urgent else 20.0,
                prefix=min(_PREFIXES, int(rng.paretovariate(0.8))),
                work=rng.expovariate(1.0),
            )
        )
    return found


def _waits(
    served: list[Served], keep: Callable[[Arrival], bool]
) -> list[float]:
    return [
        each.wait_s
        for each in served
        if each.wait_s is not None
        and each.arrival.at_s > _WARM_UP_S
        and keep(each.arrival)
    ]


def _capacity_per_s(speeds: list[float]) -> float:
    """Returns the rate that the endpoints carry when half is cached."""
    return sum(speeds) * _SLOTS / (_SERVICE_S + _PREFILL_S / 2)


def _choosers(seed: int) -> dict[str, tuple[choice.Chooser, bool]]:
    return {
        "round robin": (choice.RoundRobin(), False),
        "random": (choice.Random(random.Random(seed)), False),
        "least outstanding": (choice.LeastOutstanding(), False),
        "two choices": (choice.TwoChoices(random.Random(seed)), False),
        "two choices, prefixes": (choice.TwoChoices(random.Random(seed)), True),
    }


def choice_of_endpoint(seeds: list[int]) -> report.Result:
    """Compares choosers at 0.8 of capacity, two endpoints at half speed.

    Args:
        seeds: Seeds of traffic and draws.
    """
    speeds = [1.0] * (_ENDPOINTS - 2) + [0.5] * 2
    cells: dict[str, list[list[float]]] = {}
    for seed in seeds:
        traffic = _traffic(
            random.Random(seed), 0.8 * _capacity_per_s(speeds), {"a": 1, "b": 1}
        )
        for name, (chooser, knows) in _choosers(seed).items():
            loop = Loop(chooser, queueing.FairQueue, speeds, False, knows)
            waits = _waits(loop.run(traffic), lambda _: True)
            cells.setdefault(name, []).append(
                [report.percentile(waits, share) for share in (0.5, 0.95, 0.99)]
                + [statistics.fmean(waits)]
            )
    rows = [
        [name]
        + [
            report.spread([run[column] * _MS_PER_S for run in runs], 0)
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


def order_of_service(seeds: list[int]) -> report.Result:
    """Compares queues in a peak of twice capacity.

    Args:
        seeds: Seeds of traffic and draws.
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
        for name, make_queue, sheds in (
            ("first come first served", queueing.FifoQueue, False),
            ("fair, no shedding", queueing.FairQueue, False),
            ("fair, shedding", queueing.FairQueue, True),
        ):
            chooser = choice.TwoChoices(random.Random(seed))
            loop = Loop(chooser, make_queue, speeds, sheds, True)
            served = loop.run(traffic)
            cells.setdefault(name, []).append(_order_cells(served))
    rows = [
        [name] + [report.spread([run[c] for run in runs], 2) for c in range(4)]
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


def _order_cells(served: list[Served]) -> list[float]:
    def is_urgent(arrival: Arrival) -> bool:
        return arrival.priority == 0

    def is_other(arrival: Arrival) -> bool:
        return arrival.priority != 0

    counted = [s for s in served if s.arrival.at_s > _WARM_UP_S]
    urgent = [s for s in counted if is_urgent(s.arrival)]
    others = [s for s in counted if is_other(s.arrival)]
    in_time = [
        s
        for s in urgent
        if s.wait_s is not None and s.wait_s <= s.arrival.deadline_s
    ]
    late = [
        s
        for s in others
        if s.wait_s is not None and s.wait_s <= s.arrival.deadline_s
    ]
    return [
        len(in_time) / max(1, len(urgent)),
        report.percentile(_waits(served, is_urgent), 0.95),
        len(late) / max(1, len(others)),
        report.percentile(_waits(served, is_other), 0.95),
    ]


def heavy_account(seeds: list[int]) -> report.Result:
    """Tells what a heavy account does to a light one's 95th percentile.

    Args:
        seeds: Seeds of traffic and draws.
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
                loop = Loop(
                    choice.TwoChoices(random.Random(seed)),
                    make_queue,
                    speeds,
                    False,
                    True,
                )
                served = loop.run(sorted(traffic, key=lambda a: a.at_s))
                waits = _waits(served, lambda a: a.account == "light")
                p95.append(report.percentile(waits, 0.95) * _MS_PER_S)
            cells.setdefault(name, []).append(p95)
    rows = [
        [name] + [report.spread([run[c] for run in runs], 0) for c in range(3)]
        for name, runs in cells.items()
    ]
    return report.Result(
        "A light account's time to first token (p95 ms) beside a heavy one",
        ("queue", "total load 0.6", "total load 0.95", "total load 1.7"),
        rows,
        [f"Seeds {seeds}: median (least-most)."],
    )


def limit_errors(seeds: list[int]) -> report.Result:
    """Tells how well a limit holds over many entries.

    Args:
        seeds: Seeds of the traffic.
    """
    rows = []
    for entries in (2, 8, 64):
        for name, corrects in (("equal shares", False), ("reports", True)):
            errors = [_limit_error(entries, corrects, seed) for seed in seeds]
            spread = report.spread([error * 100 for error in errors], 1)
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


def _limit_error(entries: int, corrects: bool, seed: int) -> float:
    rng = random.Random(seed)
    limit_per_s = 200.0
    each = [
        limits.AccountLimit(limit_per_s, 1.0, entries, 5.0, 0.0)
        for _ in range(entries)
    ]
    total = limits.DecayingCount(5.0, 0.0)
    admitted = 0
    for tick in range(30_000):
        now_s = tick * 0.002
        index = 0 if rng.random() < 0.5 else rng.randrange(entries)
        if each[index].take(now_s) == 0:
            total.add(each[index].offered_per_admitted(now_s), now_s)
            admitted += now_s >= 30.0
        if corrects and tick % 250 == 0:
            for limit in each:
                limit.update_share(total.rate_per_s(now_s), entries, now_s)
    return admitted / 30.0 / limit_per_s - 1


def run(seeds: list[int], folder: str | None) -> list[report.Result]:
    """Runs all comparisons.

    Args:
        seeds: Seeds of traffic and draws.
        folder: Where the plot goes, or None.
    """
    results = [
        choice_of_endpoint(seeds),
        order_of_service(seeds),
        heavy_account(seeds),
        limit_errors(seeds),
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
