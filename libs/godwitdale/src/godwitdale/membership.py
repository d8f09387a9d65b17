"""Instances of the system according to the platform's instance list."""

import contextlib
import random
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from godwitdale_platform import instances as instances_lib
from godwitdale_verdicts import exceptions

_POLL_JITTER = 0.2


class Membership:
    """The most recent instance list of the platform.

    While the list cannot be fetched, the last one stays in use, because links
    and agents reveal a lost instance earlier than the list does.

    Attributes:
        agents: Instances of the agents by endpoint.
        entries: Names of the entries.
    """

    def __init__(
        self,
        source: instances_lib.HttpInstanceList,
        clock: Any,
        rng: random.Random,
        poll_s: float,
    ) -> None:
        """Creates a membership without instances.

        Args:
            source: Client of the platform's instance list.
            clock: A Twisted ``IReactorTime``.
            rng: Source of jitter.
            poll_s: Mean time between two requests for the list.
        """
        self.agents: dict[str, instances_lib.Instance] = {}
        self.entries: list[str] = []
        self._source = source
        self._clock = clock
        self._rng = rng
        self._poll_s = poll_s
        self._leaving: set[str] = set()
        self._is_stopped = False

    def is_leaving(self, instance: str) -> bool:
        """Returns whether the platform is about to stop an instance."""
        return instance in self._leaving

    def update(self, instances: list[instances_lib.Instance]) -> None:
        """Replaces the instance list.

        If an endpoint has several agents, an agent that is not about to stop
        is preferred.
        """
        agents: dict[str, instances_lib.Instance] = {}
        for each in instances:
            listed_agent = agents.get(each.endpoint)
            is_preferred = (
                listed_agent is None or listed_agent.state == "leaving"
            )
            if each.role == "agent" and is_preferred:
                agents[each.endpoint] = each
        self.agents = agents
        self.entries = [each.name for each in instances if each.role == "entry"]
        self._leaving = {
            each.name for each in instances if each.state == "leaving"
        }

    async def run(self) -> None:
        """Polls the list until ``stop`` is called."""
        while not self._is_stopped:
            with contextlib.suppress(exceptions.PlatformUnavailableError):
                self.update(await self._source.fetch())
            await self._sleep()

    def stop(self) -> None:
        """Makes ``run`` return after the poll in progress."""
        self._is_stopped = True

    def _sleep(self) -> defer.Deferred[None]:
        jitter = self._rng.uniform(1 - _POLL_JITTER, 1 + _POLL_JITTER)
        return task.deferLater(self._clock, self._poll_s * jitter, lambda: None)
