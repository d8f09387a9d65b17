"""Identifiers that are never used twice."""

import secrets

import msgspec

_INCARNATION_BYTES = 8
_LIFE_BYTES = 4


class RequestId(msgspec.Struct, frozen=True, array_like=True):
    """Names one request for the whole life of the system.

    Attributes:
        incarnation: The incarnation of the entry that accepted the request.
        sequence: Counts the requests of that incarnation, from 1.
    """

    incarnation: str
    sequence: int

    def __str__(self) -> str:
        return f"{self.incarnation}-{self.sequence}"

    @classmethod
    def parse(cls, text: str) -> "RequestId":
        """Reads an identifier back from its string form.

        Args:
            text: ``INCARNATION-SEQUENCE``.

        Raises:
            ValueError: The text has another form.
        """
        incarnation, _, sequence = text.rpartition("-")
        if not incarnation:
            raise ValueError(f"{text!r} is not INCARNATION-SEQUENCE")
        return cls(incarnation, int(sequence))


def new_incarnation() -> str:
    """Returns a random name for one life of one process."""
    return secrets.token_hex(_INCARNATION_BYTES)


def new_sortable_incarnation(time_of_day_s: float) -> str:
    """Returns a name for one life of one process that sorts by its start.

    Clocks differ between instances and may be set, so that the order is only a
    hint.

    Args:
        time_of_day_s: Unix time.
    """
    milliseconds = max(0, int(time_of_day_s * 1000))
    return f"{milliseconds:012x}{secrets.token_hex(_LIFE_BYTES)}"
