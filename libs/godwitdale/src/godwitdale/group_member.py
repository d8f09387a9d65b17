"""Membership of an agent in the group of ranks that its endpoint belongs to.

Every agent of a group runs a ``GroupMember``, which keeps the agent's rank up
to date. The member that holds the group's lease is the leader. It observes the
popularity of the experts and the speed of the ranks, proposes a new expert map,
asks all ranks to prepare for it and appends the decision. Each iteration acts
only on the state in the log, so that a lost answer to an append or a change of
the leader needs no special handling.
"""

from collections.abc import Callable
import math
from typing import Any

import msgspec
import numpy as np
from twisted.internet import defer
from twisted.internet import task

from godwitdale import agent_peers
from godwitdale import feed as feed_lib
from godwitdale_declarations import objects
from godwitdale_declarations import selectors
from godwitdale_experts import fencing
from godwitdale_experts import group as group_lib
from godwitdale_experts import placement as placement_lib
from godwitdale_experts import rebalance
from godwitdale_experts import two_phase_switch
from godwitdale_observe import logs
from godwitdale_platform import endpoint_client
from godwitdale_platform import log as log_lib
from godwitdale_verdicts import exceptions

GROUP_LABEL = "group"
RANK_LABEL = "rank"
PREPARE_CALL = "prepare"
NOTICE_CALL = "notice"
_BUSY_INTERVAL_S = 0.2
_IDLE_INTERVAL_S = 1.0
_LEASE_TERM_S = 6.0
_NOTICE_INTERVAL_S = 10.0
_IDLE_READ_INTERVAL_S = 25.0
_WAITING_READ_INTERVAL_S = 2.0
_RANK_TIMEOUT_S = 3.0
_CALL_TIMEOUT_S = 4.0
_CLOCK_DRIFT_MARGIN_S = 0.5
_STEPS_UNTIL_SWITCH = 150
_HORIZON_S = 600.0
_MINUTES_PER_DAY = 1440
_SECONDS_PER_MINUTE = 60
_MOVE_COSTS = rebalance.Costs(
    fetch_s=0.05, slowdown=0.05, hold_s=0.05, step_s=0.025
)


class RankState(msgspec.Struct, frozen=True):
    """State that a rank reports.

    Attributes:
        next_step: Next step of the group.
        needs_join: Whether the rank was just replaced and has to join.
        pending: The change that the rank has voted for, or None.
        decided: Whether the rank knows the decision on the pending change.
        load: Popularity of each expert.
        speed: Speed of each rank.
        experts: For each rank, the experts that it holds.
        slots: Number of replicas that fit on a rank.
    """

    next_step: int
    needs_join: bool
    pending: int | None
    decided: bool
    load: list[float]
    speed: list[float]
    experts: list[list[int]]
    slots: int


class PrepareRequest(msgspec.Struct, frozen=True):
    """Asks the agent of a rank to prepare for a change and to vote.

    Attributes:
        change: Offset of the proposal, which is already in the log.
        fencing: Fencing token of the leader's lease.
    """

    change: int
    fencing: int


class ProgressNotice(msgspec.Struct, frozen=True):
    """Notifies another agent of new records, so that it need not poll.

    Attributes:
        next_offset: First offset of the group's stream that the leader has not
            folded.
    """

    next_offset: int


class Vote(msgspec.Struct, frozen=True):
    """Answers ``PrepareRequest``.

    Attributes:
        promised: Whether the rank promises to hold at the switch step until it
            knows the decision.
    """

    promised: bool


