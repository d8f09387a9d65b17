"""Injects mixed faults and checks the guarantees to callers.

Bookings carry idempotency keys and are retried until their outcome is
certain. Drafts ask for a number of tokens and count the tokens of the answer.
At the end, the records of the stand-ins show which bookings took effect.
"""

import collections
from collections.abc import Callable
import dataclasses
import pathlib
import random
import tempfile
from typing import Any
import uuid

import msgspec
import treq
from twisted.internet import defer
from twisted.internet import task
from twisted.internet import threads

from godwitdale import testing
from godwitdale.bench import fixtures
from godwitdale.bench import report
from godwitdale_declarations import objects
from godwitdale_verdicts import exceptions

_ENGINES = 3
_APPS = 3
_REQUESTS_PER_S = 300.0
_BOOKING_SHARE = 0.5
_MAX_ATTEMPTS = 6
_MEAN_RETRY_DELAY_S = 0.5
_ANSWER_TIMEOUT_S = 25.0
_MEAN_FAULT_INTERVAL_S = 0.9
_SETTLE_S = 15.0
_OK = 200
_CREATED = 201
_SECONDS_PER_MINUTE = 60


@dataclasses.dataclass(slots=True)
class Booking:
    """The answers to one booking.

    Attributes:
        body: Unique item that is booked; also the idempotency key.
        statuses: Status of each answer, or 0 if the connection broke.
        verdicts: Verdict of each answer.
        orders: Body of each answer 201.
    """

    body: str
    statuses: list[int] = dataclasses.field(default_factory=list)
    verdicts: list[str] = dataclasses.field(default_factory=list)
    orders: list[dict[str, Any]] = dataclasses.field(default_factory=list)

    @property
    def is_settled(self) -> bool:
        """Whether the outcome is certain, so that no retry is needed."""
        if not self.statuses:
            return False
        is_certain = self.verdicts[-1] in ("ran", "not-run")
        return self.statuses[-1] == _CREATED or is_certain


class RunRecord:
    """Counts and observations of a run.

    Attributes:
        counts: Numbers of requests, faults and outcomes, by name.
        violations: A sentence for each violated guarantee.
        bookings: All bookings with their answers.
    """

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.violations: list[str] = []
        self.bookings: list[Booking] = []


class Callers:
    """Sends drafts and bookings at a mean rate."""

    def __init__(
        self,
        cluster: testing.Cluster,
        reactor: Any,
        rng: random.Random,
        record: RunRecord,
    ) -> None:
        """Creates callers that have sent nothing yet.

        Args:
            cluster: A running cluster.
            reactor: The Twisted reactor.
            rng: Source of all random choices.
            record: Receives the counts and observations.
        """
        self._cluster = cluster
        self._reactor = reactor
        self._rng = rng
        self._record = record
        self._running: set[defer.Deferred[None]] = set()

    async def run(self, end_s: float) -> None:
        """Sends requests until a time, then waits for all answers."""
        while self._reactor.seconds() < end_s:
            is_booking = self._rng.random() < _BOOKING_SHARE
            request = self._send_booking() if is_booking else self._send_draft()
            running = defer.ensureDeferred(request)
            self._running.add(running)
            running.addBoth(self._on_end, running)
            delay_s = self._rng.expovariate(_REQUESTS_PER_S)
            await task.deferLater(self._reactor, delay_s, lambda: None)
        while self._running:
            await task.deferLater(self._reactor, 0.1, lambda: None)

    def _on_end(self, result: Any, running: "defer.Deferred[None]") -> None:
        self._running.discard(running)
        if result is not None:
            self._record.violations.append(
                f"a request of the bench failed: {result}"
            )

    def _random_entry_url(self) -> str:
        return self._cluster.entry_url(self._rng.choice((1, 2)))

    async def _send_booking(self) -> None:
        booking = Booking(uuid.UUID(int=self._rng.getrandbits(128)).hex)
        self._record.bookings.append(booking)
        headers = self._cluster.request_headers(
            fixtures.ACCOUNT, Idempotency_Key=booking.body
        )
        while not booking.is_settled and len(booking.statuses) < _MAX_ATTEMPTS:
            if booking.statuses:
                self._record.counts["asked again"] += 1
                delay_s = self._rng.uniform(0, 2 * _MEAN_RETRY_DELAY_S)
                await task.deferLater(self._reactor, delay_s, lambda: None)
            await self._book_once(booking, headers)
        outcome = booking.verdicts[-1] or "no answer"
        self._record.counts[f"bookings ended: {outcome}"] += 1

    async def _book_once(
        self, booking: Booking, headers: dict[str, str]
    ) -> None:
        self._record.counts["requests"] += 1
        status, verdict, body = await self._post(
            "/orders", {"item": booking.body}, headers
        )
        booking.statuses.append(status)
        booking.verdicts.append(verdict)
        if status == _CREATED:
            booking.orders.append(msgspec.json.decode(body))

    async def _send_draft(self) -> None:
        tokens = self._rng.randint(2, 30)
        is_stream = self._rng.random() < 0.5
        body = {
            "model": fixtures.MODEL,
            "messages": [{"role": "user", "content": "draft"}],
            "stream": is_stream,
            "max_tokens": tokens,
        }
        self._record.counts["requests"] += 1
        headers = self._cluster.request_headers(fixtures.ACCOUNT)
        status, verdict, answer = await self._post(
            fixtures.CHAT_PATH, body, headers
        )
        self._record.counts[f"drafts ended: {verdict or 'no answer'}"] += 1
        if status == _OK:
            check = _check_stream if is_stream else _check_answer
            violation = check(answer, tokens)
            if violation is not None:
                self._record.violations.append(violation)

    async def _post(
        self, path: str, body: Any, headers: dict[str, str]
    ) -> tuple[int, str, bytes]:
        try:
            response = await treq.post(
                self._random_entry_url() + path,
                data=msgspec.json.encode(body),
                headers=headers,
                timeout=_ANSWER_TIMEOUT_S,
                persistent=False,
            )
            reading = treq.content(response)
            reading.addTimeout(_ANSWER_TIMEOUT_S, self._reactor)
            answer = await reading
        except Exception:  # The entry died, so the outcome is unknown.
            return 0, "", b""
        verdicts = response.headers.getRawHeaders("godwitdale-verdict", [""])
        return response.code, verdicts[0], answer


