"""Command line of the load balancer."""

from collections.abc import Awaitable
from collections.abc import Callable
import getpass
import pathlib
import signal
import sys
from typing import Annotated
from typing import Any

import msgspec
from twisted.internet import reactor as default_reactor
import typer

from godwitdale import agent as agent_lib
from godwitdale import demo as demo_lib
from godwitdale import entry as entry_lib
from godwitdale import live
from godwitdale import log_commands
from godwitdale import publishing
from godwitdale import reactor_runner
from godwitdale import settings as settings_lib
from godwitdale import tables
from godwitdale.bench import commands
from godwitdale_declarations import files
from godwitdale_declarations import keys
from godwitdale_declarations import objects
from godwitdale_declarations import selectors
from godwitdale_declarations import view as view_lib
from godwitdale_observe import logs
from godwitdale_platform import instances as instances_lib
from godwitdale_platform import log as log_lib
from godwitdale_standins import launch
from godwitdale_verdicts import exceptions

_PLATFORM_TIMEOUT_S = 5.0
_DEFAULT_WAIT_S = 13.0
_MINUTES_PER_HOUR = 60

app = typer.Typer(
    help=(
        "A load balancer for groups of model servers that run experts in "
        "parallel.\n\nExit codes: 0 success, 1 other error, 2 invalid file "
        "or usage, 3 platform unavailable, 4 declaration rejected, 5 not yet "
        "in force everywhere, 6 a check of a guarantee failed."
    ),
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
app.add_typer(commands.app, name="bench")
app.add_typer(log_commands.log_app, name="log")
app.command()(log_commands.trace)

SettingsFile = Annotated[
    pathlib.Path, typer.Argument(help="Settings file of the daemon, JSON.")
]
PrintSettings = Annotated[
    bool,
    typer.Option("--print-settings", help="Print all settings and exit."),
]
LogUrl = Annotated[str, typer.Option(help="Base URL of the platform's log.")]
InstancesUrl = Annotated[
    str, typer.Option(help="Base URL of the platform's instance list.")
]
WaitTime = Annotated[
    float, typer.Option(help="Seconds to wait until in force; 0 to not wait.")
]
Author = Annotated[
    str, typer.Option(help="Name of the publisher, by default the login name.")
]
Examples = Annotated[
    pathlib.Path, typer.Option(help="Folder with the example declarations.")
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def _print_line(line: str) -> None:
    typer.echo(line)
    sys.stdout.flush()


def _run_daemon(daemon: Any) -> None:
    reactor: Any = default_reactor

    def handle_signal(*_: Any) -> None:
        reactor.callFromThread(daemon.lifecycle.stop)

    def start() -> None:
        signal.signal(signal.SIGTERM, handle_signal)
        signal.signal(signal.SIGINT, handle_signal)
        daemon.start()
        logs.EventLog().info(
            "listening", port=daemon.port, admin_port=daemon.admin_port
        )

    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=True)


@app.command()
def entry(
    settings: SettingsFile, print_settings: PrintSettings = False
) -> None:
    """Run an entry, which accepts requests of callers."""
    loaded = settings_lib.load(settings, settings_lib.EntrySettings)
    if print_settings:
        _print_line(settings_lib.to_json(loaded))
        return
    logs.configure(loaded.name, loaded.log_level)
    _run_daemon(entry_lib.EntryDaemon(loaded, default_reactor))


@app.command()
def agent(
    settings: SettingsFile, print_settings: PrintSettings = False
) -> None:
    """Run an agent, which forwards requests to one endpoint."""
    loaded = settings_lib.load(settings, settings_lib.AgentSettings)
    if print_settings:
        _print_line(settings_lib.to_json(loaded))
        return
    logs.configure(loaded.name, loaded.log_level)
    _run_daemon(agent_lib.AgentDaemon(loaded, default_reactor))


@app.command()
def check(
    declarations: Annotated[pathlib.Path, typer.Argument(help="JSON file.")],
) -> None:
    """Validate a declaration file without publishing it."""
    loaded = files.load(str(declarations), _read_file(declarations))
    _print_line(f"{declarations}: {len(loaded)} objects, no faults")


@app.command()
def publish(
    declarations: Annotated[pathlib.Path, typer.Argument(help="JSON file.")],
    log_url: LogUrl,
    instances_url: InstancesUrl,
    wait_s: WaitTime = _DEFAULT_WAIT_S,
    prune: Annotated[
        bool, typer.Option(help="Remove objects that are not in the file.")
    ] = False,
    author: Author = "",
) -> None:
    """Publish a declaration file and wait until it is in force everywhere."""
    loaded = files.load(str(declarations), _read_file(declarations))
    _publish(
        lambda publisher, name: publisher.publish(loaded, name, prune),
        log_url,
        instances_url,
        wait_s,
        author,
    )


@app.command()
def evacuate(
    zone: Annotated[str, typer.Argument(help="Availability zone.")],
    log_url: LogUrl,
    instances_url: InstancesUrl,
    restore: Annotated[
        bool, typer.Option("--restore", help="Take the evacuation back.")
    ] = False,
    reason: Annotated[str, typer.Option(help="Why, for operators.")] = "",
    wait_s: WaitTime = _DEFAULT_WAIT_S,
    author: Author = "",
) -> None:
    """Send nothing new to the endpoints of a zone until it is restored."""
    declared = {"type": "evacuation", "name": zone, "reason": reason}
    document = {"schema": 1, "objects": [declared]}
    (evacuation,) = files.load("evacuation", msgspec.json.encode(document))
    key = objects.object_key(evacuation)
    _publish(
        lambda publisher, name: (
            publisher.withdraw(key, name)
            if restore
            else publisher.publish([evacuation], name, prune=False)
        ),
        log_url,
        instances_url,
        wait_s,
        author,
    )


def _publish(
    change: Callable[
        [publishing.Publisher, str], Awaitable[publishing.Publication]
    ],
    log_url: str,
    instances_url: str,
    wait_s: float,
    author: str,
) -> None:
    """Changes declarations and waits until they are in force everywhere.

    Args:
        change: Makes the change through a publisher, by the name of an author.
        log_url: Base URL of the platform's log.
        instances_url: Base URL of the platform's instance list.
        wait_s: Seconds to wait until in force; 0 to not wait.
        author: Name of the author, or an empty string for the login name.
    """

    async def publish_and_wait(reactor: Any) -> None:
        log = log_lib.HttpLog(log_url, reactor, _PLATFORM_TIMEOUT_S)
        publisher = publishing.Publisher(log, reactor, _PLATFORM_TIMEOUT_S)
        name = author or getpass.getuser()
        published = await change(publisher, name)
        for each in published.accepted:
            _print_line(f"accepted {each.key} version {each.version}")
        if wait_s > 0:
            source = instances_lib.HttpInstanceList(
                instances_url, reactor, _PLATFORM_TIMEOUT_S
            )
            await publishing.wait_until_applied(
                source, published.next_offset, wait_s, reactor
            )
            _print_line(
                f"in force everywhere at offset {published.next_offset}"
            )

    reactor_runner.run_coroutine(publish_and_wait)


@app.command()
def explain(
    declarations: Annotated[pathlib.Path, typer.Argument(help="JSON file.")],
    account: Annotated[str, typer.Option(help="Name of the client account.")],
    path: Annotated[str, typer.Option(help="Path of the request.")],
    method: Annotated[str, typer.Option(help="HTTP method.")] = "POST",
    model: Annotated[
        str | None, typer.Option(help="Model in the request.")
    ] = None,
    header: Annotated[
        list[str] | None, typer.Option(help="Header as NAME=VALUE; repeatable.")
    ] = None,
    at: Annotated[
        str, typer.Option(help="Time of day as HH:MM, UTC.")
    ] = "12:00",
) -> None:
    """Show which selector binds a request and why the others do not."""
    loaded = files.load(str(declarations), _read_file(declarations))
    view = view_lib.View(loaded)
    declared = view.accounts.get(account)
    if declared is None:
        known = ", ".join(sorted(view.accounts))
        raise exceptions.GodwitdaleError(
            f"account {account!r} is not declared; declared: {known}"
        )
    request = selectors.Request(
        account=account,
        account_labels=declared.labels,
        method=method,
        path=path,
        model=model,
        headers=_parse_headers(header or []),
        minute_of_day=_parse_minute_of_day(at),
    )
    for candidate in selectors.explain(view.selectors, request):
        _print_line(_format_candidate(candidate, view))


@app.command("explain-live")
def explain_live(
    url: Annotated[
        str, typer.Argument(help="Readiness address of an entry, as a URL.")
    ],
    host: Annotated[str, typer.Option(help="Host of the request.")],
    path: Annotated[str, typer.Option(help="Path of the request.")],
    account: Annotated[
        str | None, typer.Option(help="Name of the client account.")
    ] = None,
    prompt_tokens: Annotated[
        int, typer.Option(help="Length of the prompt.")
    ] = 0,
    as_json: Json = False,
) -> None:
    """Show where an entry would send a request now, without sending it."""

    async def print_explanation(reactor: Any) -> None:
        answer = await live.fetch_explanation(
            url, host, path, account, prompt_tokens, reactor
        )
        if as_json:
            _print_line(msgspec.json.encode(answer).decode())
            return
        _print_line(live.explanation_text(answer))

    reactor_runner.run_coroutine(print_explanation)


def _format_candidate(
    candidate: selectors.Candidate, view: view_lib.View
) -> str:
    selector = candidate.selector
    if not candidate.is_bound:
        return f"  lost   {selector.name}: {candidate.reason}"
    work = view.works[selector.work]
    names = [
        each.name
        for each in view.endpoints.values()
        if selectors.endpoint_matches(selector, each.labels)
    ]
    return (
        f"  BOUND  {selector.name}: {candidate.reason}\n"
        f"         work {work.name}: class {work.service_class}, priority "
        f"{work.priority}, deadline {work.deadline_s:g} s, "
        f"{'repeatable' if work.repeatable else 'not repeatable'}, "
        f"keys {work.keys}\n"
        f"         endpoints {', '.join(names) or 'none'}"
    )


def _parse_headers(pairs: list[str]) -> dict[str, str]:
    found = {}
    for pair in pairs:
        name, separator, value = pair.partition("=")
        if not separator:
            raise typer.BadParameter(f"{pair!r} is not NAME=VALUE")
        found[name.lower()] = value
    return found


def _parse_minute_of_day(text: str) -> int:
    try:
        hours, minutes = text.split(":")
        return int(hours) * _MINUTES_PER_HOUR + int(minutes)
    except ValueError as error:
        raise typer.BadParameter(f"{text!r} is not HH:MM") from error


@app.command()
def status(instances_url: InstancesUrl, as_json: Json = False) -> None:
    """Show the state, declarations and histograms of every instance."""

    async def print_statuses(reactor: Any) -> None:
        source = instances_lib.HttpInstanceList(
            instances_url, reactor, _PLATFORM_TIMEOUT_S
        )
        statuses = await publishing.fetch_statuses(source, reactor)
        if as_json:
            rows = [
                {"instance": each.instance, "status": each.status}
                for each in statuses
            ]
            _print_line(msgspec.json.encode(rows).decode())
            return
        _print_line(tables.instance_table(statuses))
        _print_line(tables.histogram_table(statuses))

    reactor_runner.run_coroutine(print_statuses)


@app.command("key")
def make_key(
    key_id: Annotated[str, typer.Argument(help="Public part of the key.")],
) -> None:
    """Generate a bearer key and its declaration."""
    key, declared = keys.generate(key_id)
    _print_line(f"key (shown once)  {key}")
    _print_line(f"declaration       {msgspec.json.encode(declared).decode()}")


@app.command()
def demo(
    serve: Annotated[
        bool, typer.Option("--serve", help="Keep serving until Ctrl-C.")
    ] = False,
    port: Annotated[int, typer.Option(help="Port of the first entry.")] = 8080,
    examples: Examples = pathlib.Path("examples"),
) -> None:
    """Test a local system with both example declarations, or serve one."""
    logs.configure("demo", "ERROR")

    async def run_demo(reactor: Any) -> None:
        if serve:
            await demo_lib.serve(reactor, examples, port, _print_line)
        else:
            await demo_lib.run(reactor, examples, _print_line)

    reactor_runner.run_coroutine(run_demo)


@app.command()
def standin(
    name: Annotated[
        str,
        typer.Argument(
            help="Stand-in to run: " + ", ".join(launch.SERVICE_NAMES)
        ),
    ],
    host: Annotated[
        str, typer.Option(help="IP address to listen on.")
    ] = "127.0.0.1",
    port: Annotated[
        int, typer.Option(help="Port to listen on; 0 for any free port.")
    ] = 0,
    label: Annotated[
        str, typer.Option(help="Model name of an engine, or name of an app.")
    ] = "model",
) -> None:
    """Run a stand-in for a platform service or an endpoint (development)."""
    if name not in launch.SERVICE_NAMES:
        raise typer.BadParameter(
            f"{name!r} is not one of {launch.SERVICE_NAMES}"
        )
    reactor: Any = default_reactor

    def start() -> None:
        service = launch.create_service(name, label)
        listening = launch.listen(reactor, service, host, port)
        _print_line(f"listening on http://{host}:{listening.getHost().port}")

    reactor.callWhenRunning(start)
    reactor.run()


def _read_file(file: pathlib.Path) -> bytes:
    try:
        return file.read_bytes()
    except OSError as error:
        fault = exceptions.Fault("$", str(error.strerror), "a readable file")
        raise exceptions.InvalidFileError(str(file), [fault]) from error


def main() -> None:
    """Runs the command line. Prints errors and exits with their exit codes."""
    try:
        app()
    except exceptions.GodwitdaleError as error:
        typer.echo(error.format_message(), err=True)
        sys.exit(error.exit_code)
