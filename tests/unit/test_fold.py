"""Tests of the fold of declarations against a simple reference."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from godwitdale_declarations import fold as fold_lib
from godwitdale_declarations import objects
from godwitdale_declarations import records

NAMES = ("w1", "w2", "w3")


def encode_change(number, name, based_on, priority=None):
    body = records.REMOVAL
    if priority is not None:
        work = objects.Work(name=name, priority=priority)
        body = records.encode_object(work)
    record = records.Change(f"id-{number}", f"work/{name}", based_on, body)
    return records.encode(record)


WRITES = st.lists(
    st.tuples(
        st.sampled_from(NAMES),
        st.integers(0, 8),
        st.one_of(st.none(), st.integers(0, 9)),
    ),
    max_size=30,
)


def encode_stream(writes):
    return [
        encode_change(number, name, based_on, priority)
        for number, (name, based_on, priority) in enumerate(writes)
    ]


def reference_fold(writes):
    """Folds into a dictionary; a write counts if it names the version in force.

    Returns:
        Version and priority of each object by name.
    """
    current = {}
    for offset, (name, based_on, priority) in enumerate(writes):
        version, _ = current.get(name, (0, None))
        if based_on != version or (priority is None and version == 0):
            continue
        if priority is None:
            del current[name]
        else:
            current[name] = (offset + 1, priority)
    return current


def objects_of(fold):
    return {
        each.declared.name: (each.version, each.declared.priority)
        for each in fold.state.objects.values()
    }


@hypothesis.given(WRITES, st.integers(0, 1000))
def test_every_order_of_delivery_gives_the_reference_state(writes, seed):
    stream = encode_stream(writes)
    rng = random.Random(seed)
    plain = fold_lib.Fold()
    for offset, data in enumerate(stream):
        plain.feed(offset, data)
    shuffled = fold_lib.Fold()
    order = list(enumerate(stream)) * 2
    rng.shuffle(order)
    for offset, data in order:
        shuffled.feed(offset, data)
    late = fold_lib.Fold()
    cut = rng.randint(0, len(stream))
    early = fold_lib.Fold()
    for offset, data in enumerate(stream[:cut]):
        early.feed(offset, data)
    late.adopt(early.state.snapshot())
    for offset in range(cut, len(stream)):
        late.feed(offset, stream[offset])
    expected = reference_fold(writes)
    assert (
        objects_of(plain)
        == objects_of(shuffled)
        == objects_of(late)
        == expected
    )
    assert plain.state.digest() == late.state.digest()


def test_reader_behind_the_retention_waits_for_a_snapshot():
    stream = encode_stream([("w1", 0, 1), ("w2", 0, 2), ("w1", 1, 3)])
    writer = fold_lib.Fold()
    for offset, data in enumerate(stream):
        writer.feed(offset, data)
    reader = fold_lib.Fold()
    reader.feed(2, stream[2])
    assert reader.has_gap
    assert reader.state.next_offset == 0
    for number, part in enumerate(writer.state.snapshot()):
        reader.feed(3 + number, records.encode(part))
    assert objects_of(reader) == objects_of(writer)


def test_older_snapshot_changes_nothing():
    stream = encode_stream([("w1", 0, 1), ("w1", 1, 2)])
    behind, ahead = fold_lib.Fold(), fold_lib.Fold()
    behind.feed(0, stream[0])
    for offset, data in enumerate(stream):
        ahead.feed(offset, data)
    assert not ahead.adopt(behind.state.snapshot())
    assert objects_of(ahead) == {"w1": (2, 2)}


def test_damaged_snapshot_is_rejected():
    fold = fold_lib.Fold()
    fold.feed(0, encode_change(0, "w1", 0, 1))
    (part,) = fold.state.snapshot()
    damaged = records.SnapshotPart(part.upto, 0, 1, part.digest, [])
    with pytest.raises(ValueError, match="digest"):
        fold_lib.Fold().adopt([damaged])


@pytest.mark.parametrize(
    "data",
    [
        b"not json",
        b'{"type":"change","id":"x","key":"work/a","based_on":0,"body":{}}',
        b'{"type":"change","id":"x","key":"work/a","based_on":0,"schema":9,'
        b'"body":{"type":"work","name":"a"}}',
        b'{"type":"change","id":"x","key":"work/a","based_on":0,'
        b'"body":{"type":"work","name":"b"}}',
    ],
)
def test_invalid_record_is_rejected_and_skipped(data):
    fold = fold_lib.Fold()
    assert isinstance(fold.feed(0, data), fold_lib.Rejected)
    assert fold.state.next_offset == 1
    assert fold.state.objects == {}


def test_peer_gets_the_records_that_it_lacks():
    fold = fold_lib.Fold()
    stream = encode_stream([("w1", 0, 1), ("w1", 1, 2)])
    for offset, data in enumerate(stream):
        fold.feed(offset, data)
    assert fold.records_from(1) == [(1, stream[1])]
    assert fold.records_from(2) == []
