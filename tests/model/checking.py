"""Runs a specification, whole and with single rules removed."""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Any

import minicheck

MOST_STATES = 3_000_000
NOTHING_REMOVED: frozenset[str] = frozenset()

Step = tuple[str, Hashable]
Transitions = Callable[[Any, frozenset[str]], Iterable[Step]]


@dataclasses.dataclass(frozen=True, slots=True)
class Specification:
    """A protocol as a finite state machine.

    Attributes:
        name: Its name.
        initial: The initial state.
        transitions: Takes a state and the rules that are removed.
        promises: Invariants by the promise that they stand for.
        mutants: Sets of rules; removing any set must break a promise.
    """

    name: str
    initial: Hashable
    transitions: Transitions
    promises: Mapping[str, Callable[[Any], bool]]
    mutants: Mapping[str, frozenset[str]]


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """What a search found.

    Attributes:
        states: Number of states reached.
        broken: Length of the shortest counterexample by broken promise.
        trace: Labels of the steps of one counterexample.
    """

    states: int
    broken: dict[str, int]
    trace: list[str]


def search(
    specification: Specification, removed: frozenset[str] = NOTHING_REMOVED
) -> Finding:
    """Searches all states of a specification.

    Args:
        specification: What to search.
        removed: Rules that are removed.
    """

    def invariant(promise):
        return lambda state: promise(state["state"])

    protocol = minicheck.Protocol(
        name=specification.name,
        candidate=False,
        fields=("state",),
        initial=(specification.initial,),
        transitions=lambda wrapped: [
            (label, (after,))
            for label, after in specification.transitions(wrapped[0], removed)
        ],
        invariants={
            name: invariant(promise)
            for name, promise in specification.promises.items()
        },
    )
    result = minicheck.check_safety(protocol, max_states=MOST_STATES)
    assert result["exhaustive"]
    broken = {}
    trace: list[str] = []
    for name, found in result["properties"].items():
        if not found["holds"]:
            steps = found["counterexample"]
            broken[name] = len(steps)
            trace = [step["label"] for step in steps if step["label"]]
    return Finding(result["reachable_states"], broken, trace)
