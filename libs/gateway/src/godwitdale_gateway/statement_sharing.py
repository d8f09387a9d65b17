"""What endpoints state in their answers, and what other entries hear of it.

An endpoint states a rate limit for all entries together, that it leaves, or
that it wants a pause from the entry that it answers. All but the pause is
reported to the other entries.

What an entry may send to an endpoint is bounded further while the endpoint may
be cold, and while it recovers.
"""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from godwitdale_gateway import cold_endpoints as cold_endpoints_lib
from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import peer_messages
from godwitdale_gateway import recovering_endpoints as recovering_lib
from godwitdale_observe import logs
from godwitdale_routing import pauses as pauses_lib
from godwitdale_routing import rate_limits

# Endpoints in one report, which is sent in a datagram of its own.
MAX_REPORTED_ENDPOINTS = 16
# Endpoints whose statements are repeated in each tick. All entries repeat them,
# so that a new entry learns many of them within a second.
_MAX_REPEATED_ENDPOINTS = 4
# Largest age in reports; it also stands for larger ages.
_MAX_AGE_MS = 600_000


class StatementSharing:
    """What endpoints have stated to this entry and to its peers.

    Attributes:
        limits: Limits and the requests that count against them.
        pauses: Pauses that endpoints want from this entry.
    """

    def __init__(
        self,
        directory: directory_lib.Directory,
        cold_endpoints: cold_endpoints_lib.ColdEndpoints,
        recovering: recovering_lib.RecoveringEndpoints,
        announce: Callable[[list[str]], None],
        on_change: Callable[[str], None],
        clock: Any,
        log: logs.EventLog,
    ) -> None:
        """Creates an empty registry.

        Args:
            directory: The endpoints.
            cold_endpoints: Bounds the requests to cold endpoints.
            recovering: Paces endpoints that recover.
            announce: Reports what some endpoints have stated to the other
                entries.
            on_change: Called with the name of a service when the limit of one
                of its endpoints has changed.
            clock: A Twisted ``IReactorTime``.
            log: The event log.
        """
        self.limits = rate_limits.RateLimits()
        self.pauses = pauses_lib.Pauses()
        self._directory = directory
        self._cold_endpoints = cold_endpoints
        self._recovering = recovering
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

    def on_leaving(self, record: directory_lib.EndpointRecord) -> None:
        """Records that an answer states that its endpoint leaves.

        Args:
            record: The endpoint that was asked.
        """
        endpoint = record.endpoint
        listed = self._directory.get(endpoint.id)
        if listed is not None and listed is not record:
            return  # Another incarnation has taken its place.
        if self._directory.mark_leaving(endpoint, self._clock.seconds()):
            self._log.info("endpoint_leaving", endpoint=endpoint.id, peer=None)
            self._announce([endpoint.id])

    def on_pause(self, endpoint_id: str, pause_s: float) -> None:
        """Records that an endpoint wants no requests of this entry.

        Args:
            endpoint_id: Id of the endpoint.
            pause_s: Length of the pause.
        """
        if self.pauses.observe(endpoint_id, pause_s, self._clock.seconds()):
            self._log.info(
                "endpoint_pauses", endpoint=endpoint_id, pause_s=pause_s
            )

    def on_first(
        self, endpoint: directory_lib.Endpoint, took_s: float, usual_s: float
    ) -> None:
        """Records that an endpoint has begun to answer a request.

        Args:
            endpoint: The endpoint.
            took_s: Time from sending the request to the first part.
            usual_s: Usual time of the service.
        """
        if self._recovering.observe_first(endpoint, took_s, usual_s):
            self._announce([endpoint.id])

    def on_failure(self, endpoint_id: str, sent_s: float) -> None:
        """Records that an endpoint has refused or broken off a request.

        Args:
            endpoint_id: Id of the endpoint.
            sent_s: When the request was sent.
        """
        if self._recovering.observe_failure(endpoint_id, sent_s):
            self._announce([endpoint_id])

    def on_run(self, endpoint_id: str) -> None:
        """Records that an endpoint has run a request."""
        self.pauses.record_run(endpoint_id, self._clock.seconds())

    def room(self, endpoint_id: str, now_s: float) -> int | None:
        """Returns how many requests this entry may send now.

        Args:
            endpoint_id: Id of the endpoint.
            now_s: The current time.

        Returns:
            The number of requests, or None if it is unlimited.
        """
        return _smallest(
            self.stated_room(endpoint_id, now_s),
            self._cold_endpoints.room(endpoint_id, now_s),
        )

    def stated_room(self, endpoint_id: str, now_s: float) -> int | None:
        """Returns how many requests an endpoint takes now by its answers.

        The share of this entry in what a cold endpoint stands does not count:
        other entries have shares of their own.

        Args:
            endpoint_id: Id of the endpoint.
            now_s: The current time.

        Returns:
            The number of requests, or None if it is unlimited.
        """
        return _smallest(
            self.limits.room(endpoint_id, now_s),
            self.pauses.room(endpoint_id, now_s),
            self._recovering.room(endpoint_id),
        )

    def wait_s(self, endpoint_id: str, now_s: float) -> float:
        """Returns the time until a request may be sent, 0 if it may be now."""
        return max(
            self.limits.wait_s(endpoint_id, now_s),
            self.pauses.wait_s(endpoint_id, now_s),
            self._cold_endpoints.wait_s(endpoint_id, now_s),
        )

    def concurrency(
        self, endpoint_id: str, slots: int, total_s: float, now_s: float
    ) -> float:
        """Returns how many requests an endpoint runs at once at present.

        Args:
            endpoint_id: Id of the endpoint.
            slots: Requests that the endpoint can run at once.
            total_s: Mean time of a request.
            now_s: The current time.
        """
        usable_slots = self._recovering.usable_slots(
            endpoint_id, self.pauses.usable_slots(endpoint_id, slots, now_s)
        )
        return self.limits.concurrency(endpoint_id, usable_slots, total_s)

    def record_sent(self, endpoint_id: str) -> None:
        """Counts a request of this entry and reports it to the others."""
        self.pauses.record_sent(endpoint_id)
        self._cold_endpoints.record_sent(endpoint_id)
        if self.limits.limit(endpoint_id) is not None:
            self.limits.record_sent(endpoint_id, self._clock.seconds())
            self._announce([endpoint_id])

    def tick(self) -> None:
        """Removes outdated statements and repeats some of the others."""
        now_s = self._clock.seconds()
        self._cold_endpoints.tick()
        self._recovering.tick()
        listed_ids = self._directory.ids()
        self.limits.expire(listed_ids, now_s)
        self.pauses.expire(listed_ids, now_s)
        endpoint_ids = sorted(
            self.limits.statements().keys() | self._directory.leaving_ids()
        )
        if not endpoint_ids:
            return
        start = self._next_report % len(endpoint_ids)
        self._next_report = start + _MAX_REPEATED_ENDPOINTS
        self._announce(endpoint_ids[start : start + _MAX_REPEATED_ENDPOINTS])

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

    def leaving_report(self, endpoint_ids: Sequence[str]) -> dict[str, int]:
        """Returns the milliseconds since endpoints have stated to leave.

        Args:
            endpoint_ids: Ids of endpoints; those that do not leave are left
                out.
        """
        now_s = self._clock.seconds()
        return {
            endpoint_id: min(_MAX_AGE_MS, max(0, int((now_s - at_s) * 1000)))
            for endpoint_id in endpoint_ids
            if (at_s := self._directory.leaving_since_s(endpoint_id))
            is not None
        }

    def on_leaving_report(self, peer: str, ages_ms: dict[str, int]) -> None:
        """Takes the endpoints that leave from another entry.

        Args:
            peer: Name of one incarnation of the entry.
            ages_ms: Milliseconds since the statement, by id of the endpoint.
        """
        now_s = self._clock.seconds()
        for endpoint_id, age_ms in ages_ms.items():
            record = self._directory.get(endpoint_id)
            if record is None:
                continue
            since_s = now_s - age_ms / 1000
            if self._directory.mark_leaving(record.endpoint, since_s):
                self._log.info(
                    "endpoint_leaving", endpoint=endpoint_id, peer=peer
                )

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

    def pace_report(
        self, endpoint_ids: Sequence[str]
    ) -> dict[str, peer_messages.PaceReport]:
        """Returns the paces of some endpoints for the other entries."""
        return self._recovering.report(endpoint_ids)

    def on_pace_report(
        self, peer: str, reports: dict[str, peer_messages.PaceReport]
    ) -> None:
        """Takes the paces that another entry has found.

        Args:
            peer: Name of one incarnation of the entry.
            reports: Paces by id of the endpoint.
        """
        self._recovering.on_report(peer, reports)

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


def _smallest(*rooms: int | None) -> int | None:
    """Returns the smallest of several rooms, of which None is unlimited."""
    return min((room for room in rooms if room is not None), default=None)
