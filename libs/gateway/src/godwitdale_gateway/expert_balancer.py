"""Keeps the experts of each group where the load asks for them.

The oldest entry has the duty. While a service is busy it reads the counts of
one rank, plans replicas of the experts in demand, and changes the map of a
group when that takes enough off its most loaded rank. Two entries that both
believe to have the duty do no harm: the fencing numbers of the later claim shut
out the earlier one.

Every entry watches over groups in which no pass ends any more, so that a group
does not stay held when the entry that held it is gone.
"""

import collections
from collections.abc import Mapping
import random
from typing import Any
from typing import Protocol

from twisted.internet import task

from godwitdale_experts import map_change
from godwitdale_experts import replication
from godwitdale_gateway import groups
from godwitdale_gateway import map_changer
from godwitdale_gateway import ranks as ranks_lib
from godwitdale_observe import logs
from godwitdale_routing import routes
from godwitdale_verdicts import exceptions

# How often demand is read while a service is busy: what is in demand changes
# within seconds.
_PERIOD_S = 1.0
# A service is busy where a pass takes this share of the longest pause that is
# on time. Below it even a very uneven load makes no answer late; far above it
# copies, which make passes 15 in 100 longer, make streams late themselves.
_BUSY_STRAIN = 0.6
# Where it takes this share, a rank may have turned slow; all are looked at.
_LATE_STRAIN = 1.0
# A change has to take this share off the time of the most loaded ranks: below
# it, copies that slow all passes down for a second or two cost more.
_LEAST_GAIN = 0.2
# A group in which no pass has ended for this long, and for this many times its
# usual pass, while streams wait may be held. The entries look one after the
# other, and one has freed the group before the next one's turn.
_STALLED_S = 0.8
_STALLED_PASSES = 6
_STALLED_STEP_S = 1.2
# The same where an entry has announced a change that has not come to its end.
# Entries that take it over at once do each other no harm.
_CHANGING_S = 0.25
_CHANGING_PASSES = 3
_CHANGING_STEP_S = 0.3
_WATCH_S = 0.1
# Times that a change is taken over again which other entries are ahead with:
# they may lose answers. More often would be to insist on old numbers.
_MOST_LOSSES = 3
_MOST_REMEMBERED = 16
# After a change that did not come about, and after another entry has shown
# that it has the duty.
_REST_S = 3.0
_STAND_DOWN_S = 3.0


class Load(Protocol):
    """What the placing of requests knows of a service."""

    def stalled_s(self, service: str) -> float:
        """Returns for how long streams have waited for a pass to end."""

    def iteration_s(self, service: str) -> float:
        """Returns how long a pass takes at present, or 0."""

    def iteration_ratio(self, service: str) -> float:
        """Returns the time of a pass over the longest that is on time."""


