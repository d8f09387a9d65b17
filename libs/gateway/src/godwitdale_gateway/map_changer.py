"""Gives the orders that bring a group to a new expert map, or back."""

from collections.abc import Iterable
import math
from typing import Any
from typing import Protocol

from msgspec import structs
from twisted.internet import defer
from twisted.internet import task

from godwitdale_experts import map_change
from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import groups
from godwitdale_gateway import peers
from godwitdale_gateway import ranks as ranks_lib
from godwitdale_observe import logs
from godwitdale_routing import routes

# Time from the last look at a group to the change: all ranks have to be armed
# by then.
_LEAD_S = 0.4
# Further passes after which a change is tried again that came too late, and how
# often.
_POSTPONED_PASSES = 40
_MOST_POSTPONED = 3
# No pass of any engine is taken to be shorter.
_LEAST_PASS_S = 0.005
# How long the phases of a change may take before it is taken back, and how
# long an order that must not be given up is repeated.
_PREPARE_S = 2.0
_ARM_S = 1.5
_SETTLE_S = 30.0
# Pause before orders that were not answered are given again.
_AGAIN_S = 0.05
# Reports may be this much older than is declared.
_REPORT_SLACK_S = 0.1
# While experts are copied, passes take longer, and so do the copies.
_COPY_SLACK = 1.2


class PeerEntries(Protocol):
    """The other entries."""

    @property
    def seniority(self) -> int:
        """Place of this entry among those that stay, the oldest first."""

    @property
    def is_oldest(self) -> bool:
        """Whether this entry is the oldest of those that stay."""

    def announced_changes(self) -> list[peers.MapChangeNotice]:
        """Returns the changes that other entries have announced."""

    def announce(self, change: peers.MapChangeNotice | None) -> None:
        """Tells the others of a change, or that it has come to its end."""


class OwnershipStore(Protocol):
    """Where the duty over expert maps is taken."""

    async def acquire_ownership(self, name: str) -> int:
        """Takes the duty over; returns a generation.

        Raises ``exceptions.PlatformUnavailableError``.
        """


