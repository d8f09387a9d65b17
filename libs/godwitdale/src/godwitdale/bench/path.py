"""What the path costs, against the same engines called directly."""

import dataclasses
import pathlib
import tempfile
from typing import Any

from twisted.internet import threads

from godwitdale import http_client
from godwitdale import testing
from godwitdale.bench import fixtures
from godwitdale.bench import load
from godwitdale.bench import report

_ENGINES = 4
_SLOTS = 160
_STEP_S = 0.02
_OPEN_STREAMS = 500
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Rate:
    """A rate of chats.

    Attributes:
        per_s: Chats a second.
        tokens: Tokens of each.
        chats: Number of chats.
    """

    per_s: float
    tokens: int
    chats: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """What one run gave.

    Attributes:
        chats: What was seen of the chats.
        took_s: Time of the run.
        entry_cpu_s: Processor time of the entry.
        agent_cpu_s: Processor time of all agents.
    """

    chats: list[load.Chat]
    took_s: float
    entry_cpu_s: float = 0.0
    agent_cpu_s: float = 0.0


class PathBench:
    """Measures one cluster."""

    def __init__(self, cluster: testing.Cluster, reactor: Any) -> None:
        """Prepares.

        Args:
            cluster: A running cluster.
            reactor: The Twisted reactor.
        """
        self._cluster = cluster
        self._reactor = reactor
        self._generator = load.Generator(reactor)

    async def measure(self, rate: Rate, seed: int, direct: bool) -> Reading:
        """Sends chats and reads the processes before and after.

        Args:
            rate: What to send.
            seed: Seed of the arrivals.
            direct: Whether to pass the system by.
        """
        cluster = self._cluster
        engines = self._pids("endpoint-engine")
        urls = [cluster.processes[name].url for name in engines]
        if not direct:
            urls = [cluster.entry_url()]
        offer = load.Offer(
            urls=tuple(urls),
            headers=cluster.request_headers(fixtures.ACCOUNT),
            model=fixtures.MODEL,
            chats=rate.chats,
            per_s=rate.per_s,
            tokens=rate.tokens,
            seed=seed,
        )
        before = self._cpu()
        started_s = self._reactor.seconds()
        chats = await self._generator.run(offer)
        took_s = self._reactor.seconds() - started_s
        after = self._cpu()
        return Reading(
            chats, took_s, after[0] - before[0], after[1] - before[1]
        )

    async def memory_open(self, streams: int) -> float:
        """Returns the entry's memory while many streams are open."""
        rate = Rate(per_s=250.0, tokens=400, chats=streams)
        pid = self._cluster.processes["entry-1"].pid
        peak_mb = 0.0
        running = self.measure(rate, seed=1, direct=False)
        watching = [True]

        def watch() -> None:
            nonlocal peak_mb
            if watching:
                peak_mb = max(peak_mb, load.memory_mb(pid))
                self._reactor.callLater(0.2, watch)

        watch()
        await running
        watching.clear()
        return peak_mb

    def _pids(self, prefix: str) -> dict[str, int]:
        return {
            name: process.pid
            for name, process in self._cluster.processes.items()
            if name.startswith(prefix)
        }

    def _cpu(self) -> tuple[float, float]:
        entry = sum(load.cpu_s(pid) for pid in self._pids("entry").values())
        agents = sum(load.cpu_s(pid) for pid in self._pids("agent").values())
        return entry, agents


def _latency_row(name: str, reading: Reading) -> list[Any]:
    firsts = [c.first_s for c in reading.chats if c.first_s is not None]
    gaps = [gap for chat in reading.chats for gap in chat.gaps_s]
    return [
        name,
        len(reading.chats),
        sum(chat.is_whole for chat in reading.chats),
        report.percentile(firsts, 0.5) * _MS_PER_S,
        report.percentile(firsts, 0.95) * _MS_PER_S,
        report.percentile(gaps, 0.5) * _MS_PER_S,
        report.percentile(gaps, 0.95) * _MS_PER_S,
    ]


def _cost_row(name: str, reading: Reading) -> list[Any]:
    tokens = sum(chat.tokens for chat in reading.chats)
    return [
        name,
        len(reading.chats) / reading.took_s,
        tokens / reading.took_s,
        reading.entry_cpu_s / reading.took_s,
        reading.entry_cpu_s / max(1, tokens) * 1e6,
        reading.agent_cpu_s / reading.took_s,
        reading.agent_cpu_s / max(1, tokens) * 1e6,
    ]


_LATENCY = ("run", "chats", "whole", "first p50 ms", "first p95 ms")
_COST = ("run", "chats/s", "tokens/s", "entry cores", "entry us/token")


def start_cluster(folder: pathlib.Path, coalesce_s: float) -> testing.Cluster:
    """Starts one entry, some engines and their agents.

    Args:
        folder: Where settings and output go.
        coalesce_s: How long an agent gathers tokens.
    """
    config = testing.ClusterConfig(
        declarations=fixtures.declared(_ENGINES, 0),
        entry_count=1,
        slots=_SLOTS,
        extra_agent_settings={"coalesce_s": coalesce_s},
    )
    cluster = testing.Cluster(config, folder)
    cluster.__enter__()
    for number in range(1, _ENGINES + 1):
        url = cluster.processes[f"endpoint-engine-{number}"].url
        shape = {"step_s": _STEP_S, "slots": _SLOTS}
        http_client.send_request(f"{url}/shape", "POST", shape)
    return cluster


async def run(reactor: Any, seed: int, quick: bool) -> list[report.Result]:
    """Runs all measurements.

    Args:
        reactor: The Twisted reactor.
        seed: Seed of the arrivals.
        quick: Whether to send a tenth.
    """
    share = 0.1 if quick else 1.0
    third = Rate(5.0, 270, max(5, int(100 * share)))
    full = Rate(16.0, 270, max(16, int(320 * share)))
    latency: list[list[Any]] = []
    cost: list[list[Any]] = []
    memory: list[list[Any]] = []
    for coalesce_s in (0.004, 0.0, 0.01):
        with tempfile.TemporaryDirectory() as folder:
            cluster = await threads.deferToThread(
                start_cluster, pathlib.Path(folder), coalesce_s
            )
            try:
                bench = PathBench(cluster, reactor)
                name = f"gather {coalesce_s * _MS_PER_S:.0f} ms"
                pid = cluster.processes["entry-1"].pid
                at_rest_mb = load.memory_mb(pid)
                await bench.measure(Rate(5.0, 20, 10), seed, direct=False)
                direct = await bench.measure(third, seed, direct=True)
                latency.append(_latency_row(f"{name}, direct", direct))
                through = await bench.measure(third, seed, direct=False)
                latency.append(_latency_row(f"{name}, through", through))
                busy = await bench.measure(full, seed, direct=False)
                latency.append(_latency_row(f"{name}, at capacity", busy))
                cost.append(_cost_row(name, busy))
                if coalesce_s == 0.004:
                    open_mb = await bench.memory_open(_OPEN_STREAMS)
                    memory.append(["entry at rest", at_rest_mb])
                    memory.append([f"{_OPEN_STREAMS} streams open", open_mb])
            finally:
                cluster.close()
    return [
        report.Result(
            "Time to first token and between tokens, one entry, 4 engines "
            f"with {_STEP_S * _MS_PER_S:.0f} ms steps",
            (*_LATENCY, "between p50 ms", "between p95 ms"),
            latency,
        ),
        report.Result(
            "Cost at an entry's share of the planned peak",
            (*_COST, "agents cores", "agent us/token"),
            cost,
        ),
        report.Result("Memory of the entry", ("state", "MB"), memory),
    ]
