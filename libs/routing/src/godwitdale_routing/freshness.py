"""How old a process's knowledge of the configuration may be.

A key that was taken away must stop working within a bound, also at an entry
that the store does not serve. So an entry has to know until when its copy was
certainly the newest, and refuses keyed work once that lies too far back.
"""

# Shares of the bound after which another entry is asked to confirm the copy,
# and after which the store is asked itself.
_ASK_SHARE = 0.35
_READ_SHARE = 0.5
# Share after which new callers are better off at another entry: both ways of
# confirming have failed by then, and keys will soon be refused.
_READY_SHARE = 0.56
# Kept between the age at which keyed work is refused and the bound.
_MARGIN_SHARE = 0.06


class Freshness:
    """Until when a copy was certainly the newest.

    All times are on a clock that also counts while the machine is suspended.
    """

    __slots__ = ("_bound_s", "_as_of_s")

    def __init__(self, bound_s: float) -> None:
        """Starts without any copy.

        Args:
            bound_s: Oldest copy by which a key may be accepted.
        """
        self._bound_s = bound_s
        self._as_of_s: float | None = None

    def confirm(self, as_of_s: float) -> None:
        """Notes that the copy was the newest at a moment.

        A long poll that came back empty confirms the moment at which it was
        sent plus the time that the store was asked to wait; any other answer
        only the moment at which it was asked for. What another entry confirms
        counts from the moment at which that entry was asked, less the age of
        its own copy.

        Args:
            as_of_s: The moment.
        """
        if self._as_of_s is None or as_of_s > self._as_of_s:
            self._as_of_s = as_of_s

    def age_s(self, now_s: float) -> float:
        """Returns how long ago the copy was certainly the newest."""
        if self._as_of_s is None:
            return float("inf")
        return max(0.0, now_s - self._as_of_s)

    def is_fresh(self, now_s: float) -> bool:
        """Tells whether keys may be accepted."""
        return self.age_s(now_s) <= self._bound_s * (1 - _MARGIN_SHARE)

    def should_ask_peer(self, now_s: float) -> bool:
        """Tells whether it is time to ask another entry."""
        return self.age_s(now_s) > self._bound_s * _ASK_SHARE

    def should_read_store(self, now_s: float) -> bool:
        """Tells whether it is time to ask the store."""
        return self.age_s(now_s) > self._bound_s * _READ_SHARE

    def is_ready(self, now_s: float) -> bool:
        """Tells whether new callers are welcome."""
        return self.age_s(now_s) <= self._bound_s * _READY_SHARE
