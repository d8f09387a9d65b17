"""Two-phase commit of a group's switch from one expert map to another.

A proposal is appended to the log before any rank is asked to prepare. Each
rank loads the new weights beside the old ones and votes for the proposal. With
its vote it promises to run neither the switch step nor a later step without
the decision. When all ranks have voted for the proposal, the holder of the
group's lease appends ``commit``; any process may append ``abort``. The first
decision record of a proposal counts, and all ranks switch exactly at the
proposal's step. All ranks of a group run the same numbered steps together.

Agents that have a log use this module. ``map_change`` is another protocol for
the same purpose, for gateways; it holds the group and arms the ranks.

The functions are pure; the specification in the tests uses these same
functions.
"""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A proposed change of the expert map.

    Attributes:
        change: Number of the change: the offset of its record in the log.
        new_map: Number of the new map.
        step: Switch step: the first step that runs on the new map if the
            proposal is committed.
    """

    change: int
    new_map: int
    step: int


class Decision(enum.Enum):
    """Decision on a proposal."""

    COMMIT = "commit"
    ABORT = "abort"


@dataclasses.dataclass(frozen=True, slots=True)
class RankState:
    """State of one rank.

    Attributes:
        current_map: Number of the map in use.
        pending: Proposal that the rank has voted for, or None.
        decision: Decision on the pending proposal, or None while the rank
            does not know it.
    """

    current_map: int
    pending: Proposal | None = None
    decision: Decision | None = None


def prepare(
    state: RankState, proposal: Proposal, next_step: int
) -> tuple[RankState, bool]:
    """Returns a rank's state after it is asked for its vote, and the vote.

    Args:
        state: State of the rank.
        proposal: The proposal.
        next_step: Next step that the rank would run.

    Returns:
        The new state, and whether the rank votes for the proposal.
    """
    if state.pending == proposal:
        return state, True
    if state.pending is not None or next_step > proposal.step:
        return state, False
    return RankState(state.current_map, proposal), True


def learn_decision(
    state: RankState, proposal: Proposal, decision: Decision
) -> RankState:
    """Returns a rank's state after it learns the decision on a proposal.

    Args:
        state: State of the rank.
        proposal: The proposal.
        decision: Its first decision record in the log.
    """
    if state.pending != proposal or state.decision is not None:
        return state
    return RankState(state.current_map, proposal, decision)


def rejoin(
    current_map: int,
    proposal: Proposal | None,
    decision: Decision | None,
    next_step: int,
) -> RankState:
    """Returns the state of a replaced rank that read the log to its end.

    The rank is bound by any vote that its former incarnation may have given.
    If the group is past the switch step without a decision, the former
    incarnation cannot have voted for the proposal, and this one does not
    either.

    Args:
        current_map: Number of the group's map before the proposal.
        proposal: The latest proposal in the log, or None.
        decision: First decision record of the proposal, or None.
        next_step: Next step that the group runs.
    """
    if proposal is None:
        return RankState(current_map)
    if decision is Decision.COMMIT and next_step > proposal.step:
        return RankState(proposal.new_map)
    is_past = next_step > proposal.step
    if decision is Decision.ABORT or (decision is None and is_past):
        return RankState(current_map)
    return RankState(current_map, proposal, decision)


def enter_step(state: RankState, step: int) -> RankState | None:
    """Returns the state in which a rank runs a step, or None to wait.

    A rank waits while it does not know the decision on its pending proposal.

    Args:
        state: State of the rank.
        step: Number of the step that the rank is about to run.
    """
    pending = state.pending
    if pending is None or step < pending.step:
        return state
    if state.decision is None:
        return None
    if state.decision is Decision.COMMIT:
        return RankState(pending.new_map)
    return RankState(state.current_map)


def first_decision(records: tuple[Decision, ...]) -> Decision | None:
    """Returns the decision that counts among the records of one proposal.

    Args:
        records: Decision records of the proposal, in the order of the log.
    """
    return records[0] if records else None
