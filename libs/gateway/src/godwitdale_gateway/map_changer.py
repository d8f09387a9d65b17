"""Sends the commands that bring a group to a new expert map, or back.

A rank is armed when it is set to use a new map from a given iteration on. In
names, ``step`` is the number of an iteration, as in the messages to the ranks.
"""

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
from godwitdale_gateway import peer_messages
from godwitdale_gateway import ranks as ranks_lib
from godwitdale_observe import logs
from godwitdale_routing import routes

# If the iteration of a change begins before the group is held, the change is
# tried again with a later iteration. Largest number of further tries.
_MAX_POSTPONEMENTS = 3
# Shortest time that is assumed for an iteration of any engine.
_MIN_ITERATION_S = 0.005
# Time after which preparing and arming are aborted, and time for which commands
# that must not be aborted are repeated.
_PREPARE_TIMEOUT_S = 2.0
_ARM_TIMEOUT_S = 1.5
_SETTLE_TIMEOUT_S = 30.0
# Delay before commands that were not answered are sent again.
_RETRY_INTERVAL_S = 0.05
# Readings of a report until the iteration of a change has begun.
_STEP_READING_INTERVAL_S = 0.15
_MAX_STEP_READINGS = 20
# Reports may be older than the declared report lag by this much.
_REPORT_LAG_MARGIN_S = 0.1
# Iterations take longer while experts are copied, and so does the copying.
_COPY_TIME_FACTOR = 1.2


class PeerEntries(Protocol):
    """The other entries, and this entry's age among them.

    An entry that drains, or that has announced a change of a map, does not
    count as an older entry.
    """

    @property
    def seniority(self) -> int:
        """Number of older entries, so that the oldest entry has the value 0."""

    @property
    def is_oldest(self) -> bool:
        """Whether this entry is the oldest and no other changes a map."""

    def announced_changes(self) -> list[peer_messages.MapChangeNotice]:
        """Returns the changes that other entries have announced."""

    def announce(self, change: peer_messages.MapChangeNotice | None) -> None:
        """Announces a change to the other entries, or, with None, its end.

        The end is announced whatever the outcome of the change is, and also
        before a postponed change is announced again.
        """


class OwnershipStore(Protocol):
    """Records which entry owns the expert maps."""

    async def acquire_ownership(self, name: str) -> int:
        """Acquires ownership of the expert maps; returns its generation.

        Raises ``exceptions.PlatformUnavailableError``.

        Args:
            name: Name of the instance that becomes the owner.
        """


