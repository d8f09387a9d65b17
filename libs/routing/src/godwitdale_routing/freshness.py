"""How old a process's knowledge of the configuration may be.

A key that was taken away must stop working within a bound, also at an entry
that the store does not serve. So an entry has to know until when its copy was
certainly the newest, and refuses keyed work once that lies too far back.
"""

# Share of the bound within which the next confirmation is due.
_DUE_SHARE = 0.75
# Longest share of the bound that one long poll may take.
_POLL_SHARE = 0.5
# Kept between the age at which keyed work is refused and the bound.
_MARGIN_SHARE = 0.06
_LEAST_POLL_S = 0.1


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
        only the moment at which it was asked for.

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

    def is_doubtful(self, now_s: float, apply_s: float) -> bool:
        """Tells whether a change may have been missed that is due by now.

        Args:
            now_s: The present time.
            apply_s: Time within which a change has to be in force.
        """
        return self.age_s(now_s) > self._bound_s * _DUE_SHARE + apply_s / 2

    def poll_s(self, now_s: float) -> float:
        """Returns how long the next long poll may wait.

        An answer with changes confirms less than an empty one, so the poll
        after it is shorter.
        """
        age_s = self.age_s(now_s)
        due_s = self._bound_s * _DUE_SHARE - age_s
        most_s = self._bound_s * _POLL_SHARE
        return max(_LEAST_POLL_S, min(most_s, due_s))
