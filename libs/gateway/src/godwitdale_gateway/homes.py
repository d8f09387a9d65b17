"""The endpoints that this entry fills before the others."""

from collections.abc import Callable

from godwitdale_gateway import directory as directory_lib
from godwitdale_routing import home_endpoints


class Homes:
    """Home endpoints of this entry, by service."""

    __slots__ = ("_directory", "_entry_position", "_basis", "_by_service")

    def __init__(
        self,
        directory: directory_lib.Directory,
        entry_position: Callable[[], tuple[int, int]],
    ) -> None:
        """Creates the registry.

        Args:
            directory: The endpoints.
            entry_position: Returns the index of this entry among the live
                entries, and their number.
        """
        self._directory = directory
        self._entry_position = entry_position
        # Generation of the directory, index of the entry and number of entries
        # for which the homes were computed.
        self._basis = (-1, 0, 0)
        self._by_service: dict[str, frozenset[str]] = {}

    def of_service(self, service: str) -> frozenset[str]:
        """Returns the ids of the home endpoints of this entry at a service."""
        index, count = self._entry_position()
        basis = (self._directory.generation, index, count)
        if self._basis != basis:
            self._basis = basis
            self._by_service.clear()
        homes = self._by_service.get(service)
        if homes is None:
            records = self._directory.of_service(service)
            homes = home_endpoints.home_endpoints(
                (record.endpoint.id for record in records), index, count
            )
            self._by_service[service] = homes
        return homes
