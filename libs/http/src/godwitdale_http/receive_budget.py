"""Memory for what callers have sent and what is not answered yet.

Load that it answers: many callers that each send a body within the limits at
the same time and finish none. Callers that hold little are never held back.
The others share a sum. Once it is used up, only the caller that began first
goes on, so that one body after the other gets ready; the others are not read
until there is room.
"""

import collections
from typing import Protocol

# Bytes that every caller may have sent, however many callers there are.
_FREE_BYTES = 1 << 14
# Bytes that are read at once from a connection.
_READ_BYTES = 1 << 16
# Time for which a caller alone may go on sending while others wait.
_MAX_TURN_S = 2.0
# Time without room after which further large bodies are refused at once.
_MAX_FULL_S = 2.0


class Receiver(Protocol):
    """A connection that bytes are received from."""

    def resume_receiving(self) -> None:
        """Reads from the connection again."""

    def refuse_slow_body(self) -> None:
        """Refuses the request, whose body takes the room of others."""


class ReceiveBudget:
    """Shares a sum of bytes among the callers of a process.

    Attributes:
        held_bytes: Bytes that are held for all callers.
    """

    __slots__ = (
        "held_bytes",
        "_max_bytes",
        "_held",
        "_receiving",
        "_waiting",
        "_turn_started_s",
        "_full_since_s",
    )

    def __init__(self, max_bytes: int) -> None:
        """Creates a budget of which nothing is used.

        Args:
            max_bytes: Sum of the bytes for all callers. It is exceeded by up
                to one body, by what callers may always send, and by one read
                from each connection.
        """
        self.held_bytes = 0
        self._max_bytes = max_bytes
        self._held: dict[Receiver, int] = {}
        # Callers whose bodies are not complete, in the order of their heads.
        self._receiving: dict[Receiver, None] = {}
        self._waiting: collections.OrderedDict[Receiver, None] = (
            collections.OrderedDict()
        )
        self._turn_started_s: float | None = None
        self._full_since_s: float | None = None

    def set_held(
        self, receiver: Receiver, held_bytes: int, is_receiving: bool
    ) -> None:
        """Sets how much is held for a caller.

        Args:
            receiver: The connection of the caller.
            held_bytes: Bytes of its request, and of those sent ahead.
            is_receiving: Whether its body is not complete yet.
        """
        self.held_bytes += held_bytes - self._held.get(receiver, 0)
        if held_bytes:
            self._held[receiver] = held_bytes
        else:
            self._held.pop(receiver, None)
            self._waiting.pop(receiver, None)
        if is_receiving and held_bytes > _FREE_BYTES:
            self._receiving.setdefault(receiver)
        elif receiver in self._receiving:
            if receiver is self._first():
                self._turn_started_s = None
            del self._receiving[receiver]
        if not self._is_full:
            self._turn_started_s = None
            self._full_since_s = None
        self._resume_waiting()

    def may_receive(
        self, receiver: Receiver, max_body_bytes: int, now_s: float
    ) -> bool:
        """Returns whether more may be received from a caller.

        If not, nothing may be read from it until it is resumed.

        Args:
            receiver: The connection of the caller.
            max_body_bytes: Largest body that the caller may send.
            now_s: The current time.
        """
        if self._is_full and self._held.get(receiver, 0) > _FREE_BYTES:
            self._check_turn(now_s)
        held_bytes = self._held.get(receiver, 0)
        is_granted = (
            held_bytes <= _FREE_BYTES
            or not self._is_full
            or (
                receiver is self._first()
                and self.held_bytes < self._max_bytes + max_body_bytes
            )
        )
        if is_granted:
            self._waiting.pop(receiver, None)
        else:
            self._waiting[receiver] = None
        return is_granted

    def _check_turn(self, now_s: float) -> None:
        """Ends the turn of the first caller if it takes too long."""
        if self._full_since_s is None:
            self._full_since_s = now_s
        first = self._first()
        if self._turn_started_s is None:
            self._turn_started_s = now_s
        elif (
            first is not None
            and self._waiting
            and now_s - self._turn_started_s > _MAX_TURN_S
        ):
            self._turn_started_s = now_s
            first.refuse_slow_body()

    def has_room_for(self, body_bytes: int, now_s: float) -> bool:
        """Returns whether there is room for a body before long.

        Args:
            body_bytes: Size that the caller has announced.
            now_s: The current time.
        """
        return (
            body_bytes <= _FREE_BYTES
            or self._full_since_s is None
            or now_s - self._full_since_s < _MAX_FULL_S
        )

    @property
    def _is_full(self) -> bool:
        return self.held_bytes >= self._max_bytes

    def _first(self) -> Receiver | None:
        return next(iter(self._receiving), None)

    def _resume_waiting(self) -> None:
        """Resumes as many callers as there is room for, and the first one."""
        reads = (self._max_bytes - self.held_bytes) // _READ_BYTES
        while self._waiting and reads > 0:
            reads -= 1
            receiver, _ = self._waiting.popitem(last=False)
            receiver.resume_receiving()
        first = self._first()
        if first is not None and first in self._waiting:
            del self._waiting[first]
            first.resume_receiving()
