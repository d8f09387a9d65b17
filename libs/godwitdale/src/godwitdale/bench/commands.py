"""The subcommands of ``godwitdale bench``."""

from typing import Annotated
from typing import Any

import typer

from godwitdale import running
from godwitdale.bench import links
from godwitdale.bench import path
from godwitdale.bench import report

app = typer.Typer(
    help="Measure the system; each prints a table and can write JSON.",
    no_args_is_help=True,
)
Seed = Annotated[int, typer.Option(help="Seed of everything random.")]
Folder = Annotated[
    str | None, typer.Option("--out", help="Folder for JSON and plots.")
]
Quick = Annotated[bool, typer.Option("--quick", help="Send a tenth.")]


@app.command("path")
def bench_path(
    seed: Seed = 1, out: Folder = None, quick: Quick = False
) -> None:
    """Measure what entry and agent add, against direct calls."""

    async def work(reactor: Any) -> None:
        results = await path.run(reactor, seed, quick)
        report.publish("path", results, out)

    running.run_async(work)


@app.command("link")
def bench_link(out: Folder = None) -> None:
    """Measure the link's transport against pynng."""

    async def work(reactor: Any) -> None:
        report.publish("link", await links.run(reactor), out)

    running.run_async(work)