class MapChanger:
    """Changes the expert maps of groups, and ends unfinished changes."""

    def __init__(
        self,
        name: str,
        rank_client: ranks_lib.RankClient,
        group_reader: groups.GroupReader,
        peers: PeerEntries,
        ownership: OwnershipStore,
        reactor: Any,
        log: logs.EventLog,
    ) -> None:
        """Creates a map changer without a change in progress.

        Args:
            name: Name of the instance.
            rank_client: Sends commands to the ranks.
            group_reader: Reads the status of groups.
            peers: The other entries.
            ownership: Records which entry owns the expert maps.
            reactor: The Twisted reactor.
            log: The event log.
        """
        self._name = name
        self._rank_client = rank_client
        self._group_reader = group_reader
        self._peers = peers
        self._ownership = ownership
        self._reactor = reactor
        self._log = log
        self._unused_fencing_tokens = range(0)
        # An entry announces one change at a time.
        self._announcement_lock = defer.DeferredLock()
        self._token_lock = defer.DeferredLock()

    async def change(
        self,
        service: str,
        group: groups.GroupState,
        new_map: ranks_lib.ExpertMap,
        layout: routes.ExpertLayout,
        iteration_s: float,
    ) -> map_change.Phase:
        """Brings a group to a new map; returns the last phase of the change.

        Args:
            service: Name of the service.
            group: The group, whose map in force has been read.
            new_map: The new map.
            layout: Limits for the placement of experts on ranks.
            iteration_s: Current iteration time of the group.
        """
        fencing_token = await self._take_fencing_tokens()
        # No two changes get the same fencing token. As the version is equal to
        # the token, no two maps get the same version.
        change = group.create_change(
            version=fencing_token, fencing_token=fencing_token
        )
        started_s = self._reactor.seconds()
        await self._send_commands(
            change, group.status.members, new_map, _PREPARE_TIMEOUT_S
        )
        # All ranks have to be armed within the time from the choice of the
        # iteration of the change to that iteration. If results are lost, arming
        # takes about as long as preparing did.
        schedule = group.schedule
        lead_s = schedule.lead_s + self._reactor.seconds() - started_s
        if change.phase is map_change.Phase.COPYING:
            copies = copied_experts(group.expert_map or (), new_map)
            copy_s = max(copies) * layout.copy_s * _COPY_TIME_FACTOR
            if not schedule.is_quick:
                copy_s += layout.report_lag_s
            await self._sleep(copy_s)
        postponements = 0
        while change.phase is map_change.Phase.COPYING:
            if postponements > _MAX_POSTPONEMENTS:
                change.abort()
                break
            ahead_s = layout.report_lag_s + lead_s
            await self._announcement_lock.acquire()
            try:
                step = await self._choose_step(group, iteration_s, ahead_s)
                change.on_copied(
                    step + postponements * schedule.postponed_iterations
                )
                self._peers.announce(
                    peer_messages.MapChangeNotice(service, change.plan())
                )
                await self._send_commands(
                    change, group.status.members, new_map, _ARM_TIMEOUT_S
                )
            finally:
                # Also after an unexpected error: while a change is announced,
                # no other entry begins one.
                self._peers.announce(None)
                self._announcement_lock.release()
            postponements += 1
        self._log_outcome("experts_change", service, change)
        if change.phase is map_change.Phase.LOST:
            self._unused_fencing_tokens = range(0)
        if change.phase is map_change.Phase.CHANGED:
            # A rank that is still armed accepts no further change.
            await self._sleep(lead_s)
            if schedule.is_quick:
                await self._wait_for_step(group, change.step)
        return change.phase

    async def take_over(
        self,
        notice: peer_messages.MapChangeNotice,
        members: Iterable[directory_lib.Endpoint],
    ) -> map_change.Phase:
        """Tries to complete a change that another entry has started.

        Args:
            notice: The notice that the other entry has sent.
            members: Endpoints of the group, as far as they are known.

        Returns:
            The last phase of the change.
        """
        plan = structs.replace(
            notice.plan,
            fencing_token=notice.plan.fencing_token
            + map_change.TAKEOVER_TOKEN_OFFSET,
        )
        change = map_change.MapChange.takeover(plan)
        await self._send_commands(change, members, (), _ARM_TIMEOUT_S)
        self._log_outcome("experts_taken_over", notice.service, change)
        return change.phase

    async def recover(
        self,
        service: str,
        status: groups.GroupStatus,
        layout: routes.ExpertLayout,
    ) -> None:
        """Reverts a change that is known only from the reports of the ranks.

        Args:
            service: Name of the service.
            status: Status of the group, which is held or has armed ranks.
            layout: Limits for the placement of experts on ranks.
        """
        fencing_token = await self._take_fencing_tokens()
        change = groups.create_recovery(
            status, version=fencing_token, fencing_token=fencing_token
        )
        await self._send_commands(change, status.members, (), _SETTLE_TIMEOUT_S)
        while change.phase is map_change.Phase.CHECKING:
            await self._sleep(layout.report_lag_s + _REPORT_LAG_MARGIN_S)
            for latest in await self._group_reader.read(service):
                if latest.is_same_incarnation(status):
                    armed = latest.armed
                    change.on_checked(None if armed is None else armed.version)
            await self._send_commands(
                change, status.members, (), _SETTLE_TIMEOUT_S
            )
        self._log_outcome("experts_freed", service, change)

    async def _choose_step(
        self, group: groups.GroupState, iteration_s: float, ahead_s: float
    ) -> int:
        """Returns an iteration that starts in about ``ahead_s`` or later."""
        report = await self._rank_client.read_report(group.sampled_endpoint)
        step = group.status.step if report is None else report.step
        return step + math.ceil(ahead_s / max(iteration_s, _MIN_ITERATION_S))

    async def _wait_for_step(self, group: groups.GroupState, step: int) -> None:
        """Waits until a rank reports that an iteration has begun."""
        for _ in range(_MAX_STEP_READINGS):
            report = await self._rank_client.read_report(group.sampled_endpoint)
            if report is None or report.step >= step:
                return
            await self._sleep(_STEP_READING_INTERVAL_S)

    async def _take_fencing_tokens(self) -> int:
        """Reserves fencing tokens for a change; returns the first of them."""
        await self._token_lock.acquire()
        try:
            return await self._take_tokens()
        finally:
            self._token_lock.release()

    async def _take_tokens(self) -> int:
        token_count = map_change.FENCING_TOKENS_PER_CHANGE
        if len(self._unused_fencing_tokens) < token_count:
            generation = await self._ownership.acquire_ownership(self._name)
            first = generation * map_change.FENCING_TOKENS_PER_GENERATION
            self._unused_fencing_tokens = range(
                first + 1, first + map_change.FENCING_TOKENS_PER_GENERATION
            )
            self._log.info("experts_claimed", generation=generation)
        fencing_token = self._unused_fencing_tokens[0]
        self._unused_fencing_tokens = self._unused_fencing_tokens[token_count:]
        return fencing_token

    async def _send_commands(
        self,
        change: map_change.MapChange,
        members: Iterable[directory_lib.Endpoint],
        expert_map: ranks_lib.ExpertMap,
        timeout_s: float,
    ) -> None:
        """Sends the pending commands of a change until it has none.

        Aborts the change after a timeout, if its phase still allows that. Stops
        after ``_SETTLE_TIMEOUT_S`` even if commands are still pending.

        Args:
            change: The change.
            members: Endpoints of the group.
            expert_map: The new map.
            timeout_s: Time after which the change is aborted.
        """
        endpoints = {member.id: member for member in members}
        started_s = self._reactor.seconds()
        has_aborted = False
        while commands := change.pending_commands():
            phase = change.phase
            await groups.gather(
                self._send_command(
                    change, endpoints.get(command.rank), command, expert_map
                )
                for command in commands
            )
            elapsed_s = self._reactor.seconds() - started_s
            if elapsed_s > _SETTLE_TIMEOUT_S:
                self._log.warning("experts_unsettled", phase=phase.value)
                return
            if elapsed_s > timeout_s and not has_aborted:
                has_aborted = True
                change.abort()
            if change.phase is phase:
                await self._sleep(_RETRY_INTERVAL_S)

    async def _send_command(
        self,
        change: map_change.MapChange,
        endpoint: directory_lib.Endpoint | None,
        command: map_change.Command,
        expert_map: ranks_lib.ExpertMap,
    ) -> None:
        # If an engine is not listed any more, its group has ended, too.
        result = map_change.CommandResult.CONFLICT
        if endpoint is not None:
            result = await self._rank_client.send_command(
                endpoint, command, expert_map
            )
        if result is not map_change.CommandResult.DONE:
            self._log.info(
                "order_not_done",
                endpoint=command.rank,
                operation=command.operation.value,
                version=command.version,
                step=command.step,
                answer=result.value,
            )
        change.on_result(command, result)

    def _log_outcome(
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


def copied_experts(
    old_map: ranks_lib.ExpertMap, new_map: ranks_lib.ExpertMap
) -> list[int]:
    """Returns how many experts each rank has to copy, over all sets.

    Args:
        old_map: The map in force.
        new_map: The map that replaces the map in force.
    """
    copied_counts = [0] * len(new_map[0])
    for old_set, new_set in zip(old_map, new_map, strict=True):
        for rank, experts in enumerate(new_set):
            copied_counts[rank] += len(set(experts) - set(old_set[rank]))
    return copied_counts
