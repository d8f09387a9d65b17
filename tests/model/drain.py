"""Specification of an agent that leaves while requests are on their way."""

import dataclasses

import model_checking

_RULES = {
    "refuse": "a leaving agent takes no new request",
    "finish": "an agent exits only when nothing is in flight",
    "confirmed": "an agent exits only when its answers have arrived",
}


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of the agent and of two requests."""

    is_leaving: bool = False
    has_exited: bool = False
    requests: tuple = ("new", "new")
    taken_late: bool = False


def _put(values, index, value):
    return values[:index] + (value,) + values[index + 1 :]


def transitions(state, removed):
    """Yields all steps from a state."""
    if not state.is_leaving:
        yield "leave", dataclasses.replace(state, is_leaving=True)
    if state.is_leaving and not state.has_exited:
        in_flight = "running" in state.requests and "finish" not in removed
        unconfirmed = (
            "answered" in state.requests and "confirmed" not in removed
        )
        if not in_flight and not unconfirmed:
            yield "exit", _exit(state)
    for index, request in enumerate(state.requests):
        for label, after in _moves(state, request, removed):
            requests = _put(state.requests, index, after)
            late = state.taken_late or (after == "running" and state.is_leaving)
            yield (
                f"{label} {index}",
                dataclasses.replace(state, requests=requests, taken_late=late),
            )


def _exit(state):
    cut = tuple(
        "cut" if request in ("running", "answered") else request
        for request in state.requests
    )
    return dataclasses.replace(state, has_exited=True, requests=cut)


def _moves(state, request, removed):
    if request == "new":
        yield "send", "sent"
    if state.has_exited:
        return
    if request == "sent":
        if state.is_leaving and "refuse" not in removed:
            yield "refuse", "refused"
        else:
            yield "take", "running"
    if request == "running":
        yield "answer", "answered"
    if request == "answered":
        yield "arrive", "arrived"


SPECIFICATION = model_checking.Specification(
    name="drain",
    initial=State(),
    transitions=transitions,
    promises={
        "a planned stop cuts off nothing": (
            lambda state: "cut" not in state.requests
        ),
        "a leaving endpoint takes no new work": (
            lambda state: not state.taken_late
        ),
    },
    mutants={rule: frozenset({rule}) for rule in _RULES},
)
