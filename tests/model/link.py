"""Specification of one request over a link that can fall silent.

The entry opens a second connection when the first is silent; what was sent on
the first may still arrive. The agent may restart and forget. The rule sets
with two names remove two guards of which either one is enough.
"""

import dataclasses

import model_checking

_RULES = {
    "revoke-truth": "only a request that has not started is revoked",
    "welcome": "nothing about a request is sent to another life of the agent",
    "lost-is-doubt": "a lost agent alone never means 'not run'",
    "same-life": "a request is handed to one life of an agent only",
    "tombstone": "a revoked request that comes later is not started",
    "newest": "the agent reads only the newest connection of an entry",
}


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of the entry, both connections and the agent."""

    wires: tuple = ((), ())
    is_second_open: bool = False
    agent_reads: int = 0
    agent_life: int = 1
    entry_life: int = 1
    agent: str = "unknown"
    entry: str = "new"
    runs: int = 0
    replies: tuple = ()


def _send(state, wire, message):
    wires = list(state.wires)
    wires[wire] = (*wires[wire], message)
    return dataclasses.replace(state, wires=tuple(wires))


def _live(state):
    return 1 if state.is_second_open else 0


def transitions(state, removed):
    """Yields all steps from a state."""
    yield from _entry(state, removed)
    yield from _agent(state, removed)
    yield from _replies(state)


def _entry(state, removed):
    if state.entry == "new":
        sent = _send(state, 0, "submit")
        yield "submit", dataclasses.replace(sent, entry="waiting")
    if state.entry != "waiting":
        return
    if not state.is_second_open:
        opened = dataclasses.replace(state, is_second_open=True)
        yield "open again", _send(opened, 1, "hello")
    # A connection does not outlive the agent; the next one starts with the
    # agent telling its incarnation.
    is_same_life = state.agent_life == state.entry_life or "welcome" in removed
    if is_same_life and len(state.wires[_live(state)]) < 3:
        yield "revoke", _send(state, _live(state), "revoke")
        yield "resume", _send(state, _live(state), "resume")
    if state.agent_life != state.entry_life:
        yield "agent is lost", dataclasses.replace(state, entry="in doubt")
        if "lost-is-doubt" in removed:
            yield "says not run", dataclasses.replace(state, entry="not run")
        if "same-life" in removed:
            again = dataclasses.replace(state, entry_life=state.agent_life)
            yield "submit to new life", _send(again, _live(state), "submit")


def _agent(state, removed):
    for wire in (0, 1):
        if not state.wires[wire]:
            continue
        is_newest = wire >= state.agent_reads
        if is_newest or "newest" in removed:
            yield from _deliver(state, wire, removed)
    if state.agent == "queued":
        started = dataclasses.replace(
            state, agent="running", runs=state.runs + 1
        )
        yield "start", started
    if state.agent == "running":
        done = dataclasses.replace(state, agent="done")
        yield "finish", _reply(done, "answer")
    if state.agent_life == 1 and state.is_second_open:
        yield (
            "agent restarts",
            dataclasses.replace(
                state,
                agent_life=2,
                agent="unknown",
                wires=((), ()),
                agent_reads=1,
                replies=(),
            ),
        )


def _reply(state, reply):
    if len(state.replies) >= 2:
        return state
    return dataclasses.replace(state, replies=(*state.replies, reply))


def _deliver(state, wire, removed):
    message, *rest = state.wires[wire]
    wires = list(state.wires)
    wires[wire] = tuple(rest)
    state = dataclasses.replace(state, wires=tuple(wires))
    if message == "hello":
        yield "hello", dataclasses.replace(state, agent_reads=1)
    elif message == "submit":
        yield "submit arrives", _take_submit(state, removed)
    else:
        yield f"{message} arrives", _take_revoke(state, message, removed)


def _take_submit(state, removed):
    if state.agent == "unknown":
        return dataclasses.replace(state, agent="queued")
    if state.agent == "revoked" and "tombstone" not in removed:
        return _reply(state, "never")
    if state.agent == "revoked":
        return dataclasses.replace(state, agent="queued")
    return state


def _take_revoke(state, message, removed):
    is_unstarted = state.agent in ("unknown", "revoked")
    if message == "revoke":
        is_unstarted = is_unstarted or state.agent == "queued"
        if "revoke-truth" in removed and state.agent == "running":
            return _reply(state, "never")
    if is_unstarted:
        return _reply(dataclasses.replace(state, agent="revoked"), "never")
    return state


def _replies(state):
    if not state.replies:
        return
    reply, *rest = state.replies
    after = dataclasses.replace(state, replies=tuple(rest))
    if state.entry != "waiting":
        yield "late reply is dropped", after
    elif reply == "never":
        yield "told never", dataclasses.replace(after, entry="not run")
    else:
        yield "told answer", dataclasses.replace(after, entry="answered")


_ALONE = ("revoke-truth", "welcome", "lost-is-doubt", "same-life")

SPECIFICATION = model_checking.Specification(
    name="link",
    initial=State(),
    transitions=transitions,
    promises={
        "'not run' is the truth": (
            lambda state: not (state.entry == "not run" and state.runs)
        ),
        "a request runs at most once": lambda state: state.runs <= 1,
    },
    mutants={
        **{rule: frozenset({rule}) for rule in _ALONE},
        "tombstone and newest": frozenset({"tombstone", "newest"}),
    },
)
