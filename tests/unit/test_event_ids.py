"""Tests of the ids of events and of their order."""

import hypothesis
from hypothesis import strategies as st
import pytest

from godwitdale_gateway import event_ids


@pytest.mark.parametrize(
    ("value", "event_id"),
    [
        (b" 17 ", b"17"),
        (b"007", b"007"),
        (b"1764932000000001", b"1764932000000001"),
        (b"9" * 256, b"9" * 256),
        (b"9" * 257, None),
        (b"", None),
        (b"-1", None),
        (b"1.5", None),
        (b"part-17", None),
        ("\u0661".encode(), None),
    ],
)
def test_only_decimal_numbers_are_ids(value, event_id):
    assert event_ids.parse(value) == event_id


@hypothesis.given(
    st.integers(0, 10**40), st.integers(0, 10**40), st.integers(0, 3)
)
@hypothesis.example(9, 10, 0)
@hypothesis.example(0, 0, 2)
def test_ids_are_ordered_like_their_numbers(number, other, zeros):
    event_id = b"0" * zeros + b"%d" % number
    is_at_or_before = event_ids.is_at_or_before(event_id, b"%d" % other)
    assert is_at_or_before == (number <= other)


@pytest.mark.parametrize("other", [b"part-17", b"-1", b""])
def test_no_event_is_at_or_before_an_id_without_order(other):
    """Guards against events that are dropped because of a caller's id."""
    assert not event_ids.is_at_or_before(b"1", other)
