"""Streams that come in any pieces."""

import hypothesis
from hypothesis import strategies as st
import pytest

from godwitdale_gateway import event_stream

STREAM = (
    b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\ndata: d\n\n"
)


@hypothesis.given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_events_are_the_same_however_the_bytes_are_cut(cuts):
    splitter = event_stream.EventSplitter()
    found = []
    ends = sorted({0, len(STREAM), *cuts})
    for start, end in zip(ends, ends[1:], strict=False):
        found += splitter.feed(STREAM[start:end])
    assert b"".join(event.data for event in found) == STREAM
    assert [event.id for event in found] == [1, 2, None, 4]
    assert not splitter.has_partial_event


@pytest.mark.parametrize("rest", [b"id: 5", b"id: 5\ndata: e\n"])
def test_a_begun_event_is_kept_back(rest):
    splitter = event_stream.EventSplitter()
    assert splitter.feed(rest) == []
    assert splitter.has_partial_event
