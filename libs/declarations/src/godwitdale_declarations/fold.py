"""The pure function that every process folds over the declaration stream."""

import collections
import dataclasses

import msgspec
import xxhash

from godwitdale_declarations import objects
from godwitdale_declarations import records

_RECENT_RECORDS = 4096
_SNAPSHOT_PART_OBJECTS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Versioned:
    """An object in force.

    Attributes:
        version: One more than the offset of the record that declared it.
        body: Its encoding, as it stands in the log.
        declared: The object.
    """

    version: int
    body: bytes
    declared: objects.Object


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A record is in force.

    Attributes:
        record_id: Identifier of the record.
        key: The object that it changed.
        version: The object's version from now on.
    """

    record_id: str
    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """A record has no effect, identically everywhere.

    Attributes:
        record_id: Identifier of the record, empty where it has none.
        reason: A sentence for the publisher.
    """

    record_id: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ignored:
    """A record that concerns only processes that start."""


Decision = Accepted | Rejected | Ignored


class State:
    """What is declared, as of an offset of the log.

    Attributes:
        next_offset: First offset that has not been folded.
        objects: Objects in force by ``KIND/NAME``.
        generation: Counts the changes of ``objects`` in this process.
    """

    __slots__ = ("next_offset", "objects", "generation")

    def __init__(self) -> None:
        self.next_offset = 0
        self.objects: dict[str, Versioned] = {}
        self.generation = 0

    def apply(self, offset: int, data: bytes) -> Decision:
        """Folds the record at ``next_offset``.

        Args:
            offset: Offset of the record; it must be ``next_offset``.
            data: The record as it stands in the log.

        Raises:
            ValueError: The offset is not the next one.
        """
        if offset != self.next_offset:
            raise ValueError(f"offset {offset}, expected {self.next_offset}")
        self.next_offset = offset + 1
        try:
            record = records.decode(data)
        except msgspec.MsgspecError as error:
            return Rejected("", f"not a record: {error}")
        if isinstance(record, records.SnapshotPart):
            return Ignored()
        return self._apply_change(offset, record)

    def _apply_change(self, offset: int, change: records.Change) -> Decision:
        if change.schema != records.SCHEMA_VERSION:
            return Rejected(change.id, f"unknown schema {change.schema}")
        current = self.objects.get(change.key)
        version = current.version if current else 0
        if change.based_on != version:
            return Rejected(
                change.id,
                f"{change.key} is at version {version}, the record is based "
                f"on {change.based_on}",
            )
        body = bytes(change.body)
        if body == bytes(records.REMOVAL):
            return self._remove(offset, change)
        return self._replace(offset, change, body)

    def _remove(self, offset: int, change: records.Change) -> Decision:
        if change.key not in self.objects:
            return Rejected(change.id, f"{change.key} does not exist")
        del self.objects[change.key]
        self.generation += 1
        return Accepted(change.id, change.key, offset + 1)

    def _replace(
        self, offset: int, change: records.Change, body: bytes
    ) -> Decision:
        try:
            declared = records.decode_object(body)
        except msgspec.MsgspecError as error:
            return Rejected(change.id, f"{change.key}: {error}")
        if objects.object_key(declared) != change.key:
            return Rejected(
                change.id,
                f"{change.key} holds the object {objects.object_key(declared)}",
            )
        self.objects[change.key] = Versioned(offset + 1, body, declared)
        self.generation += 1
        return Accepted(change.id, change.key, offset + 1)

    def digest(self) -> str:
        """Returns a digest of the offset and of all objects in force."""
        hasher = xxhash.xxh3_128()
        hasher.update(str(self.next_offset).encode())
        for key in sorted(self.objects):
            held = self.objects[key]
            hasher.update(f"|{key}|{held.version}|".encode())
            hasher.update(held.body)
        return hasher.hexdigest()

    def snapshot(self) -> list[records.SnapshotPart]:
        """Returns the parts that let another process start from here."""
        entries = [
            (key, held.version, msgspec.Raw(held.body))
            for key, held in sorted(self.objects.items())
        ]
        size = _SNAPSHOT_PART_OBJECTS
        slices = [
            entries[start : start + size]
            for start in range(0, max(len(entries), 1), size)
        ]
        digest = self.digest()
        return [
            records.SnapshotPart(
                upto=self.next_offset,
                part=number,
                parts=len(slices),
                digest=digest,
                entries=part,
            )
            for number, part in enumerate(slices)
        ]


def restore(parts: list[records.SnapshotPart]) -> State:
    """Builds the state that a snapshot describes.

    Args:
        parts: All parts of one snapshot, in any order.

    Raises:
        ValueError: A part is missing or the digest does not agree.
    """
    ordered = sorted(parts, key=lambda part: part.part)
    if not ordered or len(ordered) != ordered[0].parts:
        raise ValueError("the snapshot is not complete")
    state = State()
    state.next_offset = ordered[0].upto
    for part in ordered:
        for key, version, body in part.entries:
            raw = bytes(body)
            declared = records.decode_object(raw)
            state.objects[key] = Versioned(version, raw, declared)
    if state.digest() != ordered[0].digest:
        raise ValueError("the snapshot does not agree with its digest")
    state.generation = 1
    return state


class Fold:
    """Follows the declaration stream, also where its start is gone.

    The state only moves forward. Recent records are kept, so that a peer that
    is behind can be brought up to date from here.

    Attributes:
        state: The state reached.
    """

    __slots__ = ("state", "_recent", "_waiting", "_parts")

    def __init__(self) -> None:
        self.state = State()
        self._recent: collections.deque[tuple[int, bytes]] = collections.deque(
            maxlen=_RECENT_RECORDS
        )
        self._waiting: dict[int, bytes] = {}
        self._parts: dict[tuple[int, str], dict[int, records.SnapshotPart]] = {}

    @property
    def has_gap(self) -> bool:
        """Whether records are held back until a snapshot covers the gap."""
        return bool(self._waiting)

    def feed(self, offset: int, data: bytes) -> Decision | None:
        """Takes one record from the log or from a peer.

        Args:
            offset: Offset of the record.
            data: The record as it stands in the log.

        Returns:
            The decision, or None where the record was known already or has
            to wait for a snapshot.
        """
        if offset < self.state.next_offset:
            return None
        if offset > self.state.next_offset:
            self._waiting[offset] = data
            self._collect_snapshot(data)
            return None
        decision = self._apply(offset, data)
        self._drain()
        return decision

    def adopt(self, parts: list[records.SnapshotPart]) -> bool:
        """Moves forward to a snapshot; one from behind changes nothing.

        Returns:
            Whether the state moved.

        Raises:
            ValueError: The snapshot is incomplete or damaged.
        """
        restored = restore(parts)
        if restored.next_offset <= self.state.next_offset:
            return False
        restored.generation = self.state.generation + 1
        self.state = restored
        self._recent.clear()
        self._drain()
        return True

    def records_from(self, offset: int) -> list[tuple[int, bytes]] | None:
        """Returns the records from an offset on, or None where some are gone.

        Args:
            offset: First offset that a peer lacks.
        """
        if offset >= self.state.next_offset:
            return []
        if not self._recent or self._recent[0][0] > offset:
            return None
        return [each for each in self._recent if each[0] >= offset]

    def _apply(self, offset: int, data: bytes) -> Decision:
        decision = self.state.apply(offset, data)
        self._recent.append((offset, data))
        return decision

    def _drain(self) -> None:
        while self.state.next_offset in self._waiting:
            offset = self.state.next_offset
            self._apply(offset, self._waiting.pop(offset))
        self._waiting = {
            offset: data
            for offset, data in self._waiting.items()
            if offset > self.state.next_offset
        }
        if not self._waiting:
            self._parts.clear()

    def _collect_snapshot(self, data: bytes) -> None:
        try:
            record = records.decode(data)
        except msgspec.MsgspecError:
            return
        if not isinstance(record, records.SnapshotPart):
            return
        parts = self._parts.setdefault((record.upto, record.digest), {})
        parts[record.part] = record
        if len(parts) == record.parts and record.upto >= min(self._waiting):
            self.adopt(list(parts.values()))
