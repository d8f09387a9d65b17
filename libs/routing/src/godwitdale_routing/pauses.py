"""Pauses that endpoints ask for when they refuse requests.

Load pattern: an endpoint is overloaded and asks for no requests for a while.
Sending it more delays its recovery. At the end of the pause one request is
tried before many are sent, since an endpoint that is still overloaded would
otherwise be overrun again.

A pause concerns only the entry whose request was refused. Other entries may
have requests accepted meanwhile.
"""

from collections.abc import Set
import dataclasses

# Longest pause. It bounds the loss if an endpoint names a time by mistake.
MAX_PAUSE_S = 300.0


@dataclasses.dataclass(slots=True)
class _Pause:
    """A pause, and the trial that follows it.

    Attributes:
        until_s: When the pause ends.
        is_trying: Whether a request was sent after the pause and has not ended.
    """

    until_s: float
    is_trying: bool = False


class Pauses:
    """The pauses that endpoints have asked this entry for."""

    __slots__ = ("_pauses",)

    def __init__(self) -> None:
        self._pauses: dict[str, _Pause] = {}

    def observe(self, endpoint: str, pause_s: float, now_s: float) -> bool:
        """Takes that an endpoint wants no requests for a while.

        Args:
            endpoint: Id of the endpoint.
            pause_s: Length of the pause.
            now_s: The current time.

        Returns:
            Whether the pause begins; False if it only lasts longer now.
        """
        until_s = now_s + min(pause_s, MAX_PAUSE_S)
        known = self._pauses.get(endpoint)
        is_new = known is None or known.until_s <= now_s
        if known is not None:
            until_s = max(until_s, known.until_s)
        self._pauses[endpoint] = _Pause(until_s)
        return is_new

    def room(self, endpoint: str, now_s: float) -> int | None:
        """Returns how many requests may be sent now, or None if unlimited.

        Args:
            endpoint: Id of the endpoint.
            now_s: The current time.
        """
        pause = self._pauses.get(endpoint)
        if pause is None:
            return None
        is_blocked = now_s < pause.until_s or pause.is_trying
        return 0 if is_blocked else 1

    def usable_slots(self, endpoint: str, slots: int, now_s: float) -> int:
        """Returns how many requests an endpoint runs at once at present.

        Args:
            endpoint: Id of the endpoint.
            slots: Requests that the endpoint can run at once otherwise.
            now_s: The current time.
        """
        pause = self._pauses.get(endpoint)
        if pause is None:
            return slots
        return 0 if now_s < pause.until_s else 1

    def wait_s(self, endpoint: str, now_s: float) -> float:
        """Returns the time until the pause ends, 0 if there is none.

        Args:
            endpoint: Id of the endpoint.
            now_s: The current time.
        """
        pause = self._pauses.get(endpoint)
        return 0.0 if pause is None else max(0.0, pause.until_s - now_s)

    def record_sent(self, endpoint: str) -> None:
        """Records that a request was assigned to an endpoint."""
        pause = self._pauses.get(endpoint)
        if pause is not None:
            pause.is_trying = True

    def record_run(self, endpoint: str, now_s: float) -> None:
        """Records that an endpoint has run a request.

        Args:
            endpoint: Id of the endpoint.
            now_s: The current time.
        """
        pause = self._pauses.get(endpoint)
        # During the pause the answer is that of an earlier request.
        if pause is not None and now_s >= pause.until_s:
            del self._pauses[endpoint]

    def record_end(self, endpoint: str) -> None:
        """Records that a request has left an endpoint, whatever its outcome."""
        pause = self._pauses.get(endpoint)
        if pause is not None:
            pause.is_trying = False

    def remove(self, endpoint: str) -> None:
        """Removes the pause of an endpoint that has started again."""
        self._pauses.pop(endpoint, None)

    def expire(self, endpoints: Set[str], now_s: float) -> None:
        """Removes ended pauses of endpoints that are gone.

        Args:
            endpoints: Ids of the endpoints that still exist.
            now_s: The current time.
        """
        for endpoint, pause in list(self._pauses.items()):
            if endpoint not in endpoints and now_s >= pause.until_s:
                del self._pauses[endpoint]
