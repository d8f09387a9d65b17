"""Fold of the declaration stream.

The fold of a stream is the state that results from applying its records one
after another. It depends on nothing else, so every process computes the same.
"""

import collections
import dataclasses

import msgspec
import xxhash

from godwitdale_declarations import objects
from godwitdale_declarations import records
from godwitdale_verdicts import decoding

_MAX_RECENT_RECORDS = 4096
_MAX_OBJECTS_PER_SNAPSHOT_PART = 200


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedObject:
    """An object in force.

    Attributes:
        version: Offset of the record that declared the object, plus one.
        body: Encoding of the object, as it stands in the log.
        declared: The object.
    """

    version: int
    body: bytes
    declared: objects.Object


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """Decision that a record takes effect.

    Attributes:
        record_id: Identifier of the record.
        key: Key of the object that the record changed.
        version: New version of the object.
    """

    record_id: str
    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Decision that a record has no effect, the same in every process.

    Attributes:
        record_id: Identifier of the record, empty if it has none.
        reason: Reason, for the publisher.
    """

    record_id: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ignored:
    """Decision on a part of a snapshot, which does not change the state.

    Snapshots concern only processes that start.
    """


Decision = Accepted | Rejected | Ignored


class State:
    """Declared objects after the records before an offset of the log.

    Attributes:
        next_offset: First offset that is not folded yet.
        objects: Objects in force by ``KIND/NAME``.
        generation: Number of changes of ``objects`` in this process.
    """

    __slots__ = ("next_offset", "objects", "generation")

    def __init__(self) -> None:
        self.next_offset = 0
        self.objects: dict[str, VersionedObject] = {}
        self.generation = 0

    def apply(self, offset: int, data: bytes) -> Decision:
        """Folds the record at ``next_offset``.

        Args:
            offset: Offset of the record; must be ``next_offset``.
            data: The record as it stands in the log.

        Returns:
            Whether the record takes effect, and why not if it does not.

        Raises:
            ValueError: The offset is not ``next_offset``.
        """
        if offset != self.next_offset:
            raise ValueError(f"offset {offset}, expected {self.next_offset}")
        self.next_offset = offset + 1
        try:
            record = records.decode(data)
        except decoding.InvalidDataError as error:
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
        except decoding.InvalidDataError as error:
            return Rejected(change.id, f"{change.key}: {error}")
        if objects.object_key(declared) != change.key:
            return Rejected(
                change.id,
                f"{change.key} holds the object {objects.object_key(declared)}",
            )
        self.objects[change.key] = VersionedObject(offset + 1, body, declared)
        self.generation += 1
        return Accepted(change.id, change.key, offset + 1)

    def digest(self) -> str:
        """Returns a digest of the offset and of all objects in force."""
        hasher = xxhash.xxh3_128()
        hasher.update(str(self.next_offset).encode())
        for key in sorted(self.objects):
            current = self.objects[key]
            hasher.update(f"|{key}|{current.version}|".encode())
            hasher.update(current.body)
        return hasher.hexdigest()

    def snapshot(self) -> list[records.SnapshotPart]:
        """Returns the parts of a snapshot of this state."""
        entries = [
            (key, current.version, msgspec.Raw(current.body))
            for key, current in sorted(self.objects.items())
        ]
        size = _MAX_OBJECTS_PER_SNAPSHOT_PART
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
    """Returns the state that a snapshot describes.

    Args:
        parts: All parts of one snapshot, in any order.

    Raises:
        ValueError: A part is missing or the digest does not match.
    """
    ordered = sorted(parts, key=lambda part: part.part)
    if not ordered or len(ordered) != ordered[0].parts:
        raise ValueError("the snapshot is incomplete")
    state = State()
    state.next_offset = ordered[0].upto
    for part in ordered:
        for key, version, body in part.entries:
            raw = bytes(body)
            declared = records.decode_object(raw)
            state.objects[key] = VersionedObject(version, raw, declared)
    if state.digest() != ordered[0].digest:
        raise ValueError("the snapshot does not match its digest")
    state.generation = 1
    return state


class Fold:
    """Folds the declaration stream, even if the log has dropped its start.

    The state only moves forward. Recent records are kept, so that this process
    can bring a peer that is behind up to date.

    Attributes:
        state: State after the records that were folded so far.
    """

    __slots__ = ("state", "_recent", "_out_of_order", "_snapshot_parts")

    def __init__(self) -> None:
        self.state = State()
        self._recent: collections.deque[tuple[int, bytes]] = collections.deque(
            maxlen=_MAX_RECENT_RECORDS
        )
        self._out_of_order: dict[int, bytes] = {}
        self._snapshot_parts: dict[
            tuple[int, str], dict[int, records.SnapshotPart]
        ] = {}

    @property
    def has_gap(self) -> bool:
        """Whether records wait for a snapshot that covers a gap before them."""
        return bool(self._out_of_order)

    def feed(self, offset: int, data: bytes) -> Decision | None:
        """Folds one record from the log or from a peer.

        Args:
            offset: Offset of the record.
            data: The record as it stands in the log.

        Returns:
            The decision, or None if the record was folded before, or if it
            has to wait because records before it are missing.
        """
        if offset < self.state.next_offset:
            return None
        if offset > self.state.next_offset:
            self._out_of_order[offset] = data
            self._collect_snapshot(data)
            return None
        decision = self._apply(offset, data)
        self._apply_waiting()
        return decision

    def adopt(self, parts: list[records.SnapshotPart]) -> bool:
        """Replaces the state by a snapshot if the snapshot is newer.

        Args:
            parts: All parts of the snapshot, in any order.

        Returns:
            Whether the state was replaced.

        Raises:
            ValueError: The snapshot is incomplete or damaged.
        """
        restored = restore(parts)
        if restored.next_offset <= self.state.next_offset:
            return False
        restored.generation = self.state.generation + 1
        self.state = restored
        self._recent.clear()
        self._apply_waiting()
        return True

    def records_from(self, offset: int) -> list[tuple[int, bytes]] | None:
        """Returns the records from an offset on, or None if some are dropped.

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

    def _apply_waiting(self) -> None:
        while self.state.next_offset in self._out_of_order:
            offset = self.state.next_offset
            self._apply(offset, self._out_of_order.pop(offset))
        self._out_of_order = {
            offset: data
            for offset, data in self._out_of_order.items()
            if offset > self.state.next_offset
        }
        if not self._out_of_order:
            self._snapshot_parts.clear()

    def _collect_snapshot(self, data: bytes) -> None:
        try:
            record = records.decode(data)
        except decoding.InvalidDataError:
            return
        if not isinstance(record, records.SnapshotPart):
            return
        parts = self._snapshot_parts.setdefault(
            (record.upto, record.digest), {}
        )
        parts[record.part] = record
        if len(parts) == record.parts and record.upto >= min(
            self._out_of_order
        ):
            self.adopt(list(parts.values()))
