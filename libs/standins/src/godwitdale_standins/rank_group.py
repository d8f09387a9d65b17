"""A stand-in of a group of ranks that run in lock-step on an expert map.

``GET /ranks/N/group/state`` and ``POST /ranks/N/orders`` are what an agent
meets at its rank. The time of a step follows the placement, the popularity of
the experts and the speed of the ranks. ``GET /records`` returns the map that
every rank used in every step.
"""

from typing import Any

import klein
import msgspec
import numpy as np
from twisted.internet import reactor as default_reactor

from godwitdale_experts import placement as placement_lib
from godwitdale_experts import two_phase_switch

_BASE_STEP_S = 0.005


class GroupFaults(msgspec.Struct, forbid_unknown_fields=True):
    """What happens to the group.

    Attributes:
        load: Popularity of the experts; empty for even.
        slow_ranks: Speed of a rank, by its number.
        frozen_ranks: Ranks that run no step.
        refuses_old_fencing: Whether orders with an old number are refused.
    """

    load: list[float] = []
    slow_ranks: dict[str, float] = {}
    frozen_ranks: list[int] = []
    refuses_old_fencing: bool = True


class _Prepare(msgspec.Struct, tag="prepare"):
    fencing: int
    change: int
    new_map: int
    step: int
    experts: list[int]


class _Decide(msgspec.Struct, tag="decide"):
    change: int
    decision: str


class _Join(msgspec.Struct, tag="join"):
    current_map: int
    experts: list[int]
    change: int | None = None
    new_map: int = 0
    step: int = 0
    prepared: list[int] = []
    decision: str | None = None


_Order = _Prepare | _Decide | _Join


class _Rank:
    """One rank.

    Attributes:
        state: What it knows, or None after a replacement, before it joins.
        experts: Experts of the map in use.
        prepared: Experts of the map that it has prepared.
    """

    def __init__(self, experts: list[int]) -> None:
        self.state: two_phase_switch.RankState | None = (
            two_phase_switch.RankState(0)
        )
        self.experts = experts
        self.prepared: list[int] = []
        self.fencing = -1


