"""A complete system in one process, for the demo.

Stand-ins replace the platform and the endpoints. The daemons are real.
"""

import dataclasses
import pathlib
from typing import Any

from msgspec import structs
from twisted.internet import task

from godwitdale import agent as agent_lib
from godwitdale import entry as entry_lib
from godwitdale import publishing
from godwitdale import settings as settings_lib
from godwitdale_declarations import files
from godwitdale_declarations import keys
from godwitdale_declarations import objects
from godwitdale_platform import instances as instances_lib
from godwitdale_platform import log as log_lib
from godwitdale_standins import engine
from godwitdale_standins import instance_list
from godwitdale_standins import launch
from godwitdale_standins import log_service
from godwitdale_standins import plain_app
from godwitdale_verdicts import exceptions

HOST = "127.0.0.1"
_ENTRY_COUNT = 2
_TIMEOUT_S = 10.0
_READY_CHECK_INTERVAL_S = 0.05
_INSTANCES_POLL_INTERVAL_S = 0.2
_SERVICE_SLOTS = 16


@dataclasses.dataclass(slots=True)
class LocalDaemon:
    """A daemon of the local system and its record in the instance list.

    Attributes:
        daemon: The daemon.
        instance_record: Its record in the instance list, as JSON fields.
    """

    daemon: entry_lib.EntryDaemon | agent_lib.AgentDaemon
    instance_record: dict[str, Any]


