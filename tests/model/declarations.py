"""Specification of the fold of the declarations of one object.

Two operators race. Answers to appends get lost, so that a record may stand in
the log twice. Two instances follow the log by its records, by the records of a
peer or by a snapshot. Either may have an empty state, as after a restart, when
the other one has already folded records.
"""

import dataclasses

import model_checking

_MAX_LOG_RECORDS = 4
_RULES = {
    "based-on": "a record counts only if it is based on the version in force",
    "forward": "a snapshot with a lower offset changes nothing",
    "settle": (
        "a publisher reports acceptance when the fold accepts its record, not"
        " when it has appended the record"
    ),
    "in-order": "records are folded in the order of their offsets",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A change: its author and the version that it is based on."""

    author: str
    based_on: int


@dataclasses.dataclass(frozen=True, slots=True)
class FoldState:
    """State of an instance: next offset, version and value in force."""

    next_offset: int = 0
    version: int = 0
    value: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of the log, both operators and both instances.

    Attributes:
        log: The records.
        operators: Phase of each operator, and the version that it read.
        instances: State of each instance.
        newest: The state of the highest version that each instance had.
    """

    log: tuple = ()
    operators: tuple = (("idle", 0), ("idle", 0))
    instances: tuple = (FoldState(), FoldState())
    newest: tuple = (FoldState(), FoldState())


def fold(folded, offset, record, removed_rules):
    """Returns the state after one more record."""
    is_next = record.based_on == folded.version or "based-on" in removed_rules
    if not is_next:
        return dataclasses.replace(folded, next_offset=offset + 1)
    return FoldState(offset + 1, offset + 1, record.author)


def _fold_log(state):
    folded = FoldState()
    for offset, record in enumerate(state.log):
        folded = fold(folded, offset, record, frozenset())
    return folded


def _replace_at(values, index, value):
    return values[:index] + (value,) + values[index + 1 :]


def transitions(state, removed_rules):
    """Yields the label and the next state of each enabled action."""
    for index, name in enumerate("xy"):
        yield from _operator_actions(state, index, name, removed_rules)
        yield from _instance_actions(state, index, name, removed_rules)


def _operator_actions(state, index, name, removed_rules):
    phase, base = state.operators[index]
    if phase == "idle":
        version = _fold_log(state).version
        ready = _replace_at(state.operators, index, ("ready", version))
        yield (
            f"operator {name} reads",
            dataclasses.replace(state, operators=ready),
        )
    if phase in ("ready", "unconfirmed") and len(state.log) < _MAX_LOG_RECORDS:
        log = (*state.log, Record(name, base))
        unconfirmed = _replace_at(state.operators, index, ("unconfirmed", base))
        yield (
            f"operator {name} appends",
            dataclasses.replace(state, log=log, operators=unconfirmed),
        )
    if phase == "unconfirmed":
        is_accepted = any(
            record.author == name and _is_accepted(state, offset)
            for offset, record in enumerate(state.log)
        )
        if is_accepted or "settle" in removed_rules:
            accepted = _replace_at(state.operators, index, ("accepted", base))
            yield (
                f"operator {name} receives 'accepted'",
                dataclasses.replace(state, operators=accepted),
            )


def _is_accepted(state, offset):
    folded = FoldState()
    for position, record in enumerate(state.log[: offset + 1]):
        folded = fold(folded, position, record, frozenset())
    return folded.version == offset + 1


def _instance_actions(state, index, name, removed_rules):
    folded = state.instances[index]
    if folded.next_offset < len(state.log):
        record = state.log[folded.next_offset]
        after = fold(folded, folded.next_offset, record, removed_rules)
        yield (
            f"instance {name} folds a record",
            _with_instance(state, index, after),
        )
    if "in-order" in removed_rules and folded.next_offset + 1 < len(state.log):
        offset = folded.next_offset + 1
        after = fold(folded, offset, state.log[offset], removed_rules)
        yield (
            f"instance {name} skips a record",
            _with_instance(state, index, after),
        )
    peer = state.instances[1 - index]
    if peer.next_offset > folded.next_offset or "forward" in removed_rules:
        yield (
            f"instance {name} takes a snapshot",
            _with_instance(state, index, peer),
        )


def _with_instance(state, index, after):
    newest = state.newest[index]
    newer = after if after.version > newest.version else newest
    return dataclasses.replace(
        state,
        instances=_replace_at(state.instances, index, after),
        newest=_replace_at(state.newest, index, newer),
    )


def _are_equal_at_same_offset(state):
    left, right = state.instances
    return left.next_offset != right.next_offset or left == right


def _never_reverts(state):
    return all(
        folded.version >= newest.version
        for folded, newest in zip(state.instances, state.newest, strict=True)
    )


def _are_acceptances_true(state):
    accepted = {
        record.author
        for offset, record in enumerate(state.log)
        if _is_accepted(state, offset)
    }
    return all(
        phase != "accepted" or name in accepted
        for name, (phase, _) in zip("xy", state.operators, strict=True)
    )


def _matches_log(state):
    """Returns whether each instance equals the fold of the log in order."""
    for folded in state.instances:
        expected = FoldState()
        for offset in range(folded.next_offset):
            expected = fold(expected, offset, state.log[offset], frozenset())
        if expected != folded:
            return False
    return True


SPECIFICATION = model_checking.Specification(
    name="declarations",
    initial_state=State(),
    transitions=transitions,
    invariants={
        "instances at one offset have equal states": (
            _are_equal_at_same_offset
        ),
        "no instance reverts to an older version": _never_reverts,
        "the fold has accepted each change reported as accepted": (
            _are_acceptances_true
        ),
        "an instance equals the fold of the log": _matches_log,
    },
    mutants={rule: frozenset({rule}) for rule in _RULES},
)
