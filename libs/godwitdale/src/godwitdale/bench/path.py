"""Cost of calls through the system, against direct calls of the engines."""

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
class ChatRate:
    """Chats of one run.

    Attributes:
        chats_per_s: Mean rate of the chats.
        tokens: Number of tokens of each answer.
        chats: Number of chats.
    """

    chats_per_s: float
    tokens: int
    chats: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """Measurements of one run.

    Attributes:
        chats: Measurements of each chat.
        took_s: Duration of the run.
        entry_cpu_s: Processor time that the entry used.
        agent_cpu_s: Processor time that all agents used together.
    """

    chats: list[load.ChatResult]
    took_s: float
    entry_cpu_s: float = 0.0
    agent_cpu_s: float = 0.0


class PathBench:
    """Measures runs on one cluster."""

    def __init__(self, cluster: testing.Cluster, reactor: Any) -> None:
        """Creates a benchmark of a cluster.

        Args:
            cluster: A running cluster.
            reactor: The Twisted reactor.
        """
        self._cluster = cluster
        self._reactor = reactor
        self._generator = load.LoadGenerator(reactor)

    async def measure(
        self, rate: ChatRate, seed: int, direct: bool
    ) -> RunResult:
        """Sends chats and measures answers and processor time.

        Args:
            rate: Chats to send.
            seed: Seed of the arrival times.
            direct: Whether to call the engines instead of the entry.
        """
        cluster = self._cluster
        engines = self._pids("endpoint-engine")
        urls = [cluster.processes[name].url for name in engines]
        if not direct:
            urls = [cluster.entry_url()]
        workload = load.Workload(
            urls=tuple(urls),
            headers=cluster.request_headers(fixtures.ACCOUNT),
            model=fixtures.MODEL,
            chats=rate.chats,
            chats_per_s=rate.chats_per_s,
            tokens=rate.tokens,
            seed=seed,
        )
        before = self._cpu_times_s()
        started_s = self._reactor.seconds()
        chats = await self._generator.run(workload)
        took_s = self._reactor.seconds() - started_s
        after = self._cpu_times_s()
        return RunResult(
            chats, took_s, after[0] - before[0], after[1] - before[1]
        )

    async def measure_peak_memory(self, streams: int) -> float:
        """Returns the peak memory of the entry while many streams are open."""
        rate = ChatRate(chats_per_s=250.0, tokens=400, chats=streams)
        pid = self._cluster.processes["entry-1"].pid
        peak_mb = 0.0
        running = self.measure(rate, seed=1, direct=False)
        is_watching = [True]

        def watch() -> None:
            nonlocal peak_mb
            if is_watching:
                peak_mb = max(peak_mb, load.memory_mb(pid))
                self._reactor.callLater(0.2, watch)

        watch()
        await running
        is_watching.clear()
        return peak_mb

    def _pids(self, prefix: str) -> dict[str, int]:
        return {
            name: process.pid
            for name, process in self._cluster.processes.items()
            if name.startswith(prefix)
        }

    def _cpu_times_s(self) -> tuple[float, float]:
        entry = sum(
            load.cpu_time_s(pid) for pid in self._pids("entry").values()
        )
        agents = sum(
            load.cpu_time_s(pid) for pid in self._pids("agent").values()
        )
        return entry, agents


def _latency_row(name: str, result: RunResult) -> list[Any]:
    times_to_first_s = [
        chat.time_to_first_s
        for chat in result.chats
        if chat.time_to_first_s is not None
    ]
    gaps_s = [gap_s for chat in result.chats for gap_s in chat.gaps_s]
    return [
        name,
        len(result.chats),
        sum(chat.is_complete for chat in result.chats),
        report.percentile(times_to_first_s, 0.5) * _MS_PER_S,
        report.percentile(times_to_first_s, 0.95) * _MS_PER_S,
        report.percentile(gaps_s, 0.5) * _MS_PER_S,
        report.percentile(gaps_s, 0.95) * _MS_PER_S,
    ]


def _cost_row(name: str, result: RunResult) -> list[Any]:
    tokens = sum(chat.tokens for chat in result.chats)
    return [
        name,
        len(result.chats) / result.took_s,
        tokens / result.took_s,
        result.entry_cpu_s / result.took_s,
        result.entry_cpu_s / max(1, tokens) * 1e6,
        result.agent_cpu_s / result.took_s,
        result.agent_cpu_s / max(1, tokens) * 1e6,
    ]


_LATENCY_HEADER = ("run", "chats", "whole", "first p50 ms", "first p95 ms")
_COST_HEADER = ("run", "chats/s", "tokens/s", "entry cores", "entry us/token")


def start_cluster(folder: pathlib.Path, coalesce_s: float) -> testing.Cluster:
    """Starts one entry, some engines and their agents.

    Args:
        folder: Folder of the settings and the output of the processes.
        coalesce_s: Time for which an agent gathers tokens into one message.
    """
    config = testing.ClusterConfig(
        declarations=fixtures.cluster_declarations(_ENGINES, 0),
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
    """Runs all measurements of the path.

    Args:
        reactor: The Twisted reactor.
        seed: Seed of the arrival times.
        quick: Whether to send a tenth of the chats.
    """
    scale = 0.1 if quick else 1.0
    third_rate = ChatRate(5.0, 270, max(5, int(100 * scale)))
    full_rate = ChatRate(16.0, 270, max(16, int(320 * scale)))
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
                idle_mb = load.memory_mb(pid)
                await bench.measure(ChatRate(5.0, 20, 10), seed, direct=False)
                direct = await bench.measure(third_rate, seed, direct=True)
                latency.append(_latency_row(f"{name}, direct", direct))
                through = await bench.measure(third_rate, seed, direct=False)
                latency.append(_latency_row(f"{name}, through", through))
                at_capacity = await bench.measure(full_rate, seed, direct=False)
                latency.append(
                    _latency_row(f"{name}, at capacity", at_capacity)
                )
                cost.append(_cost_row(name, at_capacity))
                if coalesce_s == 0.004:
                    open_mb = await bench.measure_peak_memory(_OPEN_STREAMS)
                    memory.append(["entry at rest", idle_mb])
                    memory.append([f"{_OPEN_STREAMS} streams open", open_mb])
            finally:
                cluster.close()
    return [
        report.Result(
            "Time to first token and between tokens, one entry, 4 engines "
            f"with {_STEP_S * _MS_PER_S:.0f} ms steps",
            (*_LATENCY_HEADER, "between p50 ms", "between p95 ms"),
            latency,
        ),
        report.Result(
            "Cost at an entry's share of the planned peak",
            (*_COST_HEADER, "agents cores", "agent us/token"),
            cost,
        ),
        report.Result("Memory of the entry", ("state", "MB"), memory),
    ]
