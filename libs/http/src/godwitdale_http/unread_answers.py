"""Memory for answers that callers do not read.

Load that it answers: many callers that each ask for an answer and do not read
it. Once their sum is used up, the caller that has not read for longest is cut.
"""

from typing import Protocol

# A caller that has read nothing for a shorter time is not cut.
_MIN_UNREAD_S = 1.0


class Reader(Protocol):
    """A connection that answers are written to."""

    def abort_unread(self) -> None:
        """Cuts the connection."""


class UnreadAnswers:
    """Counts the bytes that wait in the process until callers read them.

    Attributes:
        total_bytes: Bytes that wait for all callers.
    """

    __slots__ = ("total_bytes", "_max_bytes", "_unread")

    def __init__(self, max_bytes: int) -> None:
        """Creates a count of no bytes.

        Args:
            max_bytes: Sum of the bytes for all callers.
        """
        self.total_bytes = 0
        self._max_bytes = max_bytes
        # Bytes of each caller and since when they wait, longest first.
        self._unread: dict[Reader, tuple[int, float]] = {}

    def add(self, reader: Reader, size_bytes: int, now_s: float) -> None:
        """Adds bytes that a caller has not read, and cuts another if need be.

        Args:
            reader: The connection of the caller.
            size_bytes: Number of bytes.
            now_s: The current time.
        """
        before_bytes, since_s = self._unread.get(reader, (0, now_s))
        self._unread[reader] = (before_bytes + size_bytes, since_s)
        self.total_bytes += size_bytes
        while self.total_bytes > self._max_bytes:
            longest, (_, since_s) = next(iter(self._unread.items()))
            if now_s - since_s < _MIN_UNREAD_S:
                return
            self.clear(longest)
            longest.abort_unread()

    def clear(self, reader: Reader) -> None:
        """Forgets the bytes of a caller that has read them or has left."""
        size_bytes, _ = self._unread.pop(reader, (0, 0.0))
        self.total_bytes -= size_bytes
