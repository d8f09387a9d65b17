"""Specification of the fold of the declarations of one object.

Two operators race, append answers get lost, so that records stand twice; two
instances follow by the log, by a peer's records or by a snapshot, and one of
them may restart from nothing.
"""

import dataclasses

import model_checking

_MOST_LOG = 4
_RULES = {
    "based-on": "a record counts only if it is based on the version in force",
    "forward": "a snapshot from behind changes nothing",
    "settle": "a publisher believes the fold, not the append",
    "in-order": "records are folded in the order of their offsets",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A change: who wrote it and on which version it is based."""

    author: str
    based_on: int


@dataclasses.dataclass(frozen=True, slots=True)
class Folded:
    """What an instance holds: next offset, version and value in force."""

    next_offset: int = 0
    version: int = 0
    value: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of the log, both operators and both instances."""

    log: tuple = ()
    operators: tuple = (("idle", 0), ("idle", 0))
    instances: tuple = (Folded(), Folded())
    seen: tuple = (Folded(), Folded())


def fold(folded, offset, record, removed):
    """Folds one record."""
    is_next = record.based_on == folded.version or "based-on" in removed
    if not is_next:
        return dataclasses.replace(folded, next_offset=offset + 1)
    return Folded(offset + 1, offset + 1, record.author)


def _truth(state):
    folded = Folded()
    for offset, record in enumerate(state.log):
        folded = fold(folded, offset, record, frozenset())
    return folded


def _put(values, index, value):
    return values[:index] + (value,) + values[index + 1 :]


def transitions(state, removed):
    """Yields all steps from a state."""
    for index, name in enumerate("xy"):
        yield from _operator(state, index, name, removed)
        yield from _instance(state, index, name, removed)


def _operator(state, index, name, removed):
    phase, base = state.operators[index]
    if phase == "idle":
        read = _truth(state).version
        ready = _put(state.operators, index, ("ready", read))
        yield f"{name} reads", dataclasses.replace(state, operators=ready)
    if phase in ("ready", "unsure") and len(state.log) < _MOST_LOG:
        log = (*state.log, Record(name, base))
        unsure = _put(state.operators, index, ("unsure", base))
        yield (
            f"{name} appends",
            dataclasses.replace(state, log=log, operators=unsure),
        )
    if phase == "unsure":
        won = any(
            record.author == name and _accepted(state, offset)
            for offset, record in enumerate(state.log)
        )
        if won or "settle" in removed:
            told = _put(state.operators, index, ("accepted", base))
            yield (
                f"{name} is told accepted",
                dataclasses.replace(state, operators=told),
            )


def _accepted(state, offset):
    folded = Folded()
    for position, record in enumerate(state.log[: offset + 1]):
        folded = fold(folded, position, record, frozenset())
    return folded.version == offset + 1


def _instance(state, index, name, removed):
    folded = state.instances[index]
    if folded.next_offset < len(state.log):
        record = state.log[folded.next_offset]
        after = fold(folded, folded.next_offset, record, removed)
        yield f"{name} folds", _moved(state, index, after)
    if "in-order" in removed and folded.next_offset + 1 < len(state.log):
        offset = folded.next_offset + 1
        after = fold(folded, offset, state.log[offset], removed)
        yield f"{name} skips", _moved(state, index, after)
    peer = state.instances[1 - index]
    if peer.next_offset > folded.next_offset or "forward" in removed:
        yield f"{name} takes a snapshot", _moved(state, index, peer)


def _moved(state, index, after):
    seen = state.seen[index]
    later = after if after.version > seen.version else seen
    return dataclasses.replace(
        state,
        instances=_put(state.instances, index, after),
        seen=_put(state.seen, index, later),
    )


def _agree(state):
    left, right = state.instances
    return left.next_offset != right.next_offset or left == right


def _never_reverts(state):
    return all(
        folded.version >= seen.version
        for folded, seen in zip(state.instances, state.seen, strict=True)
    )


def _told_is_true(state):
    accepted = {
        record.author
        for offset, record in enumerate(state.log)
        if _accepted(state, offset)
    }
    return all(
        phase != "accepted" or name in accepted
        for name, (phase, _) in zip("xy", state.operators, strict=True)
    )


def _matches_log(state):
    """No instance holds what the log's own order does not give."""
    for folded in state.instances:
        expected = Folded()
        for offset in range(folded.next_offset):
            expected = fold(expected, offset, state.log[offset], frozenset())
        if expected != folded:
            return False
    return True


SPECIFICATION = model_checking.Specification(
    name="declarations",
    initial=State(),
    transitions=transitions,
    promises={
        "instances at one offset hold the same": _agree,
        "what is in force never reverts": _never_reverts,
        "'accepted' is the truth": _told_is_true,
        "an instance holds what the log says": _matches_log,
    },
    mutants={rule: frozenset({rule}) for rule in _RULES},
)
