"""Shares the rate limits of endpoints between the entries."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import peer_messages
from godwitdale_observe import logs
from godwitdale_routing import rate_limits

# Endpoints in one report, which is sent in a datagram of its own.
MAX_REPORTED_LIMITS = 24
# Endpoints whose limits are repeated in each tick. All entries repeat limits,
# so that a new entry learns many of them within a second.
_MAX_REPEATED_LIMITS = 4


class LimitSharing:
    """The rate limits of endpoints, as this entry and its peers have seen them.

    Attributes:
        limits: Limits and the requests that count against them.
    """

    def __init__(
        self,
        directory: directory_lib.Directory,
        announce: Callable[[list[str]], None],
        on_change: Callable[[str], None],
        clock: Any,
        log: logs.EventLog,
    ) -> None:
        """Creates an empty registry.

        Args:
            directory: The endpoints.
            announce: Reports the limits of some endpoints to the other entries.
            on_change: Called with the name of a service when the limit of one
                of its endpoints has changed.
            clock: A Twisted ``IReactorTime``.
            log: The event log.
        """
        self.limits = rate_limits.RateLimits()
        self._directory = directory
        self._announce = announce
        self._on_change = on_change
        self._clock = clock
        self._log = log
        self._next_report = 0

    def on_stated(self, endpoint_id: str, requests_per_s: float) -> None:
        """Records that an answer of an endpoint names a limit.

        Args:
            endpoint_id: Id of the endpoint.
            requests_per_s: Requests per second from all entries together.
        """
        self._observe(endpoint_id, requests_per_s)

    def on_not_stated(self, endpoint_id: str) -> None:
        """Records that an answer of an endpoint names no limit."""
        self._observe(endpoint_id, None)

    def record_sent(self, endpoint_id: str) -> None:
        """Counts a request of this entry and reports it to the others."""
        if self.limits.limit(endpoint_id) is not None:
            self.limits.record_sent(endpoint_id, self._clock.seconds())
            self._announce([endpoint_id])

    def tick(self) -> None:
        """Removes outdated limits and repeats some of the others."""
        self.limits.expire(self._directory.ids(), self._clock.seconds())
        endpoint_ids = sorted(self.limits.statements())
        if not endpoint_ids:
            return
        start = self._next_report % len(endpoint_ids)
        self._next_report = start + _MAX_REPEATED_LIMITS
        self._announce(endpoint_ids[start : start + _MAX_REPEATED_LIMITS])

    def report(
        self, endpoint_ids: Sequence[str]
    ) -> dict[str, peer_messages.LimitReport]:
        """Returns what the other entries need to know of some endpoints."""
        now_s = self._clock.seconds()
        statements = self.limits.statements()
        counts = self.limits.own_counts()
        return {
            endpoint_id: (
                statements[endpoint_id].requests_per_s,
                max(0, int((now_s - statements[endpoint_id].at_s) * 1000)),
                counts.get(endpoint_id, 0),
            )
            for endpoint_id in endpoint_ids
            if endpoint_id in statements
        }

    def on_report(
        self, peer: str, reports: dict[str, peer_messages.LimitReport]
    ) -> None:
        """Takes the report of another entry.

        Args:
            peer: Name of one incarnation of the entry.
            reports: The report, by id of the endpoint.
        """
        now_s = self._clock.seconds()
        for endpoint_id, (limit, age_ms, count) in reports.items():
            statement = rate_limits.Statement(limit, now_s - age_ms / 1000)
            if self.limits.observe_peer_statement(
                endpoint_id, statement, now_s
            ):
                self._on_limit_change(endpoint_id, limit, peer)
            self.limits.record_peer_count(peer, endpoint_id, count, now_s)

    def on_peer_end(self, peer: str) -> None:
        """Removes the counts of an incarnation of an entry that has ended."""
        self.limits.remove_peer(peer)

    def _observe(self, endpoint_id: str, requests_per_s: float | None) -> None:
        now_s = self._clock.seconds()
        statement = rate_limits.Statement(requests_per_s, now_s)
        if self.limits.observe(endpoint_id, statement, now_s):
            self._on_limit_change(endpoint_id, requests_per_s, None)
            self._announce([endpoint_id])

    def _on_limit_change(
        self, endpoint_id: str, requests_per_s: float | None, peer: str | None
    ) -> None:
        self._log.info(
            "rate_limit",
            endpoint=endpoint_id,
            requests_per_s=requests_per_s,
            peer=peer,
        )
        record = self._directory.get(endpoint_id)
        if record is not None:
            self._on_change(record.endpoint.service)
