"""Specification of orders under leases, with an engine that ignores numbers.

Two holders both believe that they act; the agent's fence is the real one. An
agent may restart and forget the highest number.
"""

import dataclasses

from godwitdale_experts import fencing
import model_checking

_RULES = {
    "fence": "an order with an old number does not pass",
    "head": "a restarted agent reads the log's head before any order",
}


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of the log, orders under way, the fence and the engine."""

    leases: int = 1
    orders: frozenset = frozenset()
    highest: int | None = 0
    executed: tuple = ()
    restarts: int = 0


def transitions(state, removed):
    """Yields all steps from a state."""
    if state.leases < 3:
        yield "new lease", dataclasses.replace(state, leases=state.leases + 1)
    for number in range(state.leases):
        yield (
            f"holder {number} orders",
            dataclasses.replace(state, orders=state.orders | {number}),
        )
    for number in state.orders:
        yield from _arrive(state, number, removed)
    if state.restarts < 1:
        highest = 0 if "head" in removed else None
        yield (
            "agent restarts",
            dataclasses.replace(state, highest=highest, restarts=1),
        )
    if state.highest is None:
        fence = fencing.FencingGuard()
        fence.restore(state.leases - 1)
        yield (
            "reads head",
            dataclasses.replace(state, highest=fence.highest_token),
        )


def _arrive(state, number, removed):
    fence = fencing.FencingGuard()
    fence.highest_token = state.highest
    passes = fence.admit(number) or "fence" in removed
    after = dataclasses.replace(
        state, orders=state.orders - {number}, highest=fence.highest_token
    )
    if passes and len(state.executed) < 4:
        executed = (*state.executed, number)
        after = dataclasses.replace(after, executed=executed)
    yield f"order {number} arrives", after


SPECIFICATION = model_checking.Specification(
    name="leases",
    initial=State(),
    transitions=transitions,
    promises={
        "no order follows one of a later holder": (
            lambda state: list(state.executed) == sorted(state.executed)
        ),
    },
    mutants={rule: frozenset({rule}) for rule in _RULES},
)
