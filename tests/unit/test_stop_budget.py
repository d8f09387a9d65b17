"""Tests of the time that a stopping process has left for its requests."""

import pytest

from godwitdale_routing import stop_budget as stop_budget_lib

STOP_TIMEOUT_S = 8.0
TENTHS_OF_THE_STOP = [number / 10 for number in range(81)]


def stopping(at_s=0.0):
    budget = stop_budget_lib.StopBudget(STOP_TIMEOUT_S)
    budget.start(at_s)
    return budget


@pytest.mark.parametrize("elapsed_s", TENTHS_OF_THE_STOP)
@pytest.mark.parametrize("timeout_s", [0.05, 0.3, 0.7, 1.6, 3.0, 8.0, 30.0])
def test_admitted_request_ends_before_the_connections_close(
    elapsed_s, timeout_s
):
    """Guards against requests that are cut off at the end of a stop."""
    budget = stopping()
    if budget.may_begin(False, elapsed_s + timeout_s, elapsed_s):
        assert elapsed_s + timeout_s <= budget.drain_s < STOP_TIMEOUT_S - 0.5


@pytest.mark.parametrize("elapsed_s", TENTHS_OF_THE_STOP)
def test_streams_begin_only_in_the_first_seconds(elapsed_s):
    budget = stopping(at_s=100.0)
    may_begin = budget.may_begin(True, 200.0, 100.0 + elapsed_s)
    assert may_begin == (elapsed_s < 2.5)
    left_s = budget.stream_window_left_s(100.0 + elapsed_s)
    assert left_s == pytest.approx(max(0.0, 2.5 - elapsed_s))


def test_everything_begins_before_a_stop():
    budget = stop_budget_lib.StopBudget(STOP_TIMEOUT_S)
    assert budget.may_begin(True, 1e9, 0.0)
    assert budget.may_begin(False, 1e9, 0.0)
    assert not budget.is_stopping


@pytest.mark.parametrize("is_stream", [True, False])
def test_nothing_begins_while_connections_close(is_stream):
    """Guards against requests that arrive just before an idle entry exits."""
    budget = stopping()
    budget.close()
    assert not budget.may_begin(is_stream, 2.8, 2.7)


def test_streams_do_not_outlast_a_short_stop():
    budget = stop_budget_lib.StopBudget(1.0)
    budget.start(0.0)
    assert not budget.may_begin(True, 9.0, 0.5)
