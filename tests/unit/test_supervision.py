"""Tests of tasks and periodic calls that fail unexpectedly."""

import random

import pytest
from twisted.internet import defer
from twisted.internet import task

from godwitdale_observe import logs
from godwitdale_process import supervision


@pytest.fixture
def clock():
    return task.Clock()


@pytest.fixture
def log():
    return logs.EventLog()


@pytest.fixture
def supervisor(clock, log):
    return supervision.Supervisor(clock, random.Random(1), log)


def test_failed_task_starts_again_after_a_growing_delay(supervisor, clock, log):
    started_s = []

    async def run():
        started_s.append(clock.seconds())
        raise RecursionError

    supervisor.run("follow", run)
    for _ in range(1000):
        clock.advance(0.01)
    gaps_s = [b - a for a, b in zip(started_s, started_s[1:], strict=False)]
    assert max(gaps_s) <= 2.01
    assert gaps_s[-1] > gaps_s[0]
    assert log.counts["task_failed", ""] == len(started_s)


def test_task_that_returns_is_not_started_again(supervisor, clock):
    runs = []

    async def run():
        runs.append(1)

    supervisor.run("register", run)
    clock.advance(10.0)
    assert runs == [1]


def test_periodic_call_goes_on_after_an_error(supervisor, clock, log):
    calls = []

    def call():
        calls.append(clock.seconds())
        raise OverflowError

    supervisor.call_every("tick", 0.5, call)
    clock.pump([0.5] * 6)
    assert len(calls) == 6
    assert log.counts["task_failed", ""] == 6


def test_nothing_starts_after_a_stop(supervisor, clock):
    runs = []

    async def run():
        runs.append(1)
        await defer.succeed(None)
        raise ValueError

    supervisor.run("follow", run)
    supervisor.call_every("tick", 0.5, lambda: runs.append(2))
    supervisor.stop()
    clock.advance(10.0)
    assert runs == [1]
