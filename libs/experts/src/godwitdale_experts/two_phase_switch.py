"""The switch of a group from one expert map to another.

A proposal is appended to the log before any rank is asked to prepare. Each
rank loads the new weights beside the old and promises not to run the switch
step, or a later one, without the decision. When all have promised, the holder
of the group's lease appends ``commit``; anyone may append ``abort``. The first
record for a proposal decides, and all ranks switch exactly at its step.

The functions are pure; the specification in the tests uses these same ones.
"""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A change of the expert map.

    Attributes:
        change: Number of the change, its offset in the log.
        new_map: Number of the new map.
        step: First step that runs on it, if it is committed.
    """

    change: int
    new_map: int
    step: int


class Decision(enum.Enum):
    """What became of a proposal."""

    COMMIT = "commit"
    ABORT = "abort"


@dataclasses.dataclass(frozen=True, slots=True)
class RankState:
    """What one rank knows.

    Attributes:
        current_map: The map in use.
        pending: A proposal that binds the rank, or None.
        decision: What became of it, as far as the rank knows.
    """

    current_map: int
    pending: Proposal | None = None
    decision: Decision | None = None


def prepare(
    state: RankState, proposal: Proposal, next_step: int
) -> tuple[RankState, bool]:
    """Asks a rank for its promise.

    Args:
        state: State of the rank.
        proposal: What is proposed.
        next_step: The next step that the rank would run.

    Returns:
        The new state, and whether the rank promises.
    """
    if state.pending == proposal:
        return state, True
    if state.pending is not None or next_step > proposal.step:
        return state, False
    return RankState(state.current_map, proposal), True


def learn_decision(
    state: RankState, proposal: Proposal, decision: Decision
) -> RankState:
    """Tells a rank the first decision record of a proposal."""
    if state.pending != proposal or state.decision is not None:
        return state
    return RankState(state.current_map, proposal, decision)


def rejoin(
    current_map: int,
    proposal: Proposal | None,
    decision: Decision | None,
    next_step: int,
) -> RankState:
    """Returns the state of a replaced rank that has read the log's head.

    It is bound by whatever its former life may have promised. Where the group
    is past the switch step without a decision, the former life cannot have
    promised, and neither does this one.

    Args:
        current_map: Map of the group before the proposal.
        proposal: The latest proposal in the log, or None.
        decision: Its first decision record, or None.
        next_step: The next step that the group runs.
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

    Args:
        state: State of the rank.
        step: The step.
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
    """Returns what the decision records of one proposal come to."""
    return records[0] if records else None
