"""Splits a stream of server-sent events into its events."""

import dataclasses

_ID_FIELD = b"id:"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One complete event.

    Attributes:
        data: Bytes of the event, with the blank line that ends it.
        id: Value of the event's id field, or None without a numeric id.
    """

    data: bytes
    id: int | None


class EventSplitter:
    """Splits bytes into complete events and buffers an incomplete one."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

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
        events = []
        while (end := self._first_event_end()) > 0:
            events.append(_parse_event(self._buffer[:end]))
            self._buffer = self._buffer[end:]
        return events

    def _first_event_end(self) -> int:
        """Returns the offset after the first complete event, or 0."""
        ends = [
            at + len(blank_line)
            for blank_line in (b"\n\n", b"\r\n\r\n")
            if (at := self._buffer.find(blank_line)) >= 0
        ]
        return min(ends, default=0)


def _parse_event(data: bytes) -> Event:
    for line in data.splitlines():
        if line.startswith(_ID_FIELD):
            value = line[len(_ID_FIELD) :].strip()
            return Event(data, int(value) if value.isdigit() else None)
    return Event(data, None)
