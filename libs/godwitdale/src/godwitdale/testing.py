"""A small cluster of local processes for tests and benches.

Each stand-in, entry and agent is a process that can be killed, paused, cut off
and restarted. Only test harnesses start processes; the daemons never do.
"""

from collections.abc import Sequence
import contextlib
import dataclasses
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

import msgspec

from godwitdale import http_client
from godwitdale_declarations import keys
from godwitdale_declarations import objects

HOST = http_client.HOST
_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 15.0
_POLL_INTERVAL_S = 0.05
# First word of a stand-in's output, and name of a daemon's log event.
_LISTENING = "listening"


class Process:
    """One process of the cluster.

    Attributes:
        name: Its name in the cluster.
        port: Port that it listens on; 0 until it is known.
        admin_port: Port of its admin interface; 0 for a stand-in.
    """

    def __init__(
        self, name: str, arguments: Sequence[str], folder: pathlib.Path
    ) -> None:
        """Starts the process. ``wait_until_listening`` finds its ports.

        Args:
            name: Its name in the cluster.
            arguments: Arguments of the command ``godwitdale``.
            folder: Folder of its output file, ``NAME.log``.
        """
        self.name = name
        self.port = 0
        self.admin_port = 0
        self._output_file = folder / f"{name}.log"
        self._output = self._output_file.open("ab")
        self._output_offset = self._output_file.stat().st_size
        self._process = subprocess.Popen(
            [sys.executable, "-m", "godwitdale", *arguments],
            stdin=subprocess.DEVNULL,
            stdout=self._output,
            stderr=self._output,
            env=dict(os.environ, PYTHONUNBUFFERED="1"),
        )

    @property
    def pid(self) -> int:
        """The process identifier (PID)."""
        return self._process.pid

    @property
    def url(self) -> str:
        """Base URL of its main port."""
        return f"http://{HOST}:{self.port}"

    def wait_until_listening(self) -> None:
        """Waits until the process has printed its ports.

        Raises:
            RuntimeError: The process exited, or printed no ports in time.
        """
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if self._find_ports():
                return
            if self._process.poll() is not None:
                raise RuntimeError(f"{self.name} exited: {self.read_output()}")
            time.sleep(_POLL_INTERVAL_S)
        raise RuntimeError(
            f"{self.name} printed no ports: {self.read_output()}"
        )

    def read_output(self) -> str:
        """Returns the output since the start of this process."""
        data = self._output_file.read_bytes()[self._output_offset :]
        return data.decode("utf-8", "replace")

    def send_signal(self, number: int) -> None:
        """Sends a signal to the process."""
        self._process.send_signal(number)

    def wait_for_exit(self) -> int:
        """Waits until the process exits and returns its exit status."""
        return self._process.wait(timeout=_STOP_TIMEOUT_S)

    def kill_and_wait(self) -> None:
        """Kills the process if it still runs, and waits until it has exited."""
        if self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        self._process.wait()
        self._output.close()

    def _find_ports(self) -> bool:
        for line in self.read_output().splitlines():
            if line.startswith(_LISTENING):
                self.port = int(line.rsplit(":", 1)[1])
                return True
            if f'"{_LISTENING}"' in line:
                event = json.loads(line)
                self.port = event["port"]
                self.admin_port = event["admin_port"]
                return True
        return False


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterConfig:
    """Composition of a cluster.

    Attributes:
        declarations: Objects to publish. A key is added to each account.
        entry_count: Number of entries.
        has_relay: Whether links between entries and agents pass a relay.
        slots: Requests that each endpoint can run at once.
        extra_entry_settings: Additional settings of every entry.
        extra_agent_settings: Additional settings of every agent.
    """

    declarations: Sequence[objects.Object]
    entry_count: int = 2
    has_relay: bool = False
    slots: int = 32
    extra_entry_settings: dict[str, Any] = dataclasses.field(
        default_factory=dict
    )
    extra_agent_settings: dict[str, Any] = dataclasses.field(
        default_factory=dict
    )


