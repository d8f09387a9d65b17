"""The subcommands of ``godwitdale bench``."""

import pathlib
from typing import Annotated
from typing import Any

import msgspec
import typer

from godwitdale import reactor_runner
from godwitdale.bench import experts
from godwitdale.bench import faults
from godwitdale.bench import links
from godwitdale.bench import path
from godwitdale.bench import policy
from godwitdale.bench import recovery
from godwitdale.bench import report
from godwitdale.bench import slopes

app = typer.Typer(
    help="Measure the system. Commands print tables and can write JSON.",
    no_args_is_help=True,
)
Seed = Annotated[int, typer.Option(help="Seed of all random choices.")]
Folder = Annotated[
    str | None, typer.Option("--out", help="Folder to write JSON and plots to.")
]
Runs = Annotated[
    int, typer.Option(help="Number of seeds to run, from --seed on.")
]
Quick = Annotated[
    bool, typer.Option("--quick", help="Send a tenth of the chats.")
]


@app.command("path")
def bench_path(
    seed: Seed = 1, out: Folder = None, quick: Quick = False
) -> None:
    """Measure what entry and agent add to direct calls of engines."""

    async def run_bench(reactor: Any) -> None:
        results = await path.run(reactor, seed, quick)
        report.publish("path", results, out)

    reactor_runner.run_coroutine(run_bench)


@app.command("link")
def bench_link(out: Folder = None) -> None:
    """Compare the transport of the link with pynng."""

    async def run_bench(reactor: Any) -> None:
        report.publish("link", await links.run(reactor), out)

    reactor_runner.run_coroutine(run_bench)


@app.command("policy")
def bench_policy(seed: Seed = 1, runs: Runs = 5, out: Folder = None) -> None:
    """Compare endpoint choice, queueing and limits with baselines."""
    results = policy.run(list(range(seed, seed + runs)), out)
    report.publish("policy", results, out)


@app.command("experts")
def bench_experts(
    seed: Seed = 1,
    runs: Runs = 5,
    trace: Annotated[
        pathlib.Path | None, typer.Option(help="JSON file of a trace to use.")
    ] = None,
    out: Folder = None,
) -> None:
    """Measure the skew and the cost of moving experts."""
    declared_trace = None
    if trace is not None:
        declared_trace = msgspec.json.decode(
            trace.read_bytes(), type=experts.Trace
        )
    results = experts.run(list(range(seed, seed + runs)), declared_trace, out)
    report.publish("experts", results, out)


@app.command("faults")
def bench_faults(
    minutes: Annotated[float, typer.Option(help="Minutes of faults.")] = 2.0,
    seed: Seed = 1,
    out: Folder = None,
) -> None:
    """Inject mixed faults and check the guarantees to callers."""

    async def run_bench(reactor: Any) -> None:
        results = await faults.run(reactor, minutes, seed)
        report.publish("faults", results, out)

    reactor_runner.run_coroutine(run_bench)


@app.command("slopes")
def bench_slopes(out: Folder = None) -> None:
    """Measure the costs that the capacity page is computed from."""

    async def run_bench(reactor: Any) -> None:
        report.publish("slopes-table", await slopes.run(reactor, out), out)

    reactor_runner.run_coroutine(run_bench)


@app.command("recovery")
def bench_recovery(out: Folder = None) -> None:
    """Measure the time to recover from faults."""
    report.publish("recovery", recovery.run(), out)
