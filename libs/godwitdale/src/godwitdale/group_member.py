"""An agent's part in its group: serving its rank, and leading the group.

Every agent of a group runs a ``GroupMember``. One of them holds the group's
lease and leads: it watches popularity and speed, plans, proposes, asks all
ranks to prepare and appends the decision. The loop is driven by what stands in
the log, so that a lost append answer or a new leader needs no further rules.
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
_BUSY_TURN_S = 0.2
_IDLE_TURN_S = 1.0
_TERM_S = 6.0
_NOTICE_S = 10.0
_IDLE_LOOK_S = 25.0
_WAITING_LOOK_S = 2.0
_RANK_ANSWER_S = 3.0
_PREPARE_S = 4.0
_CLOCK_MARGIN_S = 0.5
_STEPS_AHEAD = 150
_HORIZON_S = 600.0
_MINUTES_PER_DAY = 1440
_SECONDS_PER_MINUTE = 60
_COSTS = rebalance.Costs(fetch_s=0.05, slowdown=0.05, hold_s=0.05, step_s=0.025)


class RankState(msgspec.Struct, frozen=True):
    """What a rank reports.

    Attributes:
        next_step: The next step of the group.
        needs_join: Whether it has just been replaced.
        pending: The change that it is bound by, or None.
        decided: Whether it knows the decision on that.
        load: Popularity of the experts.
        speed: Speed of the ranks.
        experts: For each rank the experts that it holds.
        slots: Replicas that fit on a rank.
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
    """What a leader asks of every rank's agent.

    Attributes:
        change: Offset of the proposal; it stands in the log already.
        fencing: Fencing number of the leader's lease.
    """

    change: int
    fencing: int


class ProgressNotice(msgspec.Struct, frozen=True):
    """What a leader tells the other agents, so that they need not look.

    Attributes:
        next_offset: How far the leader has folded the group's stream.
    """

    next_offset: int


class Vote(msgspec.Struct, frozen=True):
    """What an agent answers.

    Attributes:
        promised: Whether its rank holds at the switch step.
    """

    promised: bool


