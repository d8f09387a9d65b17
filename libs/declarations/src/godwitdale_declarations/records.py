"""Records of the declaration stream and their encoding.

Whether a record is valid depends only on the record's own schema version, never
on the version of the program that reads it.
"""

import msgspec

from godwitdale_declarations import objects
from godwitdale_verdicts import decoding

SCHEMA_VERSION = 1
REMOVAL = msgspec.Raw(b"null")


class Change(msgspec.Struct, frozen=True, tag="change"):
    """Creates, replaces or removes one object.

    Attributes:
        id: Unique id, by which a publisher distinguishes its own record from
            those of concurrent publishers.
        key: ``KIND/NAME`` of the object.
        based_on: Version of the object that this record replaces, or 0 if the
            object does not exist.
        body: The new object, or ``REMOVAL``.
        author: Name of the publisher.
        schema: Schema version of the body.
    """

    id: str
    key: str
    based_on: int
    body: msgspec.Raw
    author: str = ""
    schema: int = SCHEMA_VERSION


class SnapshotPart(msgspec.Struct, frozen=True, tag="snapshot"):
    """One part of a snapshot of the folded state.

    Attributes:
        upto: First offset that the snapshot does not include.
        part: Number of this part, starting at 0.
        parts: Number of parts of the snapshot.
        digest: Digest of the whole state, see ``fold.State.digest``.
        entries: ``(key, version, body)`` of each object in this part.
        schema: Schema version of the bodies.
    """

    upto: int
    part: int
    parts: int
    digest: str
    entries: list[tuple[str, int, msgspec.Raw]]
    schema: int = SCHEMA_VERSION


Record = Change | SnapshotPart

_encoder = msgspec.json.Encoder(order="deterministic")
_record_decoder = decoding.json_decoder(
    Record, max_depth=decoding.MAX_RECORD_DEPTH
)
_object_decoder = decoding.json_decoder(
    objects.Object, max_depth=decoding.MAX_RECORD_DEPTH
)


def encode(record: Record) -> bytes:
    """Returns the encoding of a record in the log."""
    return _encoder.encode(record)


def decode(data: bytes) -> Record:
    """Returns the decoded record.

    Args:
        data: The record as it stands in the log.

    Raises:
        decoding.InvalidDataError: The bytes are not a record of this stream.
    """
    return _record_decoder.decode(data)


def encode_object(declared: objects.Object) -> msgspec.Raw:
    """Returns the encoding of an object in the body of a change."""
    return msgspec.Raw(_encoder.encode(declared))


def decode_object(body: msgspec.Raw | bytes) -> objects.Object:
    """Returns the object in the body of a change.

    Args:
        body: The encoded object.

    Raises:
        decoding.InvalidDataError: The body is not a declared object.
    """
    return _object_decoder.decode(body)
