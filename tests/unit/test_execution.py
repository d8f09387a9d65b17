"""Tests of how an agent executes requests, on a virtual clock."""

import agents
from twisted.internet import task

from godwitdale_verdicts import verdict


def test_queued_request_starts_while_an_agent_aborts_its_requests():
    """Guards against work that begins only to be cut off by a second stop."""
    executor, backend = agents.executor(task.Clock(), slots=2)
    sinks = [agents.submit(executor, number) for number in range(1, 6)]
    assert backend.received == ["/1", "/2"]
    executor.abort_all()
    assert backend.received == ["/1", "/2"]
    assert [sink.refusal.verdict for sink in sinks] == [
        verdict.Verdict.MAY_HAVE_RUN,
        verdict.Verdict.MAY_HAVE_RUN,
        verdict.Verdict.NOT_RUN,
        verdict.Verdict.NOT_RUN,
        verdict.Verdict.NOT_RUN,
    ]
    assert executor.in_flight == 0
