"""Runs a specification, whole and with single rules removed."""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Any

import minicheck
import pytest

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


def mutants(specifications: Iterable[Specification]) -> list[Any]:
    """Returns a test case for each rule that a specification can do without.

    Args:
        specifications: Specifications that hold.
    """
    return [
        pytest.param(each, mutant, id=f"{each.name}: without {mutant}")
        for each in specifications
        for mutant in each.mutants
    ]


def assert_holds(specification: Specification) -> None:
    """Searches a specification for a state that breaks a promise."""
    finding = search(specification)
    print(f"\n{specification.name}: {finding.states} states")
    for promise in specification.promises:
        print(f"  holds: {promise}")
    assert finding.broken == {}


def assert_breaks(specification: Specification, mutant: str) -> None:
    """Searches a specification without one of its rules."""
    finding = search(specification, specification.mutants[mutant])
    print(f"\n{specification.name} without {mutant}: {finding.broken}")
    print("  " + "; ".join(finding.trace))
    assert finding.broken


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
