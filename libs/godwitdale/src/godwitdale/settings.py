"""Settings of the daemons, one JSON file each."""

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
Count = Annotated[int, msgspec.Meta(ge=1)]
Seconds = objects.PositiveSeconds


class Address(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An IP number and a port; port 0 takes any free one."""

    host: str
    port: Port


class Platform(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the platform's services are."""

    log_url: Url
    instances_url: Url
    timeout_s: Seconds = 2.0
    poll_s: Seconds = 1.0


class CallerTls(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Certificate that callers see; PEM files."""

    certificate: str
    key: str


class PeerTls(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Mutual authentication between entries and agents; PEM files."""

    certificate: str
    key: str
    authority: str


class Statsd(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where metrics go, over UDP."""

    host: str
    port: Port = 8125
    prefix: str = "godwitdale"


class Heartbeat(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Times of the links between entries and agents."""

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
        listen: Where callers connect.
        admin: Where status and readiness are served.
        platform: The platform's services.
        caller_tls: TLS for callers, or None for plain HTTP.
        peer_tls: TLS towards agents, or None for plain TCP.
        statsd: Where metrics go, or None.
        heartbeat: Times of the links.
        link_budget: Links to agents that this entry keeps, shared by the
            sets of endpoints that selectors name.
        most_body_bytes: Largest body of a request.
        most_backlog_bytes: Answer bytes kept for a slow caller.
        most_buffered_bytes: Largest answer that is checked before it is sent.
        most_attempts: Endpoints tried for one request.
        drain_limit_s: Time that requests in flight get at a stop.
        log_level: Lowest level that is logged.
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
    link_budget: Count = 150
    most_body_bytes: Count = 1_048_576
    most_backlog_bytes: Count = 1_048_576
    most_buffered_bytes: Count = 1_048_576
    most_attempts: Count = 3
    drain_limit_s: Seconds = 120.0
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class Backend(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The endpoint beside an agent.

    Attributes:
        url: Where it listens.
        kind: ``engine`` reports load and cache events, ``service`` does not.
        slots: Requests that it takes at once.
        service_s: First guess of the time that a request occupies a slot.
        connect_s: Time that a connection may take to open.
        load_poll_s: Time between looks at an engine's load.
    """

    url: BackendUrl
    kind: Literal["engine", "service"]
    slots: Count = 32
    service_s: Seconds = 1.0
    connect_s: Seconds = 2.0
    load_poll_s: Seconds = 0.5


class AgentSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an agent.

    Attributes:
        name: Name of the instance.
        endpoint: Name of the endpoint in the declarations.
        zone: Its availability zone.
        listen: Where entries connect.
        admin: Where status and readiness are served.
        platform: The platform's services.
        backend: The endpoint itself.
        peer_tls: TLS towards entries, or None for plain TCP.
        statsd: Where metrics go, or None.
        coalesce_s: How long a part of an answer may wait for the next; 0
            passes each on at once.
        linger_s: How long a finished answer can be resumed.
        orphan_s: How long a request runs on while no entry waits for it.
        claim_interval_s: Time over which claims are gathered into one append.
        catch_up_s: How long an entry may lack a declaration known here.
        drain_limit_s: Time that requests in flight get at a stop.
        log_level: Lowest level that is logged.
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


Daemon = TypeVar("Daemon", EntrySettings, AgentSettings)


def load(file: pathlib.Path, expected: type[Daemon]) -> Daemon:
    """Reads a settings file and reports everything that is wrong with it.

    Args:
        file: The file.
        expected: ``EntrySettings`` or ``AgentSettings``.

    Raises:
        exceptions.InvalidFileError: The file cannot be used.
    """
    try:
        data = file.read_bytes()
    except OSError as error:
        fault = exceptions.Fault("$", str(error.strerror), "a readable file")
        raise exceptions.InvalidFileError(str(file), [fault]) from error
    document = documents.parse(str(file), data)
    faults = documents.find_faults(document, expected, "$")
    faults += _address_faults(document)
    faults += _file_faults(document)
    if faults:
        raise exceptions.InvalidFileError(str(file), faults)
    return msgspec.convert(document, expected)


def to_json(loaded: EntrySettings | AgentSettings) -> str:
    """Returns all settings in force, defaults included, as JSON."""
    return msgspec.json.format(msgspec.json.encode(loaded), indent=2).decode()


def _address_faults(document: Any) -> list[exceptions.Fault]:
    found = []
    for field in ("listen", "admin", "statsd"):
        section = document.get(field) if isinstance(document, dict) else None
        host = section.get("host") if isinstance(section, dict) else None
        if isinstance(host, str) and not _is_ip(host):
            path = f"$.{field}.host"
            found.append(exceptions.Fault(path, repr(host), "an IP number"))
    return found


def _is_ip(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _file_faults(document: Any) -> list[exceptions.Fault]:
    found = []
    for section in ("caller_tls", "peer_tls"):
        files = document.get(section) if isinstance(document, dict) else None
        if not isinstance(files, dict):
            continue
        for field, name in files.items():
            if isinstance(name, str) and not pathlib.Path(name).is_file():
                path = f"$.{section}.{field}"
                found.append(
                    exceptions.Fault(path, repr(name), "a readable PEM file")
                )
    return found