class MapChanger:
    """Changes the maps of groups; one change runs at a time."""

    def __init__(
        self,
        name: str,
        rank_client: ranks_lib.RankClient,
        group_reader: groups.GroupReader,
        entries: PeerEntries,
        ownership: OwnershipStore,
        reactor: Any,
        log: logs.EventLog,
    ) -> None:
        """Prepares; nothing is sent yet.

        Args:
            name: Name of the instance.
            rank_client: Speaks to the ranks.
            group_reader: Looks at groups.
            entries: The other entries.
            ownership: Where the duty is taken.
            reactor: The Twisted reactor.
            log: The log of decisions.
        """
        self._name = name
        self._rank_client = rank_client
        self._group_reader = group_reader
        self._entries = entries
        self._ownership = ownership
        self._reactor = reactor
        self._log = log
        self._fences_left = range(0)

    async def change(
        self,
        service: str,
        group: groups.GroupState,
        planned: ranks_lib.ExpertMap,
        layout: routes.ExpertLayout,
        iteration_s: float,
    ) -> map_change.Phase:
        """Brings a group to a new map; returns how that ended.

        Args:
            service: Name of the service.
            group: The group; the map in force is known.
            planned: The new map.
            layout: How the experts may lie.
            iteration_s: How long a pass takes at present.
        """
        fence = await self._fences()
        # A fencing number is used once, and so is a version made of it.
        change = group.new_change(version=fence, fence=fence)
        began_s = self._reactor.seconds()
        await self._drive(change, group.status.members, planned, _PREPARE_S)
        # Where answers are lost, to arm takes about as long as to prepare.
        lead_s = _LEAD_S + self._reactor.seconds() - began_s
        if change.phase is map_change.Phase.COPYING:
            copied = max_copied_experts(group.expert_map or (), planned)
            copy_s = copied * layout.copy_s * _COPY_SLACK
            await self._sleep(copy_s + layout.report_lag_s)
        postponed = 0
        while change.phase is map_change.Phase.COPYING:
            if postponed > _MOST_POSTPONED:
                change.abort()
                break
            ahead_s = layout.report_lag_s + lead_s
            step = await self._next_step(group, iteration_s, ahead_s)
            change.on_copied(step + postponed * _POSTPONED_PASSES)
            self._entries.announce(
                peers.MapChangeNotice(service, change.plan())
            )
            await self._drive(change, group.status.members, planned, _ARM_S)
            self._entries.announce(None)
            postponed += 1
        self._note("experts_change", service, change)
        if change.phase is map_change.Phase.LOST:
            self._fences_left = range(0)
        if change.phase is map_change.Phase.CHANGED:
            # A rank that is armed takes no further change.
            await self._sleep(lead_s)
        return change.phase

    async def take_over(
        self,
        announced: peers.MapChangeNotice,
        members: Iterable[directory_lib.Endpoint],
    ) -> map_change.Phase:
        """Brings a change to its end that another entry has begun.

        Args:
            announced: What that entry has told.
            members: The engines of the group, as far as they are known.

        Returns:
            How that ended.
        """
        plan = structs.replace(
            announced.plan,
            fencing_token=announced.plan.fencing_token
            + map_change.TAKEOVER_TOKEN_OFFSET,
        )
        change = map_change.MapChange.takeover(plan)
        await self._drive(change, members, (), _ARM_S)
        self._note("experts_taken_over", announced.service, change)
        return change.phase

    async def recover(
        self,
        service: str,
        seen: groups.GroupStatus,
        layout: routes.ExpertLayout,
    ) -> None:
        """Takes back a change that nobody has announced.

        Args:
            service: Name of the service.
            seen: The group; it is held, or ranks are armed.
            layout: How the experts may lie.
        """
        fence = await self._fences()
        change = groups.recovery_change(seen, version=fence, fence=fence)
        await self._drive(change, seen.members, (), _SETTLE_S)
        while change.phase is map_change.Phase.CHECKING:
            await self._sleep(layout.report_lag_s + _REPORT_SLACK_S)
            for again in await self._group_reader.read(service):
                if again.is_same_incarnation(seen):
                    armed = again.armed
                    change.on_checked(None if armed is None else armed.version)
            await self._drive(change, seen.members, (), _SETTLE_S)
        self._note("experts_freed", service, change)

    async def _next_step(
        self, group: groups.GroupState, iteration_s: float, ahead_s: float
    ) -> int:
        """Returns a pass that the group begins about then, or later."""
        report = await self._rank_client.read_report(group.sampled_endpoint)
        step = group.status.step if report is None else report.step
        return step + math.ceil(ahead_s / max(iteration_s, _LEAST_PASS_S))

    async def _fences(self) -> int:
        """Returns the first of the fencing numbers for a change."""
        used = map_change.FENCING_TOKENS_PER_CHANGE
        if len(self._fences_left) < used:
            generation = await self._ownership.acquire_ownership(self._name)
            first = generation * map_change.FENCING_TOKENS_PER_GENERATION
            self._fences_left = range(
                first + 1, first + map_change.FENCING_TOKENS_PER_GENERATION
            )
            self._log.info("experts_claimed", generation=generation)
        fence = self._fences_left[0]
        self._fences_left = self._fences_left[used:]
        return fence

    async def _drive(
        self,
        change: map_change.MapChange,
        members: Iterable[directory_lib.Endpoint],
        experts: ranks_lib.ExpertMap,
        limit_s: float,
    ) -> None:
        """Gives orders until the change waits for something else, or ends."""
        endpoints = {member.id: member for member in members}
        began_s = self._reactor.seconds()
        has_given_up = False
        while orders := change.pending_commands():
            phase = change.phase
            await groups.gather(
                self._order(change, endpoints.get(order.rank), order, experts)
                for order in orders
            )
            elapsed_s = self._reactor.seconds() - began_s
            if elapsed_s > _SETTLE_S:
                self._log.warning("experts_unsettled", phase=phase.value)
                return
            if elapsed_s > limit_s and not has_given_up:
                has_given_up = True
                change.abort()
            if change.phase is phase:
                await self._sleep(_AGAIN_S)

    async def _order(
        self,
        change: map_change.MapChange,
        endpoint: directory_lib.Endpoint | None,
        order: map_change.Command,
        experts: ranks_lib.ExpertMap,
    ) -> None:
        # An engine that is not listed any more takes its group along.
        answer = map_change.CommandResult.CONFLICT
        if endpoint is not None:
            answer = await self._rank_client.send_command(
                endpoint, order, experts
            )
        if answer is not map_change.CommandResult.DONE:
            self._log.info(
                "order_not_done",
                endpoint=order.rank,
                operation=order.operation.value,
                version=order.version,
                step=order.step,
                answer=answer.value,
            )
        change.on_result(order, answer)

    def _note(
        self, event: str, service: str, change: map_change.MapChange
    ) -> None:
        self._log.info(
            event,
            service=service,
            version=change.version,
            step=change.step,
            outcome=change.phase.value,
        )

    def _sleep(self, delay_s: float) -> "defer.Deferred[None]":
        return task.deferLater(self._reactor, delay_s)


def max_copied_experts(
    old: ranks_lib.ExpertMap, new: ranks_lib.ExpertMap
) -> int:
    """Returns the most experts that any rank has to copy, over all sets.

    Args:
        old: The map in force.
        new: The map that replaces it.
    """
    copied = [0] * len(new[0])
    for old_set, new_set in zip(old, new, strict=True):
        for rank, held in enumerate(new_set):
            copied[rank] += len(set(held) - set(old_set[rank]))
    return max(copied)
