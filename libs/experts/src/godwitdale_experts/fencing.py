"""Leases that are kept as log records, and the check of fencing tokens.

A lease is a record in the log, and its fencing token is the offset of the
record. The holder counts the term of the lease from before the append; a
successor waits until the term has passed.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease as its holder knows it.

    Attributes:
        fencing_token: Offset of the lease record.
        expires_at_s: End of the term on the holder's monotonic clock, counted
            from before the append.
    """

    fencing_token: int
    expires_at_s: float

    def is_held(self, now_s: float) -> bool:
        """Returns whether the holder may still act.

        The holder has to check this before each command.
        """
        return now_s < self.expires_at_s


class FencingGuard:
    """Rejects commands whose fencing token is lower than one seen before.

    An agent keeps a guard for an engine that does not check fencing tokens
    itself. After a restart the guard rejects all commands until the agent has
    read the log to its end.

    Attributes:
        highest_token: Highest fencing token seen, or None after a restart.
    """

    __slots__ = ("highest_token",)

    def __init__(self) -> None:
        self.highest_token: int | None = None

    def restore(self, latest_token: int) -> None:
        """Sets the highest token after the log was read to its end.

        Args:
            latest_token: Fencing token of the latest lease, or -1 if the log
                has no lease.
        """
        self.highest_token = max(
            latest_token, self.highest_token or latest_token
        )

    def admit(self, fencing_token: int) -> bool:
        """Returns whether a command may be executed, and records its token.

        Args:
            fencing_token: Fencing token of the command.
        """
        if self.highest_token is None or fencing_token < self.highest_token:
            return False
        self.highest_token = fencing_token
        return True
