"""Which connection makes room for a new one.

Load that it answers: callers that open more connections than the process has
descriptors for, and send nothing or never finish a request.
"""

from collections.abc import Iterator
from typing import Generic
from typing import Protocol
from typing import TypeVar


class Connection(Protocol):
    """A connection that a caller has opened."""

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress or being received."""

    @property
    def is_in_work(self) -> bool:
        """Whether a request is in progress."""


_Connection = TypeVar("_Connection", bound=Connection)


class Connections(Generic[_Connection]):
    """The open connections of callers, up to a maximum number."""

    __slots__ = ("_max_count", "_new", "_used")

    def __init__(self, max_count: int | None) -> None:
        """Creates a collection without any connection.

        Args:
            max_count: Largest number of connections, or None for no limit.
        """
        self._max_count = max_count
        # Connections that have not brought a whole request, oldest first.
        self._new: dict[_Connection, None] = {}
        # The others, in the order of their last requests.
        self._used: dict[_Connection, None] = {}

    def __len__(self) -> int:
        return len(self._new) + len(self._used)

    def __iter__(self) -> Iterator[_Connection]:
        return iter([*self._new, *self._used])

    def add(self, connection: _Connection) -> _Connection | None:
        """Adds a connection that was opened.

        Returns:
            The connection that has to be closed to make room, or None. It is
            the new one if all others have requests in progress.
        """
        excess = None
        if self._max_count is not None and len(self) >= self._max_count:
            excess = self._least_needed() or connection
        self._new[connection] = None
        if excess is not None:
            self.discard(excess)
        return excess

    def on_request(self, connection: _Connection) -> None:
        """Records that a connection has brought a whole request."""
        self.discard(connection)
        self._used[connection] = None

    def discard(self, connection: _Connection) -> None:
        """Removes a connection that was closed."""
        self._new.pop(connection, None)
        self._used.pop(connection, None)

    def _least_needed(self) -> _Connection | None:
        """Returns a connection that can be closed at the least cost."""
        for connection in self._new:
            if not connection.is_in_work:
                return connection
        receiving = None
        for connection in self._used:
            if connection.is_idle:
                return connection
            if receiving is None and not connection.is_in_work:
                receiving = connection
        return receiving
