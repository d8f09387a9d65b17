"""Tests of the retry budgets of several entries."""

import pytest

from godwitdale_routing import retries

ENTRIES = 10
RATIO = 0.2
SLACK = 184.0
REQUESTS = 465


@pytest.mark.parametrize("share", [0.5, 1.0])
def test_entries_that_divide_the_slack_do_not_exceed_it_in_total(share):
    """Guards against entries that each use the whole slack.

    When all endpoints refused, such entries sent 357 retries where 277 were
    allowed.
    """
    budgets = [
        retries.BudgetsByService(RATIO * share, SLACK * share / ENTRIES)
        for _ in range(ENTRIES)
    ]
    taken = 0
    for request in range(REQUESTS):
        budget = budgets[request % ENTRIES]
        budget.record_request("llm")
        taken += sum(budget.budget_for("llm").try_take() for _ in range(3))
    assert 0 < taken <= RATIO * REQUESTS + SLACK


def test_a_smaller_slack_removes_the_retries_above_it():
    budgets = retries.BudgetsByService(0.0, 20.0)
    assert budgets.budget_for("llm").try_take()
    budgets.set_max_tokens(2.0)
    assert [budgets.budget_for("llm").try_take() for _ in range(4)].count(
        True
    ) == 2


def test_a_larger_slack_can_be_used_at_once():
    budgets = retries.BudgetsByService(0.0, 1.0)
    assert budgets.budget_for("llm").try_take()
    budgets.set_max_tokens(3.0)
    assert [budgets.budget_for("llm").try_take() for _ in range(4)].count(
        True
    ) == 2


def test_services_have_separate_budgets():
    budgets = retries.BudgetsByService(0.0, 1.0)
    assert budgets.budget_for("llm").try_take()
    assert budgets.budget_for("app").try_take()
