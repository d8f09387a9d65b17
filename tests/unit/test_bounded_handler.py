"""Tests of the bounded log handler and of the Prometheus text format."""

import contextlib
import json
import logging
import os

import pytest

from godwitdale_observe import bounded_handler
from godwitdale_observe import exposition
from godwitdale_observe import histograms


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    for descriptor in (reader, writer):
        with contextlib.suppress(OSError):
            os.close(descriptor)


def make_handler(writer):
    handler = bounded_handler.BoundedHandler(writer)
    handler.setFormatter(logging.Formatter('{"message": "%(message)s"}'))
    return handler


def emit(handler, event, count, padding_bytes=0):
    for _ in range(count):
        record = logging.makeLogRecord({"msg": event + " " * padding_bytes})
        handler.emit(record)


def test_lines_are_written_immediately(pipe):
    reader, writer = pipe
    emit(make_handler(writer), "started", 2)
    assert os.read(reader, 4096).count(b"started") == 2


def test_emit_does_not_block_when_the_reader_never_reads(pipe):
    _, writer = pipe
    handler = make_handler(writer)
    for number in range(2000):
        emit(handler, f"event {number}", 1, padding_bytes=500)
    assert handler.dropped > 0


def test_buffered_lines_are_written_completely_when_the_reader_reads(pipe):
    reader, writer = pipe
    handler = make_handler(writer)
    for number in range(200):
        emit(handler, f"event {number}", 1, padding_bytes=900)
    os.set_blocking(reader, False)
    output = b""
    while True:
        handler.flush()
        try:
            output += os.read(reader, 65536)
        except BlockingIOError:
            break
    assert [json.loads(line) for line in output.splitlines()]
    assert output.count(b"\n") + handler.dropped == 200


def test_lines_over_the_rate_limit_are_left_out_and_reported(pipe, monkeypatch):
    reader, writer = pipe
    now = [100.0]
    monkeypatch.setattr(bounded_handler.time, "monotonic", lambda: now[0])
    handler = make_handler(writer)
    emit(handler, "refused", 500)
    now[0] += 1.5
    emit(handler, "stopped", 1)
    output = os.read(reader, 1 << 20)
    assert output.count(b"refused") < 100
    assert b"lines_left_out" in output
    assert b"stopped" in output


def test_lines_for_a_closed_reader_are_dropped(pipe):
    reader, writer = pipe
    handler = make_handler(writer)
    os.close(reader)
    emit(handler, "refused", 3)
    assert handler.dropped == 3


def test_metrics_are_rendered_in_the_prometheus_format():
    recorded = histograms.Histograms(2)
    recorded.record(histograms.Metric.TOTAL, "llm/stream", "mill", 0.25)
    counts = {("refused", "overloaded"): 3}
    text = exposition.render(counts, {"endpoints": 2.0}, recorded.summaries())
    assert 'events_total{event="refused",reason="overloaded"} 3' in text
    assert "godwitdale_endpoints 2" in text
    assert 'whole_time_seconds_count{account="mill"} 1' in text
