"""Request limits of client accounts over many entries.

For these limits, entries do not communicate with each other. Each entry
starts with an equal share of the limit. Agents report the rate of requests that
the callers of an account offer to all entries, refused ones included. An entry
then takes the share of the limit that equals its share of that rate.
"""

import math

# Smallest share of an entry in the limit, as a multiple of the equal share.
_MIN_SHARE_RATIO = 0.5


class TokenBucket:
    """Admits a rate of requests with a bounded burst.

    Attributes:
        rate_per_s: Tokens added per second.
        burst: Largest number of tokens in the bucket.
    """

    __slots__ = ("rate_per_s", "burst", "_tokens", "_updated_s")

    def __init__(
        self,
        rate_per_s: float,
        burst: float,
        now_s: float,
        tokens: float | None = None,
    ) -> None:
        """Creates a bucket that is full unless its tokens are given."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst if tokens is None else tokens
        self._updated_s = now_s

    def set_rate(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Changes the rate and the burst from now on."""
        self._refill(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def take(self, now_s: float) -> float:
        """Takes a token.

        Returns:
            0 if a token was available, else the time in seconds until one is.
        """
        wait_s = self.wait_s(now_s)
        if wait_s == 0.0:
            self._tokens -= 1
        return wait_s

    def wait_s(self, now_s: float) -> float:
        """Returns the time in seconds until a token is available, or 0."""
        self._refill(now_s)
        return max(0.0, (1 - self._tokens) / self.rate_per_s)

    def available(self, now_s: float) -> float:
        """Returns the number of tokens, 0 while the bucket is in debt."""
        self._refill(now_s)
        return max(0.0, self._tokens)

    def charge(self, tokens: float, max_debt: float, now_s: float) -> None:
        """Takes tokens even if fewer are available.

        Args:
            tokens: Number of tokens.
            max_debt: Largest number of tokens that may be missing afterwards.
            now_s: The current time.
        """
        self._refill(now_s)
        self._tokens = max(-max_debt, self._tokens - tokens)

    def _refill(self, now_s: float) -> None:
        added = max(0.0, now_s - self._updated_s) * self.rate_per_s
        self._tokens = min(self.burst, self._tokens + added)
        self._updated_s = now_s


class DecayingCount:
    """Counts events with exponential decay."""

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
        """Estimates the rate as the decayed count over the time constant."""
        return self.value(now_s) / self._time_constant_s


class AccountLimit:
    """Limit of one client account, as one entry enforces it.

    Without reports, the entry admits its equal share of the limit. With
    reports, it admits ``limit * own / total``, where ``own`` and ``total`` are
    the rates offered to this entry and to all entries, so that callers can use
    any entry. The share never falls below half of the equal share, so that an
    account that moves to this entry is not refused for long. Because of this
    minimum, the entries may together admit more than the limit.
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
        """Creates a limit that starts with an equal share.

        Args:
            limit_per_s: Requests per second over all entries.
            burst_s: Size of a burst, in seconds of the limit.
            entries: Entries in service.
            time_constant_s: Time constant with which old traffic decays.
            now_s: The current time.
        """
        self._limit_per_s = limit_per_s
        self._burst_s = burst_s
        self._offered = DecayingCount(time_constant_s, now_s)
        self._admitted = DecayingCount(time_constant_s, now_s)
        rate = limit_per_s / max(1, entries)
        self._bucket = TokenBucket(rate, max(1.0, rate * burst_s), now_s)

    def take(self, now_s: float) -> float:
        """Tries to admit a request.

        Returns:
            0 if the request is admitted, else the time in seconds to wait.
        """
        self._offered.add(1, now_s)
        wait_s = self._bucket.take(now_s)
        if wait_s == 0:
            self._admitted.add(1, now_s)
        return wait_s

    def offered_per_admitted(self, now_s: float) -> float:
        """Returns the number of offered requests per admitted request.

        Entries send this number with each request, so that agents can compute
        the offered rate without further messages.
        """
        admitted = self._admitted.value(now_s)
        if admitted <= 0:
            return 1.0
        return max(1.0, self._offered.value(now_s) / admitted)

    def update_share(
        self, total_per_s: float, entries: int, now_s: float
    ) -> None:
        """Updates the share of this entry from the reports of the agents.

        Args:
            total_per_s: Requests per second of this account offered to all
                entries, or 0 if unknown.
            entries: Entries in service.
            now_s: The current time.
        """
        equal_share = 1 / max(1, entries)
        own_per_s = self._offered.rate_per_s(now_s)
        share = equal_share
        if total_per_s > 0:
            share = own_per_s / max(total_per_s, own_per_s)
        share = max(share, equal_share * _MIN_SHARE_RATIO)
        rate = self._limit_per_s * share
        self._bucket.set_rate(rate, max(1.0, rate * self._burst_s), now_s)
