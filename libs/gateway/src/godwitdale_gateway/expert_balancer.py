"""Balances the experts of each group over its ranks as demand requires.

The oldest entry owns the expert maps. While a service is busy, the owner reads
how often the requests of one rank of a group have chosen each expert, plans
replicas of the experts in demand, and changes the map of the group if the new
map takes enough load off the most loaded rank. Two entries that both consider
themselves the owner do no harm: the fencing tokens of the later owner shut out
the earlier one.

A change holds a group for a short time: the group starts no iteration until it
is released. Every entry watches for groups in which no iteration ends any more,
and frees them: it takes over or reverts the unfinished change and releases the
group. A group thus does not stay held after the entry that held it is gone.
"""

import collections
from collections.abc import Mapping
import random
from typing import Any
from typing import Protocol

from twisted.internet import defer
from twisted.internet import task
from twisted.python import failure

from godwitdale_experts import map_change
from godwitdale_experts import replication
from godwitdale_gateway import directory
from godwitdale_gateway import groups
from godwitdale_gateway import map_changer
from godwitdale_gateway import ranks as ranks_lib
from godwitdale_observe import logs
from godwitdale_routing import routes
from godwitdale_verdicts import exceptions

# Interval at which demand is read while a service is busy. Demand changes
# within seconds.
_BALANCE_INTERVAL_S = 1.0
# A service is busy if an iteration takes more than this share of the longest
# inter-event gap that is on time. Below it, even a very uneven load makes no
# answer late. Far above it, the copying of experts would make streams late by
# itself, because iterations take 15 percent longer while experts are copied.
_BUSY_ITERATION_RATIO = 0.6
# Above this ratio a rank may have become slow, so that all reports are read
# again.
_LATE_ITERATION_RATIO = 1.0
# A change has to reduce the skew of a group by this share. The skew is the time
# of the most loaded rank over the time of an even load, as a mean over the sets
# of layers. With a lower gain, the change costs more than it gains, because
# copying slows all iterations down for a second or two.
_MIN_GAIN = 0.2
# A group may be held if streams wait and no iteration has ended for this long
# and for this many times the estimated iteration time. The entries check one
# after the other, so that one of them has freed the group before the next one
# checks.
_STALL_TIMEOUT_S = 0.8
_STALL_TIMEOUT_ITERATIONS = 6
_STALL_STAGGER_S = 1.2
# The same limits for a group with a change that an entry has announced and not
# finished. Entries that take the change over at the same time do each other no
# harm.
_TAKEOVER_TIMEOUT_S = 0.25
_TAKEOVER_TIMEOUT_ITERATIONS = 3
_TAKEOVER_STAGGER_S = 0.3
_WATCH_INTERVAL_S = 0.1
# A takeover is lost if other entries already use higher fencing tokens for the
# change. A lost takeover is repeated, because those entries may miss results of
# their commands and fail, too. After this many losses it is not repeated any
# more: further attempts would only repeat outdated fencing tokens.
_MAX_LOSSES = 3
# Number of lost takeovers that are remembered, of all changes together.
_MAX_REMEMBERED_LOSSES = 16
# Delay after a change that did not take effect, for each consecutive failure,
# and delay after another entry has shown that it is the owner.
_FAILURE_BACKOFF_S = 3.0
_LOST_OWNERSHIP_BACKOFF_S = 3.0


class LoadMonitor(Protocol):
    """Load of each service, as the scheduler observes it."""

    def stalled_s(self, service: str) -> float:
        """Returns for how long streams have waited for any event."""

    def iteration_s(self, service: str) -> float:
        """Returns the current iteration time, or 0 if it is unknown."""

    def iteration_ratio(self, service: str) -> float:
        """Returns iteration time over the longest gap that is on time.

        Of the groups of the service, the one with the highest ratio counts.
        """

    def group_iteration_ratio(self, endpoint: directory.Endpoint) -> float:
        """Returns the iteration ratio of the group of an endpoint."""


