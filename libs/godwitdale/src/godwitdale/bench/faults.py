"""Mixed faults for long, with every promise checked from outside.

Bookings carry keys and are asked for again until something certain is known;
drafts ask for a number of tokens and count them. What really happened is read
from the records of the stand-ins at the end.
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
_PER_S = 300.0
_BOOKING_SHARE = 0.5
_MOST_ASKS = 6
_ASK_AGAIN_S = 0.5
_ANSWER_S = 25.0
_FAULT_EVERY_S = 0.9
_SETTLE_S = 15.0
_OK = 200
_CREATED = 201
_SECONDS_PER_MINUTE = 60


@dataclasses.dataclass(slots=True)
class Booking:
    """What was seen of one booking.

    Attributes:
        body: What was booked; unique.
        statuses: Status of each answer, 0 where the connection broke.
        verdicts: Verdict of each answer.
        orders: What each answer 201 said.
    """

    body: str
    statuses: list[int] = dataclasses.field(default_factory=list)
    verdicts: list[str] = dataclasses.field(default_factory=list)
    orders: list[dict[str, Any]] = dataclasses.field(default_factory=list)

    @property
    def is_settled(self) -> bool:
        """Whether asking again would tell nothing new."""
        if not self.statuses:
            return False
        is_sure = self.verdicts[-1] in ("ran", "not-run")
        return self.statuses[-1] == _CREATED or is_sure


class Tally:
    """Counts of a run.

    Attributes:
        counts: Requests, faults and endings by name.
        violations: Sentences about broken promises.
        bookings: What was seen of the bookings.
    """

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.violations: list[str] = []
        self.bookings: list[Booking] = []


class Callers:
    """Sends drafts and bookings at a rate."""

    def __init__(
        self,
        cluster: testing.Cluster,
        reactor: Any,
        rng: random.Random,
        tally: Tally,
    ) -> None:
        """Prepares.

        Args:
            cluster: A running cluster.
            reactor: The Twisted reactor.
            rng: Source of all choices.
            tally: Where results go.
        """
        self._cluster = cluster
        self._reactor = reactor
        self._rng = rng
        self._tally = tally
        self._running: set[defer.Deferred[None]] = set()

    async def run(self, until_s: float) -> None:
        """Sends until a time, then waits for all answers."""
        while self._reactor.seconds() < until_s:
            is_booking = self._rng.random() < _BOOKING_SHARE
            started = self._booking() if is_booking else self._draft()
            running = defer.ensureDeferred(started)
            self._running.add(running)
            running.addBoth(self._forget, running)
            delay_s = self._rng.expovariate(_PER_S)
            await task.deferLater(self._reactor, delay_s, lambda: None)
        while self._running:
            await task.deferLater(self._reactor, 0.1, lambda: None)

    def _forget(self, result: Any, running: "defer.Deferred[None]") -> None:
        self._running.discard(running)
        if result is not None:
            self._tally.violations.append(f"the bench failed: {result}")

    def _entry(self) -> str:
        return self._cluster.entry_url(self._rng.choice((1, 2)))

    async def _booking(self) -> None:
        booking = Booking(uuid.UUID(int=self._rng.getrandbits(128)).hex)
        self._tally.bookings.append(booking)
        headers = self._cluster.request_headers(
            fixtures.ACCOUNT, Idempotency_Key=booking.body
        )
        while not booking.is_settled and len(booking.statuses) < _MOST_ASKS:
            if booking.statuses:
                self._tally.counts["asked again"] += 1
                delay_s = self._rng.uniform(0, 2 * _ASK_AGAIN_S)
                await task.deferLater(self._reactor, delay_s, lambda: None)
            await self._book_once(booking, headers)
        ending = booking.verdicts[-1] or "no answer"
        self._tally.counts[f"bookings ended: {ending}"] += 1

    async def _book_once(
        self, booking: Booking, headers: dict[str, str]
    ) -> None:
        self._tally.counts["requests"] += 1
        status, verdict, body = await self._post(
            "/orders", {"item": booking.body}, headers
        )
        booking.statuses.append(status)
        booking.verdicts.append(verdict)
        if status == _CREATED:
            booking.orders.append(msgspec.json.decode(body))

    async def _draft(self) -> None:
        tokens = self._rng.randint(2, 30)
        is_stream = self._rng.random() < 0.5
        body = {
            "model": fixtures.MODEL,
            "messages": [{"role": "user", "content": "draft"}],
            "stream": is_stream,
            "max_tokens": tokens,
        }
        self._tally.counts["requests"] += 1
        headers = self._cluster.request_headers(fixtures.ACCOUNT)
        status, verdict, answer = await self._post(
            fixtures.CHAT_PATH, body, headers
        )
        self._tally.counts[f"drafts ended: {verdict or 'no answer'}"] += 1
        if status == _OK:
            check = _check_stream if is_stream else _check_whole
            fault = check(answer, tokens)
            if fault is not None:
                self._tally.violations.append(fault)

    async def _post(
        self, path: str, body: Any, headers: dict[str, str]
    ) -> tuple[int, str, bytes]:
        try:
            response = await treq.post(
                self._entry() + path,
                data=msgspec.json.encode(body),
                headers=headers,
                timeout=_ANSWER_S,
                persistent=False,
            )
            reading = treq.content(response)
            reading.addTimeout(_ANSWER_S, self._reactor)
            answer = await reading
        except Exception:  # The entry died; nothing is known.
            return 0, "", b""
        verdicts = response.headers.getRawHeaders("godwitdale-verdict", [""])
        return response.code, verdicts[0], answer


def _check_whole(answer: bytes, tokens: int) -> str | None:
    made = msgspec.json.decode(answer)["usage"]["completion_tokens"]
    if made != tokens:
        return f"a draft of {tokens} tokens came with {made}"
    return None


def _check_stream(answer: bytes, tokens: int) -> str | None:
    made = answer.count(b'"chat.completion.chunk"')
    is_done = answer.rstrip().endswith(b"[DONE]")
    has_error = b"event: error" in answer
    if is_done and made != tokens:
        return f"a stream of {tokens} tokens ended whole with {made}"
    if not is_done and not has_error and made > tokens:
        return f"a stream of {tokens} tokens has {made}"
    return None


class Disturber:
    """Injects faults, one after the other and now and then two at once."""

    def __init__(
        self,
        cluster: testing.Cluster,
        reactor: Any,
        rng: random.Random,
        tally: Tally,
    ) -> None:
        """Prepares.

        Args:
            cluster: A running cluster.
            reactor: The Twisted reactor.
            rng: Source of all choices.
            tally: Where faults are counted.
        """
        self._cluster = cluster
        self._reactor = reactor
        self._rng = rng
        self._tally = tally
        self._down: set[str] = set()
        names = [name for name in cluster.processes if "-" in name]
        self._agents = [n for n in names if n.startswith("agent")]
        self._entries = [n for n in names if n.startswith("entry")]
        self._faults: list[tuple[str, Callable[[], Any]]] = [
            ("agent killed", lambda: self._kill(self._agents)),
            ("entry killed", lambda: self._kill(self._entries)),
            ("agent frozen", lambda: self._freeze(self._agents)),
            ("entry frozen", lambda: self._freeze(self._entries)),
            ("connections silent", lambda: self._relay("silence")),
            ("connections cut", lambda: self._relay("cut")),
            ("log out", lambda: self._log(down=True)),
            ("log slow", lambda: self._log(slow_s=0.5)),
            ("log answers lost", lambda: self._log(lost_share=0.4)),
            ("app answers lost", self._lose_app_answers),
            ("instance list frozen", self._freeze_list),
            ("change published", self._publish),
        ]

    async def run(self, until_s: float) -> None:
        """Injects faults until a time, then heals everything."""
        running = []
        while self._reactor.seconds() < until_s:
            count = 2 if self._rng.random() < 0.25 else 1
            for name, fault in self._rng.sample(self._faults, count):
                self._tally.counts[f"fault: {name}"] += 1
                self._tally.counts["faults"] += 1
                running.append(defer.ensureDeferred(fault()))
            await self._sleep(self._rng.uniform(0, 2 * _FAULT_EVERY_S))
        await defer.gatherResults(running)

    def _sleep(self, delay_s: float) -> "defer.Deferred[None]":
        return task.deferLater(self._reactor, delay_s, lambda: None)

    def _pick(self, names: list[str]) -> str | None:
        """Returns a process that is up, if another of its kind is, too."""
        up = [name for name in names if name not in self._down]
        return self._rng.choice(up) if len(up) > 1 else None

    async def _kill(self, names: list[str]) -> None:
        name = self._pick(names)
        if name is None:
            return
        self._down.add(name)
        await threads.deferToThread(self._cluster.kill, name)
        await self._sleep(self._rng.uniform(0.2, 2.0))
        await threads.deferToThread(self._cluster.restart, name)
        self._down.discard(name)

    async def _freeze(self, names: list[str]) -> None:
        name = self._pick(names)
        if name is None:
            return
        self._down.add(name)
        self._cluster.pause(name)
        await self._sleep(self._rng.uniform(0.2, 9.0))
        self._cluster.resume(name)
        self._down.discard(name)

    async def _relay(self, action: str) -> None:
        await threads.deferToThread(self._cluster.control_relay, action)

    async def _log(self, **faults: Any) -> None:
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

    async def _publish(self) -> None:
        work = objects.Work(name="probe", priority=self._rng.randint(0, 9))
        await threads.deferToThread(
            lambda: self._cluster.publish([work], wait_s=0)
        )


def check_bookings(
    bookings: list[Booking], effects: list[dict[str, str]]
) -> list[str]:
    """Compares what callers were told with what the apps have done.

    Args:
        bookings: What callers saw.
        effects: What the apps recorded.

    Returns:
        A sentence for each broken promise.
    """
    by_body: dict[str, list[dict[str, str]]] = collections.defaultdict(list)
    for effect in effects:
        item = msgspec.json.decode(effect["body"])["item"]
        by_body[item].append(effect)
    found = []
    for booking in bookings:
        done = by_body.get(booking.body, [])
        if len(done) > 1:
            found.append(f"{booking.body} was booked {len(done)} times")
        if booking.orders and not done:
            found.append(f"{booking.body} was answered 201 and not booked")
        all_not_run = all(v == "not-run" for v in booking.verdicts)
        if all_not_run and done:
            found.append(f"{booking.body} was 'not run' but is booked")
        for order in booking.orders:
            numbers = [(e["app"], int(e["number"])) for e in done]
            if (order["app"], order["order"]) not in numbers:
                found.append(f"{booking.body} got another's answer")
    return found


async def run(reactor: Any, minutes: float, seed: int) -> list[report.Result]:
    """Runs callers and faults side by side and checks the promises.

    Args:
        reactor: The Twisted reactor.
        minutes: How long faults are injected.
        seed: Seed of all choices.

    Raises:
        exceptions.ViolationError: A promise was broken.
    """
    tally = Tally()
    config = testing.ClusterConfig(
        declarations=fixtures.declared(_ENGINES, _APPS),
        has_relay=True,
        slots=64,
        extra_entry_settings={"log_level": "INFO"},
    )
    with tempfile.TemporaryDirectory() as folder:
        cluster = testing.Cluster(config, pathlib.Path(folder))
        await threads.deferToThread(cluster.__enter__)
        try:
            effects = await _drive(cluster, reactor, minutes, seed, tally)
        finally:
            cluster.close()
    tally.violations += check_bookings(tally.bookings, effects)
    result = _result(tally, minutes, seed)
    if tally.violations:
        report.publish("faults", [result], None)
        raise exceptions.ViolationError(
            f"{len(tally.violations)} violation(s), seed {seed}: "
            + "; ".join(tally.violations[:5])
        )
    return [result]


async def _drive(
    cluster: testing.Cluster,
    reactor: Any,
    minutes: float,
    seed: int,
    tally: Tally,
) -> list[dict[str, str]]:
    until_s = reactor.seconds() + minutes * _SECONDS_PER_MINUTE
    callers = Callers(cluster, reactor, random.Random(seed), tally)
    disturber = Disturber(cluster, reactor, random.Random(seed + 1), tally)
    await defer.gatherResults(
        [
            defer.ensureDeferred(callers.run(until_s)),
            defer.ensureDeferred(disturber.run(until_s)),
        ]
    )
    await task.deferLater(reactor, _SETTLE_S, lambda: None)
    effects: list[dict[str, str]] = []
    for number in range(1, _APPS + 1):
        name = f"endpoint-app-{number}"
        done = await threads.deferToThread(cluster.fetch_records, name)
        effects += [{**each, "app": f"app-{number}"} for each in done]
    return effects


def _result(tally: Tally, minutes: float, seed: int) -> report.Result:
    rows = [[name, count] for name, count in sorted(tally.counts.items())]
    rows.append(["violations", len(tally.violations)])
    return report.Result(
        f"Mixed faults for {minutes:g} minutes, seed {seed}",
        ("what", "count"),
        rows,
        tally.violations[:20],
    )
