"""Tests of the decoders of foreign bytes, also in the product's own path."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from godwitdale_claims import records as claim_records
from godwitdale_declarations import documents
from godwitdale_declarations import fold as fold_lib
from godwitdale_declarations import records as declaration_records
from godwitdale_experts import group
from godwitdale_link import messages
from godwitdale_verdicts import decoding
from godwitdale_verdicts import exceptions

DEEP = b"[" * 100_000 + b"]" * 100_000


class Sized(msgspec.Struct):
    size: decoding.Count


@pytest.fixture
def decoder():
    return decoding.json_decoder(Sized, 1 << 20, decoding.MAX_RECORD_DEPTH)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{}",
        b'{"size": -1}',
        b'{"size": 1000001}',
        b'{"size": %d}' % 10**30,
        b'{"size": ' + b"9" * 5000 + b"}",
        b'{"size": 1e999}',
        b'{"size": "\xff"}',
        b'{"size": 1, "more": ' + DEEP + b"}",
        b'{"size": 1, "more": ' + b"[" * 65 + b"]" * 65 + b"}",
        b'{"size": 1, "more": "' + b"x" * (1 << 20) + b'"}',
    ],
)
def test_unusable_bytes_give_the_documented_error(decoder, data):
    with pytest.raises(decoding.InvalidDataError):
        decoder.decode(data)


@pytest.mark.parametrize(
    "data",
    [
        b'{"size": 1000000}',
        b'{"size": 3, "more": ' + b"[" * 63 + b"]" * 63 + b"}",
        b'{"size": 3, "more": "' + b"[{" * 500 + b'"}',
        b'{"size": 3, "more": "\\"' + b"[{" * 500 + b'"}',
        b'{"size": 3, "more": [' + b"[]," * 500 + b"[]]}",
    ],
)
def test_values_within_the_bounds_are_decoded(decoder, data):
    assert decoder.decode(data).size in (3, 1_000_000)


@pytest.mark.parametrize("calls", [0, 400])
def test_the_bound_of_nesting_does_not_depend_on_the_caller(decoder, calls):
    """Guards against processes that disagree whether a record is valid."""
    if calls:
        test_the_bound_of_nesting_does_not_depend_on_the_caller(
            decoder, calls - 1
        )
        return
    decoder.decode(b'{"size": 3, "more": ' + b"[" * 63 + b"]" * 63 + b"}")
    with pytest.raises(decoding.InvalidDataError):
        decoder.decode(b'{"size": 3, "more": ' + b"[" * 64 + b"]" * 64 + b"}")


@pytest.mark.parametrize(
    ("text", "number"),
    [
        (b" 17 ", 17),
        (b"0", 0),
        (b"9" * 15, 10**15 - 1),
        (b"9" * 16, None),
        (b"9" * 5000, None),
        (b"-1", None),
        (b"1.5", None),
        (b"", None),
        ("\u0661", None),
        ("\u00b2", None),
    ],
)
def test_text_is_a_number_only_if_it_is_short_and_plain(text, number):
    assert decoding.parse_integer(text) == number


@pytest.mark.parametrize(
    "decode",
    [
        declaration_records.decode,
        declaration_records.decode_object,
        claim_records.decode,
        messages.entry_message_decoder.decode,
        messages.agent_message_decoder.decode,
    ],
)
@hypothesis.given(data=strategies.binary())
@hypothesis.example(data=DEEP)
@hypothesis.example(data=b'{"a": ' + DEEP + b"}")
@hypothesis.example(data=b"\x91" * 100_000)
@hypothesis.example(data=b"\xdd\xff\xff\xff\xff")
def test_any_bytes_give_a_value_or_the_documented_error(decode, data):
    try:
        decode(data)
    except decoding.InvalidDataError:
        return


def test_deeply_nested_declaration_is_rejected_and_followed_by_others():
    state = fold_lib.State()
    change = b'{"type": "change", "unread": ' + DEEP + b"}"
    assert isinstance(state.apply(0, change), fold_lib.Rejected)
    assert state.next_offset == 1


def test_deeply_nested_record_of_a_group_has_no_effect():
    state = group.GroupState()
    state.feed(0, 0.0, b'{"type": "lease", "unread": ' + DEEP + b"}")
    assert state.next_offset == 1


def test_deeply_nested_declaration_file_is_reported():
    with pytest.raises(exceptions.InvalidFileError):
        documents.parse("declarations.json", DEEP)