def _check_answer(answer: bytes, tokens: int) -> str | None:
    received = msgspec.json.decode(answer)["usage"]["completion_tokens"]
    if received != tokens:
        return f"a draft of {tokens} tokens was answered with {received}"
    return None


def _check_stream(answer: bytes, tokens: int) -> str | None:
    received = answer.count(b'"chat.completion.chunk"')
    is_complete = answer.rstrip().endswith(b"[DONE]")
    has_error = b"event: error" in answer
    if is_complete and received != tokens:
        return f"a stream of {tokens} tokens was complete with {received}"
    if not is_complete and not has_error and received > tokens:
        return f"a stream of {tokens} tokens broke off after {received}"
    return None


class FaultInjector:
    """Injects faults one after the other, and sometimes two at once."""

    def __init__(
        self,
        cluster: testing.Cluster,
        reactor: Any,
        rng: random.Random,
        record: RunRecord,
    ) -> None:
        """Creates an injector with no active faults.

        Args:
            cluster: A running cluster.
            reactor: The Twisted reactor.
            rng: Source of all random choices.
            record: Receives the counts of the faults.
        """
        self._cluster = cluster
        self._reactor = reactor
        self._rng = rng
        self._record = record
        self._down: set[str] = set()
        names = [name for name in cluster.processes if "-" in name]
        self._agents = [n for n in names if n.startswith("agent")]
        self._entries = [n for n in names if n.startswith("entry")]
        self._faults: list[tuple[str, Callable[[], Any]]] = [
            ("agent killed", lambda: self._kill(self._agents)),
            ("entry killed", lambda: self._kill(self._entries)),
            ("agent frozen", lambda: self._freeze(self._agents)),
            ("entry frozen", lambda: self._freeze(self._entries)),
            (
                "connections silent",
                lambda: self._disturb_connections("silence"),
            ),
            ("connections cut", lambda: self._disturb_connections("cut")),
            ("log out", lambda: self._disturb_log(down=True)),
            ("log slow", lambda: self._disturb_log(slow_s=0.5)),
            ("log answers lost", lambda: self._disturb_log(lost_share=0.4)),
            ("app answers lost", self._lose_app_answers),
            ("instance list frozen", self._freeze_list),
            ("change published", self._publish_change),
        ]

    async def run(self, end_s: float) -> None:
        """Injects faults until a time, then waits until all have ended."""
        running = []
        while self._reactor.seconds() < end_s:
            count = 2 if self._rng.random() < 0.25 else 1
            for name, inject in self._rng.sample(self._faults, count):
                self._record.counts[f"fault: {name}"] += 1
                self._record.counts["faults"] += 1
                running.append(defer.ensureDeferred(inject()))
            await self._sleep(self._rng.uniform(0, 2 * _MEAN_FAULT_INTERVAL_S))
        await defer.gatherResults(running)

    def _sleep(self, delay_s: float) -> "defer.Deferred[None]":
        return task.deferLater(self._reactor, delay_s, lambda: None)

    def _pick_process(self, names: list[str]) -> str | None:
        """Returns a process that is up, or None if no other would remain."""
        up = [name for name in names if name not in self._down]
        return self._rng.choice(up) if len(up) > 1 else None

    async def _kill(self, names: list[str]) -> None:
        name = self._pick_process(names)
        if name is None:
            return
        self._down.add(name)
        await threads.deferToThread(self._cluster.kill, name)
        await self._sleep(self._rng.uniform(0.2, 2.0))
        await threads.deferToThread(self._cluster.restart, name)
        self._down.discard(name)

    async def _freeze(self, names: list[str]) -> None:
        name = self._pick_process(names)
        if name is None:
            return
        self._down.add(name)
        self._cluster.pause(name)
        await self._sleep(self._rng.uniform(0.2, 9.0))
        self._cluster.resume(name)
        self._down.discard(name)

    async def _disturb_connections(self, action: str) -> None:
        await threads.deferToThread(self._cluster.control_relay, action)

    async def _disturb_log(self, **faults: Any) -> None:
        await threads.deferToThread(
            lambda: self._cluster.set_faults("log", **faults)
        )
        await self._sleep(self._rng.uniform(0.5, 3.0))
        await threads.deferToThread(self._cluster.set_faults, "log")

    async def _lose_app_answers(self) -> None:
        name = f"endpoint-app-{self._rng.randint(1, _APPS)}"
        await threads.deferToThread(
            lambda: self._cluster.set_faults(name, lost_answers=3)
        )

    async def _freeze_list(self) -> None:
        await threads.deferToThread(
            lambda: self._cluster.set_faults("instances", frozen=True)
        )
        await self._sleep(self._rng.uniform(0.5, 3.0))
        await threads.deferToThread(self._cluster.set_faults, "instances")

    async def _publish_change(self) -> None:
        work = objects.Work(name="probe", priority=self._rng.randint(0, 9))
        await threads.deferToThread(
            lambda: self._cluster.publish([work], wait_s=0)
        )


