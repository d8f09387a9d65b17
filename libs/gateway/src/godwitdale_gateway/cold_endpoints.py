"""Endpoints that have just started and stand few requests a second.

An endpoint may turn cold again at any moment, and its record tells so seconds
later. The bound therefore holds at all times for endpoints that run far fewer
requests than the bound allows, such as engines; it costs them nothing. Faster
endpoints are bounded while they may be cold.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import homes as homes_lib
from godwitdale_observe import logs
from godwitdale_routing import cold_rates

# Largest share of the bound that an endpoint runs with all slots taken for the
# bound to hold while it is warm, too.
_MAX_WARM_SHARE = 0.5
# Entries that start together learn of each other within this time.
_MEETING_S = 5.0
# Smallest share of the known entries that an entry has to hear to fill its home
# endpoints faster. Entries on two sides of a partition do not both hear it.
_MIN_HEARD_SHARE = 0.75


class ColdEndpoints:
    """Bounds what this entry sends to endpoints that may be cold."""

    def __init__(
        self,
        directory: directory_lib.Directory,
        homes: homes_lib.Homes,
        known_count: Callable[[], int | None],
        live_count: Callable[[], int],
        mean_time_s: Callable[[str], float],
        entries_before_known: int,
        overage: float,
        slack: float,
        clock: Any,
        log: logs.EventLog,
    ) -> None:
        """Creates a bound that holds for no service yet.

        Args:
            directory: The endpoints.
            homes: The home endpoints of this entry.
            known_count: Returns the number of known entries, or None if the
                store has not been asked for them.
            live_count: Returns the number of entries that are heard.
            mean_time_s: Returns the mean time of a request to a service.
            entries_before_known: Number of entries to assume until they are
                known.
            overage: Multiple of the declared rate that a cold endpoint stands.
            slack: Requests in any second that it stands beyond that.
            clock: A Twisted ``IReactorTime``.
            log: The event log.
        """
        self._directory = directory
        self._homes = homes
        self._known_count = known_count
        self._live_count = live_count
        self._mean_time_s = mean_time_s
        self._entries_before_known = entries_before_known
        self._overage = overage
        self._slack = slack
        self._clock = clock
        self._log = log
        self._rates: Mapping[str, cold_rates.ColdRate] = {}
        self._shares = cold_rates.SharesInUse()
        self._cold_ids: frozenset[str] = frozenset()
        # Largest number of entries that was known so far, and since when any
        # are known.
        self._most_entries = 0
        self._known_since_s: float | None = None

    @property
    def cold_count(self) -> int:
        """Number of endpoints that were cold at the last tick."""
        return len(self._cold_ids)

    def configure(self, rates: Mapping[str, cold_rates.ColdRate]) -> None:
        """Sets the declared rates of cold endpoints, by service."""
        self._rates = rates

    def room(self, endpoint_id: str, now_s: float) -> int | None:
        """Returns how many requests may be sent now, or None if unlimited.

        Args:
            endpoint_id: Id of the endpoint.
            now_s: The current time.
        """
        return self._shares.room(endpoint_id, now_s)

    def wait_s(self, endpoint_id: str, now_s: float) -> float:
        """Returns the time until a request may be sent, 0 if it may be now."""
        return self._shares.wait_s(endpoint_id, now_s)

    def record_sent(self, endpoint_id: str) -> None:
        """Counts a request of this entry."""
        record = self._directory.get(endpoint_id)
        now_s = self._clock.seconds()
        if record is None or not self._is_bounded(record, now_s):
            return
        share = self._share(record)
        self._shares.record_sent(endpoint_id, share, now_s)

    def tick(self) -> None:
        """Updates the known entries and logs which endpoints are cold."""
        now_s = self._clock.seconds()
        known = self._known_count()
        if known is not None:
            self._most_entries = max(self._most_entries, known)
            if self._known_since_s is None:
                self._known_since_s = now_s
        if not self._rates:
            return
        bounded = {
            record.endpoint.id
            for record in self._directory.records()
            if self._is_bounded(record, now_s)
        }
        self._shares.retain(bounded, now_s)
        cold_ids = frozenset(
            record.endpoint.id
            for record in self._directory.records()
            if self._cold_left_s(record, now_s) > 0
        )
        for endpoint_id in sorted(cold_ids - self._cold_ids):
            self._log.info("endpoint_cold", endpoint=endpoint_id)
        for endpoint_id in sorted(self._cold_ids - cold_ids):
            self._log.info("endpoint_warm", endpoint=endpoint_id)
        self._cold_ids = cold_ids

    def _share(self, record: directory_lib.EndpointRecord) -> cold_rates.Share:
        service = record.endpoint.service
        entries, is_settled = self._entries()
        hears_most = self._live_count() >= entries * _MIN_HEARD_SHARE
        is_home = (
            is_settled
            and hears_most
            and record.endpoint.id in self._homes.of_service(service)
        )
        return cold_rates.max_share(
            self._max_requests(service), entries, is_home
        )

    def _entries(self) -> tuple[int, bool]:
        """Returns the number of entries to reckon with, and if it is certain.

        The number never falls while the process runs: entries that are not
        heard any more may be on the other side of a partition.
        """
        since_s = self._known_since_s
        is_settled = (
            since_s is not None and self._clock.seconds() - since_s > _MEETING_S
        )
        if is_settled:
            return self._most_entries, True
        return max(self._most_entries, self._entries_before_known), False

    def _max_requests(self, service: str) -> float:
        """Returns the requests in a second that a cold endpoint stands."""
        return self._rates[service].requests_per_s * self._overage + self._slack

    def _is_bounded(
        self, record: directory_lib.EndpointRecord, now_s: float
    ) -> bool:
        endpoint = record.endpoint
        if endpoint.service not in self._rates:
            return False
        if self._cold_left_s(record, now_s) > 0:
            return True
        warm_per_s = endpoint.slots / self._mean_time_s(endpoint.service)
        max_requests = self._max_requests(endpoint.service)
        return warm_per_s <= max_requests * _MAX_WARM_SHARE

    def _cold_left_s(
        self, record: directory_lib.EndpointRecord, now_s: float
    ) -> float:
        """Returns how long an endpoint is cold yet, as far as is known.

        The endpoints of a zone that was evacuated may have turned cold
        meanwhile.
        """
        rate = self._rates.get(record.endpoint.service)
        if rate is None:
            return 0.0
        until_s = record.restored_s + rate.duration_s
        cold_left_s = record.endpoint.cold_left_s
        if cold_left_s is None:
            cold_left_s = rate.duration_s
        return max(until_s, record.described_s + cold_left_s) - now_s
