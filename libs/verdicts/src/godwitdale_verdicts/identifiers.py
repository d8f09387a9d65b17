"""Unique identifiers of requests and incarnations."""

import secrets

import msgspec

_INCARNATION_BYTES = 8
_SORTABLE_RANDOM_BYTES = 4


class RequestId(msgspec.Struct, frozen=True, array_like=True):
    """Unique identifier of one request, for the lifetime of the system.

    Attributes:
        incarnation: The incarnation of the entry that accepted the request.
        sequence: Number of the request within that incarnation, from 1.
    """

    incarnation: str
    sequence: int

    def __str__(self) -> str:
        return f"{self.incarnation}-{self.sequence}"

    @classmethod
    def parse(cls, text: str) -> "RequestId":
        """Parses the string form of an identifier.

        Args:
            text: ``INCARNATION-SEQUENCE``.

        Raises:
            ValueError: The text has a different form.
        """
        incarnation, _, sequence = text.rpartition("-")
        if not incarnation:
            raise ValueError(f"{text!r} is not INCARNATION-SEQUENCE")
        return cls(incarnation, int(sequence))


def new_incarnation() -> str:
    """Returns a random name for one incarnation of a process."""
    return secrets.token_hex(_INCARNATION_BYTES)


def new_sortable_incarnation(time_of_day_s: float) -> str:
    """Returns a name for one incarnation of a process that sorts by start time.

    Clocks differ between instances and can be changed, so that the order is
    only a hint.

    Args:
        time_of_day_s: Unix time.
    """
    milliseconds = max(0, int(time_of_day_s * 1000))
    return f"{milliseconds:012x}{secrets.token_hex(_SORTABLE_RANDOM_BYTES)}"
