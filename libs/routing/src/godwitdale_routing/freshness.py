"""Bound on the age of an entry's copy of the configuration.

A revoked API key must stop working within a bound, also at an entry that gets
no answers from the platform's store. An entry therefore tracks until when its
copy was certainly the newest, and refuses requests with API keys once that time
is too long ago.
"""

# Share of the bound after which the entry asks another entry to confirm the
# copy.
_PEER_QUERY_SHARE = 0.35
# Shares of the bound after which the entry asks the store: the oldest entry
# first, so that the others can ask it instead, and the next one if it fails.
_FIRST_STORE_READ_SHARE = 0.3
_STORE_READ_SHARE_STEP = 0.1
_MAX_STORE_READ_SHARE = 0.5
# Share of the bound after which new callers should use another entry. If the
# copy has become this old, neither the other entries nor the store have
# confirmed it in time, and keys will soon be refused.
_READY_SHARE = 0.56
# Keys are refused when this share of the bound is still left.
_MARGIN_SHARE = 0.06


class Freshness:
    """Tracks until when a copy was certainly the newest.

    All times are on a clock that also counts while the machine is suspended.
    """

    __slots__ = ("_bound_s", "_as_of_s")

    def __init__(self, bound_s: float) -> None:
        """Creates the state of an entry that has no copy yet.

        Args:
            bound_s: Time within which a revoked key must stop working. Keys are
                refused slightly before the copy reaches this age.
        """
        self._bound_s = bound_s
        self._as_of_s: float | None = None

    def confirm(self, as_of_s: float) -> None:
        """Records that the copy was the newest at a point in time.

        A long poll that returned no changes confirms the time at which it was
        sent plus the timeout that the store was given. Any other answer of the
        store confirms only the time at which the request was sent. An answer of
        another entry confirms the time at which that entry was asked, minus the
        age of its own copy.

        Args:
            as_of_s: The point in time.
        """
        if self._as_of_s is None or as_of_s > self._as_of_s:
            self._as_of_s = as_of_s

    def age_s(self, now_s: float) -> float:
        """Returns how long ago the copy was certainly the newest."""
        if self._as_of_s is None:
            return float("inf")
        return max(0.0, now_s - self._as_of_s)

    def is_fresh(self, now_s: float) -> bool:
        """Returns whether keys may be accepted."""
        return self.age_s(now_s) <= self._bound_s * (1 - _MARGIN_SHARE)

    def should_ask_peer(self, now_s: float) -> bool:
        """Returns whether it is time to ask another entry."""
        return self.age_s(now_s) > self._bound_s * _PEER_QUERY_SHARE

    def should_read_store(self, now_s: float, index: int) -> bool:
        """Returns whether it is time to ask the store.

        Load pattern: a fleet of entries whose copies were confirmed at the same
        time. If all of them asked the store when that is too long ago, the
        calls would grow with their number.

        Args:
            now_s: The current time.
            index: Index of this entry among the live entries, from 0.
        """
        share = min(
            _MAX_STORE_READ_SHARE,
            _FIRST_STORE_READ_SHARE + _STORE_READ_SHARE_STEP * index,
        )
        return self.age_s(now_s) > self._bound_s * share

    def is_ready(self, now_s: float) -> bool:
        """Returns whether the entry should accept new callers."""
        return self.age_s(now_s) <= self._bound_s * _READY_SHARE
