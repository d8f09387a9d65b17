"""Time that a stopping process has left for its requests.

Load pattern: a planned stop. Callers keep open connections to the process and
new ones arrive until the platform has noticed the stop. A request that could
be cut off at the end is better refused at once, since its caller can use
another process.
"""

# Part of the stop timeout that is reserved to write the last answers, to close
# connections and to exit.
_CLOSE_RESERVE_S = 0.6
# Time after the start of a stop in which streams begin. A stream ends long
# before its time limit as a rule, so that the limit says little.
_STREAM_WINDOW_S = 2.5


class StopBudget:
    """Decides what a process still begins between a stop and its end."""

    __slots__ = ("_drain_s", "_started_s", "_is_closed")

    def __init__(self, stop_timeout_s: float) -> None:
        """Creates the budget of a process that does not stop yet.

        Args:
            stop_timeout_s: Time from the request to stop until the platform
                kills the process.
        """
        self._drain_s = max(0.0, stop_timeout_s - _CLOSE_RESERVE_S)
        self._started_s: float | None = None
        self._is_closed = False

    @property
    def drain_s(self) -> float:
        """Time from the request to stop until the last request has to end."""
        return self._drain_s

    @property
    def is_stopping(self) -> bool:
        """Whether the process has been asked to stop."""
        return self._started_s is not None

    def start(self, now_s: float) -> None:
        """Records that the process has been asked to stop."""
        self._started_s = now_s

    def close(self) -> None:
        """Records that the process closes its connections."""
        self._is_closed = True

    def stream_window_left_s(self, now_s: float) -> float:
        """Returns how long streams may still begin."""
        if self._is_closed:
            return 0.0
        if self._started_s is None:
            return float("inf")
        window_s = min(_STREAM_WINDOW_S, self._drain_s)
        return max(0.0, self._started_s + window_s - now_s)

    def may_begin(
        self, is_stream: bool, deadline_s: float, now_s: float
    ) -> bool:
        """Returns whether a request may be sent to an endpoint.

        Args:
            is_stream: Whether the answer is a stream.
            deadline_s: Time by which the request has ended in any case.
            now_s: The current time.
        """
        if self._is_closed:
            return False
        if self._started_s is None:
            return True
        if is_stream:
            return self.stream_window_left_s(now_s) > 0
        return deadline_s <= self._started_s + self._drain_s