def check_bookings(
    bookings: list[Booking], effects: list[dict[str, str]]
) -> list[str]:
    """Compares the answers to callers with the effects at the apps.

    Args:
        bookings: Bookings with their answers.
        effects: Effects that the apps recorded.

    Returns:
        A sentence for each violated guarantee.
    """
    by_body: dict[str, list[dict[str, str]]] = collections.defaultdict(list)
    for effect in effects:
        item = msgspec.json.decode(effect["body"])["item"]
        by_body[item].append(effect)
    violations = []
    for booking in bookings:
        booked = by_body.get(booking.body, [])
        if len(booked) > 1:
            violations.append(f"{booking.body} was booked {len(booked)} times")
        if booking.orders and not booked:
            violations.append(f"{booking.body} was answered 201 but not booked")
        all_not_run = all(v == "not-run" for v in booking.verdicts)
        if all_not_run and booked:
            violations.append(f"{booking.body} was answered not-run but booked")
        for order in booking.orders:
            numbers = [(e["app"], int(e["number"])) for e in booked]
            if (order["app"], order["order"]) not in numbers:
                violations.append(
                    f"{booking.body} got the answer to another booking"
                )
    return violations


async def run(reactor: Any, minutes: float, seed: int) -> list[report.Result]:
    """Runs callers and faults concurrently and checks the guarantees.

    Args:
        reactor: The Twisted reactor.
        minutes: Time for which faults are injected.
        seed: Seed of all random choices.

    Raises:
        exceptions.ViolationError: A guarantee was violated.
    """
    record = RunRecord()
    config = testing.ClusterConfig(
        declarations=fixtures.cluster_declarations(_ENGINES, _APPS),
        has_relay=True,
        slots=64,
        extra_entry_settings={"log_level": "INFO"},
    )
    with tempfile.TemporaryDirectory() as folder:
        cluster = testing.Cluster(config, pathlib.Path(folder))
        await threads.deferToThread(cluster.__enter__)
        try:
            effects = await _run_callers_and_faults(
                cluster, reactor, minutes, seed, record
            )
        finally:
            cluster.close()
    record.violations += check_bookings(record.bookings, effects)
    result = _result(record, minutes, seed)
    if record.violations:
        report.publish("faults", [result], None)
        raise exceptions.ViolationError(
            f"{len(record.violations)} violation(s), seed {seed}: "
            + "; ".join(record.violations[:5])
        )
    return [result]


async def _run_callers_and_faults(
    cluster: testing.Cluster,
    reactor: Any,
    minutes: float,
    seed: int,
    record: RunRecord,
) -> list[dict[str, str]]:
    end_s = reactor.seconds() + minutes * _SECONDS_PER_MINUTE
    callers = Callers(cluster, reactor, random.Random(seed), record)
    injector = FaultInjector(cluster, reactor, random.Random(seed + 1), record)
    await defer.gatherResults(
        [
            defer.ensureDeferred(callers.run(end_s)),
            defer.ensureDeferred(injector.run(end_s)),
        ]
    )
    await task.deferLater(reactor, _SETTLE_S, lambda: None)
    effects: list[dict[str, str]] = []
    for number in range(1, _APPS + 1):
        name = f"endpoint-app-{number}"
        app_effects = await threads.deferToThread(cluster.fetch_records, name)
        effects += [
            {**effect, "app": f"app-{number}"} for effect in app_effects
        ]
    return effects


def _result(record: RunRecord, minutes: float, seed: int) -> report.Result:
    rows = [[name, count] for name, count in sorted(record.counts.items())]
    rows.append(["violations", len(record.violations)])
    return report.Result(
        f"Mixed faults for {minutes:g} minutes, seed {seed}",
        ("what", "count"),
        rows,
        record.violations[:20],
    )
