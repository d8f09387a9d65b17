"""Time back to normal after a fault, and what callers felt meanwhile.

Probes are sent at a fixed rate. The system is back to normal with the first of
twenty answers in a row that are good and no slower than three times what was
usual before the fault.
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
_PER_S = 20.0
_WARM_UP_S = 4.0
_WATCH_S = 16.0
_GOOD_IN_A_ROW = 20
_SLOW_FACTOR = 3.0
_ANSWER_S = 20.0
_OUTAGE_S = 8.0
_GOOD = (200, 201)


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """One request and what came of it.

    Attributes:
        sent_s: When it was sent.
        took_s: Time to its whole answer.
        status: Its status, 0 where the connection broke.
        verdict: Its verdict.
    """

    sent_s: float
    took_s: float
    status: int
    verdict: str


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A fault.

    Attributes:
        name: What is done.
        inject: Does it.
        books: Whether probes are bookings instead of drafts.
        entry: Entry that probes go to.
    """

    name: str
    inject: Callable[[testing.Cluster], None]
    books: bool = False
    entry: int = 2


def _kill(*names: str) -> Callable[[testing.Cluster], None]:
    def inject(cluster: testing.Cluster) -> None:
        for name in names:
            cluster.kill(name)

    return inject


def _slow_engine(cluster: testing.Cluster) -> None:
    cluster.set_faults("endpoint-engine-1", slow_ranks={"0": 5.0})


def _outage(cluster: testing.Cluster) -> None:
    cluster.set_faults("log", down=True)
    time.sleep(_OUTAGE_S)
    cluster.set_faults("log")


def _silence(cluster: testing.Cluster) -> None:
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
    Scenario("all connections silent", _silence),
    Scenario("one rank at a fifth of its speed", _slow_engine),
    Scenario(f"log out for {_OUTAGE_S:g} s, bookings", _outage, True),
    Scenario(f"log out for {_OUTAGE_S:g} s, drafts", _outage),
    Scenario("everything killed and restarted", _restart_all),
)


class Prober:
    """Sends probes at a fixed rate from threads."""

    def __init__(self, cluster: testing.Cluster, scenario: Scenario) -> None:
        """Prepares.

        Args:
            cluster: A running cluster.
            scenario: Tells what to send.
        """
        self.probes: list[Probe] = []
        self._cluster = cluster
        self._scenario = scenario
        self._pool = concurrent.futures.ThreadPoolExecutor(64)

    def run(self, for_s: float) -> None:
        """Sends probes for a time, without waiting for their answers."""
        until_s = time.monotonic() + for_s
        while time.monotonic() < until_s:
            self._pool.submit(self._probe)
            time.sleep(1 / _PER_S)

    def finish(self) -> None:
        """Waits for all answers."""
        self._pool.shutdown()
        self.probes.sort(key=lambda probe: probe.sent_s)

    def _probe(self) -> None:
        sent_s = time.monotonic()
        try:
            answer = self._ask()
        except OSError:
            answer = http_client.Response(0, {}, b"")
        took_s = time.monotonic() - sent_s
        probe = Probe(sent_s, took_s, answer.status, answer.verdict)
        self.probes.append(probe)

    def _ask(self) -> http_client.Response:
        url = self._cluster.entry_url(self._scenario.entry)
        headers = self._cluster.request_headers(fixtures.ACCOUNT)
        if self._scenario.books:
            headers["Idempotency-Key"] = uuid.uuid4().hex
            return http_client.send_request(
                f"{url}/orders", "POST", {"item": "bag"}, headers, _ANSWER_S
            )
        body = {
            "model": fixtures.MODEL,
            "messages": [{"role": "user", "content": "probe"}],
            "max_tokens": 3,
        }
        return http_client.send_request(
            url + fixtures.CHAT_PATH, "POST", body, headers, _ANSWER_S
        )


def normal_after_s(
    probes: list[Probe], fault_s: float, usual_s: float
) -> float | None:
    """Returns the time from a fault until all is as usual, or None.

    Args:
        probes: All probes in the order in which they were sent.
        fault_s: When the fault began.
        usual_s: Usual time of an answer.
    """
    run: list[Probe] = []
    for probe in probes:
        if probe.sent_s < fault_s:
            continue
        is_good = probe.status in _GOOD
        if is_good and probe.took_s <= _SLOW_FACTOR * usual_s:
            run.append(probe)
        else:
            run.clear()
        if len(run) == _GOOD_IN_A_ROW:
            return run[0].sent_s - fault_s
    return None


def _measure(scenario: Scenario) -> list[Any]:
    config = testing.ClusterConfig(
        declarations=fixtures.declared(_ENGINES, _APPS), has_relay=True
    )
    with (
        tempfile.TemporaryDirectory() as folder,
        testing.Cluster(config, pathlib.Path(folder)) as cluster,
    ):
        prober = Prober(cluster, scenario)
        prober.run(_WARM_UP_S)
        fault_s = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            injecting = pool.submit(scenario.inject, cluster)
            prober.run(_WATCH_S)
            injecting.result()
        prober.finish()
    before = [p.took_s for p in prober.probes if p.sent_s < fault_s]
    usual_s = statistics.median(before)
    after = [p for p in prober.probes if p.sent_s >= fault_s]
    failed = [p for p in after if p.status not in _GOOD]
    back_s = normal_after_s(prober.probes, fault_s, usual_s)
    return [
        scenario.name,
        usual_s * 1000,
        "not in time" if back_s is None else f"{back_s:.1f}",
        len(after),
        len(failed),
        sum(p.verdict == "not-run" for p in failed),
        max(p.took_s for p in after),
    ]


def run() -> list[report.Result]:
    """Measures all scenarios, each on a cluster of its own."""
    rows = [_measure(scenario) for scenario in SCENARIOS]
    return [
        report.Result(
            f"Back to normal, {_ENGINES} engines, {_APPS} apps, 2 entries, "
            f"{_PER_S:g} probes a second for {_WATCH_S:g} s",
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
