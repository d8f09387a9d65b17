"""Request limits of client accounts over many entries.

Entries do not talk to each other. Each starts from an equal share of the
limit. Agents report how many requests of an account they have seen from all
entries; an entry takes the share of the limit that its own part of that
traffic gives it.
"""

import math

_SHARE_FLOOR = 0.5


class TokenBucket:
    """Admits a rate with a bounded burst.

    Attributes:
        rate_per_s: Tokens earned a second.
        burst: Tokens that may be saved up.
    """

    __slots__ = ("rate_per_s", "burst", "_tokens", "_updated_s")

    def __init__(self, rate_per_s: float, burst: float, now_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst
        self._updated_s = now_s

    def set_rate(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Changes the rate from now on."""
        self._refill(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def take(self, now_s: float) -> float:
        """Takes a token.

        Returns:
            0 where there was one, else the time in seconds until there is.
        """
        self._refill(now_s)
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        return (1 - self._tokens) / self.rate_per_s

    def _refill(self, now_s: float) -> None:
        earned = max(0.0, now_s - self._updated_s) * self.rate_per_s
        self._tokens = min(self.burst, self._tokens + earned)
        self._updated_s = now_s


class DecayingCount:
    """Counts events, forgetting them with a time constant."""

    __slots__ = ("_time_constant_s", "_value", "_updated_s")

    def __init__(self, time_constant_s: float, now_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._value = 0.0
        self._updated_s = now_s

    def add(self, count: float, now_s: float) -> None:
        """Adds events."""
        self._value = self.value(now_s) + count
        self._updated_s = now_s

    def value(self, now_s: float) -> float:
        """Returns the decayed count."""
        age_s = max(0.0, now_s - self._updated_s)
        return self._value * math.exp(-age_s / self._time_constant_s)

    def rate_per_s(self, now_s: float) -> float:
        """Returns the events a second over the time constant."""
        return self.value(now_s) / self._time_constant_s


class AccountLimit:
    """One account's limit as one entry enforces it.

    Without reports the entry allows its equal share. With reports it allows
    ``limit * own / total`` of what callers offer, so that they may use any
    entry. The share never falls below half of the equal share, so that an
    account that moves to this entry is not refused for long.
    """

    __slots__ = ("_limit_per_s", "_burst_s", "_bucket", "_offered", "_admitted")

    def __init__(
        self,
        limit_per_s: float,
        burst_s: float,
        entries: int,
        time_constant_s: float,
        now_s: float,
    ) -> None:
        """Starts from an equal share.

        Args:
            limit_per_s: Requests a second over the whole system.
            burst_s: How many seconds of the limit may be used at once.
            entries: Entries in service.
            time_constant_s: How fast old traffic is forgotten.
            now_s: The current time.
        """
        self._limit_per_s = limit_per_s
        self._burst_s = burst_s
        self._offered = DecayingCount(time_constant_s, now_s)
        self._admitted = DecayingCount(time_constant_s, now_s)
        rate = limit_per_s / max(1, entries)
        self._bucket = TokenBucket(rate, max(1.0, rate * burst_s), now_s)

    def take(self, now_s: float) -> float:
        """Asks to admit a request.

        Returns:
            0 where it is admitted, else the time in seconds to wait.
        """
        self._offered.add(1, now_s)
        wait_s = self._bucket.take(now_s)
        if wait_s == 0:
            self._admitted.add(1, now_s)
        return wait_s

    def offered_per_admitted(self, now_s: float) -> float:
        """Returns how many offered requests one admitted request stands for.

        Entries send it along with each request, so that agents can tell the
        offered rate without further messages.
        """
        admitted = self._admitted.value(now_s)
        if admitted <= 0:
            return 1.0
        return max(1.0, self._offered.value(now_s) / admitted)

    def update_share(
        self, total_per_s: float, entries: int, now_s: float
    ) -> None:
        """Takes over what the agents say of all entries.

        Args:
            total_per_s: Requests a second of this account offered to all
                entries, or 0 where nothing is known.
            entries: Entries in service.
            now_s: The current time.
        """
        equal = 1 / max(1, entries)
        own_per_s = self._offered.rate_per_s(now_s)
        share = equal
        if total_per_s > 0:
            share = own_per_s / max(total_per_s, own_per_s)
        share = max(share, equal * _SHARE_FLOOR)
        rate = self._limit_per_s * share
        self._bucket.set_rate(rate, max(1.0, rate * self._burst_s), now_s)
