"""Checks the specifications of map changes by breadth-first search.

These searches take the longest, so they have a file of their own.
"""

import map_commands
import pytest

import model_checking


@pytest.mark.parametrize(
    "specification", map_commands.SPECIFICATIONS, ids=lambda s: s.name
)
def test_invariants_hold_in_all_states(specification):
    model_checking.assert_invariants_hold(specification)


@pytest.mark.parametrize(
    ("specification", "mutant"),
    model_checking.mutant_cases(map_commands.SPECIFICATIONS),
)
def test_mutant_violates_an_invariant(specification, mutant):
    model_checking.assert_mutant_is_detected(specification, mutant)
