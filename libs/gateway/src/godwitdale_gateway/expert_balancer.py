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
from collections.abc import Coroutine
from collections.abc import Mapping
import math
import random
from typing import Any
from typing import Protocol

from twisted.internet import defer
from twisted.internet import task
from twisted.python import failure

from godwitdale_experts import balanced_plan
from godwitdale_experts import change_policy
from godwitdale_experts import map_change
from godwitdale_experts import replication
from godwitdale_gateway import directory
from godwitdale_gateway import groups
from godwitdale_gateway import map_changer
from godwitdale_gateway import ranks as ranks_lib
from godwitdale_observe import logs
from godwitdale_routing import routes
from godwitdale_verdicts import exceptions

# Interval at which the schedules of the groups are looked at.
_TICK_S = 0.125
# Work on a plan, in evaluated moves, after which the reactor may do other work.
_EVALUATIONS_PER_SLICE = 100
# Reports are read again at most this often, while a rank may have become slow
# and otherwise.
_LATE_REFRESH_INTERVAL_S = 1.0
_REFRESH_INTERVAL_S = 0.5
# Above this ratio a rank may have become slow, so that all reports are read
# again.
_LATE_ITERATION_RATIO = 1.0
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
# Delay after another entry has shown that it is the owner.
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
        # Groups that are being read or changed, by service and name.
        self._tasks: dict[tuple[str, str], defer.Deferred[None]] = {}
        self._changes: dict[tuple[str, str], defer.Deferred[None]] = {}
        # When demand is to be read, and when reports were last read.
        self._due_s: dict[str, float] = {}
        self._refreshed_s: dict[str, float] = {}
        self._strains: dict[str, change_policy.ExpectedStrain] = {}
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
            await task.deferLater(self._reactor, _TICK_S)
            if self._task_failure is not None:
                unexpected, self._task_failure = self._task_failure, None
                unexpected.raiseException()
            if not self._is_owner():
                # Another entry may change the maps in the meantime.
                self._groups.clear()
                self._refreshed_ids.clear()
                continue
            for service, layout in list(self._layouts.items()):
                await self._look_at(service, layout)

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

    async def _look_at(self, service: str, layout: routes.ExpertLayout) -> None:
        """Balances a service if that is due and the service is under load."""
        schedule = change_policy.schedule(layout.longest_copy_s)
        now_s = self._reactor.seconds()
        due_s = self._due_s.setdefault(
            service, now_s + schedule.interval_s - _TICK_S
        )
        if now_s < due_s - _TICK_S / 2:
            return
        strain = self._load.iteration_ratio(service)
        if schedule.is_quick:
            expected_strain = self._strains.setdefault(
                service, change_policy.ExpectedStrain()
            )
            strain = expected_strain.observe(strain, now_s)
        if strain > schedule.busy_strain:
            await self._balance_service(service, layout)
        self._due_s[service] = self._reactor.seconds() + schedule.interval_s

    async def _balance_service(
        self, service: str, layout: routes.ExpertLayout
    ) -> None:
        try:
            if self._needs_refresh(service):
                await self._refresh_groups(service, layout)
        except exceptions.PlatformUnavailableError as error:
            self._on_unread(service, error)
            return
        now_s = self._reactor.seconds()
        for group in self._groups.get(service, {}).values():
            strain = self._group_ratio(group)
            if group.schedule.is_quick:
                strain = group.strain.observe(strain, now_s)
            is_due = now_s >= group.reading_due_s - _TICK_S / 2
            if is_due and strain > group.schedule.busy_strain:
                self._start_reading(service, group, layout)

    def _needs_refresh(self, service: str) -> bool:
        refreshed_s = self._refreshed_s.get(service, -math.inf)
        since_s = self._reactor.seconds() - refreshed_s + _TICK_S / 2
        if self._refreshed_ids.get(service) != self._endpoint_ids(service):
            return since_s >= _REFRESH_INTERVAL_S
        is_late = self._load.iteration_ratio(service) > _LATE_ITERATION_RATIO
        return is_late and since_s >= _LATE_REFRESH_INTERVAL_S

    def _start_reading(
        self,
        service: str,
        group: groups.GroupState,
        layout: routes.ExpertLayout,
    ) -> None:
        """Starts to read the demand of a group, and then to follow it.

        A change takes seconds. Groups do not wait for each other, because the
        experts in demand change within that time. Where each demand is
        followed, it is also read during a change, so that it is known
        afterwards.
        """
        key = (service, group.status.name)
        is_changing = key in self._changes
        if key in self._tasks or (is_changing and not group.schedule.is_quick):
            return
        interval_s = change_policy.reading_interval_s(
            group.schedule, group.strain
        )
        group.reading_due_s = self._reactor.seconds() + interval_s
        self._start_task(
            self._tasks, key, self._read_demand(service, group, layout)
        )

    def _start_task(
        self,
        tasks: dict[tuple[str, str], defer.Deferred[None]],
        key: tuple[str, str],
        coroutine: Coroutine[Any, Any, None],
    ) -> None:
        started = defer.ensureDeferred(coroutine)
        tasks[key] = started
        started.addBoth(self._on_task_end, tasks, key)

    def _on_task_end(
        self,
        result: Any,
        tasks: dict[tuple[str, str], defer.Deferred[None]],
        key: tuple[str, str],
    ) -> None:
        tasks.pop(key, None)
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
        self._refreshed_s[service] = self._reactor.seconds()
        known = self._groups.get(service, {})
        self._groups[service] = {
            status.name: self._update_group(
                known.get(status.name), status, layout
            )
            for status in statuses
        }
        if sum(len(status.members) for status in statuses) == len(ids):
            self._refreshed_ids[service] = ids

    def _update_group(
        self,
        known: groups.GroupState | None,
        status: groups.GroupStatus,
        layout: routes.ExpertLayout,
    ) -> groups.GroupState:
        """Updates a known group, or returns a new one for a new incarnation."""
        if known is not None and known.status.is_same_incarnation(status):
            known.status = status
            return known
        sampled_endpoint = self._rng.choice(status.members)
        group = groups.GroupState(status, layout, sampled_endpoint)
        if known is not None:
            group.continue_from(known, self._reactor.seconds())
        return group

    async def _read_demand(
        self,
        service: str,
        group: groups.GroupState,
        layout: routes.ExpertLayout,
    ) -> None:
        key = (service, group.status.name)
        is_changing = key in self._changes
        if group.status.halt_step is not None and not is_changing:
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
        loads = group.take_known_loads() if loads is None else loads
        is_backing_off = now_s < group.backoff_until_s
        if loads is None or is_backing_off or key in self._changes:
            return
        self._start_task(
            self._changes, key, self._follow(service, group, loads, layout)
        )

    async def _follow(
        self,
        service: str,
        group: groups.GroupState,
        loads: list[list[float]],
        layout: routes.ExpertLayout,
    ) -> None:
        """Changes the map of a group if the demand makes that pay."""
        if group.expert_map is None:
            await self._read_map(group)
        skew_ratio = self._update_skew(group, loads)
        pressure = group.strain.pressure(skew_ratio)
        if not change_policy.needs_plan(group.schedule, group.skew, pressure):
            return
        new_map = await self._plan_map(service, group, loads, layout, pressure)
        if new_map is None or not self._is_owner() or self._is_stopped:
            return
        iteration_s = self._load.iteration_s(service)
        iteration_s *= group.strain.lengthening(skew_ratio)
        final_phase = await self._map_changer.change(
            service, group, new_map, layout, iteration_s
        )
        self._on_change_end(service, group, new_map, final_phase)

    def _update_skew(
        self, group: groups.GroupState, loads: list[list[float]]
    ) -> float:
        """Returns by what the latest demand multiplies the skew of a group."""
        assert group.expert_map is not None
        if not group.schedule.is_quick:
            return 1.0
        earlier_skew = group.skew
        group.skew = replication.skew(
            group.expert_map, loads, group.status.slowdowns
        )
        return group.skew / earlier_skew if earlier_skew else 1.0

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
            group.skew = 0.0
            group.consecutive_failures = 0
            return
        group.consecutive_failures += 1
        group.backoff_until_s = (
            now_s + group.schedule.backoff_s * group.consecutive_failures
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
        pressure: float,
    ) -> ranks_lib.ExpertMap | None:
        """Returns a new map, or None if a change would gain too little."""
        assert group.expert_map is not None
        old_map = group.expert_map
        slowdowns = group.status.slowdowns
        new_map = tuple(
            [
                await self._plan_set(group, rank_experts, load, layout)
                for rank_experts, load in zip(old_map, loads, strict=True)
            ]
        )
        old_skew = replication.skew(old_map, loads, slowdowns)
        new_skew = replication.skew(new_map, loads, slowdowns)
        copies = map_changer.copied_experts(old_map, new_map)
        is_worthwhile = change_policy.pays(
            group.schedule,
            old_skew,
            new_skew,
            max(copies) * layout.copy_s,
            group.demand.lasting_s,
            pressure,
        )
        self._log.info(
            "experts_planned",
            service=service,
            group=group.status.name,
            strain=round(self._group_ratio(group), 2),
            pressure=round(pressure, 2),
            skew=round(old_skew, 2),
            planned_skew=round(new_skew, 2),
            copies=sum(copies),
            lasting_s=round(group.demand.lasting_s, 1),
            is_worth=is_worthwhile,
        )
        return new_map if is_worthwhile else None

    async def _plan_set(
        self,
        group: groups.GroupState,
        rank_experts: replication.RankExperts,
        load: list[float],
        layout: routes.ExpertLayout,
    ) -> replication.RankExperts:
        """Plans one set of layers; the reactor does other work in between."""
        capacity = replication.RankCapacity(
            layout.replica_slots, layout.max_new
        )
        slowdowns = group.status.slowdowns
        if not group.schedule.is_quick:
            planner = replication.Planner(
                rank_experts, load, slowdowns, capacity
            )
            while planner.make_move():
                await task.deferLater(self._reactor, 0)
            return planner.rank_experts()
        leveller = balanced_plan.Planner(
            rank_experts, load, slowdowns, capacity
        )
        while leveller.make_moves(_EVALUATIONS_PER_SLICE):
            await task.deferLater(self._reactor, 0)
        await task.deferLater(self._reactor, 0)
        return leveller.worthwhile_experts()
