"""Leases as log records, and the fence that orders have to pass.

A lease is a record in the log and its fencing number is its offset. The holder
counts its term from before the append; a successor waits the term out.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease as its holder knows it.

    Attributes:
        fencing: Offset of the record.
        expires_at_s: End of the term on the holder's monotonic clock, counted
            from before the append.
    """

    fencing: int
    expires_at_s: float

    def is_held(self, now_s: float) -> bool:
        """Tells whether the holder may still act; asked before each order."""
        return now_s < self.expires_at_s


class Fence:
    """Lets orders pass in the order of their fencing numbers.

    An agent keeps one for an engine that does not check the numbers itself.
    After a restart it lets nothing pass until it has read the log's head.

    Attributes:
        highest: Highest number seen, or None after a restart.
    """

    __slots__ = ("highest",)

    def __init__(self) -> None:
        self.highest: int | None = None

    def read_head(self, latest: int) -> None:
        """Learns the latest lease from the log's head.

        Args:
            latest: Fencing number of the latest lease, or -1 without any.
        """
        self.highest = max(latest, self.highest or latest)

    def passes(self, fencing: int) -> bool:
        """Tells whether an order may pass, and remembers its number.

        Args:
            fencing: The order's number.
        """
        if self.highest is None or fencing < self.highest:
            return False
        self.highest = fencing
        return True
