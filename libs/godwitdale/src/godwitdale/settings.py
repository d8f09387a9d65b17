"""Settings of the daemons. Each daemon reads one JSON file."""

import ipaddress
import pathlib
from typing import Annotated
from typing import Any
from typing import Literal
from typing import TypeVar

import msgspec

from godwitdale_declarations import documents
from godwitdale_declarations import objects
from godwitdale_verdicts import exceptions

Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
Url = Annotated[str, msgspec.Meta(pattern=r"^https?://[^/]+/?$")]
BackendUrl = Annotated[str, msgspec.Meta(pattern=r"^http://[^/]+(/.*)?$")]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
Seconds = objects.PositiveSeconds


class Address(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An IP address and a port. Port 0 selects any free port."""

    host: str
    port: Port


class Platform(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where to reach the services of the platform.

    Attributes:
        log_url: Base URL of the log.
        instances_url: Base URL of the instance list.
        timeout_s: Time limit for one request to a service.
        poll_s: Interval between two requests for the instance list.
    """

    log_url: Url
    instances_url: Url
    timeout_s: Seconds = 2.0
    poll_s: Seconds = 1.0


class CallerTls(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Certificate and key shown to callers, as names of PEM files."""

    certificate: str
    key: str


class PeerTls(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Mutual TLS between entries and agents, as names of PEM files.

    Attributes:
        certificate: Certificate of this daemon.
        key: Private key of this daemon.
        authority: Certificate of the authority that signed the certificates of
            all peers.
    """

    certificate: str
    key: str
    authority: str


class Statsd(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The statsd server that receives metrics over UDP.

    Attributes:
        host: Its IP address.
        port: Its port.
        prefix: Prefix of all metric names.
    """

    host: str
    port: Port = 8125
    prefix: str = "godwitdale"


class Heartbeat(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timing of the links between entries and agents.

    Attributes:
        interval_s: Time without any message after which a heartbeat is sent
            while requests are in flight.
        idle_s: Interval between the heartbeats that only exchange log
            positions and load.
        silence_s: Maximum time that a heartbeat stays unanswered before a new
            connection is opened.
        connect_s: Time limit for opening a connection.
        give_up_s: Time without a connection after which the requests in
            flight on a link are reported as lost.
    """

    interval_s: Seconds = 1.0
    idle_s: Seconds = 2.0
    silence_s: Seconds = 3.0
    connect_s: Seconds = 2.0
    give_up_s: Seconds = 6.0


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an entry.

    Attributes:
        name: Name of the instance.
        zone: Its availability zone.
        listen: Address that callers connect to.
        admin: Address that serves status and readiness.
        platform: Services of the platform.
        caller_tls: TLS for callers, or None for plain HTTP.
        peer_tls: TLS to agents, or None for plain TCP.
        statsd: Receiver of metrics, or None to send none.
        heartbeat: Timing of the links to agents.
        link_budget: Number of links to agents, divided among the distinct
            sets of endpoints that selectors match.
        most_body_bytes: Maximum size of a request body.
        most_backlog_bytes: Maximum size of the answer data buffered for a
            caller that reads slowly.
        most_buffered_bytes: Maximum size up to which an answer is buffered
            until it is complete.
        most_attempts: Maximum number of endpoints tried for one request.
        drain_limit_s: Time that requests in flight have to end when the
            daemon stops.
        log_level: Minimum level of log events.
    """

    name: objects.Name
    zone: str
    listen: Address
    admin: Address
    platform: Platform
    caller_tls: CallerTls | None = None
    peer_tls: PeerTls | None = None
    statsd: Statsd | None = None
    heartbeat: Heartbeat = Heartbeat()
    link_budget: PositiveInt = 150
    most_body_bytes: PositiveInt = 1_048_576
    most_backlog_bytes: PositiveInt = 1_048_576
    most_buffered_bytes: PositiveInt = 1_048_576
    most_attempts: PositiveInt = 3
    drain_limit_s: Seconds = 120.0
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class Backend(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The endpoint that an agent forwards requests to.

    Attributes:
        url: Its base URL.
        kind: ``engine`` reports load and cache events, ``service`` does not.
        slots: Requests that it can run at once.
        service_s: Initial estimate of the time that a request occupies a slot.
        connect_s: Time limit for opening a connection.
        load_poll_s: Interval between requests for the load of an engine.
    """

    url: BackendUrl
    kind: Literal["engine", "service"]
    slots: PositiveInt = 32
    service_s: Seconds = 1.0
    connect_s: Seconds = 2.0
    load_poll_s: Seconds = 0.5


class AgentSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an agent.

    Attributes:
        name: Name of the instance.
        endpoint: Name of the endpoint in the declarations.
        zone: Its availability zone.
        listen: Address that entries connect to.
        admin: Address that serves status and readiness.
        platform: Services of the platform.
        backend: The endpoint that requests are forwarded to.
        peer_tls: TLS to entries, or None for plain TCP.
        statsd: Receiver of metrics, or None to send none.
        coalesce_s: How long a part of an answer may be held back to be sent
            together with the next part; 0 sends each part at once.
        linger_s: How long a finished answer can be resumed.
        orphan_s: How long a request keeps running while no entry that waits
            for its answer is connected.
        claim_interval_s: Time over which claims are collected into one append
            to the log.
        catch_up_s: How long an entry may lack a declaration that is known
            to this agent before its requests are refused.
        drain_limit_s: Time that requests in flight have to end when the
            daemon stops.
        log_level: Minimum level of log events.
    """

    name: objects.Name
    endpoint: objects.Name
    zone: str
    listen: Address
    admin: Address
    platform: Platform
    backend: Backend
    peer_tls: PeerTls | None = None
    statsd: Statsd | None = None
    coalesce_s: Annotated[float, msgspec.Meta(ge=0, le=0.02)] = 0.004
    linger_s: Seconds = 30.0
    orphan_s: Seconds = 20.0
    claim_interval_s: Seconds = 0.02
    catch_up_s: Seconds = 10.0
    drain_limit_s: Seconds = 120.0
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


Settings = TypeVar("Settings", EntrySettings, AgentSettings)


def load(file: pathlib.Path, settings_type: type[Settings]) -> Settings:
    """Reads a settings file and reports all of its faults together.

    Args:
        file: The JSON file.
        settings_type: ``EntrySettings`` or ``AgentSettings``.

    Raises:
        exceptions.InvalidFileError: The file cannot be read or is invalid.
    """
    try:
        data = file.read_bytes()
    except OSError as error:
        fault = exceptions.Fault("$", str(error.strerror), "a readable file")
        raise exceptions.InvalidFileError(str(file), [fault]) from error
    document = documents.parse(str(file), data)
    faults = documents.find_faults(document, settings_type, "$")
    faults += _find_address_faults(document)
    faults += _find_file_faults(document)
    if faults:
        raise exceptions.InvalidFileError(str(file), faults)
    return msgspec.convert(document, settings_type)


def to_json(settings: EntrySettings | AgentSettings) -> str:
    """Returns all settings, including defaults, as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(settings), indent=2).decode()


def _find_address_faults(document: Any) -> list[exceptions.Fault]:
    faults = []
    for field in ("listen", "admin", "statsd"):
        section = document.get(field) if isinstance(document, dict) else None
        host = section.get("host") if isinstance(section, dict) else None
        if isinstance(host, str) and not _is_ip_address(host):
            path = f"$.{field}.host"
            faults.append(exceptions.Fault(path, repr(host), "an IP address"))
    return faults


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _find_file_faults(document: Any) -> list[exceptions.Fault]:
    faults = []
    for section in ("caller_tls", "peer_tls"):
        files = document.get(section) if isinstance(document, dict) else None
        if not isinstance(files, dict):
            continue
        for field, name in files.items():
            if isinstance(name, str) and not pathlib.Path(name).is_file():
                path = f"$.{section}.{field}"
                faults.append(
                    exceptions.Fault(path, repr(name), "a readable PEM file")
                )
    return faults