class ExpertBalancer:
    """The task that moves experts."""

    def __init__(
        self,
        rank_client: ranks_lib.RankClient,
        group_reader: groups.GroupReader,
        changer: map_changer.MapChanger,
        entries: map_changer.PeerEntries,
        load: Load,
        reactor: Any,
        rng: random.Random,
        log: logs.EventLog,
    ) -> None:
        """Prepares; nothing is sent yet.

        Args:
            rank_client: Speaks to the ranks.
            group_reader: Looks at groups.
            changer: Changes their maps.
            entries: The other entries.
            load: What the placing of requests knows.
            reactor: The Twisted reactor.
            rng: Picks the rank whose counts are read.
            log: The log of decisions.
        """
        self._rank_client = rank_client
        self._group_reader = group_reader
        self._map_changer = changer
        self._entries = entries
        self._load = load
        self._reactor = reactor
        self._rng = rng
        self._log = log
        self._layouts: dict[str, routes.ExpertLayout] = {}
        self._groups: dict[str, dict[str, groups.GroupState]] = {}
        self._looked_at: dict[str, frozenset[str]] = {}
        # Changes on which another entry has used a higher fencing number.
        self._lost: collections.deque[int] = collections.deque(
            maxlen=_MOST_REMEMBERED
        )
        self._backoff_until_s = 0.0
        self._is_stopped = False

    def configure(self, engines: Mapping[str, routes.Engine]) -> None:
        """Takes over what is declared of the engines.

        Args:
            engines: By name of the service.
        """
        self._layouts = {
            name: engine.layout
            for name, engine in engines.items()
            if engine.layout is not None
        }

    def stop(self) -> None:
        """Begins no further change; one that holds a group is ended."""
        self._is_stopped = True

    async def run(self) -> None:
        """Moves experts until it is stopped."""
        while not self._is_stopped:
            await task.deferLater(self._reactor, _PERIOD_S)
            if not self._has_duty():
                # Another entry may change maps meanwhile.
                self._groups.clear()
                self._looked_at.clear()
                continue
            for service, layout in list(self._layouts.items()):
                if self._load.iteration_ratio(service) > _BUSY_STRAIN:
                    await self._tend(service, layout)

    async def watch(self) -> None:
        """Frees groups that were left held, until it is stopped."""
        while not self._is_stopped:
            await task.deferLater(self._reactor, _WATCH_S)
            for service, layout in list(self._layouts.items()):
                try:
                    await self._watch(service, layout)
                except exceptions.PlatformUnavailableError as failed:
                    self._log.warning(
                        "experts_not_freed", service=service, detail=str(failed)
                    )

    def _has_duty(self) -> bool:
        now_s = self._reactor.seconds()
        is_resting = now_s < self._backoff_until_s
        return self._entries.is_oldest and not is_resting

    async def _watch(self, service: str, layout: routes.ExpertLayout) -> None:
        stalled_s = self._load.stalled_s(service)
        if stalled_s <= _CHANGING_S:
            return  # As nearly always.
        iteration_s = self._load.iteration_s(service)
        place = self._entries.seniority
        for announced in self._entries.announced_changes():
            patience_s = max(_CHANGING_S, _CHANGING_PASSES * iteration_s)
            version = announced.plan.version
            has_lost = self._lost.count(version) >= _MOST_LOSSES
            if announced.service != service or has_lost:
                continue
            if stalled_s > patience_s + place * _CHANGING_STEP_S:
                members = self._group_reader.endpoints(service)
                ended = await self._map_changer.take_over(announced, members)
                if ended is map_change.Phase.LOST:
                    self._lost.append(version)
                await task.deferLater(self._reactor, _CHANGING_STEP_S)
                return
        patience_s = max(_STALLED_S, _STALLED_PASSES * iteration_s)
        if stalled_s > patience_s + place * _STALLED_STEP_S:
            for seen in await self._group_reader.read(service):
                if seen.halt_step is not None:
                    await self._map_changer.recover(service, seen, layout)
            await task.deferLater(self._reactor, _STALLED_STEP_S)

    async def _tend(self, service: str, layout: routes.ExpertLayout) -> None:
        try:
            is_late = self._load.iteration_ratio(service) > _LATE_STRAIN
            if is_late or self._looked_at.get(service) != self._ids(service):
                await self._meet(service, layout)
            for group in list(self._groups.get(service, {}).values()):
                await self._tend_group(service, group, layout)
        except exceptions.PlatformUnavailableError as failed:
            self._looked_at.pop(service, None)
            self._log.info(
                "experts_unread", service=service, detail=str(failed)
            )

    def _ids(self, service: str) -> frozenset[str]:
        return frozenset(
            each.id for each in self._group_reader.endpoints(service)
        )

    async def _meet(self, service: str, layout: routes.ExpertLayout) -> None:
        """Looks at all groups of a service."""
        ids = self._ids(service)
        seen = await self._group_reader.read(service)
        known = self._groups.get(service, {})
        self._groups[service] = {
            each.name: _same_life(known.get(each.name), each)
            or groups.GroupState(each, layout, self._rng.choice(each.members))
            for each in seen
        }
        if sum(len(each.members) for each in seen) == len(ids):
            self._looked_at[service] = ids

    async def _tend_group(
        self,
        service: str,
        group: groups.GroupState,
        layout: routes.ExpertLayout,
    ) -> None:
        if group.status.halt_step is not None:
            # Another entry's change is about to take effect.
            self._looked_at.pop(service, None)
            return
        counts = await self._rank_client.read_counts(group.sampled_endpoint)
        if counts.epoch != group.status.epoch:
            self._looked_at.pop(service, None)
            return
        now_s = self._reactor.seconds()
        loads = group.demand.observe(
            group.sampled_endpoint.id, counts.counts, now_s
        )
        if loads is None or now_s < group.backoff_until_s:
            return
        if group.expert_map is None:
            await self._read_map(group)
        planned = await self._plan(service, group, loads, layout)
        if planned is None or not self._has_duty() or self._is_stopped:
            return
        ended = await self._map_changer.change(
            service, group, planned, layout, self._load.iteration_s(service)
        )
        self._take_end(service, group, planned, ended)

    def _take_end(
        self,
        service: str,
        group: groups.GroupState,
        planned: ranks_lib.ExpertMap,
        ended: map_change.Phase,
    ) -> None:
        now_s = self._reactor.seconds()
        if ended is map_change.Phase.CHANGED:
            group.expert_map = planned
            group.consecutive_failures = 0
            return
        group.consecutive_failures += 1
        group.backoff_until_s = now_s + _REST_S * group.consecutive_failures
        group.expert_map = None
        self._looked_at.pop(service, None)
        if ended is map_change.Phase.LOST:
            self._backoff_until_s = now_s + _STAND_DOWN_S

    async def _read_map(self, group: groups.GroupState) -> None:
        held = await groups.gather(
            self._rank_client.read_experts(each)
            for each in group.status.members
        )
        if len({(each.epoch, each.version) for each in held}) > 1:
            raise exceptions.PlatformUnavailableError(
                "the ranks of a group tell of different maps"
            )
        group.expert_map = tuple(
            zip(*(each.experts for each in held), strict=True)
        )

    async def _plan(
        self,
        service: str,
        group: groups.GroupState,
        loads: list[list[float]],
        layout: routes.ExpertLayout,
    ) -> ranks_lib.ExpertMap | None:
        """Returns a map that is worth the change, or None."""
        assert group.expert_map is not None
        paces = group.status.slowdowns
        room = replication.RankCapacity(layout.replica_slots, layout.max_new)
        planned = []
        copies = 0
        for holders, load in zip(group.expert_map, loads, strict=True):
            planner = replication.Planner(holders, load, paces, room)
            while planner.make_move():
                # Requests are forwarded between two moves.
                await task.deferLater(self._reactor, 0)
            planned.append(planner.rank_experts())
            copies += planner.replicas_to_copy
        before = replication.skew(group.expert_map, loads, paces)
        after = replication.skew(planned, loads, paces)
        is_worth = after < before * (1 - _LEAST_GAIN)
        self._log.info(
            "experts_planned",
            service=service,
            group=group.status.name,
            strain=round(self._load.iteration_ratio(service), 2),
            skew=round(before, 2),
            planned_skew=round(after, 2),
            copies=copies,
            is_worth=is_worth,
        )
        return tuple(planned) if is_worth else None


def _same_life(
    known: groups.GroupState | None, seen: groups.GroupStatus
) -> groups.GroupState | None:
    if known is None or not known.status.is_same_incarnation(seen):
        return None
    known.status = seen
    return known