class GroupMember:
    """Keeps a rank up to date, and leads the group while it holds the lease.

    Attributes:
        state: The fold of the group's stream.
        is_leading: Whether the last iteration held the lease.
    """

    def __init__(
        self,
        endpoint: str,
        incarnation: str,
        feed: feed_lib.DeclarationFeed,
        log: log_lib.Log,
        rank: endpoint_client.EndpointClient,
        peers: agent_peers.AgentPeers,
        clock: Any,
        wall_clock_s: Callable[[], float],
    ) -> None:
        """Creates a member that has not read the group's stream.

        Args:
            endpoint: Name of the agent's endpoint.
            incarnation: The agent's incarnation.
            feed: The declarations.
            log: The platform's log.
            rank: Client of the endpoint, which is one rank.
            peers: Links to the other agents of the group.
            clock: A Twisted ``IReactorTime``.
            wall_clock_s: Returns the Unix time, for quiet windows.
        """
        self.state = group_lib.GroupState()
        self.is_leading = False
        self._endpoint = endpoint
        self._incarnation = incarnation
        self._feed = feed
        self._log = log
        self._rank_client = rank
        self._peers = peers
        self._clock = clock
        self._wall_clock_s = wall_clock_s
        self._fencing_guard = fencing.FencingGuard()
        self._lease: fencing.Lease | None = None
        self._observed_lease: group_lib.LatestLease | None = None
        self._lease_changed_at_s = 0.0
        self._horizon: rebalance.Horizon | None = None
        self._notice_received_at_s = -math.inf
        self._last_read_at_s = -math.inf
        self._announced_proposal: group_lib.LatestProposal | None = None
        self._notice_sent_at_s = -math.inf
        self._last_planned_at_s = -math.inf
        self._is_busy = False
        self._is_stopped = False
        self._events = logs.EventLog()

    @property
    def _endpoint_labels(self) -> dict[str, str]:
        declared = self._feed.view.endpoints.get(self._endpoint)
        return declared.labels if declared is not None else {}

    @property
    def _group(self) -> objects.Group | None:
        name = self._endpoint_labels.get(GROUP_LABEL, "")
        return self._feed.view.groups.get(name)

    @property
    def _rank_number(self) -> int:
        return int(self._endpoint_labels.get(RANK_LABEL, "-1"))

    async def run(self) -> None:
        """Runs iterations until ``stop`` is called."""
        while not self._is_stopped:
            if self._group is not None and self._rank_number >= 0:
                try:
                    await self._run_iteration(self._group)
                except exceptions.PlatformUnavailableError:
                    self.is_leading = False
                except Exception as error:  # The rank did not answer.
                    self.is_leading = False
                    self._events.info("group turn failed", error=repr(error))
            await self._sleep(
                _BUSY_INTERVAL_S if self._is_busy else _IDLE_INTERVAL_S
            )

    def stop(self) -> None:
        """Makes ``run`` return after the iteration in progress."""
        self._is_stopped = True

    async def prepare(self, body: bytes) -> bytes:
        """Executes the call of a leader that asks this rank for its vote.

        The rank votes only for a proposal that was read from the log, so that a
        replacement of this rank finds the proposal there.

        Args:
            body: An encoded ``PrepareRequest``.

        Returns:
            An encoded ``Vote``.
        """
        request = msgspec.json.decode(body, type=PrepareRequest)
        promised = False
        group = self._group
        if group is not None:
            await self._read(group)
            latest = self.state.undecided
            is_undecided = (
                latest is not None and latest.proposal.change == request.change
            )
            if is_undecided and self._fencing_guard.admit(request.fencing):
                promised = await self._send_prepare(request)
        return msgspec.json.encode(Vote(promised))

    async def on_notice(self, body: bytes) -> bytes:
        """Reads the group's stream if a leader has announced new records.

        Args:
            body: An encoded ``ProgressNotice``.
        """
        notice = msgspec.json.decode(body, type=ProgressNotice)
        group = self._group
        if group is not None and notice.next_offset > self.state.next_offset:
            await self._read(group)
        self._notice_received_at_s = self._clock.seconds()
        return b""

    async def _run_iteration(self, group: objects.Group) -> None:
        rank = await self._fetch_rank_state()
        awaits_decision = rank.pending is not None and not rank.decided
        if self.is_leading or self._is_read_due(awaits_decision):
            await self._read(group)
        self._is_busy = awaits_decision or rank.needs_join
        await self._update_rank(group, rank)
        if await self._ensure_lease(group):
            await self._lead(group, rank)
            self._notify_others(group)
            self._is_busy = self._is_busy or self.state.undecided is not None

    def _is_read_due(self, awaits_decision: bool) -> bool:
        """Returns whether to read the log without a notice from a leader."""
        interval_s = (
            _WAITING_READ_INTERVAL_S
            if awaits_decision
            else _IDLE_READ_INTERVAL_S
        )
        known_at_s = max(self._notice_received_at_s, self._last_read_at_s)
        return self._clock.seconds() - known_at_s >= interval_s

    def _notify_others(self, group: objects.Group) -> None:
        """Notifies the other agents, so that they need not poll the log."""
        now_s = self._clock.seconds()
        is_new = self.state.latest != self._announced_proposal
        if not is_new and now_s - self._notice_sent_at_s < _NOTICE_INTERVAL_S:
            return
        self._announced_proposal = self.state.latest
        self._notice_sent_at_s = now_s
        body = msgspec.json.encode(ProgressNotice(self.state.next_offset))
        for name in self._other_endpoints(group):
            call = self._peers.call(name, NOTICE_CALL, body, _CALL_TIMEOUT_S)
            call.addErrback(lambda _: None)

    def _sleep(self, delay_s: float) -> "defer.Deferred[None]":
        return task.deferLater(self._clock, delay_s, lambda: None)

    async def _read(self, group: objects.Group) -> None:
        stream = group_lib.stream_name(group.name)
        start = self.state.next_offset
        for record in await log_lib.read_all(self._log, stream, start):
            self.state.feed(record.offset, record.appended_at_s, record.data)
        self._last_read_at_s = self._clock.seconds()
        held_lease = self.state.lease
        self._fencing_guard.restore(
            held_lease.fencing if held_lease is not None else -1
        )

    async def _fetch_rank_state(self) -> RankState:
        response = await self._rank_client.get_json(
            "/group/state", _RANK_TIMEOUT_S
        )
        return msgspec.convert(response, RankState)

    async def _update_rank(self, group: objects.Group, rank: RankState) -> None:
        """Sends the rank what it does not know yet from the log."""
        if rank.needs_join:
            # The group runs no step until the rank has joined. The log up to
            # its current head therefore contains all decisions made before.
            await self._read(group)
            await self._send_command(self._join_command(group))
            return
        latest = self.state.latest
        awaits_decision = rank.pending is not None and not rank.decided
        if not awaits_decision or latest is None or latest.decision is None:
            return
        if latest.proposal.change == rank.pending:
            decision = latest.decision.value
            await self._send_command(
                {"type": "decide", "change": rank.pending, "decision": decision}
            )

    def _join_command(self, group: objects.Group) -> dict[str, Any]:
        latest = self.state.latest
        if latest is None:
            experts = self._rank_experts(group, [])
            return {"type": "join", "current_map": 0, "experts": experts}
        proposal = latest.proposal
        decision = latest.decision
        return {
            "type": "join",
            "current_map": latest.base_map,
            "experts": self._rank_experts(group, latest.base_experts),
            "change": proposal.change,
            "new_map": proposal.new_map,
            "step": proposal.step,
            "prepared": self._rank_experts(group, latest.experts),
            "decision": decision.value if decision is not None else None,
        }

    def _rank_experts(
        self, group: objects.Group, experts: list[list[int]]
    ) -> list[int]:
        if experts:
            return experts[self._rank_number]
        even_placement = placement_lib.spread_evenly(_group_shape(group))
        return [
            int(each)
            for each in np.flatnonzero(even_placement[self._rank_number])
        ]

    async def _send_prepare(self, request: PrepareRequest) -> bool:
        latest = self.state.undecided
        assert latest is not None
        proposal = latest.proposal
        result = await self._send_command(
            {
                "type": "prepare",
                "fencing": request.fencing,
                "change": proposal.change,
                "new_map": proposal.new_map,
                "step": proposal.step,
                "experts": latest.experts[self._rank_number],
            }
        )
        return bool(result.get("promised"))

    async def _send_command(self, command: dict[str, Any]) -> Any:
        return await self._rank_client.post_json(
            "/orders", command, _RANK_TIMEOUT_S
        )

    async def _ensure_lease(self, group: objects.Group) -> bool:
        """Acquires or renews the lease; returns whether it is held now."""
        held_lease = self.state.lease
        now_s = self._clock.seconds()
        is_own = (
            held_lease is not None and held_lease.holder == self._incarnation
        )
        if is_own and self._lease is not None and self._lease.is_held(now_s):
            if self._lease.expires_at_s - now_s < _LEASE_TERM_S / 2:
                await self._append_lease(
                    group, renews=self._lease.fencing_token
                )
            self.is_leading = True
            return True
        self.is_leading = False
        if self._is_lease_free(held_lease, now_s):
            await self._append_lease(group, renews=None)
        return False

    def _is_lease_free(
        self, held_lease: group_lib.LatestLease | None, now_s: float
    ) -> bool:
        """Returns whether nobody renewed the lease for longer than its term."""
        if held_lease is None:
            return True
        if self._observed_lease != held_lease:
            self._observed_lease = held_lease
            self._lease_changed_at_s = now_s
            return False
        return (
            now_s - self._lease_changed_at_s
            > held_lease.term_s + _CLOCK_DRIFT_MARGIN_S
        )

    async def _append_lease(
        self, group: objects.Group, renews: int | None
    ) -> None:
        requested_at_s = self._clock.seconds()
        previous_lease = self.state.lease
        record = group_lib.Lease(self._incarnation, _LEASE_TERM_S, renews)
        await self._append(group, record)
        await self._read(group)
        held_lease = self.state.lease
        is_own = (
            held_lease is not None and held_lease.holder == self._incarnation
        )
        if held_lease is not None and is_own and held_lease != previous_lease:
            self._lease = fencing.Lease(
                held_lease.fencing, requested_at_s + _LEASE_TERM_S
            )

    async def _append(
        self, group: objects.Group, record: group_lib.Record
    ) -> None:
        stream = group_lib.stream_name(group.name)
        await self._log.append(stream, group_lib.encode(record))

    async def _lead(self, group: objects.Group, rank: RankState) -> None:
        latest = self.state.latest
        if latest is not None and latest.decision is None:
            await self._decide(group, latest)
        elif latest is None or rank.next_step > latest.proposal.step:
            await self._plan_move(group, rank)

    async def _decide(
        self, group: objects.Group, latest: group_lib.LatestProposal
    ) -> None:
        """Collects the votes and appends the decision to commit or abort."""
        assert self._lease is not None
        change = latest.proposal.change
        is_own = latest.fencing == self._lease.fencing_token
        has_all_votes = is_own and await self._collect_votes(group, change)
        is_held = self._lease.is_held(self._clock.seconds())
        decision = two_phase_switch.Decision.ABORT
        if has_all_votes and is_held:
            decision = two_phase_switch.Decision.COMMIT
        await self._append(group, group_lib.Decision(change, decision.value))
        self._events.info(
            "expert map decided", change=change, decision=decision.value
        )

    async def _collect_votes(self, group: objects.Group, change: int) -> bool:
        assert self._lease is not None
        request = PrepareRequest(change, self._lease.fencing_token)
        body = msgspec.json.encode(request)
        other_endpoints = self._other_endpoints(group)
        if len(other_endpoints) + 1 < group.ranks:
            return False
        calls = [
            self._peers.call(name, PREPARE_CALL, body, _CALL_TIMEOUT_S)
            for name in other_endpoints
        ]
        calls.append(defer.ensureDeferred(self.prepare(body)))
        results = await defer.DeferredList(calls, consumeErrors=True)
        return all(
            has_succeeded and msgspec.json.decode(result, type=Vote).promised
            for has_succeeded, result in results
        )

    def _other_endpoints(self, group: objects.Group) -> list[str]:
        return [
            each.name
            for each in self._feed.view.endpoints.values()
            if each.labels.get(GROUP_LABEL) == group.name
            and RANK_LABEL in each.labels
            and each.name != self._endpoint
        ]

    async def _plan_move(self, group: objects.Group, rank: RankState) -> None:
        now_s = self._clock.seconds()
        if now_s - self._last_planned_at_s < group.decide_every_s:
            return
        self._last_planned_at_s = now_s
        if self._horizon is None:
            self._horizon = rebalance.Horizon(_HORIZON_S, now_s)
        self._horizon.on_kept(now_s)
        current = np.zeros((group.ranks, group.experts), dtype=np.int8)
        for number, experts in enumerate(rank.experts):
            current[number, experts] = 1
        move = rebalance.choose_move(
            current,
            np.array(rank.load),
            np.array(rank.speed),
            _group_shape(group),
            self._preference(group),
            _MOVE_COSTS,
        )
        if move is None:
            return
        self._horizon.on_moved(now_s)
        await self._propose(group, rank, move)

    async def _propose(
        self, group: objects.Group, rank: RankState, move: rebalance.Move
    ) -> None:
        assert self._lease is not None
        current_map, _ = self.state.decided_map
        proposal = group_lib.Proposal(
            fencing=self._lease.fencing_token,
            new_map=max(current_map, self.state.next_offset) + 1,
            step=rank.next_step + _STEPS_UNTIL_SWITCH,
            experts=[
                [int(each) for each in np.flatnonzero(row)]
                for row in move.placement
            ],
        )
        await self._append(group, proposal)

    def _preference(self, group: objects.Group) -> rebalance.Preference:
        assert self._horizon is not None
        minute = (
            int(self._wall_clock_s() // _SECONDS_PER_MINUTE) % _MINUTES_PER_DAY
        )
        return rebalance.Preference(
            group.skew_weight,
            group.cost_weight,
            self._horizon.expected_s,
            is_in_quiet_window=any(
                selectors.is_minute_in_window(minute, window)
                for window in group.quiet_windows
            ),
        )


def _group_shape(group: objects.Group) -> placement_lib.Shape:
    return placement_lib.Shape(group.ranks, group.experts, group.slots_per_rank)
