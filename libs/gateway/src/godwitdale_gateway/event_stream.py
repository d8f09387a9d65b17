"""Splits a stream of server-sent events where one event ends."""

import dataclasses

_ID = b"id:"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One whole event.

    Attributes:
        data: Its bytes, with the blank line that ends it.
        id: Its number, or None where it has none.
    """

    data: bytes
    id: int | None


class EventSplitter:
    """Cuts bytes into whole events; the rest waits for more."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has begun that is not whole."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Takes bytes and returns the events that they complete.

        Args:
            data: The next bytes of the stream.
        """
        self._buffer += data
        found = []
        while (end := self._end()) > 0:
            found.append(_event(self._buffer[:end]))
            self._buffer = self._buffer[end:]
        return found

    def _end(self) -> int:
        """Returns where the first event ends, or 0."""
        ends = [
            at + len(blank)
            for blank in (b"\n\n", b"\r\n\r\n")
            if (at := self._buffer.find(blank)) >= 0
        ]
        return min(ends, default=0)


def _event(data: bytes) -> Event:
    for line in data.splitlines():
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            return Event(data, int(text) if text.isdigit() else None)
    return Event(data, None)