class RankGroup:
    """The group.

    Attributes:
        faults: What happens to it.
        maps: For each step the map of every rank.
        stalled_s: Time that the group has waited for a decision.
        executed: Fencing numbers of the orders to prepare, as executed.
    """

    app = klein.Klein()

    def __init__(self, shape: str, reactor: Any = None) -> None:
        """Starts on the first map.

        Args:
            shape: ``RANKSxEXPERTSxSLOTS``, such as ``4x16x6``.
            reactor: The Twisted reactor, or None for the default.
        """
        ranks, experts, slots = (int(part) for part in shape.split("x"))
        self.faults = GroupFaults()
        self.maps: list[list[int]] = []
        self.stalled_s = 0.0
        self.executed: list[list[int]] = [[] for _ in range(ranks)]
        self._shape = placement_lib.Shape(ranks, experts, slots)
        even = placement_lib.spread_evenly(self._shape)
        self._ranks = [
            _Rank([int(e) for e in np.flatnonzero(row)]) for row in even
        ]
        self._reactor = reactor or default_reactor
        self._reactor.callLater(0, self._step)

    @app.route("/faults", methods=["GET", "POST"])
    def set_faults(self, request: Any) -> bytes:
        """Shows or replaces the faults."""
        if request.method == b"POST":
            body = request.content.read()
            self.faults = msgspec.json.decode(body, type=GroupFaults)
        return msgspec.json.encode(self.faults)

    @app.route("/records")
    def records(self, request: Any) -> bytes:
        """Returns the maps of all steps and what else was seen."""
        return msgspec.json.encode(
            {
                "maps": self.maps,
                "stalled_s": self.stalled_s,
                "executed": self.executed,
                "skew": placement_lib.skew(self._rank_times()),
            }
        )

    @app.route("/ranks/<int:number>/replace", methods=["POST"])
    def replace(self, request: Any, number: int) -> bytes:
        """Replaces a rank by one that has forgotten everything."""
        self._ranks[number].state = None
        self._ranks[number].prepared = []
        self._ranks[number].fencing = -1
        return b""

    @app.route("/ranks/<int:number>/load")
    def load(self, request: Any, number: int) -> bytes:
        """Returns the load report of an engine."""
        times = self._rank_times()
        scale = _BASE_STEP_S / placement_lib.min_step_time(
            self._load(), self._speed()
        )
        rank_step_s = [float(each) * scale for each in times]
        return msgspec.json.encode(
            {"step_s": max(rank_step_s), "rank_step_s": rank_step_s}
        )

    @app.route("/ranks/<int:number>/group/state")
    def state(self, request: Any, number: int) -> bytes:
        """Returns what a rank knows and what it has measured."""
        rank = self._ranks[number]
        known = rank.state
        pending = known.pending if known is not None else None
        return msgspec.json.encode(
            {
                "next_step": len(self.maps),
                "needs_join": known is None,
                "pending": pending.change if pending is not None else None,
                "decided": known is not None and known.decision is not None,
                "load": self._load().tolist(),
                "speed": self._speed().tolist(),
                "experts": [each.experts for each in self._ranks],
                "slots": self._shape.slots,
            }
        )

    @app.route("/ranks/<int:number>/orders", methods=["POST"])
    def order(self, request: Any, number: int) -> bytes:
        """Takes an order for a rank."""
        order = msgspec.json.decode(request.content.read(), type=_Order)
        rank = self._ranks[number]
        if isinstance(order, _Prepare):
            return self._prepare(rank, number, order)
        if isinstance(order, _Decide):
            self._decide(rank, order)
        elif rank.state is None:
            self._join(rank, order)
        return b"{}"

    def _prepare(self, rank: _Rank, number: int, order: _Prepare) -> bytes:
        is_old = order.fencing < rank.fencing
        if rank.state is None or (is_old and self.faults.refuses_old_fencing):
            return msgspec.json.encode({"promised": False})
        rank.fencing = max(rank.fencing, order.fencing)
        self.executed[number].append(order.fencing)
        proposal = two_phase_switch.Proposal(
            order.change, order.new_map, order.step
        )
        rank.state, promised = two_phase_switch.prepare(
            rank.state, proposal, len(self.maps)
        )
        if promised:
            rank.prepared = order.experts
        return msgspec.json.encode({"promised": promised})

    def _decide(self, rank: _Rank, order: _Decide) -> None:
        if rank.state is None or rank.state.pending is None:
            return
        if rank.state.pending.change == order.change:
            rank.state = two_phase_switch.learn_decision(
                rank.state,
                rank.state.pending,
                two_phase_switch.Decision(order.decision),
            )

    def _join(self, rank: _Rank, order: _Join) -> None:
        proposal = None
        if order.change is not None:
            proposal = two_phase_switch.Proposal(
                order.change, order.new_map, order.step
            )
        decision = None
        if order.decision is not None:
            decision = two_phase_switch.Decision(order.decision)
        rank.state = two_phase_switch.rejoin(
            order.current_map, proposal, decision, len(self.maps)
        )
        rank.prepared = order.prepared
        is_new = rank.state.current_map != order.current_map
        rank.experts = order.prepared if is_new else order.experts

    def _step(self) -> None:
        step = len(self.maps)
        entered: list[two_phase_switch.RankState | None] = []
        for number, rank in enumerate(self._ranks):
            is_frozen = number in self.faults.frozen_ranks
            if rank.state is None or is_frozen:
                entered.append(None)
            else:
                entered.append(two_phase_switch.enter_step(rank.state, step))
        if any(each is None for each in entered):
            self.stalled_s += _BASE_STEP_S
            self._reactor.callLater(_BASE_STEP_S, self._step)
            return
        self._run_step([each for each in entered if each is not None])

    def _run_step(self, entered: list[two_phase_switch.RankState]) -> None:
        for rank, after in zip(self._ranks, entered, strict=True):
            was = rank.state
            if was is not None and was.current_map != after.current_map:
                rank.experts = rank.prepared
            rank.state = after
        self.maps.append([each.current_map for each in entered])
        times = self._rank_times()
        bound = placement_lib.min_step_time(self._load(), self._speed())
        step_s = _BASE_STEP_S * float(times.max()) / bound
        self._reactor.callLater(step_s, self._step)

    def _load(self) -> placement_lib.Floats:
        if self.faults.load:
            return np.array(self.faults.load)
        return np.ones(self._shape.experts)

    def _speed(self) -> placement_lib.Floats:
        speed = np.ones(self._shape.ranks)
        for number, value in self.faults.slow_ranks.items():
            speed[int(number)] = value
        return speed

    def _rank_times(self) -> placement_lib.Floats:
        held = np.zeros((self._shape.ranks, self._shape.experts), np.int8)
        for number, rank in enumerate(self._ranks):
            held[number, rank.experts] = 1
        return placement_lib.rank_times(held, self._load(), self._speed())
