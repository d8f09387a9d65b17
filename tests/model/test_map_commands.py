"""The orders that change an expert map, and what breaks without a rule.

Apart from the other specifications, as this search takes the longest.
"""

import map_commands
import pytest

import model_checking


@pytest.mark.parametrize(
    "specification", map_commands.SPECIFICATIONS, ids=lambda s: s.name
)
def test_no_pass_begins_with_two_maps(specification):
    model_checking.assert_holds(specification)


@pytest.mark.parametrize(
    ("specification", "mutant"),
    model_checking.mutants(map_commands.SPECIFICATIONS),
)
def test_each_rule_is_needed(specification, mutant):
    model_checking.assert_breaks(specification, mutant)
