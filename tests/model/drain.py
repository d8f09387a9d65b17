"""Specification of an agent that drains while requests are in flight."""

import dataclasses

import model_checking

_RULES = {
    "refuse": "a draining agent accepts no new request",
    "finish": "an agent exits only when no request is running",
    "confirmed": "an agent exits only when its answers have arrived",
}


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of the agent and of two requests."""

    is_draining: bool = False
    has_exited: bool = False
    requests: tuple = ("new", "new")
    has_accepted_late: bool = False


def _replace_at(values, index, value):
    return values[:index] + (value,) + values[index + 1 :]


def transitions(state, removed_rules):
    """Yields the label and the next state of each enabled action."""
    if not state.is_draining:
        yield "drain", dataclasses.replace(state, is_draining=True)
    if state.is_draining and not state.has_exited:
        is_running = (
            "running" in state.requests and "finish" not in removed_rules
        )
        is_unconfirmed = (
            "answered" in state.requests and "confirmed" not in removed_rules
        )
        if not is_running and not is_unconfirmed:
            yield "exit", _exit(state)
    for index, request in enumerate(state.requests):
        for label, after in _request_actions(state, request, removed_rules):
            requests = _replace_at(state.requests, index, after)
            has_accepted_late = state.has_accepted_late or (
                after == "running" and state.is_draining
            )
            yield (
                f"{label} {index}",
                dataclasses.replace(
                    state,
                    requests=requests,
                    has_accepted_late=has_accepted_late,
                ),
            )


def _exit(state):
    requests = tuple(
        "lost" if request in ("running", "answered") else request
        for request in state.requests
    )
    return dataclasses.replace(state, has_exited=True, requests=requests)


def _request_actions(state, request, removed_rules):
    if request == "new":
        yield "send", "sent"
    if state.has_exited:
        return
    if request == "sent":
        if state.is_draining and "refuse" not in removed_rules:
            yield "refuse", "refused"
        else:
            yield "accept", "running"
    if request == "running":
        yield "answer", "answered"
    if request == "answered":
        yield "deliver answer", "arrived"


SPECIFICATION = model_checking.Specification(
    name="drain",
    initial_state=State(),
    transitions=transitions,
    invariants={
        "a planned stop loses no request": (
            lambda state: "lost" not in state.requests
        ),
        "a draining endpoint accepts no new request": (
            lambda state: not state.has_accepted_late
        ),
    },
    mutants={rule: frozenset({rule}) for rule in _RULES},
)
