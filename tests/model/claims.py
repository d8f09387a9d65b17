"""Specification of claims on one idempotency key.

Two attempts at one request share the log; each runs at an agent of its own.
An event that was sent may be appended late, twice or never. An agent may crash
and lose its state, and an agent that was paused continues where it stopped.
The fold is the product's ``ledger.KeyState``.
"""

import dataclasses

from godwitdale_claims import ledger
from godwitdale_claims import records
import model_checking

_ATTEMPTS = ("a", "b")
_MAX_LOG_EVENTS = 4
_MAX_APPENDS_PER_EVENT = 2
_RULES = {
    "first": "an attempt runs only if its claim is the first one of the key",
    "read-back": "an agent reads its claim back before it starts the attempt",
    "void-first": (
        "a voided attempt is reported as not run only if the void came before"
        " the attempt got the key"
    ),
    "withdrawn": "a withdrawn attempt is never started",
    "own-release": "only the claimant of an attempt releases the key",
}


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of the log, the network and both attempts."""

    log: tuple = ()
    sent: frozenset = frozenset()
    phases: tuple = ("new", "new")
    runs: tuple = (0, 0)
    reported_not_run: tuple = (False, False)
    voided: tuple = (False, False)


def _event(kind, attempt):
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
        state.apply(0.0, _event(kind, attempt))
    return state


def _replace_at(values, index, value):
    return values[:index] + (value,) + values[index + 1 :]


def _send(state, kind, index):
    return dataclasses.replace(
        state, sent=state.sent | {(kind, _ATTEMPTS[index])}
    )


def _with_phase(state, index, phase):
    return dataclasses.replace(
        state, phases=_replace_at(state.phases, index, phase)
    )


def _report_not_run(state, index):
    return dataclasses.replace(
        state,
        reported_not_run=_replace_at(state.reported_not_run, index, True),
    )


def transitions(state, removed_rules):
    """Yields the label and the next state of each enabled action."""
    yield from _append_actions(state)
    for index, attempt in enumerate(_ATTEMPTS):
        yield from _claim_actions(state, index, attempt, removed_rules)
        yield from _run_actions(state, index, removed_rules)
        yield from _failure_actions(state, index, attempt, removed_rules)


def _append_actions(state):
    if len(state.log) >= _MAX_LOG_EVENTS:
        return
    for event in state.sent:
        if state.log.count(event) < _MAX_APPENDS_PER_EVENT:
            appended = dataclasses.replace(state, log=(*state.log, event))
            yield f"{event} is appended", appended


def _claim_actions(state, index, attempt, removed_rules):
    phase = state.phases[index]
    if phase == "new":
        sent = _send(_with_phase(state, index, "claiming"), "claim", index)
        yield f"{attempt} claims", sent
    if phase == "claiming":
        yield from _claim_result_actions(state, index, attempt, removed_rules)
        withdrawn = _send(_with_phase(state, index, "withdrawn"), "void", index)
        withdrawn = _send(withdrawn, "release", index)
        yield f"{attempt} is withdrawn", _report_not_run(withdrawn, index)
    may_still_win = phase == "withdrawn" and "withdrawn" in removed_rules
    if may_still_win and _fold(state.log).holder == attempt:
        yield f"withdrawn {attempt} wins", _with_phase(state, index, "won")


def _claim_result_actions(state, index, attempt, removed_rules):
    is_in_log = ("claim", attempt) in state.log
    if "read-back" in removed_rules and not is_in_log:
        yield (
            f"{attempt} wins without reading its claim back",
            _with_phase(state, index, "won"),
        )
    if not is_in_log:
        return
    holder = _fold(state.log).holder
    if holder == attempt or "first" in removed_rules:
        yield f"{attempt} wins", _with_phase(state, index, "won")
    elif holder is None:
        lost = _with_phase(state, index, "lost")
        yield f"{attempt} loses to a void", _report_not_run(lost, index)
    else:
        yield f"{attempt} loses", _with_phase(state, index, "lost")


def _run_actions(state, index, removed_rules):
    attempt = _ATTEMPTS[index]
    phase = state.phases[index]
    if phase == "won":
        started = _with_phase(state, index, "running")
        runs = _replace_at(state.runs, index, state.runs[index] + 1)
        yield f"{attempt} starts", dataclasses.replace(started, runs=runs)
        released = _send(
            _with_phase(state, index, "released"), "release", index
        )
        yield f"{attempt} is released", _report_not_run(released, index)
    if phase == "running":
        finished = _send(
            _with_phase(state, index, "finished"), "outcome", index
        )
        yield f"{attempt} finishes", finished


def _failure_actions(state, index, attempt, removed_rules):
    phase = state.phases[index]
    if phase in ("claiming", "won", "running"):
        yield (
            f"agent of {attempt} crashes",
            _with_phase(state, index, "crashed"),
        )
    if phase == "new" or state.reported_not_run[index]:
        return
    # The entry no longer reaches the agent, which may have crashed or may be
    # paused.
    if not state.voided[index]:
        voided = _replace_at(state.voided, index, True)
        sent = _send(state, "void", index)
        yield f"{attempt} is voided", dataclasses.replace(sent, voided=voided)
    elif ("void", attempt) in state.log or "void-first" in removed_rules:
        holder = _fold(state.log).holder
        if holder != attempt or "void-first" in removed_rules:
            yield (
                f"{attempt} is reported as not run",
                _report_not_run(state, index),
            )
    if (
        "own-release" in removed_rules
        and ("release", attempt) not in state.sent
    ):
        yield (
            f"{attempt} is released by another process",
            _send(state, "release", index),
        )


SPECIFICATION = model_checking.Specification(
    name="claims",
    initial_state=State(),
    transitions=transitions,
    invariants={
        "a non-idempotent request runs at most once": (
            lambda state: sum(state.runs) <= 1
        ),
        "no attempt reported as not run has run": (
            lambda state: all(
                not (is_reported and runs)
                for is_reported, runs in zip(
                    state.reported_not_run, state.runs, strict=True
                )
            )
        ),
    },
    mutants={rule: frozenset({rule}) for rule in _RULES},
)
