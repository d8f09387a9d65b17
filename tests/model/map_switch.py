"""Specification of the switch of expert maps, with the real functions.

Two ranks run in lock-step. Any of two holders may commit; a rank may be
replaced and forget; anyone may append abort. The log may be unreachable for a
rank for as long as the search likes, because reading is a step of its own.
"""

import dataclasses

from godwitdale_experts import two_phase_switch
import model_checking

_SWITCH_STEP = 2
_MOST_STEP = 4
_MOST_DECISIONS = 2
_MOST_REPLACED = 2
_PROPOSAL = two_phase_switch.Proposal(change=1, new_map=1, step=_SWITCH_STEP)
_RULES = {
    "first": "the first decision record counts, later ones do not",
    "all": "commit is appended only when all ranks have promised",
    "hold": "a rank that promised waits for the decision",
    "relearn": "a replaced rank learns the proposal before its first step",
    "past": "a rank replaced beyond the switch step does not promise",
    "in-time": "a rank that is past the switch step does not promise",
}


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of the log, the holder's knowledge and both ranks."""

    is_proposed: bool = False
    decisions: tuple = ()
    promised: frozenset = frozenset()
    ranks: tuple = (
        two_phase_switch.RankState(0),
        two_phase_switch.RankState(0),
    )
    steps: tuple = (0, 0)
    maps: tuple = ((0, 0),)
    replaced: int = 0


def _put(values, index, value):
    return values[:index] + (value,) + values[index + 1 :]


def _decision(state, removed):
    if "first" in removed:
        return state.decisions[-1] if state.decisions else None
    return two_phase_switch.first_decision(state.decisions)


def transitions(state, removed):
    """Yields all steps from a state."""
    if not state.is_proposed:
        yield "propose", dataclasses.replace(state, is_proposed=True)
    yield from _deciding(state, removed)
    for index in (0, 1):
        yield from _preparing(state, index, removed)
        yield from _learning(state, index, removed)
        yield from _stepping(state, index, removed)
        yield from _replacing(state, index, removed)


def _deciding(state, removed):
    if not state.is_proposed or len(state.decisions) >= _MOST_DECISIONS:
        return
    if len(state.promised) == 2 or "all" in removed:
        commit = (*state.decisions, two_phase_switch.Decision.COMMIT)
        yield "commit", dataclasses.replace(state, decisions=commit)
    abort = (*state.decisions, two_phase_switch.Decision.ABORT)
    yield "abort", dataclasses.replace(state, decisions=abort)


def _preparing(state, index, removed):
    if not state.is_proposed:
        return
    next_step = state.steps[index]
    if "in-time" in removed:
        next_step = 0
    after, promises = two_phase_switch.prepare(
        state.ranks[index], _PROPOSAL, next_step
    )
    if promises:
        yield (
            f"rank {index} promises",
            dataclasses.replace(
                state,
                ranks=_put(state.ranks, index, after),
                promised=state.promised | {index},
            ),
        )


def _learning(state, index, removed):
    decision = _decision(state, removed)
    if decision is not None:
        after = two_phase_switch.learn_decision(
            state.ranks[index], _PROPOSAL, decision
        )
        yield (
            f"rank {index} learns {decision.value}",
            dataclasses.replace(state, ranks=_put(state.ranks, index, after)),
        )


def _stepping(state, index, removed):
    step = state.steps[index]
    if step >= _MOST_STEP or step > min(state.steps):
        return
    after = two_phase_switch.enter_step(state.ranks[index], step)
    if after is None and "hold" in removed:
        after = two_phase_switch.RankState(state.ranks[index].current_map)
    if after is None:
        return
    yield (
        f"rank {index} runs step {step} on map {after.current_map}",
        dataclasses.replace(
            state,
            ranks=_put(state.ranks, index, after),
            steps=_put(state.steps, index, step + 1),
            maps=_note(state.maps, step, index, after.current_map),
        ),
    )


def _note(maps, step, index, used):
    while len(maps) <= step:
        maps = (*maps, (None, None))
    return _put(maps, step, _put(maps[step], index, used))


def _replacing(state, index, removed):
    if state.replaced >= _MOST_REPLACED:
        return
    is_open = state.is_proposed and not state.decisions
    if "relearn" in removed:
        fresh = two_phase_switch.RankState(0)
    elif "past" in removed and is_open:
        fresh = two_phase_switch.RankState(0, _PROPOSAL)
    else:
        fresh = two_phase_switch.rejoin(
            0,
            _PROPOSAL if state.is_proposed else None,
            _decision(state, removed),
            state.steps[index],
        )
    yield (
        f"rank {index} is replaced",
        dataclasses.replace(
            state,
            ranks=_put(state.ranks, index, fresh),
            replaced=state.replaced + 1,
        ),
    )


def _one_map(state):
    return all(
        left is None or right is None or left == right
        for left, right in state.maps[: min(state.steps) + 1]
    )


SPECIFICATION = model_checking.Specification(
    name="expert map switch",
    initial=State(maps=((None, None),)),
    transitions=transitions,
    promises={"all ranks use one map in a step": _one_map},
    mutants={rule: frozenset({rule}) for rule in _RULES},
)
