"""Wakes the waiting requests of a service when an endpoint has room again."""

from collections.abc import Callable
from typing import Any

from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import statement_sharing as statement_sharing_lib

# Shortest wait for the next request that a rate limit allows, so that rounding
# does not cause many calls.
_MIN_WAIT_S = 0.002


class RoomTimers:
    """Calls when a limit or pause allows the next request to an endpoint.

    Nothing else happens at that time that would assign waiting requests.
    """

    def __init__(
        self,
        directory: directory_lib.Directory,
        statement_sharing: statement_sharing_lib.StatementSharing,
        on_room: Callable[[str], None],
        clock: Any,
    ) -> None:
        """Creates timers that wait for nothing.

        Args:
            directory: The endpoints.
            statement_sharing: Rate limits and pauses of the endpoints.
            on_room: Called with the name of a service when one of its
                endpoints may have room.
            clock: A Twisted ``IReactorTime``.
        """
        self._directory = directory
        self._statement_sharing = statement_sharing
        self._on_room = on_room
        self._clock = clock
        self._timers: dict[str, Any] = {}

    def start(self, service: str, retry_s: float | None = None) -> None:
        """Waits for room at a service that has none for a waiting request.

        Args:
            service: Name of the service.
            retry_s: Longest wait, or None if only limits and pauses count.
        """
        if service in self._timers:
            return
        now_s = self._clock.seconds()
        statements = self._statement_sharing
        # Without a time, the end of a request makes room, not a timer.
        waits_s = [
            wait_s
            for record in self._directory.of_service(service)
            if statements.room(record.endpoint.id, now_s) == 0
            and (wait_s := statements.wait_s(record.endpoint.id, now_s)) > 0
        ]
        if retry_s is not None:
            waits_s.append(retry_s)
        if waits_s:
            self._timers[service] = self._clock.callLater(
                max(_MIN_WAIT_S, min(waits_s)), self._on_timer, service
            )

    def _on_timer(self, service: str) -> None:
        del self._timers[service]
        self._on_room(service)
