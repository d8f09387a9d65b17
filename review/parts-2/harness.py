"""What the cases of the second review share.

It starts entries with the command of the deploy file, each as a process of
its own, and gives them the project's stand-ins of the platform's store, the
endpoints and the callers. Everything listens on loopback addresses.
"""

import json
import os
import pathlib
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "target/deps"), str(ROOT / "platform/tests")]

import platform_standins as standins  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "127.0.0.1"
# Sizes of an edge machine and bounds of the small deployments (SYSTEM.md).
LIMITS = {"memory_mb": 222, "file_descriptors": 1535}
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 184,
}
# As in PROTOCOL.md; the wire of the bench shows figures of this size.
CALLER_LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def is_troubled():
    """Returns whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port():
    """Returns a port that is free for TCP and UDP.

    It lies below the range from which the system assigns ports.
    """
    while True:
        port = random.randrange(20000, 32000)
        with (
            socket.socket() as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
            except OSError:
                continue
            return port


class Store(standins.Store):
    """The project's store, whose appends return their offset."""

    def _append(self, query, body, proxy):
        with self._condition:
            super()._append(query, body, proxy)
            end = len(self._records_by_topic[query["topic"]])
        return json.dumps({"offset": end - 1, "end": end}).encode()


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._started_s = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text):
        """Writes a line with the seconds since the start."""
        with self._lock:
            passed_s = time.monotonic() - self._started_s
            self._file.write(f"{passed_s:8.3f} {text}\n")
            self._file.flush()


class Entry:
    """An entry that runs as a process."""

    def __init__(self, store_address, folder, name="edge-1", zone="z1"):
        port = free_port
        self.port = port()
        self.readiness_port = port()
        settings = {
            "node_name": name,
            "role": "edge",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": HOST,
            "zone": zone,
            "region": "r1",
            "zones": {zone: "r1"},
            "internal_ports": [port(), port()],
            "listen": {
                "frontend": f"{HOST}:{self.port}",
                "readiness": f"{HOST}:{self.readiness_port}",
            },
            "limits": LIMITS,
            "bounds": BOUNDS,
            "platform": {"address": store_address},
        }
        path = pathlib.Path(folder) / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.log_path = path.with_suffix(".log")
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "godwitdale_adapter.edge"],
                cwd=ROOT,
                env={
                    **os.environ,
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "GODWITDALE_SETTINGS": str(path),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=_limit_descriptors,
            )

    def is_ready(self):
        """Returns the result of a readiness check like the platform's."""
        try:
            caller = standins.Caller(self.readiness_port)
        except OSError:
            return False
        try:
            return caller.request("/readyz").status == 200
        except OSError:
            return False
        finally:
            caller.close()

    def gauge(self, name):
        """Returns the value of a gauge among the metrics of the process."""
        caller = standins.Caller(self.readiness_port)
        try:
            text = caller.request("/metrics").body.decode()
        finally:
            caller.close()
        for line in text.splitlines():
            if line.startswith(f"godwitdale_{name} "):
                return float(line.split()[1])
        raise AssertionError(f"no gauge {name}")

    def events(self, message):
        """Returns the logged events of a kind."""
        events = []
        for line in self.log_path.read_text().splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if event.get("message") == message:
                events.append(event)
        return events

    def kill(self):
        """Ends the process if it still runs."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


def _limit_descriptors():
    """Gives the process the descriptors of its machine."""
    count = LIMITS["file_descriptors"]
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, count))


def route(path, service="app", kind="idempotent", **fields):
    """Returns a route of the configuration."""
    return {
        "name": f"r{path}",
        "host": "a.example",
        "path_prefix": path,
        "type": kind,
        "service": service,
        "timeout_ms": 4000,
        "target_latency_ms": 400,
        "max_attempts": 2,
        "public": False,
        **fields,
    }


def configuration(routes, services=None, version=1):
    """Returns a configuration with one tenant that has one key."""
    return {
        "version": version,
        "routes": routes,
        "services": services or [{"name": "app", "health_path": "/healthz"}],
        "limits": CALLER_LIMITS,
        "tenants": [{"name": "mill", "api_keys": ["key-1"]}],
    }


def run(case, folder):
    """Runs a case and ends the process with its result.

    Args:
        case: Called with a list for what is to be ended, the record and a
            temporary folder; returns HELD, BROKEN or NOT_RUN.
        folder: Folder of the case.
    """
    record = Record(folder)
    started = []
    result = NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        try:
            result = case(started, record, temporary)
        except Exception as error:  # The case could not run.
            record.write(f"the case could not run: {error!r}")
        finally:
            for each in started:
                each.kill()
    text = {HELD: "held", BROKEN: "broken", NOT_RUN: "did not run"}[result]
    record.write(f"result: {text}")
    os._exit(result)
