"""Which instances there are, by the platform's lagging list."""

import contextlib
import random
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from godwitdale_platform import instances as instances_lib
from godwitdale_verdicts import exceptions

_JITTER = 0.2


class Membership:
    """Keeps the last list that the platform gave.

    An outage of the list keeps the last one in force: links and agents tell
    sooner than the list who is gone.

    Attributes:
        agents: Instances of agents by endpoint.
        entries: Names of the entries.
    """

    def __init__(
        self,
        source: instances_lib.HttpInstanceList,
        clock: Any,
        rng: random.Random,
        poll_s: float,
    ) -> None:
        """Starts with an empty list.

        Args:
            source: The platform's list.
            clock: A Twisted ``IReactorTime``.
            rng: Source of jitter.
            poll_s: Time between looks at the list.
        """
        self.agents: dict[str, instances_lib.Instance] = {}
        self.entries: list[str] = []
        self._source = source
        self._clock = clock
        self._rng = rng
        self._poll_s = poll_s
        self._leaving: set[str] = set()
        self._stopped = False

    def is_leaving(self, instance: str) -> bool:
        """Tells whether the platform is about to stop an instance."""
        return instance in self._leaving

    def take(self, listed: list[instances_lib.Instance]) -> None:
        """Takes over a list."""
        agents: dict[str, instances_lib.Instance] = {}
        for each in listed:
            known = agents.get(each.endpoint)
            is_better = known is None or known.state == "leaving"
            if each.role == "agent" and is_better:
                agents[each.endpoint] = each
        self.agents = agents
        self.entries = [each.name for each in listed if each.role == "entry"]
        self._leaving = {
            each.name for each in listed if each.state == "leaving"
        }

    async def run(self) -> None:
        """Polls the list until ``stop``."""
        while not self._stopped:
            with contextlib.suppress(exceptions.PlatformUnavailableError):
                self.take(await self._source.fetch())
            await self._sleep()

    def stop(self) -> None:
        """Ends ``run`` after the poll that is under way."""
        self._stopped = True

    def _sleep(self) -> defer.Deferred[None]:
        spread = self._rng.uniform(1 - _JITTER, 1 + _JITTER)
        return task.deferLater(self._clock, self._poll_s * spread, lambda: None)
