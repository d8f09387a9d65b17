"""The orders that change an expert map, and what breaks without a rule."""

import changing
import pytest

import checking

MUTANTS = [
    pytest.param(each, mutant, id=f"{each.name}: without {mutant}")
    for each in changing.SPECIFICATIONS
    for mutant in each.mutants
]


@pytest.mark.parametrize(
    "specification", changing.SPECIFICATIONS, ids=lambda s: s.name
)
def test_no_pass_begins_with_two_maps(specification):
    finding = checking.search(specification)
    print(f"\n{specification.name}: {finding.states} states")
    assert finding.broken == {}


@pytest.mark.parametrize(("specification", "mutant"), MUTANTS)
def test_each_rule_is_needed(specification, mutant):
    finding = checking.search(specification, specification.mutants[mutant])
    print(f"\n{specification.name} without {mutant}: {finding.broken}")
    print("  " + "; ".join(finding.trace))
    assert finding.broken
