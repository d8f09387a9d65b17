"""Starts a small deployment of the project: entries, runners and a store."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

import store as store_lib

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parents[1]
HOSTNAME = "shop.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
# As in the settings of the site, except that the files are written here.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_ms": 5000,
    "strict_revocation": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 184,
    "recover_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "stall_ms": 1500,
    "fencing_enforced": True,
}
_used_ports = set()


def free_port():
    """Returns a port below the range from which the system assigns ports."""
    for _ in range(1000):
        port = random.randrange(20000, 32700)
        if port not in _used_ports and _is_free(port):
            _used_ports.add(port)
            return port
    raise OSError("no free port")


def _is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True


def route(path, kind, service, **fields):
    return {
        "name": "r" + path.replace("/", "-"),
        "host": HOSTNAME,
        "path_prefix": path,
        "type": kind,
        "service": service,
        "timeout_ms": 8000,
        "target_latency_ms": 402,
        "priority": 1,
        "max_attempts": 2,
        "public": False,
        **fields,
    }


def configuration(version, routes, services, keys=(KEY,)):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": list(keys), "priority": 1}],
    }


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._start_s = time.time()

    def write(self, text, at_s=None):
        at_s = (at_s or time.time()) - self._start_s
        self._file.write(f"{at_s:9.4f} {text}\n")
        self._file.flush()


class Runner:
    """A runner process and its entry in the store."""

    def __init__(self, deployment, name, service, slots, *times):
        self.id = name
        self.service = service
        self.slots = slots
        self.address = ""
        self.process = None
        self._deployment = deployment
        self._args = (name, service, slots, *times)
        self._born_ms = 0
        self._sequence = 0

    async def start(self, on_line):
        self._born_ms = int(time.time() * 1000)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "review" / "runner.py"),
            *map(str, self._args),
            stdout=asyncio.subprocess.PIPE,
        )
        port = int(await self.process.stdout.readline())
        self.address = f"{HOST}:{port}"
        asyncio.ensure_future(self._read_lines(on_line))
        self.list("ready")

    def list(self, state):
        self._sequence += 1
        self._deployment.store.put(
            "keyed.servers",
            self.id,
            {
                "service": self.service,
                "address": self.address,
                "zone": "kb-a",
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "warmup_left_ms": 0,
                "sequence": self._sequence,
                "born": self._born_ms,
            },
        )

    async def _read_lines(self, on_line):
        while line := await self.process.stdout.readline():
            with contextlib.suppress(ValueError):
                on_line(json.loads(line))

    def kill(self):
        self.process.send_signal(signal.SIGKILL)


class Entry:
    """An entry process, started with the command of the deploy file."""

    def __init__(self, deployment, number, store_address=None, **bounds):
        self.number = number
        self.name = f"edge-kb-a-{number}"
        self.frontend = free_port()
        self.readiness = free_port()
        self.ports = [free_port(), free_port()]
        self.process = None
        self.starts = 0
        self._folder = deployment.folder
        self._settings = {
            "node_name": self.name,
            "role": "edge",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": HOST,
            "zone": "kb-a",
            "region": "my-east",
            "zones": {"kb-a": "my-east"},
            "listen": {
                "frontend": f"{HOST}:{self.frontend}",
                "readiness": f"{HOST}:{self.readiness}",
            },
            "internal_ports": self.ports,
            "seeds": [],
            "bootstrap": True,
            "fault_counted": False,
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {**BOUNDS, **bounds},
            "platform": {
                "address": store_address or deployment.store.address,
                "form": "log",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "parts": 8,
                "keep_s": 300,
            },
        }

    async def start(self):
        self.starts += 1
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self._settings))
        log = open(self._folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "godwitdale_adapter.edge",
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "GODWITDALE_SETTINGS": str(path),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
            },
            stdout=log,
            stderr=log,
        )
        log.close()

    async def is_ready(self):
        """Asks as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.readiness)
        except OSError:
            return False
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            return line.startswith(b"HTTP/1.1 200")
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_until_ready(self, timeout_s=15.0):
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} is not ready")

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)


class Deployment:
    """Everything that one case starts; ``close`` ends it."""

    def __init__(self):
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.store = store_lib.Store()
        self.processes = []

    async def start_runner(self, on_line, *args):
        runner = Runner(self, *args)
        self.processes.append(runner)
        await runner.start(on_line)
        return runner

    def add_entry(self, number, **options):
        entry = Entry(self, number, **options)
        self.processes.append(entry)
        return entry

    def log_of(self, entry):
        return (self.folder / f"{entry.name}.log").read_text()

    async def close(self):
        for each in self.processes:
            if each.process is not None and each.process.returncode is None:
                each.process.send_signal(signal.SIGCONT)
                each.process.kill()
        for each in self.processes:
            if each.process is not None:
                await each.process.wait()
        self._temporary.cleanup()
