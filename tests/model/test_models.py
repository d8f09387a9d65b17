"""Every specification holds, and breaks when a rule is removed."""

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
def test_specification_holds(specification):
    model_checking.assert_holds(specification)


@pytest.mark.parametrize(
    ("specification", "mutant"), model_checking.mutants(SPECIFICATIONS)
)
def test_specification_breaks_without_a_rule(specification, mutant):
    model_checking.assert_breaks(specification, mutant)
