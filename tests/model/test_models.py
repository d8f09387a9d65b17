"""Every specification holds, and breaks when a rule is removed."""

import claims
import declaring
import draining
import leases
import link
import pytest
import switching

import checking

SPECIFICATIONS = [
    each.SPECIFICATION
    for each in (claims, link, declaring, switching, leases, draining)
]


@pytest.mark.parametrize("specification", SPECIFICATIONS, ids=lambda s: s.name)
def test_specification_holds(specification):
    checking.assert_holds(specification)


@pytest.mark.parametrize(
    ("specification", "mutant"), checking.mutants(SPECIFICATIONS)
)
def test_specification_breaks_without_a_rule(specification, mutant):
    checking.assert_breaks(specification, mutant)
