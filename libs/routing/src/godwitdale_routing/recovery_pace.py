"""Concurrency of endpoints that have just started or recovered.

Load pattern: an endpoint joins while requests wait. If the entries fill all of
its slots at once, an endpoint that is still slow answers late, refuses or fails
again; if they wait for a fixed time, an endpoint that is already fast stays
idle. The pace is the number of requests that all entries together run there. It
begins with one, is doubled while answers begin as fast as at the other
endpoints, and is lowered when an answer is slow, refused or broken off. After
that it grows by one for each round of answers. It ends when it has reached the
slots.
"""

from collections.abc import Set
import dataclasses

# Concurrency of an endpoint that has not answered yet.
_INITIAL_LEVEL = 1.0
# An answer that takes this many times the usual time to begin is slow.
_SLOW_RATIO = 2.0
# Largest reduction for one slow answer, and the reduction for a refused request
# and for one that was broken off.
_MIN_FACTOR = 0.5
# Shortest usual time that answers are compared with. Below it, differences come
# from the network and from scheduling.
_MIN_USUAL_S = 0.02


@dataclasses.dataclass(slots=True)
class Pace:
    """Pace of one endpoint.

    Attributes:
        level: Requests that may run there at once, over all entries.
        changed_s: When the level last changed, at this or another entry.
        reduced_s: When the level was last lowered, or None. Until then it
            doubles in each round of answers.
        is_over: Whether the endpoint has reached its full load.
    """

    level: float
    changed_s: float
    reduced_s: float | None = None
    is_over: bool = False


class RecoveryPaces:
    """Paces of the endpoints that have not reached their full load yet."""

    __slots__ = ("_paces",)

    def __init__(self) -> None:
        self._paces: dict[str, Pace] = {}

    def __len__(self) -> int:
        return sum(1 for pace in self._paces.values() if not pace.is_over)

    def begin(self, endpoint: str, now_s: float) -> None:
        """Starts to pace an endpoint that has started or recovered.

        Args:
            endpoint: Id of the endpoint.
            now_s: The current time.
        """
        self._paces[endpoint] = Pace(_INITIAL_LEVEL, now_s)

    def get(self, endpoint: str) -> Pace | None:
        """Returns the last pace of an endpoint, or None if it had none."""
        return self._paces.get(endpoint)

    def room(self, endpoint: str, in_flight: int) -> int | None:
        """Returns how many requests may be sent now, or None if unlimited.

        Args:
            endpoint: Id of the endpoint.
            in_flight: Requests of all entries at the endpoint.
        """
        pace = self._current(endpoint)
        if pace is None:
            return None
        return max(0, int(pace.level) - in_flight)

    def usable_slots(self, endpoint: str, slots: float) -> float:
        """Returns how many requests an endpoint runs at once at present.

        Args:
            endpoint: Id of the endpoint.
            slots: Requests that the endpoint can run at once otherwise.
        """
        pace = self._current(endpoint)
        return slots if pace is None else min(slots, pace.level)

    def observe_first(
        self,
        endpoint: str,
        sent_s: float,
        usual_s: float,
        slots: int,
        now_s: float,
    ) -> bool:
        """Takes that an answer of an endpoint has begun.

        Args:
            endpoint: Id of the endpoint.
            sent_s: When the request was sent.
            usual_s: Usual time to the first part of an answer of the service.
            slots: Requests that the endpoint can run at once.
            now_s: The current time.

        Returns:
            Whether the pace has changed.
        """
        pace = self._current(endpoint)
        if pace is None:
            return False
        took_s = now_s - sent_s
        usual_s = max(_MIN_USUAL_S, usual_s)
        if took_s > usual_s * _SLOW_RATIO:
            return _reduce(pace, sent_s, usual_s / took_s, now_s)
        pace.level += 1.0 if pace.reduced_s is None else 1.0 / pace.level
        pace.changed_s = now_s
        pace.is_over = pace.level >= slots
        return True

    def observe_failure(
        self, endpoint: str, sent_s: float, now_s: float
    ) -> bool:
        """Takes that an endpoint has refused or broken off a request.

        Args:
            endpoint: Id of the endpoint.
            sent_s: When the request was sent.
            now_s: The current time.

        Returns:
            Whether the pace has changed.
        """
        pace = self._current(endpoint)
        return pace is not None and _reduce(pace, sent_s, _MIN_FACTOR, now_s)

    def observe_peer(
        self, endpoint: str, level: float, slots: int, changed_s: float
    ) -> bool:
        """Takes the level that another entry has found.

        The newer finding replaces the older one. Entries that disagree for the
        time of a message send a few requests more or less.

        Args:
            endpoint: Id of the endpoint.
            level: Requests that may run there at once.
            slots: Requests that the endpoint can run at once.
            changed_s: When the other entry has found that.

        Returns:
            Whether the pace has changed.
        """
        pace = self._current(endpoint)
        if pace is None or changed_s <= pace.changed_s:
            return False
        if level < pace.level:
            pace.reduced_s = changed_s
        pace.level = max(_INITIAL_LEVEL, level)
        pace.changed_s = changed_s
        pace.is_over = level >= slots
        return True

    def retain(self, endpoints: Set[str]) -> None:
        """Removes the paces of all endpoints but the given ones."""
        for endpoint in self._paces.keys() - endpoints:
            del self._paces[endpoint]

    def _current(self, endpoint: str) -> Pace | None:
        """Returns the pace of an endpoint, or None if it is not paced."""
        pace = self._paces.get(endpoint)
        return None if pace is None or pace.is_over else pace


def _reduce(pace: Pace, sent_s: float, factor: float, now_s: float) -> bool:
    """Lowers a level once for each round of requests.

    Requests that were sent before the last reduction ran at the level before it
    and say nothing about the present one.

    Returns:
        Whether the level was lowered.
    """
    if pace.reduced_s is not None and sent_s < pace.reduced_s:
        return False
    pace.level = max(_INITIAL_LEVEL, pace.level * max(_MIN_FACTOR, factor))
    pace.reduced_s = now_s
    pace.changed_s = now_s
    return True
