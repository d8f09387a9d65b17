"""Events of a claim stream.

One log record is a batch of events, because the log accepts far fewer appends
per second than there are requests with idempotency keys.
"""

import msgspec
import xxhash

from godwitdale_verdicts import decoding

PARTITIONS = 64
_STREAM_PREFIX = "claims-"


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Asks for the right to run a request with an idempotency key.

    Attributes:
        key: Digest of the client account and its idempotency key.
        attempt: Unique name of the attempt.
        body_digest: Digest of the request, to detect that a key is used for two
            different requests.
    """

    key: str
    attempt: str
    body_digest: str


class Void(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """Keeps an attempt from claiming the key, unless it already holds it.

    Attributes:
        key: Digest of the client account and its idempotency key.
        attempt: The attempt that must not run.
    """

    key: str
    attempt: str


class Release(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Releases the key of an attempt that was certainly never started.

    Only the claimant of the attempt appends this event, after it has made sure
    that it will never start the attempt.

    Attributes:
        key: Digest of the client account and its idempotency key.
        attempt: The attempt that held the key.
    """

    key: str
    attempt: str


class Outcome(msgspec.Struct, frozen=True, array_like=True, tag="o"):
    """Outcome of an attempt that held the key.

    Attributes:
        key: Digest of the client account and its idempotency key.
        attempt: The attempt that held the key.
        status: HTTP status of the answer, or 0 if the answer was lost.
        content_type: Content type of the answer.
        body: Body of the answer, or None if it was too large to keep.
    """

    key: str
    attempt: str
    status: int
    content_type: str = ""
    body: bytes | None = None


ClaimEvent = Claim | Void | Release | Outcome

_encoder = msgspec.msgpack.Encoder()
_decoder = decoding.msgpack_decoder(list[ClaimEvent])


def encode(events: list[ClaimEvent]) -> bytes:
    """Encodes a batch of events as one log record."""
    return _encoder.encode(events)


def decode(data: bytes) -> list[ClaimEvent]:
    """Decodes a log record into its batch of events.

    Raises:
        decoding.InvalidDataError: The bytes are not a batch of events.
    """
    return _decoder.decode(data)


def key_digest(account: str, key: str) -> str:
    """Returns the digest that identifies the key of an account in the log."""
    text = f"{len(account)}:{account}:{key}"
    return xxhash.xxh3_128_hexdigest(text.encode())


def partition_of(key: str) -> int:
    """Returns the partition of a key digest, below ``PARTITIONS``."""
    return int(key[:8], 16) % PARTITIONS


def stream_of(partition: int) -> str:
    """Returns the name of the log stream that holds a partition."""
    return f"{_STREAM_PREFIX}{partition}"
