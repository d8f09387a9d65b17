"""Records of the declaration stream and their encoding.

Whether a record is valid depends only on its own schema version, never on the
version of the program that reads it.
"""

import msgspec

from godwitdale_declarations import objects

SCHEMA_VERSION = 1
REMOVAL = msgspec.Raw(b"null")


class Change(msgspec.Struct, frozen=True, tag="change"):
    """Replaces or removes one object.

    Attributes:
        id: Unique; tells the publisher its own record from a rival's.
        key: ``KIND/NAME`` of the object.
        based_on: Version of the object that it replaces; 0 where there is
            none.
        body: The new object, or ``REMOVAL``.
        author: Who published it.
        schema: Schema version of the body.
    """

    id: str
    key: str
    based_on: int
    body: msgspec.Raw
    author: str = ""
    schema: int = SCHEMA_VERSION


class SnapshotPart(msgspec.Struct, frozen=True, tag="snapshot"):
    """One part of the state that the fold reached at an offset.

    Attributes:
        upto: First offset that the snapshot does not include.
        part: Number of this part, from 0.
        parts: Number of parts.
        digest: Digest of the whole state, see ``State.digest``.
        entries: ``(key, version, body)`` of the objects in this part.
    """

    upto: int
    part: int
    parts: int
    digest: str
    entries: list[tuple[str, int, msgspec.Raw]]
    schema: int = SCHEMA_VERSION


Record = Change | SnapshotPart

_encoder = msgspec.json.Encoder(order="deterministic")
_record_decoder = msgspec.json.Decoder(Record)
_object_decoder = msgspec.json.Decoder(objects.Object)


def encode(record: Record) -> bytes:
    """Returns the bytes that go into the log."""
    return _encoder.encode(record)


def decode(data: bytes) -> Record:
    """Reads a record.

    Raises:
        msgspec.ValidationError: The bytes are no record of this stream.
    """
    return _record_decoder.decode(data)


def encode_object(declared: objects.Object) -> msgspec.Raw:
    """Returns the body of a change."""
    return msgspec.Raw(_encoder.encode(declared))


def decode_object(body: msgspec.Raw | bytes) -> objects.Object:
    """Reads the body of a change.

    Raises:
        msgspec.ValidationError: The body is no declared object.
    """
    return _object_decoder.decode(body)
