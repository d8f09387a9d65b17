"""Shares of the entries in the rate that a cold endpoint stands.

A cold endpoint stands a number of requests in any second from all entries
together and ends if it gets far more. The bound has to hold while entries do
not hear each other. It is therefore divided among them beforehand: each entry
has a share for each endpoint and needs no message to keep to it. The one entry
that fills an endpoint first has more.
"""

from collections.abc import Set
import dataclasses
import math

from godwitdale_routing import limits

# Entries that are assumed for each known one. They allow for entries that have
# just started.
_ENTRIES_PER_KNOWN = 1.25
# Number of entries that may take an endpoint for their home at the same time,
# because they do not list the same entries yet.
_MAX_HOMES = 3
# Time in which an entry sends no more than its share. It is longer than the
# second that the bound is about by the time that opening a connection takes.
_WINDOW_S = 1.25
# Largest part of the next request in a window. At a whole one, a request at
# each end of the window would be one too many.
_MAX_FRACTION = 0.99


@dataclasses.dataclass(frozen=True, slots=True)
class ColdRate:
    """Declared rate of the cold endpoints of a service.

    Attributes:
        requests_per_s: Requests per second that a cold endpoint stands.
        duration_s: How long an endpoint is cold after its start.
    """

    requests_per_s: float
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Requests that one entry may send to one endpoint.

    Attributes:
        rate_per_s: Requests per second in the long run.
        burst: Requests at once after a pause.
    """

    rate_per_s: float
    burst: float


def max_share(max_requests: float, entries: int, is_home: bool) -> Share:
    """Returns the share of one entry in what an endpoint may get in a second.

    If there are more entries than requests, the shares keep to the bound on
    average only.

    Args:
        max_requests: Requests in one second from all entries together.
        entries: Number of known entries.
        is_home: Whether the entry fills this endpoint first.
    """
    assumed = math.ceil(entries * _ENTRIES_PER_KNOWN)
    requests = max_requests // assumed or max_requests // entries
    if requests < 1:
        return Share(max_requests / assumed / _WINDOW_S, 1.0)
    if is_home:
        left = max(0.0, max_requests - requests * assumed)
        requests += left // _MAX_HOMES
    burst = max(1.0, requests / 2)
    rate_per_s = (requests + _MAX_FRACTION - burst) / _WINDOW_S
    return Share(rate_per_s, burst)


class SharesInUse:
    """The shares of one entry that its last requests have used."""

    __slots__ = ("_buckets",)

    def __init__(self) -> None:
        self._buckets: dict[str, limits.TokenBucket] = {}

    def record_sent(self, endpoint: str, share: Share, now_s: float) -> None:
        """Counts a request, from its assignment on.

        Args:
            endpoint: Id of the endpoint.
            share: The share of this entry at present.
            now_s: The current time.
        """
        bucket = self._buckets.get(endpoint)
        if bucket is None:
            bucket = limits.TokenBucket(share.rate_per_s, share.burst, now_s)
            self._buckets[endpoint] = bucket
        else:
            bucket.set_rate(share.rate_per_s, share.burst, now_s)
        bucket.charge(1, 0.0, now_s)

    def room(self, endpoint: str, now_s: float) -> int | None:
        """Returns how many requests may be sent now, or None if not known.

        It is not known of endpoints that got nothing for a while. They may get
        a request.

        Args:
            endpoint: Id of the endpoint.
            now_s: The current time.
        """
        bucket = self._buckets.get(endpoint)
        return None if bucket is None else int(bucket.available(now_s))

    def wait_s(self, endpoint: str, now_s: float) -> float:
        """Returns the time until a request may be sent, 0 if it may be now.

        Args:
            endpoint: Id of the endpoint.
            now_s: The current time.
        """
        bucket = self._buckets.get(endpoint)
        return 0.0 if bucket is None else bucket.wait_s(now_s)

    def retain(self, endpoints: Set[str], now_s: float) -> None:
        """Removes shares that are unused again or not bounded any more.

        Args:
            endpoints: Ids of the endpoints whose requests are bounded.
            now_s: The current time.
        """
        for endpoint, bucket in list(self._buckets.items()):
            is_unused = bucket.available(now_s) >= bucket.burst
            if is_unused or endpoint not in endpoints:
                del self._buckets[endpoint]
