"""When the parts of one answer came."""


class AnswerTimes:
    """Times of one answer over all its attempts.

    Attributes:
        sent_s: When the present attempt was sent.
        longest_gap_s: Longest pause between two parts.
    """

    __slots__ = (
        "sent_s",
        "longest_gap_s",
        "_received_s",
        "_first_sent_s",
        "_first_s",
        "_last_s",
        "_has_part",
    )

    def __init__(self, received_s: float) -> None:
        """Starts when the caller's request had come.

        Args:
            received_s: That moment.
        """
        self.sent_s = received_s
        self.longest_gap_s = 0.0
        self._received_s = received_s
        self._first_sent_s: float | None = None
        self._first_s: float | None = None
        self._last_s = received_s
        self._has_part = False

    @property
    def queue_time_s(self) -> float:
        """Time until the request was first sent."""
        return (self._first_sent_s or self._received_s) - self._received_s

    @property
    def time_to_first_part_s(self) -> float:
        """Time until the first part of the answer."""
        return (self._first_s or self._received_s) - self._received_s

    def on_sent(self, now_s: float) -> None:
        """Notes that an attempt has been sent."""
        self.sent_s = now_s
        self._has_part = False
        if self._first_sent_s is None:
            self._first_sent_s = now_s

    def on_part(self, now_s: float) -> float | None:
        """Notes a part.

        Returns:
            The pause since the part before it, or None for the first part of
            an attempt.
        """
        gap_s = now_s - self._last_s
        if self._first_s is None:
            self._first_s = now_s
        else:
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self._last_s = now_s
        is_first = not self._has_part
        self._has_part = True
        return None if is_first else gap_s
