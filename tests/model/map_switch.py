"""Specification of the two-phase switch of expert maps.

It runs the product's functions of ``two_phase_switch``. Two ranks run in
lockstep. Either of two lease holders may append commit. A rank may be replaced
and lose its state, and any process may append abort. Reading the log is an
action of its own, so a rank may be cut off from the log for any time.
"""

import dataclasses

from godwitdale_experts import two_phase_switch
import model_checking

_SWITCH_STEP = 2
_MAX_STEP = 4
_MAX_DECISIONS = 2
_MAX_REPLACEMENTS = 2
_PROPOSAL = two_phase_switch.Proposal(change=1, new_map=1, step=_SWITCH_STEP)
_RULES = {
    "first": "only the first decision record counts",
    "all": "commit is appended only when all ranks have voted",
    "hold": "a rank that has voted waits for the decision",
    "relearn": "a replaced rank learns the proposal before its first step",
    "past": "a rank that is replaced after the switch step does not vote",
    "in-time": "a rank that is past the switch step does not vote",
}


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of the log, the votes that the holder knows, and both ranks.

    Attributes:
        is_proposed: Whether the log has the proposal.
        decisions: Decision records in the log.
        votes: Indices of the ranks that have voted for the proposal.
        ranks: State of each rank.
        steps: Next step of each rank.
        maps: For each step, the map that each rank used, or None.
        replacements: How often a rank was replaced.
    """

    is_proposed: bool = False
    decisions: tuple = ()
    votes: frozenset = frozenset()
    ranks: tuple = (
        two_phase_switch.RankState(0),
        two_phase_switch.RankState(0),
    )
    steps: tuple = (0, 0)
    maps: tuple = ((0, 0),)
    replacements: int = 0


def _replace_at(values, index, value):
    return values[:index] + (value,) + values[index + 1 :]


def _decision(state, removed_rules):
    if "first" in removed_rules:
        return state.decisions[-1] if state.decisions else None
    return two_phase_switch.first_decision(state.decisions)


def transitions(state, removed_rules):
    """Yields the label and the next state of each enabled action."""
    if not state.is_proposed:
        yield "propose", dataclasses.replace(state, is_proposed=True)
    yield from _decide_actions(state, removed_rules)
    for index in (0, 1):
        yield from _prepare_actions(state, index, removed_rules)
        yield from _learn_actions(state, index, removed_rules)
        yield from _step_actions(state, index, removed_rules)
        yield from _replace_actions(state, index, removed_rules)


def _decide_actions(state, removed_rules):
    if not state.is_proposed or len(state.decisions) >= _MAX_DECISIONS:
        return
    if len(state.votes) == 2 or "all" in removed_rules:
        commit = (*state.decisions, two_phase_switch.Decision.COMMIT)
        yield "commit", dataclasses.replace(state, decisions=commit)
    abort = (*state.decisions, two_phase_switch.Decision.ABORT)
    yield "abort", dataclasses.replace(state, decisions=abort)


def _prepare_actions(state, index, removed_rules):
    if not state.is_proposed:
        return
    next_step = state.steps[index]
    if "in-time" in removed_rules:
        next_step = 0
    after, has_voted = two_phase_switch.prepare(
        state.ranks[index], _PROPOSAL, next_step
    )
    if has_voted:
        yield (
            f"rank {index} votes",
            dataclasses.replace(
                state,
                ranks=_replace_at(state.ranks, index, after),
                votes=state.votes | {index},
            ),
        )


def _learn_actions(state, index, removed_rules):
    decision = _decision(state, removed_rules)
    if decision is not None:
        after = two_phase_switch.learn_decision(
            state.ranks[index], _PROPOSAL, decision
        )
        yield (
            f"rank {index} learns {decision.value}",
            dataclasses.replace(
                state, ranks=_replace_at(state.ranks, index, after)
            ),
        )


def _step_actions(state, index, removed_rules):
    step = state.steps[index]
    if step >= _MAX_STEP or step > min(state.steps):
        return
    after = two_phase_switch.enter_step(state.ranks[index], step)
    if after is None and "hold" in removed_rules:
        after = two_phase_switch.RankState(state.ranks[index].current_map)
    if after is None:
        return
    yield (
        f"rank {index} runs step {step} on map {after.current_map}",
        dataclasses.replace(
            state,
            ranks=_replace_at(state.ranks, index, after),
            steps=_replace_at(state.steps, index, step + 1),
            maps=_record_map(state.maps, step, index, after.current_map),
        ),
    )


def _record_map(maps, step, index, used_map):
    while len(maps) <= step:
        maps = (*maps, (None, None))
    return _replace_at(maps, step, _replace_at(maps[step], index, used_map))


def _replace_actions(state, index, removed_rules):
    if state.replacements >= _MAX_REPLACEMENTS:
        return
    is_undecided = state.is_proposed and not state.decisions
    if "relearn" in removed_rules:
        rejoined = two_phase_switch.RankState(0)
    elif "past" in removed_rules and is_undecided:
        rejoined = two_phase_switch.RankState(0, _PROPOSAL)
    else:
        rejoined = two_phase_switch.rejoin(
            0,
            _PROPOSAL if state.is_proposed else None,
            _decision(state, removed_rules),
            state.steps[index],
        )
    yield (
        f"rank {index} is replaced",
        dataclasses.replace(
            state,
            ranks=_replace_at(state.ranks, index, rejoined),
            replacements=state.replacements + 1,
        ),
    )


def _use_same_map(state):
    return all(
        left is None or right is None or left == right
        for left, right in state.maps[: min(state.steps) + 1]
    )


SPECIFICATION = model_checking.Specification(
    name="expert map switch",
    initial_state=State(maps=((None, None),)),
    transitions=transitions,
    invariants={"all ranks use the same map in each step": _use_same_map},
    mutants={rule: frozenset({rule}) for rule in _RULES},
)
