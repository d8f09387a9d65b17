"""A small system of separate processes on loopback, for tests and benches.

The stand-ins, entries and agents are started as processes of their own and
can be killed, paused, cut off and restarted. Only test harnesses start
processes; the system itself never does.
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
_START_S = 30.0
_STOP_S = 15.0
_POLL_S = 0.05
_LISTENING = "listening"


class Process:
    """One process of the system.

    Attributes:
        name: Its name in the cluster.
        port: The port that it listens on.
        admin_port: Its admin port, 0 for a stand-in.
    """

    def __init__(
        self, name: str, arguments: Sequence[str], folder: pathlib.Path
    ) -> None:
        """Starts it; ``wait_until_listening`` follows.

        Args:
            name: Its name in the cluster.
            arguments: Arguments of the command line.
            folder: Where its output goes.
        """
        self.name = name
        self.port = 0
        self.admin_port = 0
        self._file = folder / f"{name}.log"
        self._output = self._file.open("ab")
        self._start_at = self._file.stat().st_size
        self._process = subprocess.Popen(
            [sys.executable, "-m", "godwitdale", *arguments],
            stdin=subprocess.DEVNULL,
            stdout=self._output,
            stderr=self._output,
            env=dict(os.environ, PYTHONUNBUFFERED="1"),
        )

    @property
    def pid(self) -> int:
        """The process identifier."""
        return self._process.pid

    @property
    def url(self) -> str:
        """The base URL of its port."""
        return f"http://{HOST}:{self.port}"

    def wait_until_listening(self) -> None:
        """Waits until it has told its ports.

        Raises:
            RuntimeError: It ended or told nothing in time.
        """
        until_s = time.monotonic() + _START_S
        while time.monotonic() < until_s:
            if self._find_ports():
                return
            if self._process.poll() is not None:
                raise RuntimeError(f"{self.name} ended: {self.read_output()}")
            time.sleep(_POLL_S)
        raise RuntimeError(f"{self.name} is silent: {self.read_output()}")

    def read_output(self) -> str:
        """Returns what it has written since it was started."""
        data = self._file.read_bytes()[self._start_at :]
        return data.decode("utf-8", "replace")

    def send_signal(self, number: int) -> None:
        """Sends a signal."""
        self._process.send_signal(number)

    def wait_for_exit(self) -> int:
        """Waits for its end and returns the exit status."""
        return self._process.wait(timeout=_STOP_S)

    def kill_and_wait(self) -> None:
        """Kills it, if it still runs, and waits for its end."""
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
    """What a cluster consists of.

    Attributes:
        declarations: Objects to publish; accounts get a key each.
        entry_count: Number of entries.
        has_relay: Whether a relay stands between entries and agents.
        slots: Requests that each endpoint takes at once.
        extra_entry_settings: Further settings of every entry.
        extra_agent_settings: Further settings of every agent.
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
    """A running system of separate processes. A context manager.

    Attributes:
        processes: All processes by name: ``log``, ``instances``, ``relay``,
            ``endpoint-NAME``, ``agent-NAME``, ``entry-1`` and so on.
        account_keys: A bearer key for each account.
    """

    def __init__(self, config: ClusterConfig, folder: pathlib.Path) -> None:
        """Prepares; the processes are started on entering the context.

        Args:
            config: What to start.
            folder: Where settings and output go.
        """
        self.processes: dict[str, Process] = {}
        self.account_keys: dict[str, str] = {}
        self._config = config
        self._folder = folder
        self._settings: dict[str, dict[str, Any]] = {}
        self._listed: dict[str, dict[str, Any]] = {}

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
        """Ends all processes."""
        for process in self.processes.values():
            process.kill_and_wait()

    def entry_url(self, number: int = 1) -> str:
        """Returns the base URL of an entry, counted from 1."""
        return self.processes[f"entry-{number}"].url

    def request_headers(self, account: str, **more: str) -> dict[str, str]:
        """Returns headers with an account's key; ``_`` in names means ``-``."""
        found = {"Authorization": f"Bearer {self.account_keys[account]}"}
        found.update(
            {name.replace("_", "-"): value for name, value in more.items()}
        )
        return found

    def set_faults(self, name: str, **faults: Any) -> None:
        """Sets the faults of a stand-in; what is not named is normal."""
        http_client.send_request(
            f"{self.processes[name].url}/faults", "POST", faults
        )

    def fetch_records(self, name: str) -> Any:
        """Returns what a stand-in has recorded."""
        return http_client.send_request(
            f"{self.processes[name].url}/records"
        ).json()

    def control_relay(self, action: str, body: Any = None) -> None:
        """Tells the relay to ``silence``, ``cut`` or ``refuse``."""
        http_client.send_request(
            f"{self.processes['relay'].url}/{action}", "POST", body
        )

    def fetch_status(self, name: str) -> Any:
        """Returns the status of an entry or an agent."""
        port = self.processes[name].admin_port
        return http_client.send_request(
            f"http://{HOST}:{port}/status", timeout_s=2
        ).json()

    def kill(self, name: str) -> None:
        """Kills a process at once."""
        self.processes[name].kill_and_wait()

    def pause(self, name: str) -> None:
        """Freezes a process."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Lets a frozen process go on."""
        self.processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Asks a process to stop gracefully."""
        self.processes[name].send_signal(signal.SIGTERM)

    def restart(self, name: str) -> None:
        """Starts a daemon that has ended again, on the same ports."""
        kind = "entry" if name.startswith("entry") else "agent"
        old = self.processes[name]
        own = self._settings[name]
        own["listen"]["port"] = old.port
        own["admin"]["port"] = old.admin_port
        self._launch_daemon(kind, name)
        self.processes[name].wait_until_listening()

    def reconfigure(self, name: str, **settings: Any) -> None:
        """Restarts a daemon with some settings changed; waits until ready."""
        self.kill(name)
        self._settings[name].update(settings)
        self.restart(name)
        self.wait_until(
            lambda: self.fetch_status(name)["state"] == "ready",
            f"{name} is ready",
        )

    def set_listed_state(self, name: str, state: str) -> None:
        """Changes what the instance list says of a daemon."""
        self._listed[name]["state"] = state
        self._list(name)

    def publish(
        self, declared: Sequence[objects.Object], wait_s: float = 13.0
    ) -> subprocess.CompletedProcess[str]:
        """Publishes objects with the command line and returns its result."""
        file = self._folder / "declarations.json"
        document = {"schema": 1, "objects": list(declared)}
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
        """Runs one command of the command line to its end."""
        return subprocess.run(
            [sys.executable, "-m", "godwitdale", *arguments],
            capture_output=True,
            text=True,
            timeout=_START_S + _STOP_S,
            check=False,
        )

    def wait_until(
        self, condition: Any, what: str, within_s: float = _START_S
    ) -> None:
        """Waits until a condition holds.

        Args:
            condition: Called until it returns something true.
            what: Named in the error.
            within_s: How long to wait.

        Raises:
            TimeoutError: It did not hold in time.
        """
        until_s = time.monotonic() + within_s
        while time.monotonic() < until_s:
            with contextlib.suppress(OSError, http.client.HTTPException):
                if condition():
                    return
            time.sleep(_POLL_S)
        raise TimeoutError(f"not in time: {what}")

    def wait_ready(self) -> None:
        """Waits until every entry is ready and linked to every agent."""
        agents = [name for name in self.processes if name.startswith("agent")]
        for number in range(1, self._config.entry_count + 1):
            name = f"entry-{number}"

            def is_linked(name: str = name) -> bool:
                status = self.fetch_status(name)
                links = [link for link in status["links"] if link["open"]]
                is_ready = status["state"] == "ready"
                return is_ready and len(links) == len(agents)

            self.wait_until(is_linked, f"{name} is linked")

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
            e for e in self._config.declarations if isinstance(e, objects.Group)
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
        self._wait_all()
        for endpoint in endpoints:
            self._launch_agent(endpoint)
        for number in range(1, self._config.entry_count + 1):
            self._launch_entry(f"entry-{number}")
        self._wait_all()
        for name in [*self._settings]:
            self._list(name)
        published = self.publish(self._with_keys())
        if published.returncode != 0:
            raise RuntimeError(f"publish failed: {published.stderr}")
        self.wait_ready()

    def _with_keys(self) -> list[objects.Object]:
        declared: list[objects.Object] = []
        for each in self._config.declarations:
            if isinstance(each, objects.Account):
                key, public = keys.generate(each.name)
                self.account_keys[each.name] = key
                declared.append(
                    msgspec.structs.replace(each, keys=[*each.keys, public])
                )
            else:
                declared.append(each)
        return declared

    def _wait_all(self) -> None:
        for process in self.processes.values():
            if process.port == 0:
                process.wait_until_listening()

    def _launch_standin(self, name: str, kind: str, label: str) -> None:
        self.processes[name] = Process(
            name, ["standin", kind, "--label", label], self._folder
        )

    def _platform(self) -> dict[str, Any]:
        return {
            "log_url": self.processes["log"].url,
            "instances_url": self.processes["instances"].url,
            "poll_s": 0.3,
        }

    def _common(self, name: str, zone: str) -> dict[str, Any]:
        return {
            "name": name,
            "zone": zone,
            "listen": {"host": HOST, "port": 0},
            "admin": {"host": HOST, "port": 0},
            "platform": self._platform(),
        }

    def _launch_agent(self, endpoint: objects.Endpoint) -> None:
        name = f"agent-{endpoint.name}"
        is_engine = bool({"model", "rank"} & set(endpoint.labels))
        zone = endpoint.labels.get("zone", "zone")
        self._settings[name] = {
            **self._common(name, zone),
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
            **self._common(name, "zone"),
            **self._config.extra_entry_settings,
        }
        self._launch_daemon("entry", name)

    def _launch_daemon(self, kind: str, name: str) -> None:
        file = self._folder / f"{name}.json"
        file.write_bytes(msgspec.json.encode(self._settings[name]))
        self.processes[name] = Process(name, [kind, str(file)], self._folder)

    def _list(self, name: str) -> None:
        process = self.processes[name]
        own = self._settings[name]
        if name not in self._listed:
            port = process.port
            if self._config.has_relay and "endpoint" in own:
                port = self._relayed_port(port)
            self._listed[name] = {
                "name": name,
                "role": "agent" if "endpoint" in own else "entry",
                "host": HOST,
                "port": port,
                "admin_port": process.admin_port,
                "zone": own["zone"],
                "state": "live",
                "endpoint": own.get("endpoint", ""),
            }
        url = self.processes["instances"].url
        http_client.send_request(
            f"{url}/instances/{name}", "PUT", self._listed[name]
        )

    def _relayed_port(self, port: int) -> int:
        url = self.processes["relay"].url
        answer = http_client.send_request(
            f"{url}/routes", "POST", {"host": HOST, "port": port}
        )
        return answer.json()["port"]
