"""Entries of a claim stream.

One log record is a batch of entries, because the log takes far fewer appends
a second than there are keyed requests.
"""

import msgspec
import xxhash

PARTITIONS = 64
_STREAM_PREFIX = "claims-"


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Asks for the right to run a keyed request.

    Attributes:
        key: Digest of the client account and its idempotency key.
        attempt: Unique name of this attempt.
        body_digest: Digest of the request, to tell a key used twice.
    """

    key: str
    attempt: str
    body_digest: str


class Void(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """Takes away an attempt's right to claim, where it has not claimed yet.

    Attributes:
        key: Digest of the client account and its idempotency key.
        attempt: The attempt that must never run.
    """

    key: str
    attempt: str


class Release(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Gives up a claim whose request was certainly never started.

    Only the claimant itself appends it, after it made sure that it will never
    start the attempt.

    Attributes:
        key: Digest of the client account and its idempotency key.
        attempt: The attempt that held the key.
    """

    key: str
    attempt: str


class Outcome(msgspec.Struct, frozen=True, array_like=True, tag="o"):
    """What became of a claimed request.

    Attributes:
        key: Digest of the client account and its idempotency key.
        attempt: The attempt that held the key.
        status: Status of the answer, or 0 where the answer was lost.
        content_type: Content type of the answer.
        body: The answer, or None where it was too large to keep.
    """

    key: str
    attempt: str
    status: int
    content_type: str = ""
    body: bytes | None = None


ClaimEvent = Claim | Void | Release | Outcome

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[ClaimEvent])


def encode(events: list[ClaimEvent]) -> bytes:
    """Returns one log record for a batch of events."""
    return _encoder.encode(events)


def decode(data: bytes) -> list[ClaimEvent]:
    """Reads a batch of entries.

    Raises:
        msgspec.MsgspecError: The bytes are no such batch.
    """
    return _decoder.decode(data)


def key_digest(account: str, key: str) -> str:
    """Returns the name under which the log knows an account's key."""
    text = f"{len(account)}:{account}:{key}"
    return xxhash.xxh3_128_hexdigest(text.encode())


def partition_of(key: str) -> int:
    """Returns the partition of a key digest, below ``PARTITIONS``."""
    return int(key[:8], 16) % PARTITIONS


def stream_of(partition: int) -> str:
    """Returns the name of the log stream that holds a partition."""
    return f"{_STREAM_PREFIX}{partition}"
