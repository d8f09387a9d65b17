"""Rate limits that endpoints state in their answers.

An endpoint states how many requests a second it takes from all entries
together. Its newest answer decides: a limit holds until an answer states
another one or none. Entries tell each other the statements and how many
requests they have sent, so that all of them count the same requests.

Entries that send at the same moment do not know of each other's requests yet.
The surplus is counted as soon as it is known and holds later requests back.
"""

from collections.abc import Mapping
from collections.abc import Set
import dataclasses

from godwitdale_routing import limits

# Rate that is used in any case. Without any request, the end of a very low
# limit would not be noticed.
_MIN_REQUESTS_PER_S = 0.25
# Requests that may be sent at once after a pause, in seconds of the limit.
_BURST_S = 1.0
# Surplus requests count against the limit of at most this many seconds.
_MAX_DEBT_S = 4.0
# Time for which the end of a limit is remembered, so that older statements that
# other entries report do not bring the limit back.
_ENDED_MEMORY_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What an answer of an endpoint states about its limit.

    Attributes:
        requests_per_s: The limit, or None if the answer states none.
        at_s: When the answer was received.
    """

    requests_per_s: float | None
    at_s: float


class RateLimits:
    """Rate limits of endpoints and the requests that count against them."""

    __slots__ = ("_statements", "_buckets", "_own_counts", "_peer_counts")

    def __init__(self) -> None:
        self._statements: dict[str, Statement] = {}
        self._buckets: dict[str, limits.TokenBucket] = {}
        self._own_counts: dict[str, int] = {}
        self._peer_counts: dict[str, dict[str, int]] = {}

    def observe_peer_statement(
        self, endpoint: str, statement: Statement, now_s: float
    ) -> bool:
        """Takes a statement that another entry has received or heard of.

        A statement of the limit that is known is ignored. Otherwise, it would
        look newer each time that entries repeat it to each other.

        Args:
            endpoint: Id of the endpoint.
            statement: The statement.
            now_s: The current time.

        Returns:
            Whether the limit of the endpoint has changed.
        """
        known = self._statements.get(endpoint)
        if (
            known is not None
            and known.requests_per_s == statement.requests_per_s
        ):
            return False
        return self.observe(endpoint, statement, now_s)

    def observe(
        self, endpoint: str, statement: Statement, now_s: float
    ) -> bool:
        """Takes a statement of an endpoint unless a newer one is known.

        Args:
            endpoint: Id of the endpoint.
            statement: The statement. One without a limit has no effect on an
                endpoint that has stated none.
            now_s: The current time.

        Returns:
            Whether the limit of the endpoint has changed.
        """
        known = self._statements.get(endpoint)
        limit = statement.requests_per_s
        if known is None and limit is None:
            return False
        if known is not None and statement.at_s < known.at_s:
            return False
        self._statements[endpoint] = statement
        if known is not None and known.requests_per_s == limit:
            return False
        if limit is None:
            self._buckets.pop(endpoint, None)
            return True
        rate_per_s = max(limit, _MIN_REQUESTS_PER_S)
        burst = max(1.0, rate_per_s * _BURST_S)
        bucket = self._buckets.get(endpoint)
        if bucket is None:
            # Requests that were sent just before are not known.
            self._buckets[endpoint] = limits.TokenBucket(
                rate_per_s, burst, now_s, tokens=0.0
            )
        else:
            bucket.set_rate(rate_per_s, burst, now_s)
        return True

    def limit(self, endpoint: str) -> float | None:
        """Returns the requests per second that an endpoint takes, or None."""
        bucket = self._buckets.get(endpoint)
        return bucket.rate_per_s if bucket is not None else None

    def room(self, endpoint: str, now_s: float) -> int | None:
        """Returns how many requests may be sent now, or None if unlimited.

        Args:
            endpoint: Id of the endpoint.
            now_s: The current time.
        """
        bucket = self._buckets.get(endpoint)
        return int(bucket.available(now_s)) if bucket is not None else None

    def wait_s(self, endpoint: str, now_s: float) -> float:
        """Returns the time until a request may be sent, 0 if it may be now.

        Args:
            endpoint: Id of the endpoint.
            now_s: The current time.
        """
        bucket = self._buckets.get(endpoint)
        return bucket.wait_s(now_s) if bucket is not None else 0.0

    def record_sent(self, endpoint: str, now_s: float) -> None:
        """Counts a request of this entry, from its assignment on.

        Args:
            endpoint: Id of the endpoint.
            now_s: The current time.
        """
        if endpoint in self._buckets:
            self._own_counts[endpoint] = self._own_counts.get(endpoint, 0) + 1
            self._charge(endpoint, 1, now_s)

    def record_peer_count(
        self, peer: str, endpoint: str, count: int, now_s: float
    ) -> None:
        """Counts the requests of another entry since its previous report.

        Args:
            peer: Name of one incarnation of the entry.
            endpoint: Id of the endpoint.
            count: How many requests this incarnation has sent while it knew of
                a limit.
            now_s: The current time.
        """
        if count <= 0:
            return
        counts = self._peer_counts.setdefault(peer, {})
        known_count = counts.get(endpoint, 0)
        if count < known_count:
            known_count = 0  # The peer had forgotten the endpoint meanwhile.
        counts[endpoint] = count
        self._charge(endpoint, count - known_count, now_s)

    def remove_peer(self, peer: str) -> None:
        """Removes the counts of an entry that has ended."""
        self._peer_counts.pop(peer, None)

    def own_counts(self) -> Mapping[str, int]:
        """Returns how many requests this entry has sent, by endpoint."""
        return self._own_counts

    def statements(self) -> Mapping[str, Statement]:
        """Returns the statements that are remembered, by endpoint."""
        return self._statements

    def expire(self, endpoints: Set[str], now_s: float) -> None:
        """Removes endpoints that are gone and limits that ended long ago.

        Args:
            endpoints: Ids of the endpoints that still exist.
            now_s: The current time.
        """
        for endpoint, statement in list(self._statements.items()):
            is_forgotten = (
                statement.requests_per_s is None
                and now_s - statement.at_s > _ENDED_MEMORY_S
            )
            if is_forgotten or endpoint not in endpoints:
                del self._statements[endpoint]
                self._buckets.pop(endpoint, None)
        for endpoint in self._own_counts.keys() - endpoints:
            del self._own_counts[endpoint]
        for counts in self._peer_counts.values():
            for endpoint in counts.keys() - endpoints:
                del counts[endpoint]

    def concurrency(self, endpoint: str, slots: float, total_s: float) -> float:
        """Returns how many requests an endpoint runs at once at its limit.

        Args:
            endpoint: Id of the endpoint.
            slots: Requests that the endpoint can run at once.
            total_s: Mean time of a request.
        """
        limit = self.limit(endpoint)
        return float(slots) if limit is None else min(slots, limit * total_s)

    def _charge(self, endpoint: str, count: int, now_s: float) -> None:
        bucket = self._buckets.get(endpoint)
        if bucket is not None:
            max_debt = bucket.rate_per_s * _MAX_DEBT_S
            bucket.charge(count, max_debt, now_s)
