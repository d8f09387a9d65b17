"""A demonstration of the system with both example declarations."""

import dataclasses
import pathlib
from typing import Any

import msgspec
import treq
from twisted.internet import defer
from twisted.internet import task
import uuid_utils

from godwitdale import local_system
from godwitdale_declarations import objects
from godwitdale_verdicts import exceptions

_DRAFTS = 8
_BOOKINGS = 5
_TOKENS = 12
_TIMEOUT_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A declaration file and the accounts and endpoints to use from it.

    Attributes:
        title: Name of the organization that declares the file.
        file: Name of the declaration file.
        draft_account: Client account that requests drafts.
        model: Model that the drafts name.
        booking_account: Client account that books.
        booking_path: Path of the bookings.
        leaving_endpoint: Endpoint that leaves while drafts are streamed.
    """

    title: str
    file: str
    draft_account: str
    model: str
    booking_account: str
    booking_path: str
    leaving_endpoint: str


SCENARIOS = (
    Scenario(
        title="Kelantan Pumice Bag Exchange",
        file="kelantan.json",
        draft_account="nursery-buyers",
        model="quote-llm",
        booking_account="sales-desk-north",
        booking_path="/orders",
        leaving_endpoint="runner-2",
    ),
    Scenario(
        title="Kochi Polish Collective Trust",
        file="kochi.json",
        draft_account="stands-kochi",
        model="malayalam-assistant",
        booking_account="coordinators",
        booking_path="/dues",
        leaving_endpoint="assistant-2",
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """Result of one check.

    Attributes:
        name: Name of the check.
        result: Observed result.
        is_expected: Whether the result is the expected one.
    """

    name: str
    result: str
    is_expected: bool


class Demo:
    """Runs the checks of one scenario on a local system."""

    def __init__(
        self, scenario: Scenario, system: local_system.LocalSystem, clock: Any
    ) -> None:
        """Creates a demonstration.

        Args:
            scenario: Accounts and endpoints to use.
            system: A started system.
            clock: A Twisted ``IReactorTime``.
        """
        self._scenario = scenario
        self._system = system
        self._clock = clock

    async def run(self) -> list[CheckResult]:
        """Runs all checks and returns their results."""
        return [
            await self._check_drafts(),
            await self._check_bookings(),
            await self._check_refusal(),
            await self._check_leaving_endpoint(),
            await self._check_change(),
        ]

    async def _check_drafts(self) -> CheckResult:
        answers = await self._gather(
            [self._send_draft(number) for number in range(_DRAFTS)]
        )
        complete = sum(answer.endswith("[DONE]") for answer in answers)
        return CheckResult(
            f"{_DRAFTS} drafts streamed",
            f"{complete} complete",
            complete == _DRAFTS,
        )

    async def _check_bookings(self) -> CheckResult:
        keys = [str(uuid_utils.uuid7()) for _ in range(_BOOKINGS)]
        bookings = [
            self._send_booking(number, key)
            for number, key in enumerate(keys + keys)
        ]
        statuses = await self._gather(bookings)
        effects = sum(len(app.effects) for app in self._system.apps.values())
        answered = sum(status == 201 for status in statuses)
        return CheckResult(
            f"{_BOOKINGS} bookings, each sent twice to both entries",
            f"{effects} effects, {answered} answers 201",
            effects == _BOOKINGS and answered == 2 * _BOOKINGS,
        )

    async def _check_refusal(self) -> CheckResult:
        url = self._system.entry_urls()[0] + self._scenario.booking_path
        response = await treq.post(
            url,
            data=b"{}",
            headers=self._headers(self._scenario.booking_account),
            timeout=_TIMEOUT_S,
        )
        problem = msgspec.json.decode(await treq.content(response))
        return CheckResult(
            "a booking without a key",
            f"{response.code}, {problem['verdict']}",
            response.code == 400 and problem["verdict"] == "not-run",
        )

    async def _check_leaving_endpoint(self) -> CheckResult:
        streams = [
            defer.ensureDeferred(self._send_draft(number, _TOKENS * 4))
            for number in range(_DRAFTS)
        ]
        agent = self._system.agents[self._scenario.leaving_endpoint]
        await task.deferLater(self._clock, 0.2, lambda: None)
        self._system.set_listed_state(agent, "leaving")
        answers = await defer.gatherResults(streams)
        complete = sum(answer.endswith("[DONE]") for answer in answers)
        await task.deferLater(self._clock, 0.5, lambda: None)
        engine = self._system.engines[self._scenario.leaving_endpoint]
        answered_before = len(engine.answered)
        await self._gather([self._send_draft(n) for n in range(_DRAFTS)])
        new_drafts = len(engine.answered) - answered_before
        self._system.set_listed_state(agent, "live")
        return CheckResult(
            f"{self._scenario.leaving_endpoint} leaves while {_DRAFTS} drafts "
            "stream",
            f"{complete} complete, {new_drafts} new drafts at the endpoint",
            complete == _DRAFTS and new_drafts == 0,
        )

    async def _check_change(self) -> CheckResult:
        started_s = self._clock.seconds()
        changed = [
            msgspec.structs.replace(declared, priority=9)
            for declared in self._system.declarations
            if isinstance(declared, objects.Work) and declared.priority >= 6
        ]
        published = await self._system.publish(list(changed))
        await self._system.wait_in_force(published.next_offset)
        took_s = self._clock.seconds() - started_s
        return CheckResult(
            "a change is published and waited for",
            f"in force everywhere after {took_s:.2f} s",
            len(published.accepted) == len(changed),
        )

    async def _gather(self, coroutines: list[Any]) -> list[Any]:
        return await defer.gatherResults(
            [defer.ensureDeferred(coroutine) for coroutine in coroutines]
        )

    def _headers(self, account: str) -> dict[str, str]:
        return {"Authorization": f"Bearer {self._system.account_keys[account]}"}

    async def _send_draft(self, number: int, tokens: int = _TOKENS) -> str:
        urls = self._system.entry_urls()
        body = {
            "model": self._scenario.model,
            "messages": [{"role": "user", "content": f"draft {number}"}],
            "stream": True,
            "max_tokens": tokens,
        }
        response = await treq.post(
            urls[number % len(urls)] + "/v1/chat/completions",
            data=msgspec.json.encode(body),
            headers=self._headers(self._scenario.draft_account),
            timeout=_TIMEOUT_S,
        )
        return (await treq.text_content(response)).strip()

    async def _send_booking(self, number: int, key: str) -> int:
        urls = self._system.entry_urls()
        body = {"item": "bag", "line": number % _BOOKINGS}
        response = await treq.post(
            urls[number // _BOOKINGS % len(urls)] + self._scenario.booking_path,
            data=msgspec.json.encode(body),
            headers={
                **self._headers(self._scenario.booking_account),
                "Idempotency-Key": f'"{key}"',
            },
            timeout=_TIMEOUT_S,
        )
        await treq.content(response)
        return response.code


async def run(reactor: Any, examples: pathlib.Path, print_line: Any) -> None:
    """Runs both scenarios and prints the results of their checks.

    Args:
        reactor: The Twisted reactor.
        examples: Folder of the example declarations.
        print_line: Prints a line.

    Raises:
        exceptions.ViolationError: A result is not the expected one.
    """
    failed = 0
    for scenario in SCENARIOS:
        print_line(f"{scenario.title}: starting")
        system = local_system.LocalSystem(reactor, examples / scenario.file)
        await system.start()
        checks = await Demo(scenario, system, reactor).run()
        system.stop()
        for check in checks:
            mark = "ok " if check.is_expected else "BAD"
            print_line(f"  {mark} {check.name:<52} {check.result}")
            failed += not check.is_expected
    if failed:
        raise exceptions.ViolationError(
            f"{failed} check(s) gave an unexpected result"
        )


async def serve(
    reactor: Any, examples: pathlib.Path, port: int, print_line: Any
) -> None:
    """Runs a local system and prints how to reach it.

    Args:
        reactor: The Twisted reactor.
        examples: Folder of the example declarations.
        port: Port of the first entry.
        print_line: Prints a line.
    """
    scenario = SCENARIOS[0]
    system = local_system.LocalSystem(reactor, examples / scenario.file, port)
    await system.start()
    print_line(f"base URL  {system.entry_urls()[0]}/v1")
    print_line(f"models    {scenario.model}")
    for account, key in system.account_keys.items():
        print_line(f"account   {account:<20} key {key}")
    print_line("Stop with Ctrl-C.")
    await defer.Deferred()