class GroupMember:
    """Serves one rank, and leads its group while it holds the lease.

    Attributes:
        state: The fold of the group's stream.
        is_leading: Whether the lease was held at the last turn.
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
        wall_s: Callable[[], float],
    ) -> None:
        """Starts without knowing the group.

        Args:
            endpoint: Name of the agent's endpoint.
            incarnation: The agent's incarnation.
            feed: The declarations.
            log: The platform's log.
            rank: The endpoint, which is one rank.
            peers: Links to the other agents of the group.
            clock: A Twisted ``IReactorTime``.
            wall_s: Tells the time of day, for quiet windows.
        """
        self.state = group_lib.GroupState()
        self.is_leading = False
        self._endpoint = endpoint
        self._incarnation = incarnation
        self._feed = feed
        self._log = log
        self._rank = rank
        self._peers = peers
        self._clock = clock
        self._wall_s = wall_s
        self._fence = fencing.FencingGuard()
        self._lease: fencing.Lease | None = None
        self._seen: group_lib.LatestLease | None = None
        self._seen_at_s = 0.0
        self._horizon: rebalance.Horizon | None = None
        self._heard_at_s = -math.inf
        self._read_at_s = -math.inf
        self._told: group_lib.LatestProposal | None = None
        self._told_at_s = -math.inf
        self._considered_at_s = -math.inf
        self._is_busy = False
        self._stopped = False
        self._events = logs.EventLog()

    @property
    def _labels(self) -> dict[str, str]:
        declared = self._feed.view.endpoints.get(self._endpoint)
        return declared.labels if declared is not None else {}

    @property
    def _group(self) -> objects.Group | None:
        name = self._labels.get(GROUP_LABEL, "")
        return self._feed.view.groups.get(name)

    @property
    def _number(self) -> int:
        return int(self._labels.get(RANK_LABEL, "-1"))

    async def run(self) -> None:
        """Takes turns until ``stop``."""
        while not self._stopped:
            if self._group is not None and self._number >= 0:
                try:
                    await self._turn(self._group)
                except exceptions.PlatformUnavailableError:
                    self.is_leading = False
                except Exception as error:  # The rank does not answer.
                    self.is_leading = False
                    self._events.info("group turn failed", error=repr(error))
            await self._sleep(_BUSY_TURN_S if self._is_busy else _IDLE_TURN_S)

    def stop(self) -> None:
        """Ends ``run`` after the turn that is under way."""
        self._stopped = True

    async def prepare(self, body: bytes) -> bytes:
        """Answers a leader that asks this rank for its promise.

        The proposal is read from the log first, so that whoever replaces this
        rank finds it there.

        Args:
            body: A ``PrepareRequest``, encoded.
        """
        asked = msgspec.json.decode(body, type=PrepareRequest)
        promised = False
        group = self._group
        if group is not None:
            await self._read(group)
            latest = self.state.undecided
            is_open = (
                latest is not None and latest.proposal.change == asked.change
            )
            if is_open and self._fence.admit(asked.fencing):
                promised = await self._order_prepare(asked)
        return msgspec.json.encode(Vote(promised))

    async def on_notice(self, body: bytes) -> bytes:
        """Takes a leader's word of how far the group's stream goes.

        Args:
            body: A ``ProgressNotice``, encoded.
        """
        told = msgspec.json.decode(body, type=ProgressNotice)
        group = self._group
        if group is not None and told.next_offset > self.state.next_offset:
            await self._read(group)
        self._heard_at_s = self._clock.seconds()
        return b""

    async def _turn(self, group: objects.Group) -> None:
        rank = await self._rank_state()
        is_waiting = rank.pending is not None and not rank.decided
        if self.is_leading or self._is_look_due(is_waiting):
            await self._read(group)
        self._is_busy = is_waiting or rank.needs_join
        await self._serve_rank(group, rank)
        if await self._hold_lease(group):
            await self._lead(group, rank)
            self._tell_others(group)
            self._is_busy = self._is_busy or self.state.undecided is not None

    def _is_look_due(self, is_waiting: bool) -> bool:
        """Tells whether the log is to be read without a leader's word."""
        patience_s = _WAITING_LOOK_S if is_waiting else _IDLE_LOOK_S
        told_at_s = max(self._heard_at_s, self._read_at_s)
        return self._clock.seconds() - told_at_s >= patience_s

    def _tell_others(self, group: objects.Group) -> None:
        """Spares the other agents from looking at the log."""
        now_s = self._clock.seconds()
        is_news = self.state.latest != self._told
        if not is_news and now_s - self._told_at_s < _NOTICE_S:
            return
        self._told = self.state.latest
        self._told_at_s = now_s
        body = msgspec.json.encode(ProgressNotice(self.state.next_offset))
        for name in self._others(group):
            told = self._peers.call(name, NOTICE_CALL, body, _PREPARE_S)
            told.addErrback(lambda _: None)

    def _sleep(self, delay_s: float) -> "defer.Deferred[None]":
        return task.deferLater(self._clock, delay_s, lambda: None)

    async def _read(self, group: objects.Group) -> None:
        stream = group_lib.stream_name(group.name)
        start = self.state.next_offset
        for record in await log_lib.read_all(self._log, stream, start):
            self.state.feed(record.offset, record.appended_at_s, record.data)
        self._read_at_s = self._clock.seconds()
        held = self.state.lease
        self._fence.restore(held.fencing if held is not None else -1)

    async def _rank_state(self) -> RankState:
        found = await self._rank.get_json("/group/state", _RANK_ANSWER_S)
        return msgspec.convert(found, RankState)

    async def _serve_rank(self, group: objects.Group, rank: RankState) -> None:
        """Tells the rank what the log says and it does not know yet."""
        if rank.needs_join:
            # The group stands still until the rank has joined, so that the
            # log's head as of now tells all that was decided before.
            await self._read(group)
            await self._order(self._join_order(group))
            return
        latest = self.state.latest
        is_waiting = rank.pending is not None and not rank.decided
        if not is_waiting or latest is None or latest.decision is None:
            return
        if latest.proposal.change == rank.pending:
            decision = latest.decision.value
            await self._order(
                {"type": "decide", "change": rank.pending, "decision": decision}
            )

    def _join_order(self, group: objects.Group) -> dict[str, Any]:
        latest = self.state.latest
        if latest is None:
            experts = self._experts_of(group, [])
            return {"type": "join", "current_map": 0, "experts": experts}
        proposal = latest.proposal
        decision = latest.decision
        return {
            "type": "join",
            "current_map": latest.base_map,
            "experts": self._experts_of(group, latest.base_experts),
            "change": proposal.change,
            "new_map": proposal.new_map,
            "step": proposal.step,
            "prepared": self._experts_of(group, latest.experts),
            "decision": decision.value if decision is not None else None,
        }

    def _experts_of(
        self, group: objects.Group, experts: list[list[int]]
    ) -> list[int]:
        if experts:
            return experts[self._number]
        even = placement_lib.spread_evenly(_shape_of(group))
        return [int(each) for each in np.flatnonzero(even[self._number])]

    async def _order_prepare(self, asked: PrepareRequest) -> bool:
        latest = self.state.undecided
        assert latest is not None
        proposal = latest.proposal
        answer = await self._order(
            {
                "type": "prepare",
                "fencing": asked.fencing,
                "change": proposal.change,
                "new_map": proposal.new_map,
                "step": proposal.step,
                "experts": latest.experts[self._number],
            }
        )
        return bool(answer.get("promised"))

    async def _order(self, order: dict[str, Any]) -> Any:
        return await self._rank.post_json("/orders", order, _RANK_ANSWER_S)

    async def _hold_lease(self, group: objects.Group) -> bool:
        """Takes or renews the lease; tells whether it is held now."""
        held = self.state.lease
        now_s = self._clock.seconds()
        is_own = held is not None and held.holder == self._incarnation
        if is_own and self._lease is not None and self._lease.is_held(now_s):
            if self._lease.expires_at_s - now_s < _TERM_S / 2:
                await self._append_lease(
                    group, renews=self._lease.fencing_token
                )
            self.is_leading = True
            return True
        self.is_leading = False
        if self._is_lease_free(held, now_s):
            await self._append_lease(group, renews=None)
        return False

    def _is_lease_free(
        self, held: group_lib.LatestLease | None, now_s: float
    ) -> bool:
        """Waits a whole term after a lease was last seen to be prolonged."""
        if held is None:
            return True
        if self._seen != held:
            self._seen = held
            self._seen_at_s = now_s
            return False
        return now_s - self._seen_at_s > held.term_s + _CLOCK_MARGIN_S

    async def _append_lease(
        self, group: objects.Group, renews: int | None
    ) -> None:
        before_s = self._clock.seconds()
        before = self.state.lease
        record = group_lib.Lease(self._incarnation, _TERM_S, renews)
        await self._append(group, record)
        await self._read(group)
        held = self.state.lease
        is_own = held is not None and held.holder == self._incarnation
        if held is not None and is_own and held != before:
            self._lease = fencing.Lease(held.fencing, before_s + _TERM_S)

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
            await self._consider(group, rank)

    async def _decide(
        self, group: objects.Group, latest: group_lib.LatestProposal
    ) -> None:
        """Collects promises and appends the decision, whichever it is."""
        assert self._lease is not None
        change = latest.proposal.change
        is_own = latest.fencing == self._lease.fencing_token
        all_promised = is_own and await self._collect(group, change)
        is_held = self._lease.is_held(self._clock.seconds())
        decision = two_phase_switch.Decision.ABORT
        if all_promised and is_held:
            decision = two_phase_switch.Decision.COMMIT
        await self._append(group, group_lib.Decision(change, decision.value))
        self._events.info(
            "expert map decided", change=change, decision=decision.value
        )

    async def _collect(self, group: objects.Group, change: int) -> bool:
        assert self._lease is not None
        asked = PrepareRequest(change, self._lease.fencing_token)
        body = msgspec.json.encode(asked)
        others = self._others(group)
        if len(others) + 1 < group.ranks:
            return False
        calls = [
            self._peers.call(name, PREPARE_CALL, body, _PREPARE_S)
            for name in others
        ]
        calls.append(defer.ensureDeferred(self.prepare(body)))
        answers = await defer.DeferredList(calls, consumeErrors=True)
        return all(
            is_fine and msgspec.json.decode(answer, type=Vote).promised
            for is_fine, answer in answers
        )

    def _others(self, group: objects.Group) -> list[str]:
        return [
            each.name
            for each in self._feed.view.endpoints.values()
            if each.labels.get(GROUP_LABEL) == group.name
            and RANK_LABEL in each.labels
            and each.name != self._endpoint
        ]

    async def _consider(self, group: objects.Group, rank: RankState) -> None:
        now_s = self._clock.seconds()
        if now_s - self._considered_at_s < group.decide_every_s:
            return
        self._considered_at_s = now_s
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
            _shape_of(group),
            self._preference(group),
            _COSTS,
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
            step=rank.next_step + _STEPS_AHEAD,
            experts=[
                [int(each) for each in np.flatnonzero(row)]
                for row in move.placement
            ],
        )
        await self._append(group, proposal)

    def _preference(self, group: objects.Group) -> rebalance.Preference:
        assert self._horizon is not None
        minute = int(self._wall_s() // _SECONDS_PER_MINUTE) % _MINUTES_PER_DAY
        return rebalance.Preference(
            group.skew_weight,
            group.cost_weight,
            self._horizon.expected_s,
            is_in_quiet_window=any(
                selectors.is_minute_in_window(minute, window)
                for window in group.quiet_windows
            ),
        )


def _shape_of(group: objects.Group) -> placement_lib.Shape:
    return placement_lib.Shape(group.ranks, group.experts, group.slots_per_rank)
