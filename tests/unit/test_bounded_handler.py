"""Log lines for a reader that is slow, gone, or flooded."""

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


def handler_of(writer):
    handler = bounded_handler.BoundedHandler(writer)
    handler.setFormatter(logging.Formatter('{"message": "%(message)s"}'))
    return handler


def emit(handler, kind, count, size=0):
    for _ in range(count):
        record = logging.makeLogRecord({"msg": kind + " " * size})
        handler.emit(record)


def test_lines_are_written_at_once(pipe):
    reader, writer = pipe
    emit(handler_of(writer), "started", 2)
    assert os.read(reader, 4096).count(b"started") == 2


def test_a_reader_that_never_reads_is_not_waited_for(pipe):
    _, writer = pipe
    handler = handler_of(writer)
    for number in range(2000):
        emit(handler, f"kind {number}", 1, size=500)
    assert handler.dropped > 0


def test_what_waits_is_written_whole_once_it_is_read(pipe):
    reader, writer = pipe
    handler = handler_of(writer)
    for number in range(200):
        emit(handler, f"kind {number}", 1, size=900)
    os.set_blocking(reader, False)
    seen = b""
    while True:
        handler.flush()
        try:
            seen += os.read(reader, 65536)
        except BlockingIOError:
            break
    assert [json.loads(line) for line in seen.splitlines()]
    assert seen.count(b"\n") + handler.dropped == 200


def test_a_flood_of_one_kind_is_left_out_and_told(pipe, monkeypatch):
    reader, writer = pipe
    now = [100.0]
    monkeypatch.setattr(bounded_handler.time, "monotonic", lambda: now[0])
    handler = handler_of(writer)
    emit(handler, "refused", 500)
    now[0] += 1.5
    emit(handler, "stopped", 1)
    seen = os.read(reader, 1 << 20)
    assert seen.count(b"refused") < 100
    assert b"lines_left_out" in seen
    assert b"stopped" in seen


def test_a_reader_that_is_gone_does_no_harm(pipe):
    reader, writer = pipe
    handler = handler_of(writer)
    os.close(reader)
    emit(handler, "refused", 3)
    assert handler.dropped == 3


def test_metrics_are_rendered_as_text():
    found = histograms.Histograms(2)
    found.record(histograms.Metric.TOTAL, "llm/stream", "mill", 0.25)
    counts = {("refused", "overloaded"): 3}
    text = exposition.render(counts, {"endpoints": 2.0}, found.summaries())
    assert 'events_total{event="refused",reason="overloaded"} 3' in text
    assert "godwitdale_endpoints 2" in text
    assert 'whole_time_seconds_count{account="mill"} 1' in text
