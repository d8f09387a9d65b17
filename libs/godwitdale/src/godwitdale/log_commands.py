"""The commands that read logs afterwards."""

import json
from typing import Annotated

import msgspec
import typer

from godwitdale import tables
from godwitdale_observe import log_reading
from godwitdale_observe import traces
from godwitdale_verdicts import exceptions

Files = Annotated[
    list[str],
    typer.Argument(help="Logs, also gzip; - is standard input."),
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]

log_app = typer.Typer(help="Read the logs of many processes.")


def trace(
    request: Annotated[str, typer.Argument(help="Id of the request.")],
    files: Files,
    as_json: Json = False,
) -> None:
    """Tell what became of a request, and which event decided it."""
    unreadable = log_reading.UnreadableLines()
    found = traces.trace(_read(files, unreadable), request)
    if not found:
        raise exceptions.GodwitdaleError(
            f"no line of these logs has the request {request!r} "
            f"({unreadable.count} lines are no events)"
        )
    if as_json:
        typer.echo(msgspec.json.encode(found).decode())
        return
    for story in found:
        typer.echo(format_trace(story))


def format_trace(story: traces.RequestTrace) -> str:
    """Returns a story for people."""
    ahead_s = story.clock_ahead_s
    clock = "unknown" if ahead_s is None else f"{ahead_s:+.3f} s"
    lines = [
        f"request {story.request} at {story.instance}: {story.outcome}",
        f"cause: {story.cause}",
        f"configuration in force: {story.version}; "
        f"clock against the other instances: {clock}",
    ]
    for told in story.lines:
        mark = ">>" if told.is_deciding else " *" if told.is_own else "  "
        fields = " ".join(
            f"{name}={json.dumps(value)}"
            for name, value in told.line.fields.items()
            if not (told.is_own and name == "request")
        )
        lines.append(
            f"{mark} {told.line.time_of_day} {told.line.event} {fields}"
        )
    return "\n".join(lines)


@log_app.command()
def summary(files: Files, as_json: Json = False) -> None:
    """Count the events by reason, with one request of each."""
    unreadable = log_reading.UnreadableLines()
    counts = traces.summarize(_read(files, unreadable))
    if as_json:
        typer.echo(msgspec.json.encode(counts).decode())
        return
    header = ("event", "reason", "count", "instances", "for example")
    rows = [
        (each.event, each.reason, each.count, each.instances, each.first)
        for each in counts
    ]
    typer.echo(tables.render(header, rows))
    if unreadable.count:
        typer.echo(f"{unreadable.count} lines are no events")


def _read(
    files: list[str], unreadable: log_reading.UnreadableLines
) -> list[log_reading.LogEvent]:
    try:
        return list(log_reading.read(files, unreadable))
    except OSError as fault:
        raise exceptions.InvalidFileError(
            str(fault.filename),
            [exceptions.Fault("$", fault.strerror or "", "a log file")],
        ) from fault
