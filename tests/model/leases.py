"""Specification of commands under leases, to an engine without fencing.

A holder may still send commands after a later one has replaced it, because
both believe that they hold the lease. The engine ignores fencing tokens; the
agent checks them with the product's ``fencing.FencingGuard``. The agent may
restart and forget the highest token.
"""

import dataclasses

from godwitdale_experts import fencing
import model_checking

_RULES = {
    "fence": "a command with an old fencing token is rejected",
    "head": "a restarted agent reads the log's head before any command",
}


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of the log, the commands in flight, the guard and the engine."""

    leases: int = 1
    commands: frozenset = frozenset()
    highest_token: int | None = 0
    executed: tuple = ()
    restarts: int = 0


def transitions(state, removed_rules):
    """Yields the label and the next state of each enabled action."""
    if state.leases < 3:
        yield "new lease", dataclasses.replace(state, leases=state.leases + 1)
    for token in range(state.leases):
        yield (
            f"holder {token} sends a command",
            dataclasses.replace(state, commands=state.commands | {token}),
        )
    for token in state.commands:
        yield from _deliver(state, token, removed_rules)
    if state.restarts < 1:
        highest_token = 0 if "head" in removed_rules else None
        yield (
            "agent restarts",
            dataclasses.replace(state, highest_token=highest_token, restarts=1),
        )
    if state.highest_token is None:
        guard = fencing.FencingGuard()
        guard.restore(state.leases - 1)
        yield (
            "agent reads the log's head",
            dataclasses.replace(state, highest_token=guard.highest_token),
        )


def _deliver(state, token, removed_rules):
    guard = fencing.FencingGuard()
    guard.highest_token = state.highest_token
    is_admitted = guard.admit(token) or "fence" in removed_rules
    after = dataclasses.replace(
        state,
        commands=state.commands - {token},
        highest_token=guard.highest_token,
    )
    if is_admitted and len(state.executed) < 4:
        executed = (*state.executed, token)
        after = dataclasses.replace(after, executed=executed)
    yield f"command of holder {token} arrives", after


SPECIFICATION = model_checking.Specification(
    name="leases",
    initial_state=State(),
    transitions=transitions,
    invariants={
        "no command is executed after one of a later holder": (
            lambda state: list(state.executed) == sorted(state.executed)
        ),
    },
    mutants={rule: frozenset({rule}) for rule in _RULES},
)
