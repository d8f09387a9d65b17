"""Checks the specifications and their mutants by breadth-first search."""

import claims
import declarations
import drain
import leases
import link
import map_switch
import pytest

import model_checking

SPECIFICATIONS = [
    each.SPECIFICATION
    for each in (claims, link, declarations, map_switch, leases, drain)
]


@pytest.mark.parametrize("specification", SPECIFICATIONS, ids=lambda s: s.name)
def test_invariants_hold_in_all_states(specification):
    model_checking.assert_invariants_hold(specification)


@pytest.mark.parametrize(
    ("specification", "mutant"), model_checking.mutant_cases(SPECIFICATIONS)
)
def test_mutant_violates_an_invariant(specification, mutant):
    model_checking.assert_mutant_is_detected(specification, mutant)
