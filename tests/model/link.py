"""Specification of one request over a link whose connection can fall silent.

The entry opens a second connection when the first one is silent; messages that
were sent on the first one may still arrive. The agent may restart and lose its
state. The mutant with two names removes two rules, because either of them is
enough to keep the invariants.
"""

import dataclasses

import model_checking

_RULES = {
    "revoke-truth": "only a request that has not started is revoked",
    "welcome": (
        "no message about a request is sent to another incarnation of the agent"
    ),
    "lost-is-doubt": "the loss of an agent alone never means 'not run'",
    "same-life": "a request is submitted to one incarnation of an agent only",
    "tombstone": "a request that arrives after its revocation is not started",
    "newest": "the agent reads only the newest connection of an entry",
}


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of the entry, both connections and the agent.

    Attributes:
        connections: Messages in flight from the entry, for each connection.
        is_second_open: Whether the entry has opened the second connection.
        newest_connection: Index of the newest connection known to the agent.
        agent_incarnation: Incarnation of the agent.
        submitted_incarnation: Incarnation that the request was submitted to.
        agent_state: State of the request at the agent.
        entry_state: State of the request at the entry.
        runs: How often the request was started.
        replies: Replies in flight to the entry.
    """

    connections: tuple = ((), ())
    is_second_open: bool = False
    newest_connection: int = 0
    agent_incarnation: int = 1
    submitted_incarnation: int = 1
    agent_state: str = "unknown"
    entry_state: str = "new"
    runs: int = 0
    replies: tuple = ()


def _send(state, connection, message):
    connections = list(state.connections)
    connections[connection] = (*connections[connection], message)
    return dataclasses.replace(state, connections=tuple(connections))


def _current_connection(state):
    return 1 if state.is_second_open else 0


def transitions(state, removed_rules):
    """Yields the label and the next state of each enabled action."""
    yield from _entry_actions(state, removed_rules)
    yield from _agent_actions(state, removed_rules)
    yield from _reply_actions(state)


def _entry_actions(state, removed_rules):
    if state.entry_state == "new":
        sent = _send(state, 0, "submit")
        yield "submit", dataclasses.replace(sent, entry_state="waiting")
    if state.entry_state != "waiting":
        return
    if not state.is_second_open:
        opened = dataclasses.replace(state, is_second_open=True)
        yield "open second connection", _send(opened, 1, "hello")
    # A connection ends with the agent's process. On the next connection, the
    # agent first sends its incarnation.
    is_same_incarnation = (
        state.agent_incarnation == state.submitted_incarnation
        or "welcome" in removed_rules
    )
    if (
        is_same_incarnation
        and len(state.connections[_current_connection(state)]) < 3
    ):
        yield "revoke", _send(state, _current_connection(state), "revoke")
        yield "resume", _send(state, _current_connection(state), "resume")
    if state.agent_incarnation != state.submitted_incarnation:
        yield (
            "agent is lost",
            dataclasses.replace(state, entry_state="may have run"),
        )
        if "lost-is-doubt" in removed_rules:
            yield (
                "report not run",
                dataclasses.replace(state, entry_state="not run"),
            )
        if "same-life" in removed_rules:
            again = dataclasses.replace(
                state, submitted_incarnation=state.agent_incarnation
            )
            yield (
                "submit to new incarnation",
                _send(again, _current_connection(state), "submit"),
            )


def _agent_actions(state, removed_rules):
    for connection in (0, 1):
        if not state.connections[connection]:
            continue
        is_newest = connection >= state.newest_connection
        if is_newest or "newest" in removed_rules:
            yield from _deliver(state, connection, removed_rules)
    if state.agent_state == "queued":
        started = dataclasses.replace(
            state, agent_state="running", runs=state.runs + 1
        )
        yield "start", started
    if state.agent_state == "running":
        done = dataclasses.replace(state, agent_state="done")
        yield "finish", _reply(done, "answer")
    if state.agent_incarnation == 1 and state.is_second_open:
        yield (
            "agent restarts",
            dataclasses.replace(
                state,
                agent_incarnation=2,
                agent_state="unknown",
                connections=((), ()),
                newest_connection=1,
                replies=(),
            ),
        )


def _reply(state, reply):
    if len(state.replies) >= 2:
        return state
    return dataclasses.replace(state, replies=(*state.replies, reply))


def _deliver(state, connection, removed_rules):
    message, *rest = state.connections[connection]
    connections = list(state.connections)
    connections[connection] = tuple(rest)
    state = dataclasses.replace(state, connections=tuple(connections))
    if message == "hello":
        yield "hello arrives", dataclasses.replace(state, newest_connection=1)
    elif message == "submit":
        yield "submit arrives", _on_submit(state, removed_rules)
    else:
        yield (
            f"{message} arrives",
            _on_revoke_or_resume(state, message, removed_rules),
        )


def _on_submit(state, removed_rules):
    if state.agent_state == "unknown":
        return dataclasses.replace(state, agent_state="queued")
    if state.agent_state == "revoked" and "tombstone" not in removed_rules:
        return _reply(state, "revoked")
    if state.agent_state == "revoked":
        return dataclasses.replace(state, agent_state="queued")
    return state


def _on_revoke_or_resume(state, message, removed_rules):
    is_unstarted = state.agent_state in ("unknown", "revoked")
    if message == "revoke":
        is_unstarted = is_unstarted or state.agent_state == "queued"
        if "revoke-truth" in removed_rules and state.agent_state == "running":
            return _reply(state, "revoked")
    if is_unstarted:
        return _reply(
            dataclasses.replace(state, agent_state="revoked"), "revoked"
        )
    return state


def _reply_actions(state):
    if not state.replies:
        return
    reply, *rest = state.replies
    after = dataclasses.replace(state, replies=tuple(rest))
    if state.entry_state != "waiting":
        yield "entry drops a late reply", after
    elif reply == "revoked":
        yield (
            "entry receives 'revoked'",
            dataclasses.replace(after, entry_state="not run"),
        )
    else:
        yield (
            "entry receives the answer",
            dataclasses.replace(after, entry_state="answered"),
        )


_SINGLE_RULE_MUTANTS = (
    "revoke-truth",
    "welcome",
    "lost-is-doubt",
    "same-life",
)

SPECIFICATION = model_checking.Specification(
    name="link",
    initial_state=State(),
    transitions=transitions,
    invariants={
        "a request reported as not run has not run": (
            lambda state: not (state.entry_state == "not run" and state.runs)
        ),
        "a request runs at most once": lambda state: state.runs <= 1,
    },
    mutants={
        **{rule: frozenset({rule}) for rule in _SINGLE_RULE_MUTANTS},
        "tombstone and newest": frozenset({"tombstone", "newest"}),
    },
)
