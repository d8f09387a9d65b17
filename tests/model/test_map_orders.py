"""The orders that change an expert map, and what breaks without a rule.

Apart from the other specifications, as this search takes the longest.
"""

import changing
import pytest

import checking


@pytest.mark.parametrize(
    "specification", changing.SPECIFICATIONS, ids=lambda s: s.name
)
def test_no_pass_begins_with_two_maps(specification):
    checking.assert_holds(specification)


@pytest.mark.parametrize(
    ("specification", "mutant"), checking.mutants(changing.SPECIFICATIONS)
)
def test_each_rule_is_needed(specification, mutant):
    checking.assert_breaks(specification, mutant)
