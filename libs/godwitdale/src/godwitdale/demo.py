"""The demonstration: the main job on both example declarations."""

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
    """What is done with one declaration file.

    Attributes:
        title: Name of the users.
        file: Name of the declaration file.
        drafting: Account that asks for drafts.
        model: The model that it names.
        booking: Account that books.
        path: Where it books.
        leaving: Endpoint that leaves while drafts are streamed.
    """

    title: str
    file: str
    drafting: str
    model: str
    booking: str
    path: str
    leaving: str


SCENARIOS = (
    Scenario(
        title="Kelantan Pumice Bag Exchange",
        file="kelantan.json",
        drafting="nursery-buyers",
        model="quote-llm",
        booking="sales-desk-north",
        path="/orders",
        leaving="runner-2",
    ),
    Scenario(
        title="Kochi Polish Collective Trust",
        file="kochi.json",
        drafting="stands-kochi",
        model="malayalam-assistant",
        booking="coordinators",
        path="/dues",
        leaving="assistant-2",
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of the table at the end.

    Attributes:
        what: What was tried.
        result: What happened.
        is_good: Whether it is what should happen.
    """

    what: str
    result: str
    is_good: bool


class Demo:
    """Runs one scenario against a local system."""

    def __init__(
        self, scenario: Scenario, system: local_system.LocalSystem, clock: Any
    ) -> None:
        """Prepares.

        Args:
            scenario: What to do.
            system: A started system.
            clock: A Twisted ``IReactorTime``.
        """
        self._scenario = scenario
        self._system = system
        self._clock = clock

    async def run(self) -> list[Line]:
        """Runs all parts and returns what happened."""
        return [
            await self._drafts(),
            await self._bookings(),
            await self._refusal(),
            await self._leaving(),
            await self._change(),
        ]

    async def _drafts(self) -> Line:
        answers = await self._gather(
            [self._draft(number) for number in range(_DRAFTS)]
        )
        whole = sum(each.endswith("[DONE]") for each in answers)
        return Line(
            f"{_DRAFTS} drafts streamed",
            f"{whole} whole",
            whole == _DRAFTS,
        )

    async def _bookings(self) -> Line:
        keys = [str(uuid_utils.uuid7()) for _ in range(_BOOKINGS)]
        twice = [
            self._book(number, key) for number, key in enumerate(keys + keys)
        ]
        codes = await self._gather(twice)
        effects = sum(len(app.effects) for app in self._system.apps.values())
        answered = sum(code == 201 for code in codes)
        return Line(
            f"{_BOOKINGS} bookings, each sent twice to both entries",
            f"{effects} effects, {answered} answers 201",
            effects == _BOOKINGS and answered == 2 * _BOOKINGS,
        )

    async def _refusal(self) -> Line:
        url = self._system.entry_urls()[0] + self._scenario.path
        response = await treq.post(
            url,
            data=b"{}",
            headers=self._headers(self._scenario.booking),
            timeout=_TIMEOUT_S,
        )
        problem = msgspec.json.decode(await treq.content(response))
        return Line(
            "a booking without a key",
            f"{response.code}, {problem['verdict']}",
            response.code == 400 and problem["verdict"] == "not-run",
        )

    async def _leaving(self) -> Line:
        asked = [
            defer.ensureDeferred(self._draft(number, _TOKENS * 4))
            for number in range(_DRAFTS)
        ]
        leaver = self._system.agents[self._scenario.leaving]
        await task.deferLater(self._clock, 0.2, lambda: None)
        self._system.set_listed_state(leaver, "leaving")
        results = await defer.gatherResults(asked)
        whole = sum(each.endswith("[DONE]") for each in results)
        await task.deferLater(self._clock, 0.5, lambda: None)
        engine = self._system.engines[self._scenario.leaving]
        before = len(engine.answered)
        await self._gather([self._draft(n) for n in range(_DRAFTS)])
        after = len(engine.answered) - before
        self._system.set_listed_state(leaver, "live")
        return Line(
            f"{self._scenario.leaving} leaves while {_DRAFTS} drafts stream",
            f"{whole} whole, {after} new ones at the leaver",
            whole == _DRAFTS and after == 0,
        )

    async def _change(self) -> Line:
        started_s = self._clock.seconds()
        changed = [
            msgspec.structs.replace(each, priority=9)
            for each in self._system.declarations
            if isinstance(each, objects.Work) and each.priority >= 6
        ]
        published = await self._system.publish(list(changed))
        await self._system.wait_in_force(published.next_offset)
        took_s = self._clock.seconds() - started_s
        return Line(
            "a change is published and waited for",
            f"in force everywhere after {took_s:.2f} s",
            len(published.accepted) == len(changed),
        )

    async def _gather(self, coroutines: list[Any]) -> list[Any]:
        return await defer.gatherResults(
            [defer.ensureDeferred(each) for each in coroutines]
        )

    def _headers(self, account: str) -> dict[str, str]:
        return {"Authorization": f"Bearer {self._system.account_keys[account]}"}

    async def _draft(self, number: int, tokens: int = _TOKENS) -> str:
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
            headers=self._headers(self._scenario.drafting),
            timeout=_TIMEOUT_S,
        )
        return (await treq.text_content(response)).strip()

    async def _book(self, number: int, key: str) -> int:
        urls = self._system.entry_urls()
        body = {"item": "bag", "line": number % _BOOKINGS}
        response = await treq.post(
            urls[number // _BOOKINGS % len(urls)] + self._scenario.path,
            data=msgspec.json.encode(body),
            headers={
                **self._headers(self._scenario.booking),
                "Idempotency-Key": f'"{key}"',
            },
            timeout=_TIMEOUT_S,
        )
        await treq.content(response)
        return response.code


async def run(reactor: Any, examples: pathlib.Path, say: Any) -> None:
    """Runs both scenarios and prints what happened.

    Args:
        reactor: The Twisted reactor.
        examples: Folder of the example declarations.
        say: Prints a line.

    Raises:
        exceptions.ViolationError: Something happened that must not.
    """
    bad = 0
    for scenario in SCENARIOS:
        say(f"{scenario.title}: starting")
        system = local_system.LocalSystem(reactor, examples / scenario.file)
        await system.start()
        lines = await Demo(scenario, system, reactor).run()
        system.stop()
        for line in lines:
            mark = "ok " if line.is_good else "BAD"
            say(f"  {mark} {line.what:<52} {line.result}")
            bad += not line.is_good
    if bad:
        raise exceptions.ViolationError(f"{bad} line(s) are not as they should")


async def serve(
    reactor: Any, examples: pathlib.Path, port: int, say: Any
) -> None:
    """Keeps a local system running and tells how to reach it.

    Args:
        reactor: The Twisted reactor.
        examples: Folder of the example declarations.
        port: Port of the first entry.
        say: Prints a line.
    """
    scenario = SCENARIOS[0]
    system = local_system.LocalSystem(reactor, examples / scenario.file, port)
    await system.start()
    say(f"base URL  {system.entry_urls()[0]}/v1")
    say(f"models    {scenario.model}")
    for account, key in system.account_keys.items():
        say(f"account   {account:<20} key {key}")
    say("Stop with Ctrl-C.")
    await defer.Deferred()
