"""Directory of the endpoints that an entry may call."""

from collections.abc import Callable
import dataclasses

from godwitdale_http import pool as pool_lib
from godwitdale_routing import choice
from godwitdale_routing import health

# Time for which an endpoint is kept after this entry has found its record
# missing. If the record expired during an outage of the store, an endpoint that
# still runs writes it again about two seconds after the store has returned. The
# rest of the grace period covers the delay until this entry has read the
# record.
_LAPSE_GRACE_S = 2.5
# Largest share of a service's endpoints that may be ejected after failures.
_MAX_EJECTED_SHARE = 0.5
# Number of leaving endpoints that are remembered after their records have gone.
_MAX_LEAVING = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One incarnation of a model engine or of another service process.

    Attributes:
        id: Identifies this incarnation.
        service: Name of the service.
        address: Address on which the endpoint listens.
        zone: Availability zone of the endpoint.
        slots: Number of requests that the endpoint can run at once.
        is_draining: Whether the endpoint accepts no new requests.
        started_ms: When this incarnation started, in Unix milliseconds by its
            own clock, or 0 if its record does not tell.
        update_count: Grows while this incarnation runs and starts anew with
            the next one.
        cold_left_s: How long this incarnation was still cold when it was
            described, or None if its record does not tell.
    """

    id: str
    service: str
    address: pool_lib.Address
    zone: str
    slots: int
    is_draining: bool
    started_ms: int = 0
    update_count: int = 0
    cold_left_s: float | None = 0.0

    def is_successor_of(self, earlier: "Endpoint") -> bool:
        """Returns whether the process has started again since an update.

        Args:
            earlier: An earlier update under the same id.
        """
        if self.started_ms and earlier.started_ms:
            return self.started_ms != earlier.started_ms
        return self.update_count < earlier.update_count


@dataclasses.dataclass(slots=True)
class EndpointRecord:
    """An endpoint with its load and health as seen by this process.

    Attributes:
        endpoint: The endpoint as described in the store.
        stats: Load and health of the endpoint.
        listed_s: When this process first knew of this incarnation.
        grace_until_s: End of the grace period in which the endpoint may still
            be used although its record is missing from the store, or None
            while the store lists the endpoint.
        is_evacuated: Whether the zone of the endpoint is evacuated.
        restored_s: When the zone was last restored after an evacuation.
        described_s: When this process first read the present description.
    """

    endpoint: Endpoint
    stats: choice.EndpointStats
    listed_s: float = 0.0
    grace_until_s: float | None = None
    is_evacuated: bool = False
    restored_s: float = float("-inf")
    described_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Leaving:
    """An incarnation that has stated that it leaves.

    Attributes:
        endpoint: The endpoint as last described before.
        since_s: When it has stated that.
    """

    endpoint: Endpoint
    since_s: float


class Directory:
    """The endpoints that the store lists, by id and by service.

    An endpoint that has stated to leave stays out of service until another
    incarnation is listed, even if the store loses its record meanwhile.

    Attributes:
        generation: Grows whenever ``of_service`` may return other endpoints.
    """

    __slots__ = (
        "generation",
        "_records",
        "_by_service",
        "_leaving",
        "_evacuated_zones",
        "_on_out_of_service",
    )

    def __init__(self, on_out_of_service: Callable[[str], None]) -> None:
        """Creates an empty directory.

        Args:
            on_out_of_service: Called with the id of an endpoint that is
                removed or draining and gets no new requests.
        """
        self.generation = 0
        self._records: dict[str, EndpointRecord] = {}
        self._by_service: dict[str, dict[str, EndpointRecord]] = {}
        self._leaving: dict[str, _Leaving] = {}
        self._evacuated_zones: frozenset[str] = frozenset()
        self._on_out_of_service = on_out_of_service

    def __len__(self) -> int:
        return len(self._records)

    def ids(self) -> set[str]:
        """Returns the ids of all endpoints."""
        return set(self._records)

    def get(self, endpoint_id: str) -> EndpointRecord | None:
        """Returns the record of an endpoint, or None if it is unknown."""
        return self._records.get(endpoint_id)

    def records(self) -> list[EndpointRecord]:
        """Returns the records of all endpoints."""
        return list(self._records.values())

    def of_service(self, service: str) -> list[EndpointRecord]:
        """Returns the endpoints of a service that accept new requests."""
        return [each for each in self.listed(service) if not each.is_evacuated]

    def listed(self, service: str) -> list[EndpointRecord]:
        """Returns the endpoints of a service that neither drain nor leave.

        Those in evacuated zones are included; they still run requests and
        belong to their groups.
        """
        return [
            record
            for record in self._by_service.get(service, {}).values()
            if not record.endpoint.is_draining
            and record.endpoint.id not in self._leaving
        ]

    def in_zone(self, zone: str) -> list[EndpointRecord]:
        """Returns the records of all endpoints in a zone."""
        return [
            record
            for record in self._records.values()
            if record.endpoint.zone == zone
        ]

    def set_evacuated_zones(self, zones: frozenset[str], now_s: float) -> None:
        """Sets the zones whose endpoints accept no new requests.

        Idle connections to them are kept for the time after the evacuation.

        Args:
            zones: Names of all evacuated zones.
            now_s: The current time.
        """
        self._evacuated_zones = zones
        self.generation += 1
        for record in self._records.values():
            self._update_evacuation(record, now_s)

    def leaving_ids(self) -> set[str]:
        """Returns the ids of the listed endpoints that have stated to leave."""
        return self._leaving.keys() & self._records.keys()

    def leaving_since_s(self, endpoint_id: str) -> float | None:
        """Returns when an endpoint has stated to leave, or None."""
        leaving = self._leaving.get(endpoint_id)
        return None if leaving is None else leaving.since_s

    def mark_leaving(self, endpoint: Endpoint, since_s: float) -> bool:
        """Takes an endpoint that has stated to leave out of service.

        Args:
            endpoint: The endpoint, which need not be listed at present.
            since_s: When it has stated that.

        Returns:
            Whether this is new. It is not if the listed incarnation was not
            yet known at that time.
        """
        record = self._records.get(endpoint.id)
        if endpoint.id in self._leaving:
            return False
        if record is not None and since_s < record.listed_s:
            return False
        self.generation += 1
        self._leaving[endpoint.id] = _Leaving(endpoint, since_s)
        if len(self._leaving) > _MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        self._on_out_of_service(endpoint.id)
        return True

    def put(self, endpoint: Endpoint, now_s: float) -> None:
        """Adds an endpoint or updates the description of a known one."""
        known = self._records.get(endpoint.id)
        if known is not None and (
            known.endpoint.service != endpoint.service
            or endpoint.is_successor_of(known.endpoint)
        ):
            self.remove(endpoint.id)
            known = None
        leaving = self._leaving.get(endpoint.id)
        if leaving is not None and endpoint.is_successor_of(leaving.endpoint):
            del self._leaving[endpoint.id]
            self.generation += 1
        if known is None:
            stats = choice.EndpointStats(endpoint.id, endpoint.zone, now_s)
            known = EndpointRecord(
                endpoint, stats, listed_s=now_s, described_s=now_s
            )
            self._records[endpoint.id] = known
            self.generation += 1
            in_service = self._by_service.setdefault(endpoint.service, {})
            in_service[endpoint.id] = known
        if known.endpoint.is_draining != endpoint.is_draining:
            self.generation += 1
        if known.endpoint.zone != endpoint.zone:
            self.generation += 1
        if known.endpoint != endpoint:
            known.described_s = now_s
        known.endpoint = endpoint
        self._update_evacuation(known, now_s)
        known.grace_until_s = None
        known.stats.report = dataclasses.replace(
            known.stats.report, slots=endpoint.slots
        )
        if endpoint.is_draining:
            self._on_out_of_service(endpoint.id)

    def remove(self, endpoint_id: str) -> None:
        """Removes an endpoint; does nothing if it is unknown."""
        record = self._records.pop(endpoint_id, None)
        if record is None:
            return
        self.generation += 1
        in_service = self._by_service[record.endpoint.service]
        del in_service[endpoint_id]
        if not in_service:
            del self._by_service[record.endpoint.service]
        self._on_out_of_service(endpoint_id)

    def mark_lapsed(self, endpoint_id: str, now_s: float) -> None:
        """Starts the grace period of an endpoint whose record is missing.

        The record may have expired during an outage of the store. A draining
        endpoint is removed at once.

        Args:
            endpoint_id: Id of the endpoint.
            now_s: The current time.
        """
        record = self._records.get(endpoint_id)
        if record is None:
            return
        if record.endpoint.is_draining:
            self.remove(endpoint_id)
        elif record.grace_until_s is None:
            record.grace_until_s = now_s + _LAPSE_GRACE_S

    def expire(self, now_s: float) -> None:
        """Removes lapsed endpoints whose grace period is over."""
        for endpoint_id, record in list(self._records.items()):
            until_s = record.grace_until_s
            if until_s is not None and now_s >= until_s:
                self.remove(endpoint_id)

    def candidates(
        self, service: str, tried: set[str], now_s: float
    ) -> list[EndpointRecord]:
        """Returns the endpoints that a new request may be sent to.

        Lapsed endpoints are returned only while the store lists no other
        endpoint of the service. Ejected endpoints are left out, up to a maximum
        share of the endpoints. If more are ejected, those whose ejection ends
        first are returned.

        Args:
            service: Name of the service.
            tried: Ids of the endpoints that the request was already sent to.
            now_s: The current time.
        """
        known = self.of_service(service)
        listed = [record for record in known if record.grace_until_s is None]
        usable = health.usable_endpoints(
            {each.endpoint.id: each.stats.health for each in listed or known},
            now_s,
            _MAX_EJECTED_SHARE,
        )
        untried = [each for each in usable if each not in tried]
        return [self._records[endpoint_id] for endpoint_id in untried]

    def _update_evacuation(self, record: EndpointRecord, now_s: float) -> None:
        is_evacuated = record.endpoint.zone in self._evacuated_zones
        if record.is_evacuated and not is_evacuated:
            record.restored_s = now_s
        record.is_evacuated = is_evacuated
