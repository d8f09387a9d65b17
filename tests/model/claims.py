"""Specification of claims on one idempotency key.

Two attempts at one request, each at its own agent, share the log. What was
sent may land late, twice or never; agents crash and forget; an agent that was
paused goes on where it stood. The fold is the real ``ledger.KeyState``.
"""

import dataclasses

from godwitdale_claims import ledger
from godwitdale_claims import records
import model_checking

_ATTEMPTS = ("a", "b")
_MOST_LOG = 4
_MOST_COPIES = 2
_RULES = {
    "first": "a claim runs only if it stands first for its key",
    "read-back": "an agent reads its claim back before it starts",
    "void-first": "'not run' after a void is said only if the void was first",
    "withdrawn": "a withdrawn attempt is never started",
    "own-release": "only the claimant gives a claim back",
}


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of the log, the network and both attempts."""

    log: tuple = ()
    sent: frozenset = frozenset()
    phases: tuple = ("new", "new")
    runs: tuple = (0, 0)
    told_not_run: tuple = (False, False)
    voided: tuple = (False, False)


def _entry(kind, attempt):
    if kind == "claim":
        return records.Claim("key", attempt, "body")
    if kind == "void":
        return records.Void("key", attempt)
    if kind == "release":
        return records.Release("key", attempt)
    return records.Outcome("key", attempt, 201)


def _fold(log):
    state = ledger.KeyState()
    for kind, attempt in log:
        state.apply(0.0, _entry(kind, attempt))
    return state


def _put(values, index, value):
    return values[:index] + (value,) + values[index + 1 :]


def _send(state, kind, index):
    return dataclasses.replace(
        state, sent=state.sent | {(kind, _ATTEMPTS[index])}
    )


def _phase(state, index, phase):
    return dataclasses.replace(state, phases=_put(state.phases, index, phase))


def _not_run(state, index):
    return dataclasses.replace(
        state, told_not_run=_put(state.told_not_run, index, True)
    )


def transitions(state, removed):
    """Yields all steps from a state."""
    yield from _network(state)
    for index, attempt in enumerate(_ATTEMPTS):
        yield from _claiming(state, index, attempt, removed)
        yield from _running(state, index, removed)
        yield from _failing(state, index, attempt, removed)


def _network(state):
    if len(state.log) >= _MOST_LOG:
        return
    for message in state.sent:
        if state.log.count(message) < _MOST_COPIES:
            landed = dataclasses.replace(state, log=(*state.log, message))
            yield f"{message} lands", landed


def _claiming(state, index, attempt, removed):
    phase = state.phases[index]
    if phase == "new":
        sent = _send(_phase(state, index, "claiming"), "claim", index)
        yield f"{attempt} claims", sent
    if phase == "claiming":
        yield from _deciding(state, index, attempt, removed)
        withdrawn = _send(_phase(state, index, "withdrawn"), "void", index)
        withdrawn = _send(withdrawn, "release", index)
        yield f"{attempt} is withdrawn", _not_run(withdrawn, index)
    may_forget = phase == "withdrawn" and "withdrawn" in removed
    if may_forget and _fold(state.log).holder == attempt:
        yield f"{attempt} wins late", _phase(state, index, "won")


def _deciding(state, index, attempt, removed):
    is_read = ("claim", attempt) in state.log
    if "read-back" in removed and not is_read:
        yield f"{attempt} trusts the append", _phase(state, index, "won")
    if not is_read:
        return
    holder = _fold(state.log).holder
    if holder == attempt or "first" in removed:
        yield f"{attempt} wins", _phase(state, index, "won")
    elif holder is None:
        barred = _phase(state, index, "lost")
        yield f"{attempt} is barred", _not_run(barred, index)
    else:
        yield f"{attempt} loses", _phase(state, index, "lost")


def _running(state, index, removed):
    attempt = _ATTEMPTS[index]
    phase = state.phases[index]
    if phase == "won":
        started = _phase(state, index, "running")
        runs = _put(state.runs, index, state.runs[index] + 1)
        yield f"{attempt} starts", dataclasses.replace(started, runs=runs)
        released = _send(_phase(state, index, "released"), "release", index)
        yield f"{attempt} is given back", _not_run(released, index)
    if phase == "running":
        finished = _send(_phase(state, index, "finished"), "outcome", index)
        yield f"{attempt} finishes", finished


def _failing(state, index, attempt, removed):
    phase = state.phases[index]
    if phase in ("claiming", "won", "running"):
        yield f"agent of {attempt} dies", _phase(state, index, "dead")
    if phase == "new" or state.told_not_run[index]:
        return
    # The entry has lost sight of the agent, which may be dead or paused.
    if not state.voided[index]:
        voided = _put(state.voided, index, True)
        sent = _send(state, "void", index)
        yield f"{attempt} is voided", dataclasses.replace(sent, voided=voided)
    elif ("void", attempt) in state.log or "void-first" in removed:
        holder = _fold(state.log).holder
        if holder != attempt or "void-first" in removed:
            yield f"{attempt} is told not run", _not_run(state, index)
    if "own-release" in removed and ("release", attempt) not in state.sent:
        yield f"{attempt} released by another", _send(state, "release", index)


SPECIFICATION = model_checking.Specification(
    name="claims",
    initial=State(),
    transitions=transitions,
    promises={
        "work that may not be repeated runs at most once": (
            lambda state: sum(state.runs) <= 1
        ),
        "'not run' is the truth": (
            lambda state: all(
                not (told and runs)
                for told, runs in zip(
                    state.told_not_run, state.runs, strict=True
                )
            )
        ),
    },
    mutants={rule: frozenset({rule}) for rule in _RULES},
)
