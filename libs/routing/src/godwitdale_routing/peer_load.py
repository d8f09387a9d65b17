"""What the entries tell each other about their load.

Each entry sends how many requests it has in work at each endpoint, and its most
urgent waiting requests. The others add that up. Nothing is agreed on: a message
that is lost or late makes a choice worse, never wrong.
"""

import collections
from collections.abc import Mapping
import dataclasses

from godwitdale_routing import wait_queue

# An entry that has not been heard of for this long holds nothing any more;
# three heartbeats fit in.
PEER_TIMEOUT_S = 3.2
# Starts that are remembered of each service; many more than begin within the
# two passes for which they count.
_MOST_STARTS = 64
# Most urgent waiting requests that an entry tells, for each service.
MAX_QUEUE_HEADS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """What one entry told.

    Attributes:
        sequence: Grows with each message of one life of the entry.
        in_flight: Requests in work by endpoint.
        queue_heads: Most urgent waiting requests by service.
        sent_prompt_tokens: By service, prompt tokens of all requests that this
            incarnation of the entry has sent.
    """

    sequence: int
    in_flight: Mapping[str, int]
    queue_heads: Mapping[str, tuple[wait_queue.Urgency, ...]]
    sent_prompt_tokens: Mapping[str, int]


class PeerLoads:
    """The newest load of every other entry."""

    __slots__ = ("_loads", "_heard_s", "_totals", "_starts")

    def __init__(self) -> None:
        self._loads: dict[str, PeerLoad] = {}
        self._heard_s: dict[str, float] = {}
        self._totals: dict[str, int] = {}
        self._starts: dict[str, collections.deque[tuple[float, int]]] = {}

    def __len__(self) -> int:
        return len(self._loads)

    def update(self, peer: str, load: PeerLoad, now_s: float) -> bool:
        """Takes over a message; returns whether anything is new.

        Args:
            peer: Name of one life of an entry.
            load: What it told.
            now_s: The present time.
        """
        known = self._loads.get(peer)
        if known is not None and known.sequence >= load.sequence:
            return False
        self._heard_s[peer] = now_s
        self._loads[peer] = load
        if known is not None:
            for service, tokens in load.sent_prompt_tokens.items():
                fresh = tokens - known.sent_prompt_tokens.get(service, 0)
                self.record_prompt(service, fresh, now_s)
        if known is not None and known.in_flight == load.in_flight:
            return known.queue_heads != load.queue_heads
        self._add_up()
        return True

    def record_prompt(self, service: str, tokens: int, now_s: float) -> None:
        """Notes that a prompt has been sent, here or by another entry.

        Args:
            service: Name of the service.
            tokens: Length of the prompt.
            now_s: The present time.
        """
        if tokens <= 0:
            return
        starts = self._starts.setdefault(
            service, collections.deque(maxlen=_MOST_STARTS)
        )
        starts.append((now_s, tokens))

    def prompt_tokens_between(
        self, service: str, from_s: float, until_s: float
    ) -> int:
        """Returns the prompt tokens sent to a service within a time."""
        return sum(
            tokens
            for at_s, tokens in self._starts.get(service, ())
            if from_s < at_s <= until_s
        )

    def remove(self, peer: str) -> None:
        """Forgets an entry that has said that it stops."""
        if self._loads.pop(peer, None) is not None:
            del self._heard_s[peer]
            self._add_up()

    def remove_silent(self, now_s: float) -> None:
        """Forgets entries that have fallen silent."""
        silent = [
            peer
            for peer, heard_s in self._heard_s.items()
            if now_s - heard_s > PEER_TIMEOUT_S
        ]
        for peer in silent:
            self.remove(peer)

    def in_flight(self, endpoint: str) -> int:
        """Returns how many requests the others have in work there."""
        return self._totals.get(endpoint, 0)

    def queue_heads(
        self, service: str, now_s: float
    ) -> list[wait_queue.Urgency]:
        """Returns the most urgent requests that wait elsewhere.

        Args:
            service: Name of the service.
            now_s: The present time.
        """
        return [
            wait_queue.urgency_at(head, now_s)
            for load in self._loads.values()
            for head in load.queue_heads.get(service, ())
        ]

    def _add_up(self) -> None:
        totals: dict[str, int] = {}
        for load in self._loads.values():
            for endpoint, count in load.in_flight.items():
                totals[endpoint] = totals.get(endpoint, 0) + count
        self._totals = totals