class Cluster:
    """A running cluster of processes, used as a context manager.

    Attributes:
        processes: All processes by name: ``log``, ``instances``, ``relay``,
            ``endpoint-NAME``, ``agent-NAME``, ``entry-1`` and so on.
        account_keys: Bearer key of each account, by name of the account.
    """

    def __init__(self, config: ClusterConfig, folder: pathlib.Path) -> None:
        """Creates the cluster. Entering the context starts the processes.

        Args:
            config: Composition of the cluster.
            folder: Folder for settings files and output.
        """
        self.processes: dict[str, Process] = {}
        self.account_keys: dict[str, str] = {}
        self._config = config
        self._folder = folder
        self._settings: dict[str, dict[str, Any]] = {}
        self._instance_records: dict[str, dict[str, Any]] = {}

    def __enter__(self) -> "Cluster":
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_: Any) -> None:
        self.close()

    def close(self) -> None:
        """Kills all processes."""
        for process in self.processes.values():
            process.kill_and_wait()

    def entry_url(self, number: int = 1) -> str:
        """Returns the base URL of an entry, counted from 1."""
        return self.processes[f"entry-{number}"].url

    def request_headers(self, account: str, **extra: str) -> dict[str, str]:
        """Returns request headers with the key of an account.

        Args:
            account: Name of the account.
            **extra: Additional headers. ``_`` in a name stands for ``-``.
        """
        headers = {"Authorization": f"Bearer {self.account_keys[account]}"}
        headers.update(
            {name.replace("_", "-"): value for name, value in extra.items()}
        )
        return headers

    def set_faults(self, name: str, **faults: Any) -> None:
        """Sets the faults of a stand-in and clears those not given."""
        http_client.send_request(
            f"{self.processes[name].url}/faults", "POST", faults
        )

    def fetch_records(self, name: str) -> Any:
        """Returns the records of a stand-in."""
        return http_client.send_request(
            f"{self.processes[name].url}/records"
        ).json()

    def control_relay(self, action: str, body: Any = None) -> None:
        """Runs an action of the relay: ``silence``, ``cut`` or ``refuse``."""
        http_client.send_request(
            f"{self.processes['relay'].url}/{action}", "POST", body
        )

    def fetch_status(self, name: str) -> Any:
        """Returns the status document of an entry or agent."""
        port = self.processes[name].admin_port
        return http_client.send_request(
            f"http://{HOST}:{port}/status", timeout_s=2
        ).json()

    def kill(self, name: str) -> None:
        """Kills a process and waits until it has exited."""
        self.processes[name].kill_and_wait()

    def pause(self, name: str) -> None:
        """Suspends a process."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resumes a suspended process."""
        self.processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Asks a process to stop gracefully."""
        self.processes[name].send_signal(signal.SIGTERM)

    def restart(self, name: str) -> None:
        """Starts a daemon that has exited again, on the same ports."""
        kind = "entry" if name.startswith("entry") else "agent"
        old = self.processes[name]
        settings = self._settings[name]
        settings["listen"]["port"] = old.port
        settings["admin"]["port"] = old.admin_port
        self._launch_daemon(kind, name)
        self.processes[name].wait_until_listening()

    def reconfigure(self, name: str, **settings: Any) -> None:
        """Restarts a daemon with changed settings; waits until it is ready."""
        self.kill(name)
        self._settings[name].update(settings)
        self.restart(name)
        self.wait_until(
            lambda: self.fetch_status(name)["state"] == "ready",
            f"{name} is ready",
        )

    def set_listed_state(self, name: str, state: str) -> None:
        """Changes the state of a daemon in the instance list."""
        self._instance_records[name]["state"] = state
        self._update_instance_list(name)

    def publish(
        self, declarations: Sequence[objects.Object], wait_s: float = 13.0
    ) -> subprocess.CompletedProcess[str]:
        """Runs ``godwitdale publish`` with objects and returns its result."""
        file = self._folder / "declarations.json"
        document = {"schema": 1, "objects": list(declarations)}
        file.write_bytes(msgspec.json.encode(document))
        return self.run_command(
            "publish",
            str(file),
            "--log-url",
            self.processes["log"].url,
            "--instances-url",
            self.processes["instances"].url,
            "--wait-s",
            str(wait_s),
        )

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Runs a ``godwitdale`` command until it exits; returns its result."""
        return subprocess.run(
            [sys.executable, "-m", "godwitdale", *arguments],
            capture_output=True,
            text=True,
            timeout=_START_TIMEOUT_S + _STOP_TIMEOUT_S,
            check=False,
        )

    def wait_until(
        self,
        condition: Any,
        description: str,
        timeout_s: float = _START_TIMEOUT_S,
    ) -> None:
        """Waits until a condition is true.

        Args:
            condition: Called until it returns a true value. Connection errors
                count as false.
            description: Description of the condition for the error message.
            timeout_s: Time limit in seconds.

        Raises:
            TimeoutError: The condition did not become true in time.
        """
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            with contextlib.suppress(OSError, http.client.HTTPException):
                if condition():
                    return
            time.sleep(_POLL_INTERVAL_S)
        raise TimeoutError(f"timed out waiting for: {description}")

    def wait_ready(self) -> None:
        """Waits until every entry is ready and linked to every agent."""
        agent_names = [
            name for name in self.processes if name.startswith("agent")
        ]
        for number in range(1, self._config.entry_count + 1):
            name = f"entry-{number}"

            def is_linked(name: str = name) -> bool:
                status = self.fetch_status(name)
                open_links = [link for link in status["links"] if link["open"]]
                is_ready = status["state"] == "ready"
                return is_ready and len(open_links) == len(agent_names)

            self.wait_until(is_linked, f"{name} is linked to all agents")

    def _start(self) -> None:
        for name in ("log", "instances"):
            self._launch_standin(name, name, name)
        if self._config.has_relay:
            self._launch_standin("relay", "relay", "relay")
        endpoints = [
            each
            for each in self._config.declarations
            if isinstance(each, objects.Endpoint)
        ]
        groups = [
            each
            for each in self._config.declarations
            if isinstance(each, objects.Group)
        ]
        for group in groups:
            shape = f"{group.ranks}x{group.experts}x{group.slots_per_rank}"
            self._launch_standin(f"group-{group.name}", "group", shape)
        for endpoint in endpoints:
            if "rank" in endpoint.labels:
                continue
            model = endpoint.labels.get("model")
            self._launch_standin(
                f"endpoint-{endpoint.name}",
                "engine" if model else "app",
                model or endpoint.name,
            )
        self._wait_until_all_listening()
        for endpoint in endpoints:
            self._launch_agent(endpoint)
        for number in range(1, self._config.entry_count + 1):
            self._launch_entry(f"entry-{number}")
        self._wait_until_all_listening()
        for name in [*self._settings]:
            self._update_instance_list(name)
        published = self.publish(self._add_account_keys())
        if published.returncode != 0:
            raise RuntimeError(f"publish failed: {published.stderr}")
        self.wait_ready()

    def _add_account_keys(self) -> list[objects.Object]:
        declarations: list[objects.Object] = []
        for each in self._config.declarations:
            if isinstance(each, objects.Account):
                key, declared_key = keys.generate(each.name)
                self.account_keys[each.name] = key
                declarations.append(
                    msgspec.structs.replace(
                        each, keys=[*each.keys, declared_key]
                    )
                )
            else:
                declarations.append(each)
        return declarations

    def _wait_until_all_listening(self) -> None:
        for process in self.processes.values():
            if process.port == 0:
                process.wait_until_listening()

    def _launch_standin(self, name: str, kind: str, label: str) -> None:
        self.processes[name] = Process(
            name, ["standin", kind, "--label", label], self._folder
        )

    def _platform_settings(self) -> dict[str, Any]:
        return {
            "log_url": self.processes["log"].url,
            "instances_url": self.processes["instances"].url,
            "poll_s": 0.3,
        }

    def _common_settings(self, name: str, zone: str) -> dict[str, Any]:
        return {
            "name": name,
            "zone": zone,
            "listen": {"host": HOST, "port": 0},
            "admin": {"host": HOST, "port": 0},
            "platform": self._platform_settings(),
        }

    def _launch_agent(self, endpoint: objects.Endpoint) -> None:
        name = f"agent-{endpoint.name}"
        is_engine = bool({"model", "rank"} & set(endpoint.labels))
        zone = endpoint.labels.get("zone", "zone")
        self._settings[name] = {
            **self._common_settings(name, zone),
            "endpoint": endpoint.name,
            "backend": {
                "url": self._backend_url(endpoint),
                "kind": "engine" if is_engine else "service",
                "slots": self._config.slots,
                "service_s": 0.5 if is_engine else 0.05,
            },
            **self._config.extra_agent_settings,
        }
        self._launch_daemon("agent", name)

    def _backend_url(self, endpoint: objects.Endpoint) -> str:
        if "rank" not in endpoint.labels:
            return self.processes[f"endpoint-{endpoint.name}"].url
        group = self.processes[f"group-{endpoint.labels['group']}"]
        return f"{group.url}/ranks/{endpoint.labels['rank']}"

    def _launch_entry(self, name: str) -> None:
        self._settings[name] = {
            **self._common_settings(name, "zone"),
            **self._config.extra_entry_settings,
        }
        self._launch_daemon("entry", name)

    def _launch_daemon(self, kind: str, name: str) -> None:
        file = self._folder / f"{name}.json"
        file.write_bytes(msgspec.json.encode(self._settings[name]))
        self.processes[name] = Process(name, [kind, str(file)], self._folder)

    def _update_instance_list(self, name: str) -> None:
        process = self.processes[name]
        settings = self._settings[name]
        if name not in self._instance_records:
            port = process.port
            if self._config.has_relay and "endpoint" in settings:
                port = self._open_relay_port(port)
            self._instance_records[name] = {
                "name": name,
                "role": "agent" if "endpoint" in settings else "entry",
                "host": HOST,
                "port": port,
                "admin_port": process.admin_port,
                "zone": settings["zone"],
                "state": "live",
                "endpoint": settings.get("endpoint", ""),
            }
        url = self.processes["instances"].url
        http_client.send_request(
            f"{url}/instances/{name}", "PUT", self._instance_records[name]
        )

    def _open_relay_port(self, port: int) -> int:
        url = self.processes["relay"].url
        response = http_client.send_request(
            f"{url}/routes", "POST", {"host": HOST, "port": port}
        )
        return response.json()["port"]
