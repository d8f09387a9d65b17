"""Timestamps and latencies of one answer."""


class AnswerTimes:
    """Records when one request was sent and when its answer arrived.

    A request may be sent several times. Except for ``sent_s``, the times span
    all its attempts.

    Attributes:
        sent_s: When the current attempt was sent.
        longest_gap_s: Longest time between two parts of the answer.
    """

    __slots__ = (
        "sent_s",
        "longest_gap_s",
        "_received_s",
        "_first_sent_s",
        "_first_part_s",
        "_last_part_s",
        "_attempt_has_part",
    )

    def __init__(self, received_s: float) -> None:
        """Starts the measurement.

        Args:
            received_s: When the caller's request was received.
        """
        self.sent_s = received_s
        self.longest_gap_s = 0.0
        self._received_s = received_s
        self._first_sent_s: float | None = None
        self._first_part_s: float | None = None
        self._last_part_s = received_s
        self._attempt_has_part = False

    @property
    def queue_time_s(self) -> float:
        """Time from receiving the request to first sending it."""
        return (self._first_sent_s or self._received_s) - self._received_s

    @property
    def time_to_first_part_s(self) -> float:
        """Time from receiving the request to the first part of the answer."""
        return (self._first_part_s or self._received_s) - self._received_s

    def on_sent(self, now_s: float) -> None:
        """Records that an attempt has been sent."""
        self.sent_s = now_s
        self._attempt_has_part = False
        if self._first_sent_s is None:
            self._first_sent_s = now_s

    def on_part(self, now_s: float) -> float | None:
        """Records the arrival of a part of the answer.

        Returns:
            The time since the previous part, or None for the first part of an
            attempt.
        """
        gap_s = now_s - self._last_part_s
        if self._first_part_s is None:
            self._first_part_s = now_s
        else:
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self._last_part_s = now_s
        is_first = not self._attempt_has_part
        self._attempt_has_part = True
        return None if is_first else gap_s
