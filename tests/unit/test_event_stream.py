"""Splitting of event streams that arrive in arbitrary chunks."""

import hypothesis
from hypothesis import strategies as st
import pytest

from godwitdale_gateway import event_stream

STREAM = (
    b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\ndata: d\n\n"
)


@hypothesis.given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_chunk_boundaries_do_not_change_the_events(cuts):
    splitter = event_stream.EventSplitter()
    events = []
    ends = sorted({0, len(STREAM), *cuts})
    for start, end in zip(ends, ends[1:], strict=False):
        events += splitter.feed(STREAM[start:end])
    assert b"".join(event.data for event in events) == STREAM
    assert [event.id for event in events] == [b"1", b"2", None, b"4"]
    assert not splitter.has_partial_event


@pytest.mark.parametrize("partial", [b"id: 5", b"id: 5\ndata: e\n"])
def test_an_incomplete_event_is_buffered(partial):
    splitter = event_stream.EventSplitter()
    assert splitter.feed(partial) == []
    assert splitter.has_partial_event


def test_an_event_without_end_exceeds_the_limits():
    splitter = event_stream.EventSplitter()
    for _ in range(5):
        splitter.feed(b"x" * 65536)
    assert splitter.is_too_large


def test_an_event_in_very_many_parts_exceeds_the_limits():
    splitter = event_stream.EventSplitter()
    for _ in range(5000):
        splitter.feed(b"x")
    assert splitter.is_too_large
    splitter.feed(b"\n\n")
    assert not splitter.is_too_large


@pytest.mark.parametrize(
    ("data", "event_id", "has_content"),
    [
        (b"id: 7\ndata: a\n\n", b"7", True),
        (b"id:1764932000000001\ndata: a\n\n", b"1764932000000001", True),
        (b"id: 1\nid: 2\ndata: a\n\n", b"2", True),
        (b"id: 1\nid\ndata: a\n\n", None, True),
        (b"id: part-7\ndata: a\n\n", None, True),
        (b"idle: 7\ndata: a\n\n", None, True),
        (b"id: 7\n\n", b"7", True),
        (b"data: id: 7\n\n", None, True),
        (b": id: 7\n\n", None, False),
        (b"retry: 7\n\n", None, False),
        (b"\n\n", None, False),
    ],
)
def test_id_and_content_of_an_event(data, event_id, has_content):
    (event,) = event_stream.EventSplitter().feed(data)
    assert (event.id, event.has_content) == (event_id, has_content)
