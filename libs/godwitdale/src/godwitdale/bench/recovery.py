"""Time to recover from a fault, and its effect on callers until then.

Probes are sent at a fixed rate. The system has recovered at the first of
twenty consecutive probes that succeed and take at most three times the median
before the fault.
"""

from collections.abc import Callable
import concurrent.futures
import dataclasses
import pathlib
import statistics
import tempfile
import time
from typing import Any
import uuid

from godwitdale import http_client
from godwitdale import testing
from godwitdale.bench import fixtures
from godwitdale.bench import report

_ENGINES = 6
_APPS = 3
_PROBES_PER_S = 20.0
_WARM_UP_S = 4.0
_OBSERVATION_S = 16.0
_CONSECUTIVE_GOOD_PROBES = 20
_MAX_SLOWDOWN = 3.0
_ANSWER_TIMEOUT_S = 20.0
_OUTAGE_S = 8.0
_SUCCESS_STATUSES = (200, 201)


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A request and its answer.

    Attributes:
        sent_s: Time at which the request was sent.
        took_s: Time to the complete answer.
        status: Status of the answer, or 0 if the connection broke.
        verdict: Verdict of the answer.
    """

    sent_s: float
    took_s: float
    status: int
    verdict: str


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A fault and the probes that observe it.

    Attributes:
        name: Name of the fault in the table.
        inject: Injects the fault.
        sends_bookings: Whether probes are bookings instead of drafts.
        entry: Number of the entry that receives the probes.
    """

    name: str
    inject: Callable[[testing.Cluster], None]
    sends_bookings: bool = False
    entry: int = 2


def _kill(*names: str) -> Callable[[testing.Cluster], None]:
    def inject(cluster: testing.Cluster) -> None:
        for name in names:
            cluster.kill(name)

    return inject


def _slow_down_rank(cluster: testing.Cluster) -> None:
    cluster.set_faults("endpoint-engine-1", slow_ranks={"0": 5.0})


def _interrupt_log(cluster: testing.Cluster) -> None:
    cluster.set_faults("log", down=True)
    time.sleep(_OUTAGE_S)
    cluster.set_faults("log")


def _silence_connections(cluster: testing.Cluster) -> None:
    cluster.control_relay("silence")


def _restart_all(cluster: testing.Cluster) -> None:
    daemons = [
        name
        for name in cluster.processes
        if name.startswith(("agent-", "entry-"))
    ]
    for name in daemons:
        cluster.kill(name)
    with concurrent.futures.ThreadPoolExecutor(len(daemons)) as pool:
        list(pool.map(cluster.restart, daemons))


SCENARIOS = (
    Scenario("one agent of 6 killed", _kill("agent-engine-1")),
    Scenario(
        "two agents of 6 killed", _kill("agent-engine-1", "agent-engine-2")
    ),
    Scenario("one agent of 3 killed, bookings", _kill("agent-app-1"), True),
    Scenario("the other entry killed", _kill("entry-1")),
    Scenario("all connections silent", _silence_connections),
    Scenario("one rank at a fifth of its speed", _slow_down_rank),
    Scenario(f"log out for {_OUTAGE_S:g} s, bookings", _interrupt_log, True),
    Scenario(f"log out for {_OUTAGE_S:g} s, drafts", _interrupt_log),
    Scenario("everything killed and restarted", _restart_all),
)


