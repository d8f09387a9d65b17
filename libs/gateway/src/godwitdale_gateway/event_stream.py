"""Splits a stream of server-sent events into its events."""

import dataclasses

from godwitdale_gateway import event_ids

_ID_FIELD = b"id"
_DATA_FIELD = b"data"
_BLANK_LINES = (b"\n\n", b"\r\n\r\n")
_MAX_BLANK_LINE_BYTES = 4
# Maximum size of an event, and maximum number of parts in which it arrives.
# Each part costs processor time, however short it is.
_MAX_EVENT_BYTES = 256 << 10
_MAX_EVENT_PARTS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One complete event.

    Attributes:
        data: Bytes of the event, with the blank line that ends it.
        id: Id of the event, or None without an id that has an order.
        has_content: Whether it has data or an id; a comment has neither.
    """

    data: bytes
    id: bytes | None
    has_content: bool


class EventSplitter:
    """Splits bytes into complete events and buffers an incomplete one."""

    __slots__ = ("_buffer", "_searched_bytes", "_part_count")

    def __init__(self) -> None:
        self._buffer = bytearray()
        # Length of the start of the buffer in which no event ends.
        self._searched_bytes = 0
        self._part_count = 0

    @property
    def is_too_large(self) -> bool:
        """Whether the incomplete event exceeds the limits of an event."""
        return (
            len(self._buffer) > _MAX_EVENT_BYTES
            or self._part_count > _MAX_EVENT_PARTS
        )

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an incomplete event are buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that the next bytes of the stream complete.

        Args:
            data: The next bytes of the stream.
        """
        self._buffer += data
        self._part_count += 1
        events = []
        while (end := self._first_event_end()) > 0:
            events.append(_parse_event(bytes(self._buffer[:end])))
            del self._buffer[:end]
            self._searched_bytes = 0
            self._part_count = 0
        self._searched_bytes = max(
            0, len(self._buffer) - _MAX_BLANK_LINE_BYTES + 1
        )
        return events

    def _first_event_end(self) -> int:
        """Returns the offset after the first complete event, or 0."""
        ends = [
            at + len(blank_line)
            for blank_line in _BLANK_LINES
            if (at := self._buffer.find(blank_line, self._searched_bytes)) >= 0
        ]
        return min(ends, default=0)


def _parse_event(data: bytes) -> Event:
    event_id = None
    has_content = False
    for line in data.splitlines():
        name, _, value = line.partition(b":")
        if name == _ID_FIELD:
            event_id = event_ids.parse(value)
        has_content = has_content or name in (_ID_FIELD, _DATA_FIELD)
    return Event(data, event_id, has_content)
