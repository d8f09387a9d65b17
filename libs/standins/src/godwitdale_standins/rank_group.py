"""A stand-in for a group of ranks that run in lock-step on an expert map.

An agent uses ``GET /ranks/N/group/state`` and ``POST /ranks/N/orders`` of its
rank. The duration of a step follows from the placement, the popularity of the
experts and the speed of the ranks. ``GET /records`` returns the map that each
rank used in each step.
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
    """Conditions and faults that the group simulates.

    Attributes:
        load: Popularity of each expert; empty if all are equally popular.
        slow_ranks: Speed of a rank relative to a healthy rank, by rank
            number.
        frozen_ranks: Numbers of the ranks that run no steps.
        refuses_old_fencing: Whether commands with an outdated fencing token
            are refused.
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


_Command = _Prepare | _Decide | _Join


class _Rank:
    """A rank and the experts that it holds.

    Attributes:
        state: State of the two-phase switch, or None between a replacement
            and the join that follows.
        experts: Experts of the map in use.
        prepared: Experts of the map that the rank has prepared.
        fencing_token: Highest fencing token seen, or -1 before the first.
    """

    def __init__(self, experts: list[int]) -> None:
        self.state: two_phase_switch.RankState | None = (
            two_phase_switch.RankState(0)
        )
        self.experts = experts
        self.prepared: list[int] = []
        self.fencing_token = -1


class RankGroup:
    """Runs steps on the current map and switches maps on command.

    Attributes:
        faults: Conditions and faults that are simulated now.
        maps: Map of every rank, for each step.
        stalled_s: Time in which the group could not run a step.
        executed: Fencing tokens of the executed prepare commands, for each
            rank.
    """

    app = klein.Klein()

    def __init__(self, shape: str, reactor: Any = None) -> None:
        """Creates a group that uses map 0.

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
        self._reactor.callLater(0, self._try_step)

    @app.route("/faults", methods=["GET", "POST"])
    def set_faults(self, request: Any) -> bytes:
        """Returns the simulated faults; ``POST`` replaces them first."""
        if request.method == b"POST":
            body = request.content.read()
            self.faults = msgspec.json.decode(body, type=GroupFaults)
        return msgspec.json.encode(self.faults)

    @app.route("/records")
    def records(self, request: Any) -> bytes:
        """Returns the maps of all steps, the stall time and the skew."""
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
        """Replaces a rank by one without any state."""
        self._ranks[number].state = None
        self._ranks[number].prepared = []
        self._ranks[number].fencing_token = -1
        return b""

    @app.route("/ranks/<int:number>/load")
    def load(self, request: Any, number: int) -> bytes:
        """Returns a load report in the form of an engine's report."""
        times = self._rank_times()
        scale = _BASE_STEP_S / placement_lib.min_step_time(
            self._expert_load(), self._rank_speed()
        )
        rank_step_s = [float(time) * scale for time in times]
        return msgspec.json.encode(
            {"step_s": max(rank_step_s), "rank_step_s": rank_step_s}
        )

    @app.route("/ranks/<int:number>/group/state")
    def state(self, request: Any, number: int) -> bytes:
        """Returns the switch state and the measurements of a rank."""
        rank = self._ranks[number]
        state = rank.state
        pending = state.pending if state is not None else None
        return msgspec.json.encode(
            {
                "next_step": len(self.maps),
                "needs_join": state is None,
                "pending": pending.change if pending is not None else None,
                "decided": state is not None and state.decision is not None,
                "load": self._expert_load().tolist(),
                "speed": self._rank_speed().tolist(),
                "experts": [member.experts for member in self._ranks],
                "slots": self._shape.slots,
            }
        )

    @app.route("/ranks/<int:number>/orders", methods=["POST"])
    def order(self, request: Any, number: int) -> bytes:
        """Executes a command for a rank."""
        command = msgspec.json.decode(request.content.read(), type=_Command)
        rank = self._ranks[number]
        if isinstance(command, _Prepare):
            return self._prepare(rank, number, command)
        if isinstance(command, _Decide):
            self._decide(rank, command)
        elif rank.state is None:
            self._join(rank, command)
        return b"{}"

    def _prepare(self, rank: _Rank, number: int, command: _Prepare) -> bytes:
        is_outdated = command.fencing < rank.fencing_token
        if rank.state is None or (
            is_outdated and self.faults.refuses_old_fencing
        ):
            return msgspec.json.encode({"promised": False})
        rank.fencing_token = max(rank.fencing_token, command.fencing)
        self.executed[number].append(command.fencing)
        proposal = two_phase_switch.Proposal(
            command.change, command.new_map, command.step
        )
        rank.state, votes_yes = two_phase_switch.prepare(
            rank.state, proposal, len(self.maps)
        )
        if votes_yes:
            rank.prepared = command.experts
        return msgspec.json.encode({"promised": votes_yes})

    def _decide(self, rank: _Rank, command: _Decide) -> None:
        if rank.state is None or rank.state.pending is None:
            return
        if rank.state.pending.change == command.change:
            rank.state = two_phase_switch.learn_decision(
                rank.state,
                rank.state.pending,
                two_phase_switch.Decision(command.decision),
            )

    def _join(self, rank: _Rank, command: _Join) -> None:
        proposal = None
        if command.change is not None:
            proposal = two_phase_switch.Proposal(
                command.change, command.new_map, command.step
            )
        decision = None
        if command.decision is not None:
            decision = two_phase_switch.Decision(command.decision)
        rank.state = two_phase_switch.rejoin(
            command.current_map, proposal, decision, len(self.maps)
        )
        rank.prepared = command.prepared
        is_new = rank.state.current_map != command.current_map
        rank.experts = command.prepared if is_new else command.experts

    def _try_step(self) -> None:
        step = len(self.maps)
        states: list[two_phase_switch.RankState | None] = []
        for number, rank in enumerate(self._ranks):
            is_frozen = number in self.faults.frozen_ranks
            if rank.state is None or is_frozen:
                states.append(None)
            else:
                states.append(two_phase_switch.enter_step(rank.state, step))
        if any(state is None for state in states):
            self.stalled_s += _BASE_STEP_S
            self._reactor.callLater(_BASE_STEP_S, self._try_step)
            return
        self._run_step([state for state in states if state is not None])

    def _run_step(self, states: list[two_phase_switch.RankState]) -> None:
        for rank, after in zip(self._ranks, states, strict=True):
            before = rank.state
            if before is not None and before.current_map != after.current_map:
                rank.experts = rank.prepared
            rank.state = after
        self.maps.append([state.current_map for state in states])
        times = self._rank_times()
        min_time = placement_lib.min_step_time(
            self._expert_load(), self._rank_speed()
        )
        step_s = _BASE_STEP_S * float(times.max()) / min_time
        self._reactor.callLater(step_s, self._try_step)

    def _expert_load(self) -> placement_lib.Floats:
        if self.faults.load:
            return np.array(self.faults.load)
        return np.ones(self._shape.experts)

    def _rank_speed(self) -> placement_lib.Floats:
        speed = np.ones(self._shape.ranks)
        for number, rank_speed in self.faults.slow_ranks.items():
            speed[int(number)] = rank_speed
        return speed

    def _rank_times(self) -> placement_lib.Floats:
        rank_experts = np.zeros(
            (self._shape.ranks, self._shape.experts), np.int8
        )
        for number, rank in enumerate(self._ranks):
            rank_experts[number, rank.experts] = 1
        return placement_lib.rank_times(
            rank_experts, self._expert_load(), self._rank_speed()
        )
