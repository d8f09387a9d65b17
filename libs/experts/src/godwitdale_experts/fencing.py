"""Leases as log records, and the fence that orders have to pass.

A lease is a record in the log and its fencing token is its offset. The holder
counts its term from before the append; a successor waits the term out.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease as its holder knows it.

    Attributes:
        fencing_token: Offset of the record.
        expires_at_s: End of the term on the holder's monotonic clock, counted
            from before the append.
    """

    fencing_token: int
    expires_at_s: float

    def is_held(self, now_s: float) -> bool:
        """Tells whether the holder may still act; asked before each order."""
        return now_s < self.expires_at_s


class FencingGuard:
    """Lets orders pass in the order of their fencing tokens.

    An agent keeps one for an engine that does not check the numbers itself.
    After a restart it lets nothing pass until it has read the log's head.

    Attributes:
        highest_token: Highest number seen, or None after a restart.
    """

    __slots__ = ("highest_token",)

    def __init__(self) -> None:
        self.highest_token: int | None = None

    def restore(self, latest: int) -> None:
        """Learns the latest lease from the log's head.

        Args:
            latest: Fencing number of the latest lease, or -1 without any.
        """
        self.highest_token = max(latest, self.highest_token or latest)

    def admit(self, fencing_token: int) -> bool:
        """Tells whether an order may pass, and remembers its number.

        Args:
            fencing_token: The order's number.
        """
        if self.highest_token is None or fencing_token < self.highest_token:
            return False
        self.highest_token = fencing_token
        return True
