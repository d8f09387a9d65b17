"""Availability zones that operators have evacuated.

The endpoints of an evacuated zone get no new requests from any entry; what runs
there ends normally. An evacuation lasts until its record is removed from the
topic of the configuration.
"""

from collections.abc import Callable
from typing import Any

from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import topic_follower
from godwitdale_observe import logs

EvacuatedZone = Callable[[str], str | None]
"""Returns the zone that the key of a record evacuates, or None."""

IsEvacuation = Callable[[bytes], bool]
"""Returns whether the value of a record is a readable evacuation."""


class EvacuationsCopy:
    """Applies the store's records of evacuations to the directory.

    A value that is not readable keeps the state of its zone. Zones that no
    endpoint is in may be evacuated too.

    Attributes:
        since_s: When this entry learned of each evacuation, by zone.
    """

    def __init__(
        self,
        evacuated_zone: EvacuatedZone,
        is_evacuation: IsEvacuation,
        directory: directory_lib.Directory,
        on_change: Callable[[], None],
        clock: Any,
        log: logs.EventLog,
    ) -> None:
        """Creates a copy that has read no records yet.

        Args:
            evacuated_zone: Decodes the keys of the topic.
            is_evacuation: Checks the values of evacuations.
            directory: Takes the evacuated zones.
            on_change: Called after the evacuated zones have changed.
            clock: A Twisted ``IReactorTime``.
            log: The event log.
        """
        self.since_s: dict[str, float] = {}
        self._evacuated_zone = evacuated_zone
        self._is_evacuation = is_evacuation
        self._directory = directory
        self._on_change = on_change
        self._clock = clock
        self._log = log

    def apply(self, page: topic_follower.Page) -> None:
        """Applies the evacuations among the records of a page."""
        zones = set() if page.is_snapshot else set(self.since_s)
        for record in page.records:
            zone = self._evacuated_zone(record.key)
            if zone is None:
                continue
            if record.value is None:
                zones.discard(zone)
            elif self._is_evacuation(record.value):
                zones.add(zone)
            else:
                self._log.warning(
                    "evacuation_unreadable", zone=zone, size=len(record.value)
                )
                zones |= {zone} & self.since_s.keys()
        if zones != self.since_s.keys():
            self._set_zones(zones)

    def confirm(self, as_of_s: float) -> None:
        """Does nothing; an evacuation does not expire.

        Args:
            as_of_s: When the copy was up to date; not used.
        """

    def running_count(self) -> int:
        """Returns this entry's requests that still run in evacuated zones."""
        return sum(
            record.stats.in_flight
            for record in self._directory.records()
            if record.is_evacuated
        )

    def _set_zones(self, zones: set[str]) -> None:
        now_s = self._clock.seconds()
        self._directory.set_evacuated_zones(frozenset(zones), now_s)
        for zone in sorted(zones - self.since_s.keys()):
            self.since_s[zone] = now_s
            endpoints = self._directory.in_zone(zone)
            self._log.info(
                "zone_evacuated",
                zone=zone,
                endpoints=len(endpoints),
                running=sum(each.stats.in_flight for each in endpoints),
            )
        for zone in sorted(self.since_s.keys() - zones):
            lasted_s = now_s - self.since_s.pop(zone)
            self._log.info(
                "zone_restored", zone=zone, lasted_s=round(lasted_s, 3)
            )
        self._on_change()
