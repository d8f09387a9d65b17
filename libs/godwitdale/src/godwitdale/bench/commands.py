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
    help="Measure the system; each prints a table and can write JSON.",
    no_args_is_help=True,
)
Seed = Annotated[int, typer.Option(help="Seed of everything random.")]
Folder = Annotated[
    str | None, typer.Option("--out", help="Folder for JSON and plots.")
]
Runs = Annotated[int, typer.Option(help="Seeds to run, from --seed on.")]
Quick = Annotated[bool, typer.Option("--quick", help="Send a tenth.")]


@app.command("path")
def bench_path(
    seed: Seed = 1, out: Folder = None, quick: Quick = False
) -> None:
    """Measure what entry and agent add, against direct calls."""

    async def work(reactor: Any) -> None:
        results = await path.run(reactor, seed, quick)
        report.publish("path", results, out)

    reactor_runner.run_coroutine(work)


@app.command("link")
def bench_link(out: Folder = None) -> None:
    """Measure the link's transport against pynng."""

    async def work(reactor: Any) -> None:
        report.publish("link", await links.run(reactor), out)

    reactor_runner.run_coroutine(work)


@app.command("policy")
def bench_policy(seed: Seed = 1, runs: Runs = 5, out: Folder = None) -> None:
    """Measure choice, order and limits against naive versions."""
    results = policy.run(list(range(seed, seed + runs)), out)
    report.publish("policy", results, out)


@app.command("experts")
def bench_experts(
    seed: Seed = 1,
    runs: Runs = 5,
    trace: Annotated[
        pathlib.Path | None, typer.Option(help="A trace of your own, JSON.")
    ] = None,
    out: Folder = None,
) -> None:
    """Measure skew and cost of moving experts."""
    own = None
    if trace is not None:
        own = msgspec.json.decode(trace.read_bytes(), type=experts.Trace)
    results = experts.run(list(range(seed, seed + runs)), own, out)
    report.publish("experts", results, out)


@app.command("faults")
def bench_faults(
    minutes: Annotated[float, typer.Option(help="How long.")] = 2.0,
    seed: Seed = 1,
    out: Folder = None,
) -> None:
    """Run mixed faults for long and check every promise."""

    async def work(reactor: Any) -> None:
        results = await faults.run(reactor, minutes, seed)
        report.publish("faults", results, out)

    reactor_runner.run_coroutine(work)


@app.command("slopes")
def bench_slopes(out: Folder = None) -> None:
    """Measure what the page on capacity is worked out from."""

    async def work(reactor: Any) -> None:
        report.publish("slopes-table", await slopes.run(reactor, out), out)

    reactor_runner.run_coroutine(work)


@app.command("recovery")
def bench_recovery(out: Folder = None) -> None:
    """Measure the time back to normal after faults."""
    report.publish("recovery", recovery.run(), out)