class Prober:
    """Sends probes at a fixed rate from threads."""

    def __init__(self, cluster: testing.Cluster, scenario: Scenario) -> None:
        """Creates a prober that has sent nothing yet.

        Args:
            cluster: A running cluster.
            scenario: Selects the entry and the kind of probes.
        """
        self.probes: list[Probe] = []
        self._cluster = cluster
        self._scenario = scenario
        self._pool = concurrent.futures.ThreadPoolExecutor(64)

    def run(self, duration_s: float) -> None:
        """Sends probes for some time, without waiting for their answers."""
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            self._pool.submit(self._send_probe)
            time.sleep(1 / _PROBES_PER_S)

    def finish(self) -> None:
        """Waits for all answers."""
        self._pool.shutdown()
        self.probes.sort(key=lambda probe: probe.sent_s)

    def _send_probe(self) -> None:
        sent_s = time.monotonic()
        try:
            answer = self._send_request()
        except OSError:
            answer = http_client.Response(0, {}, b"")
        took_s = time.monotonic() - sent_s
        probe = Probe(sent_s, took_s, answer.status, answer.verdict)
        self.probes.append(probe)

    def _send_request(self) -> http_client.Response:
        url = self._cluster.entry_url(self._scenario.entry)
        headers = self._cluster.request_headers(fixtures.ACCOUNT)
        if self._scenario.sends_bookings:
            headers["Idempotency-Key"] = uuid.uuid4().hex
            return http_client.send_request(
                f"{url}/orders",
                "POST",
                {"item": "bag"},
                headers,
                _ANSWER_TIMEOUT_S,
            )
        body = {
            "model": fixtures.MODEL,
            "messages": [{"role": "user", "content": "probe"}],
            "max_tokens": 3,
        }
        return http_client.send_request(
            url + fixtures.CHAT_PATH, "POST", body, headers, _ANSWER_TIMEOUT_S
        )


def recovery_time_s(
    probes: list[Probe], fault_s: float, baseline_s: float
) -> float | None:
    """Returns the time from a fault to the recovery, or None without one.

    Args:
        probes: All probes, in the order in which they were sent.
        fault_s: Time at which the fault began.
        baseline_s: Median time to an answer before the fault.
    """
    good_probes: list[Probe] = []
    for probe in probes:
        if probe.sent_s < fault_s:
            continue
        is_good = probe.status in _SUCCESS_STATUSES
        if is_good and probe.took_s <= _MAX_SLOWDOWN * baseline_s:
            good_probes.append(probe)
        else:
            good_probes.clear()
        if len(good_probes) == _CONSECUTIVE_GOOD_PROBES:
            return good_probes[0].sent_s - fault_s
    return None


def _measure(scenario: Scenario) -> list[Any]:
    config = testing.ClusterConfig(
        declarations=fixtures.cluster_declarations(_ENGINES, _APPS),
        has_relay=True,
    )
    with (
        tempfile.TemporaryDirectory() as folder,
        testing.Cluster(config, pathlib.Path(folder)) as cluster,
    ):
        prober = Prober(cluster, scenario)
        prober.run(_WARM_UP_S)
        fault_s = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            injection = pool.submit(scenario.inject, cluster)
            prober.run(_OBSERVATION_S)
            injection.result()
        prober.finish()
    before = [p.took_s for p in prober.probes if p.sent_s < fault_s]
    baseline_s = statistics.median(before)
    after = [p for p in prober.probes if p.sent_s >= fault_s]
    failed = [p for p in after if p.status not in _SUCCESS_STATUSES]
    recovered_after_s = recovery_time_s(prober.probes, fault_s, baseline_s)
    return [
        scenario.name,
        baseline_s * 1000,
        "not in time"
        if recovered_after_s is None
        else f"{recovered_after_s:.1f}",
        len(after),
        len(failed),
        sum(p.verdict == "not-run" for p in failed),
        max(p.took_s for p in after),
    ]


def run() -> list[report.Result]:
    """Measures each scenario on a new cluster."""
    rows = [_measure(scenario) for scenario in SCENARIOS]
    return [
        report.Result(
            f"Back to normal, {_ENGINES} engines, {_APPS} apps, 2 entries, "
            f"{_PROBES_PER_S:g} probes a second for {_OBSERVATION_S:g} s",
            (
                "fault",
                "usual ms",
                "normal after s",
                "probes",
                "failed",
                "of these not-run",
                "slowest s",
            ),
            rows,
        )
    ]
