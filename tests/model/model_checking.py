"""Searches the states of a specification, also with some rules removed."""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Any

import minicheck
import pytest

MAX_STATES = 3_000_000
NO_RULES: frozenset[str] = frozenset()

Transition = tuple[str, Hashable]
TransitionFunction = Callable[[Any, frozenset[str]], Iterable[Transition]]


@dataclasses.dataclass(frozen=True, slots=True)
class Specification:
    """A protocol as a finite state machine.

    Attributes:
        name: Name of the protocol, which is part of the test ids.
        initial_state: The initial state.
        transitions: Takes a state and the names of the removed rules; yields
            the label and the next state of each enabled action.
        invariants: Predicates that hold in every reachable state, by name.
        mutants: Sets of rules by name of the mutant. The specification
            violates an invariant when it runs without the rules of any set.
    """

    name: str
    initial_state: Hashable
    transitions: TransitionFunction
    invariants: Mapping[str, Callable[[Any], bool]]
    mutants: Mapping[str, frozenset[str]]


@dataclasses.dataclass(frozen=True, slots=True)
class SearchResult:
    """Result of a search.

    Attributes:
        state_count: Number of reachable states.
        violations: Number of states in the shortest counterexample, by name of
            the violated invariant.
        counterexample: Labels of the actions of one counterexample.
    """

    state_count: int
    violations: dict[str, int]
    counterexample: list[str]


def mutant_cases(specifications: Iterable[Specification]) -> list[Any]:
    """Returns one test case for each mutant of each specification.

    Args:
        specifications: The specifications.
    """
    return [
        pytest.param(each, mutant, id=f"{each.name}: without {mutant}")
        for each in specifications
        for mutant in each.mutants
    ]


def assert_invariants_hold(specification: Specification) -> None:
    """Asserts that no reachable state violates an invariant."""
    result = search(specification)
    print(f"\n{specification.name}: {result.state_count} states")
    for invariant in specification.invariants:
        print(f"  holds: {invariant}")
    assert result.violations == {}


def assert_mutant_is_detected(
    specification: Specification, mutant: str
) -> None:
    """Asserts that a mutant reaches a state that violates an invariant."""
    result = search(specification, specification.mutants[mutant])
    print(f"\n{specification.name} without {mutant}: {result.violations}")
    print("  " + "; ".join(result.counterexample))
    assert result.violations


def search(
    specification: Specification, removed_rules: frozenset[str] = NO_RULES
) -> SearchResult:
    """Visits all reachable states in breadth-first order.

    Args:
        specification: The specification.
        removed_rules: Names of the rules that the specification runs without.
    """

    def on_wrapped_state(predicate):
        return lambda fields: predicate(fields["state"])

    protocol = minicheck.Protocol(
        name=specification.name,
        candidate=False,
        fields=("state",),
        initial=(specification.initial_state,),
        transitions=lambda wrapped: [
            (label, (next_state,))
            for label, next_state in specification.transitions(
                wrapped[0], removed_rules
            )
        ],
        invariants={
            name: on_wrapped_state(predicate)
            for name, predicate in specification.invariants.items()
        },
    )
    result = minicheck.check_safety(protocol, max_states=MAX_STATES)
    assert result["exhaustive"]
    violations = {}
    counterexample: list[str] = []
    for name, found in result["properties"].items():
        if not found["holds"]:
            path = found["counterexample"]
            violations[name] = len(path)
            counterexample = [each["label"] for each in path if each["label"]]
    return SearchResult(result["reachable_states"], violations, counterexample)
