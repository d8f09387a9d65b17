"""Commands that analyze the logs of instances."""

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
    typer.Argument(help="Log files, plain or gzip; - is standard input."),
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]

log_app = typer.Typer(help="Read the logs of many processes.")


def trace(
    request: Annotated[str, typer.Argument(help="Identifier of the request.")],
    files: Files,
    as_json: Json = False,
) -> None:
    """Explain the outcome of a request from its logged events."""
    unreadable = log_reading.UnreadableLines()
    request_traces = traces.trace(_read(files, unreadable), request)
    if not request_traces:
        raise exceptions.GodwitdaleError(
            f"the logs have no event of request {request!r} "
            f"({unreadable.count} lines could not be parsed)"
        )
    if as_json:
        typer.echo(msgspec.json.encode(request_traces).decode())
        return
    for request_trace in request_traces:
        typer.echo(format_trace(request_trace))


def format_trace(request_trace: traces.RequestTrace) -> str:
    """Returns the trace of a request as text.

    ``>>`` marks the event that decided the outcome, and ``*`` marks the other
    events of the request. Events without a mark belong to the instance.
    """
    ahead_s = request_trace.clock_ahead_s
    clock = "unknown" if ahead_s is None else f"{ahead_s:+.3f} s"
    lines = [
        f"request {request_trace.request} at {request_trace.instance}: "
        f"{request_trace.outcome}",
        f"cause: {request_trace.cause}",
        f"configuration in force: {request_trace.version}; "
        f"clock offset to the other instances: {clock}",
    ]
    for event in request_trace.lines:
        mark = ">>" if event.is_deciding else " *" if event.is_own else "  "
        fields = " ".join(
            f"{name}={json.dumps(value)}"
            for name, value in event.line.fields.items()
            if not (event.is_own and name == "request")
        )
        lines.append(
            f"{mark} {event.line.time_of_day} {event.line.event} {fields}"
        )
    return "\n".join(lines)


@log_app.command()
def summary(files: Files, as_json: Json = False) -> None:
    """Count the events by reason, with an example request for each."""
    unreadable = log_reading.UnreadableLines()
    event_counts = traces.summarize(_read(files, unreadable))
    if as_json:
        typer.echo(msgspec.json.encode(event_counts).decode())
        return
    header = ("event", "reason", "count", "instances", "for example")
    rows = [
        (each.event, each.reason, each.count, each.instances, each.first)
        for each in event_counts
    ]
    typer.echo(tables.render(header, rows))
    if unreadable.count:
        typer.echo(f"{unreadable.count} lines could not be parsed")


def _read(
    files: list[str], unreadable: log_reading.UnreadableLines
) -> list[log_reading.LogEvent]:
    try:
        return list(log_reading.read(files, unreadable))
    except OSError as error:
        raise exceptions.InvalidFileError(
            str(error.filename),
            [exceptions.Fault("$", error.strerror or "", "a log file")],
        ) from error
