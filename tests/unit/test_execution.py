"""Tests of how an agent executes requests, on a virtual clock."""

import agents
import hypothesis
from hypothesis import strategies
import pytest
from twisted.internet import task

from godwitdale import agent_request
from godwitdale_gateway import answer_buffer
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


def test_queued_orphan_starts_while_a_running_one_is_cancelled():
    """Guards against work that begins for an entry that has gone."""
    clock = task.Clock()
    executor, backend = agents.executor(clock, slots=1)
    connection = agents.connect_entry(executor, clock)
    for number, is_repeatable in ((1, True), (2, False), (3, True)):
        connection.message_received(
            agents.submit_message(number, is_repeatable)
        )
    assert backend.received == ["/1"]
    connection.connectionLost()
    clock.advance(agents.ORPHAN_TIMEOUT_S)
    assert backend.received == ["/1"]
    assert executor.in_flight == 0


@pytest.mark.parametrize(
    "part", [b"x" * 65536, b"data: " + b"x" * 30_000 + b"\n\n"]
)
def test_answer_without_end_is_kept_by_an_agent(part):
    """Guards against agents that keep bytes until the memory is full."""
    backend = agents.EndlessBackend(part, max_bytes=48 << 20)
    executor, _ = agents.executor(task.Clock(), 2, backend)
    sink = agents.submit(executor, 1)
    assert backend.sent_bytes < 32 << 20
    assert sink.refusal.verdict is verdict.Verdict.MAY_HAVE_RUN
    assert executor.in_flight == 0


def test_answers_without_end_are_kept_by_an_agent_one_beside_the_other():
    """Guards against a limit that holds for each answer but not for all."""
    backend = agents.PausingBackend(part=b"x" * 65536, max_bytes=20 << 20)
    executor, _ = agents.executor(task.Clock(), 16, backend)
    for number in range(1, 17):
        agents.submit(executor, number)
    backend.resume()
    assert backend.open_bytes < 48 << 20
    assert executor.in_flight == 0


def test_ended_answers_leave_less_room_for_later_ones():
    """Guards against bytes of ended answers that count for ever."""
    backend = agents.EndlessBackend(b"x" * 65536, max_bytes=7 << 20)
    executor, _ = agents.executor(task.Clock(), 2, backend)
    for number in range(1, 21):
        backend.sent_bytes = 0
        sink = agents.submit(executor, number)
        assert sink.refusal is None


@hypothesis.given(
    strategies.lists(strategies.sampled_from([b"a", b"\n", b"\n\n", b"bc\n"]))
)
def test_event_streams_are_split_between_events(parts):
    """Guards against events that are split where their parts meet."""
    sink = agents.Sink()
    request = agents.agent_request_with(sink)
    usage = answer_buffer.BufferUsage()
    forwarder = agent_request.AnswerForwarder(request, 0.0, usage)
    forwarder.on_head(200, [("Content-Type", "text/event-stream")])
    for part in parts:
        assert forwarder.on_data(part)
        assert all(data.endswith(b"\n\n") for data in sink.written)
    whole = b"".join(parts)
    written = b"".join(sink.written)
    assert whole.startswith(written)
    assert b"\n\n" not in whole[len(written) :]
    forwarder.finish()
    assert b"".join(sink.written) == whole