class ExpertBalancer:
    """Changes expert maps as demand requires, and frees groups left held."""

    def __init__(
        self,
        rank_client: ranks_lib.RankClient,
        group_reader: groups.GroupReader,
        changer: map_changer.MapChanger,
        peers: map_changer.PeerEntries,
        load: LoadMonitor,
        reactor: Any,
        rng: random.Random,
        log: logs.EventLog,
    ) -> None:
        """Creates a balancer; ``run`` and ``watch`` start its tasks.

        Args:
            rank_client: Reads from the ranks.
            group_reader: Reads the status of groups.
            changer: Changes the maps of groups.
            peers: The other entries.
            load: Load of each service.
            reactor: The Twisted reactor.
            rng: Picks the rank whose counts are read.
            log: The event log.
        """
        self._rank_client = rank_client
        self._group_reader = group_reader
        self._map_changer = changer
        self._peers = peers
        self._load = load
        self._reactor = reactor
        self._rng = rng
        self._log = log
        self._layouts: dict[str, routes.ExpertLayout] = {}
        self._groups: dict[str, dict[str, groups.GroupState]] = {}
        self._refreshed_ids: dict[str, frozenset[str]] = {}
        # Groups that are being balanced, by service and name.
        self._tasks: dict[tuple[str, str], defer.Deferred[None]] = {}
        self._task_failure: failure.Failure | None = None
        # Versions of changes for which another entry used a higher fencing
        # token, one item for each lost takeover.
        self._lost_versions: collections.deque[int] = collections.deque(
            maxlen=_MAX_REMEMBERED_LOSSES
        )
        self._backoff_until_s = 0.0
        self._is_stopped = False

    def configure(self, engines: Mapping[str, routes.Engine]) -> None:
        """Applies the declared properties of the engines.

        Args:
            engines: By name of the service.
        """
        self._layouts = {
            name: engine.layout
            for name, engine in engines.items()
            if engine.layout is not None
        }

    def stop(self) -> None:
        """Starts no further change; a change in progress continues."""
        self._is_stopped = True

    async def run(self) -> None:
        """Balances experts until the balancer is stopped."""
        while not self._is_stopped:
            await task.deferLater(self._reactor, _BALANCE_INTERVAL_S)
            if self._task_failure is not None:
                unexpected, self._task_failure = self._task_failure, None
                unexpected.raiseException()
            if not self._is_owner():
                # Another entry may change the maps in the meantime.
                self._groups.clear()
                self._refreshed_ids.clear()
                continue
            for service, layout in list(self._layouts.items()):
                if self._load.iteration_ratio(service) > _BUSY_ITERATION_RATIO:
                    await self._balance_service(service, layout)

    async def watch(self) -> None:
        """Until the balancer is stopped, frees groups that were left held."""
        while not self._is_stopped:
            await task.deferLater(self._reactor, _WATCH_INTERVAL_S)
            for service, layout in list(self._layouts.items()):
                try:
                    await self._free_stalled_groups(service, layout)
                except exceptions.PlatformUnavailableError as error:
                    self._log.warning(
                        "experts_not_freed", service=service, detail=str(error)
                    )

    def _is_owner(self) -> bool:
        now_s = self._reactor.seconds()
        is_backing_off = now_s < self._backoff_until_s
        return self._peers.is_oldest and not is_backing_off

    async def _free_stalled_groups(
        self, service: str, layout: routes.ExpertLayout
    ) -> None:
        stalled_s = self._load.stalled_s(service)
        if stalled_s <= _TAKEOVER_TIMEOUT_S:
            return  # Nearly always the case.
        iteration_s = self._load.iteration_s(service)
        seniority = self._peers.seniority
        for notice in self._peers.announced_changes():
            timeout_s = max(
                _TAKEOVER_TIMEOUT_S, _TAKEOVER_TIMEOUT_ITERATIONS * iteration_s
            )
            version = notice.plan.version
            is_lost = self._lost_versions.count(version) >= _MAX_LOSSES
            if notice.service != service or is_lost:
                continue
            if stalled_s > timeout_s + seniority * _TAKEOVER_STAGGER_S:
                members = self._group_reader.endpoints(service)
                final_phase = await self._map_changer.take_over(notice, members)
                if final_phase is map_change.Phase.LOST:
                    self._lost_versions.append(version)
                await task.deferLater(self._reactor, _TAKEOVER_STAGGER_S)
                return
        timeout_s = max(
            _STALL_TIMEOUT_S, _STALL_TIMEOUT_ITERATIONS * iteration_s
        )
        if stalled_s > timeout_s + seniority * _STALL_STAGGER_S:
            for status in await self._group_reader.read(service):
                if status.halt_step is not None:
                    await self._map_changer.recover(service, status, layout)
            await task.deferLater(self._reactor, _STALL_STAGGER_S)

    async def _balance_service(
        self, service: str, layout: routes.ExpertLayout
    ) -> None:
        try:
            is_late = (
                self._load.iteration_ratio(service) > _LATE_ITERATION_RATIO
            )
            if is_late or self._refreshed_ids.get(
                service
            ) != self._endpoint_ids(service):
                await self._refresh_groups(service, layout)
        except exceptions.PlatformUnavailableError as error:
            self._on_unread(service, error)
            return
        for group in self._groups.get(service, {}).values():
            if self._group_ratio(group) > _BUSY_ITERATION_RATIO:
                self._start_task(service, group, layout)

    def _start_task(
        self,
        service: str,
        group: groups.GroupState,
        layout: routes.ExpertLayout,
    ) -> None:
        """Starts to balance a group, unless that is still in progress.

        A change takes seconds. Groups do not wait for each other, because the
        experts in demand change within that time.
        """
        key = (service, group.status.name)
        if key in self._tasks:
            return
        balancing = defer.ensureDeferred(
            self._balance_group(service, group, layout)
        )
        self._tasks[key] = balancing
        balancing.addBoth(self._on_task_end, key)

    def _on_task_end(self, result: Any, key: tuple[str, str]) -> None:
        self._tasks.pop(key, None)
        if not isinstance(result, failure.Failure):
            return
        error = result.value
        if isinstance(error, exceptions.PlatformUnavailableError):
            self._on_unread(key[0], error)
        else:
            self._task_failure = result

    def _on_unread(
        self, service: str, error: exceptions.PlatformUnavailableError
    ) -> None:
        self._refreshed_ids.pop(service, None)
        self._log.info("experts_unread", service=service, detail=str(error))

    def _group_ratio(self, group: groups.GroupState) -> float:
        return self._load.group_iteration_ratio(group.sampled_endpoint)

    def _endpoint_ids(self, service: str) -> frozenset[str]:
        return frozenset(
            each.id for each in self._group_reader.endpoints(service)
        )

    async def _refresh_groups(
        self, service: str, layout: routes.ExpertLayout
    ) -> None:
        """Reads the status of all groups of a service."""
        ids = self._endpoint_ids(service)
        statuses = await self._group_reader.read(service)
        known = self._groups.get(service, {})
        self._groups[service] = {
            status.name: _update_known_group(known.get(status.name), status)
            or groups.GroupState(
                status, layout, self._rng.choice(status.members)
            )
            for status in statuses
        }
        if sum(len(status.members) for status in statuses) == len(ids):
            self._refreshed_ids[service] = ids

    async def _balance_group(
        self,
        service: str,
        group: groups.GroupState,
        layout: routes.ExpertLayout,
    ) -> None:
        if group.status.halt_step is not None:
            # A change by another entry is about to take effect, or an
            # abandoned change has left the group held or its ranks armed.
            self._refreshed_ids.pop(service, None)
            return
        sample = await self._rank_client.read_counts(group.sampled_endpoint)
        if sample.epoch != group.status.epoch:
            self._refreshed_ids.pop(service, None)
            return
        now_s = self._reactor.seconds()
        loads = group.demand.observe(
            group.sampled_endpoint.id, sample.counts, now_s
        )
        if loads is None or now_s < group.backoff_until_s:
            return
        if group.expert_map is None:
            await self._read_map(group)
        new_map = await self._plan_map(service, group, loads, layout)
        if new_map is None or not self._is_owner() or self._is_stopped:
            return
        final_phase = await self._map_changer.change(
            service, group, new_map, layout, self._load.iteration_s(service)
        )
        self._on_change_end(service, group, new_map, final_phase)

    def _on_change_end(
        self,
        service: str,
        group: groups.GroupState,
        new_map: ranks_lib.ExpertMap,
        final_phase: map_change.Phase,
    ) -> None:
        now_s = self._reactor.seconds()
        if final_phase is map_change.Phase.CHANGED:
            group.expert_map = new_map
            group.consecutive_failures = 0
            return
        group.consecutive_failures += 1
        group.backoff_until_s = (
            now_s + _FAILURE_BACKOFF_S * group.consecutive_failures
        )
        group.expert_map = None
        self._refreshed_ids.pop(service, None)
        if final_phase is map_change.Phase.LOST:
            self._backoff_until_s = now_s + _LOST_OWNERSHIP_BACKOFF_S

    async def _read_map(self, group: groups.GroupState) -> None:
        held_experts = await groups.gather(
            self._rank_client.read_experts(each)
            for each in group.status.members
        )
        if len({(each.epoch, each.version) for each in held_experts}) > 1:
            raise exceptions.PlatformUnavailableError(
                "the ranks of a group report different maps"
            )
        group.expert_map = tuple(
            zip(*(each.experts for each in held_experts), strict=True)
        )

    async def _plan_map(
        self,
        service: str,
        group: groups.GroupState,
        loads: list[list[float]],
        layout: routes.ExpertLayout,
    ) -> ranks_lib.ExpertMap | None:
        """Returns a new map, or None if a change would gain too little."""
        assert group.expert_map is not None
        slowdowns = group.status.slowdowns
        capacity = replication.RankCapacity(
            layout.replica_slots, layout.max_new
        )
        new_map = []
        copy_count = 0
        for rank_experts, load in zip(group.expert_map, loads, strict=True):
            planner = replication.Planner(
                rank_experts, load, slowdowns, capacity
            )
            while planner.make_move():
                # Lets the reactor forward requests between two moves.
                await task.deferLater(self._reactor, 0)
            new_map.append(planner.rank_experts())
            copy_count += planner.replicas_to_copy
        old_skew = replication.skew(group.expert_map, loads, slowdowns)
        new_skew = replication.skew(new_map, loads, slowdowns)
        is_worthwhile = new_skew < old_skew * (1 - _MIN_GAIN)
        self._log.info(
            "experts_planned",
            service=service,
            group=group.status.name,
            strain=round(self._group_ratio(group), 2),
            skew=round(old_skew, 2),
            planned_skew=round(new_skew, 2),
            copies=copy_count,
            is_worth=is_worthwhile,
        )
        return tuple(new_map) if is_worthwhile else None


def _update_known_group(
    known: groups.GroupState | None, status: groups.GroupStatus
) -> groups.GroupState | None:
    """Updates a known group, or returns None if it is another incarnation."""
    if known is None or not known.status.is_same_incarnation(status):
        return None
    known.status = status
    return known
