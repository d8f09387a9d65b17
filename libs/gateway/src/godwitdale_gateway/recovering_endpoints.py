"""Endpoints that have just started or recovered, and the pace of each.

Services are paced in configurations that declare cold rates, except those whose
endpoints iterate in step: all ranks of a group wait for the slowest, so that
the limit of the group decides there.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
from typing import Any

from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import peer_messages
from godwitdale_observe import logs
from godwitdale_routing import recovery_pace

# An entry that has just started cannot tell which endpoints have. It takes
# those that it knows of by then for recovered.
_INTRODUCTION_S = 5.0
# Largest age in reports; it also stands for larger ages.
_MAX_AGE_MS = 600_000

# When an endpoint was listed, when its zone was restored and when its last
# ejection ends. It recovers anew if any of them changes.
_Recovery = tuple[float, float, float]


class RecoveringEndpoints:
    """Paces endpoints from their answers until they bear their full load."""

    def __init__(
        self,
        directory: directory_lib.Directory,
        peer_in_flight: Callable[[str], int],
        clock: Any,
        log: logs.EventLog,
    ) -> None:
        """Creates a registry that paces nothing until it is configured.

        Args:
            directory: The endpoints.
            peer_in_flight: Returns the requests of the other entries at an
                endpoint, given its id.
            clock: A Twisted ``IReactorTime``.
            log: The event log.
        """
        self._directory = directory
        self._peer_in_flight = peer_in_flight
        self._clock = clock
        self._log = log
        self._services: frozenset[str] = frozenset()
        self._paces = recovery_pace.RecoveryPaces()
        self._recoveries: dict[str, _Recovery] = {}
        self._started_s = clock.seconds()

    def __len__(self) -> int:
        """Returns the number of endpoints that are paced."""
        return len(self._paces)

    def configure(self, services: Collection[str]) -> None:
        """Sets the services whose endpoints are paced."""
        self._services = frozenset(services)

    def room(self, endpoint_id: str) -> int | None:
        """Returns how many requests may be sent now, or None if unlimited.

        Args:
            endpoint_id: Id of the endpoint.
        """
        record = self._update(endpoint_id)
        if record is None:
            return None
        in_flight = record.stats.in_flight + self._peer_in_flight(endpoint_id)
        return self._paces.room(endpoint_id, in_flight)

    def usable_slots(self, endpoint_id: str, slots: float) -> float:
        """Returns how many requests an endpoint runs at once at present.

        Args:
            endpoint_id: Id of the endpoint.
            slots: Requests that the endpoint can run at once otherwise.
        """
        return self._paces.usable_slots(endpoint_id, slots)

    def observe_first(
        self, endpoint: directory_lib.Endpoint, took_s: float, usual_s: float
    ) -> bool:
        """Takes that an endpoint has begun to answer a request.

        Args:
            endpoint: The endpoint.
            took_s: Time from sending the request to the first part.
            usual_s: Usual time of the service.

        Returns:
            Whether the pace has changed.
        """
        now_s = self._clock.seconds()
        has_changed = self._paces.observe_first(
            endpoint.id, now_s - took_s, usual_s, endpoint.slots, now_s
        )
        if has_changed:
            self._log_pace(endpoint.id, peer=None)
        return has_changed

    def observe_failure(self, endpoint_id: str, sent_s: float) -> bool:
        """Takes that an endpoint has refused or broken off a request.

        Args:
            endpoint_id: Id of the endpoint.
            sent_s: When the request was sent.

        Returns:
            Whether the pace has changed.
        """
        now_s = self._clock.seconds()
        has_changed = self._paces.observe_failure(endpoint_id, sent_s, now_s)
        if has_changed:
            self._log_pace(endpoint_id, peer=None)
        return has_changed

    def report(
        self, endpoint_ids: Sequence[str]
    ) -> dict[str, peer_messages.PaceReport]:
        """Returns the paces of some endpoints for the other entries.

        Args:
            endpoint_ids: Ids of endpoints; those without a pace are left out.

        Returns:
            Paces by id of the endpoint.
        """
        now_s = self._clock.seconds()
        return {
            endpoint_id: (
                round(pace.level, 2),
                min(_MAX_AGE_MS, int((now_s - pace.changed_s) * 1000)),
            )
            for endpoint_id in endpoint_ids
            if (pace := self._paces.get(endpoint_id)) is not None
        }

    def on_report(
        self, peer: str, reports: dict[str, peer_messages.PaceReport]
    ) -> None:
        """Takes the paces that another entry has found.

        Args:
            peer: Name of one incarnation of the entry.
            reports: As returned by ``report``.
        """
        now_s = self._clock.seconds()
        for endpoint_id, (level, age_ms) in reports.items():
            record = self._update(endpoint_id)
            if record is None:
                continue
            if self._paces.observe_peer(
                endpoint_id, level, record.endpoint.slots, now_s - age_ms / 1000
            ):
                self._log_pace(endpoint_id, peer)

    def tick(self) -> None:
        """Forgets endpoints that are gone."""
        listed_ids = self._directory.ids()
        self._paces.retain(listed_ids)
        for endpoint_id in self._recoveries.keys() - listed_ids:
            del self._recoveries[endpoint_id]

    def _update(self, endpoint_id: str) -> directory_lib.EndpointRecord | None:
        """Begins to pace an endpoint that has recovered since the last call.

        Returns:
            The endpoint, or None if its service is not paced.
        """
        record = self._directory.get(endpoint_id)
        if record is None or record.endpoint.service not in self._services:
            return None
        now_s = self._clock.seconds()
        ejected_until_s = record.stats.health.ejected_until_s
        recovery = (record.listed_s, record.restored_s, ejected_until_s)
        if self._recoveries.get(endpoint_id) == recovery:
            return record
        self._recoveries[endpoint_id] = recovery
        if now_s - self._started_s > _INTRODUCTION_S:
            # What others have found since the recovery is newer than this.
            self._paces.begin(endpoint_id, min(now_s, max(recovery)))
            self._log_pace(endpoint_id, peer=None)
        return record

    def _log_pace(self, endpoint_id: str, peer: str | None) -> None:
        pace = self._paces.get(endpoint_id)
        if pace is not None:
            self._log.info(
                "endpoint_paced",
                endpoint=endpoint_id,
                level=round(pace.level, 2),
                is_over=pace.is_over,
                peer=peer,
            )