class LocalSystem:
    """Runs stand-ins, two entries, and one agent for each declared endpoint.

    Attributes:
        declarations: Objects of the declaration file, with keys added to the
            client accounts.
        account_keys: A bearer key for each client account.
        engines: Engine stand-ins by name of the endpoint.
        apps: App stand-ins by name of the endpoint.
        entries: Entries by name.
        agents: Agents by name of the endpoint.
    """

    def __init__(
        self, reactor: Any, declarations: pathlib.Path, first_port: int = 0
    ) -> None:
        """Reads the declarations without starting anything.

        Args:
            reactor: The Twisted reactor.
            declarations: The declaration file.
            first_port: Port of the first entry, or 0 for any free port.

        Raises:
            exceptions.InvalidFileError: The file is invalid.
        """
        data = declarations.read_bytes()
        self.declarations = files.load(str(declarations), data)
        self.account_keys: dict[str, str] = {}
        self.engines: dict[str, engine.Engine] = {}
        self.apps: dict[str, plain_app.PlainApp] = {}
        self.entries: dict[str, LocalDaemon] = {}
        self.agents: dict[str, LocalDaemon] = {}
        self.log_service = log_service.LogService(reactor=reactor)
        self.instance_list = instance_list.InstanceList(reactor)
        self._reactor = reactor
        self._first_port = first_port
        self._ports: list[Any] = []
        self._platform: settings_lib.Platform | None = None

    async def start(self) -> None:
        """Starts everything and publishes the declarations.

        Returns when they are in force everywhere and the entries are ready.
        """
        log_url = self._serve(self.log_service)
        instances_url = self._serve(self.instance_list)
        self._platform = settings_lib.Platform(
            log_url, instances_url, poll_s=_INSTANCES_POLL_INTERVAL_S
        )
        self._add_keys()
        published = await self.publish(self.declarations)
        for each in self.declarations:
            if isinstance(each, objects.Endpoint):
                self._start_endpoint(each)
        for number in range(_ENTRY_COUNT):
            port = self._first_port if number == 0 else 0
            self._start_entry(f"entry-{number + 1}", port)
        await self.wait_in_force(published.next_offset)
        await self._wait_until_ready()

    async def publish(
        self, declarations: list[objects.Object]
    ) -> publishing.Publication:
        """Publishes objects without removing those that are not given."""
        publisher = publishing.Publisher(
            self._log_client(), self._reactor, _TIMEOUT_S
        )
        return await publisher.publish(declarations, author="demo", prune=False)

    async def wait_in_force(self, next_offset: int) -> None:
        """Waits until all daemons have folded the log up to an offset."""
        await publishing.wait_until_applied(
            self._instance_list_client(), next_offset, _TIMEOUT_S, self._reactor
        )

    def entry_urls(self) -> list[str]:
        """Returns the base URLs of the entries."""
        return [
            f"http://{HOST}:{local_daemon.daemon.port}"
            for local_daemon in self.entries.values()
        ]

    def set_listed_state(self, local_daemon: LocalDaemon, state: str) -> None:
        """Changes the state of a daemon in the instance list."""
        local_daemon.instance_record["state"] = state
        self._update_instance_list(local_daemon)

    def stop(self) -> None:
        """Closes all daemons and stand-ins."""
        for local_daemon in [*self.entries.values(), *self.agents.values()]:
            local_daemon.daemon.close()
        for port in self._ports:
            port.stopListening()

    def _log_client(self) -> log_lib.HttpLog:
        assert self._platform is not None
        return log_lib.HttpLog(
            self._platform.log_url, self._reactor, _TIMEOUT_S
        )

    def _instance_list_client(self) -> instances_lib.HttpInstanceList:
        assert self._platform is not None
        return instances_lib.HttpInstanceList(
            self._platform.instances_url, self._reactor, _TIMEOUT_S
        )

    def _serve(self, service: Any) -> str:
        port = launch.listen(self._reactor, service, HOST, 0)
        self._ports.append(port)
        return f"http://{HOST}:{port.getHost().port}"

    def _add_keys(self) -> None:
        for number, each in enumerate(self.declarations):
            if isinstance(each, objects.Account):
                key, declared_key = keys.generate(each.name)
                self.account_keys[each.name] = key
                self.declarations[number] = structs.replace(
                    each, keys=[*each.keys, declared_key]
                )

    def _start_endpoint(self, endpoint: objects.Endpoint) -> None:
        model = endpoint.labels.get("model")
        service: Any
        if model is None:
            service = self.apps[endpoint.name] = plain_app.PlainApp(
                endpoint.name, self._reactor
            )
            backend = settings_lib.Backend(
                self._serve(service), "service", _SERVICE_SLOTS, 0.05
            )
        else:
            shape = engine.EngineShape()
            service = self.engines[endpoint.name] = engine.Engine(
                model, shape, reactor=self._reactor
            )
            backend = settings_lib.Backend(
                self._serve(service), "engine", shape.slots, 0.5
            )
        self._start_agent(endpoint, backend)

    def _start_agent(
        self, endpoint: objects.Endpoint, backend: settings_lib.Backend
    ) -> None:
        assert self._platform is not None
        zone = endpoint.labels.get("zone", "zone")
        settings = settings_lib.AgentSettings(
            name=f"agent-of-{endpoint.name}",
            endpoint=endpoint.name,
            zone=zone,
            listen=settings_lib.Address(HOST, 0),
            admin=settings_lib.Address(HOST, 0),
            platform=self._platform,
            backend=backend,
        )
        daemon = agent_lib.AgentDaemon(settings, self._reactor)
        daemon.start()
        local_daemon = LocalDaemon(
            daemon,
            self._create_instance_record(settings.name, "agent", zone, daemon),
        )
        local_daemon.instance_record["endpoint"] = endpoint.name
        self.agents[endpoint.name] = local_daemon
        self._update_instance_list(local_daemon)

    def _start_entry(self, name: str, port: int) -> None:
        assert self._platform is not None
        zones = sorted(
            {
                local_daemon.instance_record["zone"]
                for local_daemon in self.agents.values()
            }
        )
        settings = settings_lib.EntrySettings(
            name=name,
            zone=zones[0],
            listen=settings_lib.Address(HOST, port),
            admin=settings_lib.Address(HOST, 0),
            platform=self._platform,
        )
        daemon = entry_lib.EntryDaemon(settings, self._reactor)
        daemon.start()
        local_daemon = LocalDaemon(
            daemon,
            self._create_instance_record(name, "entry", settings.zone, daemon),
        )
        self.entries[name] = local_daemon
        self._update_instance_list(local_daemon)

    def _create_instance_record(
        self,
        name: str,
        role: str,
        zone: str,
        daemon: entry_lib.EntryDaemon | agent_lib.AgentDaemon,
    ) -> dict[str, Any]:
        return {
            "name": name,
            "role": role,
            "host": HOST,
            "port": daemon.port,
            "admin_port": daemon.admin_port,
            "zone": zone,
            "state": "live",
        }

    def _update_instance_list(self, local_daemon: LocalDaemon) -> None:
        self.instance_list.set_instance(local_daemon.instance_record)

    async def _wait_until_ready(self) -> None:
        deadline_s = self._reactor.seconds() + _TIMEOUT_S
        while not self._is_ready():
            if self._reactor.seconds() > deadline_s:
                raise exceptions.NotInForceError(
                    "the daemons did not become ready in time"
                )
            await task.deferLater(
                self._reactor, _READY_CHECK_INTERVAL_S, lambda: None
            )

    def _is_ready(self) -> bool:
        return all(
            local_daemon.daemon.lifecycle.state == "ready"
            and all(
                link["open"] for link in local_daemon.daemon.status()["links"]
            )
            and len(local_daemon.daemon.status()["links"]) == len(self.agents)
            for local_daemon in self.entries.values()
        )
