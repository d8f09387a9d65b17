"""The load and experiment tool."""

import typer

app = typer.Typer(
    help="Measure the system; each prints a table and can write JSON.",
    no_args_is_help=True,
)
