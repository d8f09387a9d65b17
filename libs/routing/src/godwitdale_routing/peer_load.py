"""Load reports that entries send to each other.

Each entry reports how many requests it has in flight at each endpoint, and its
most urgent waiting requests. The other entries add the reports up. The entries
do not have to agree on these numbers: a lost or late report makes a choice less
good, but never incorrect.
"""

import collections
from collections.abc import Mapping
import dataclasses

from godwitdale_routing import wait_queue

# An entry whose last report is older than this no longer counts. The timeout
# covers three heartbeats.
PEER_TIMEOUT_S = 3.2
# Prompts that are remembered for each service. This is far more than the number
# sent within the two iterations for which prompts count.
_MAX_PROMPTS = 64
# Most urgent waiting requests that an entry reports for each service.
MAX_QUEUE_HEADS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """Load report of one entry.

    Attributes:
        sequence: Increases with each report of one incarnation of the entry.
        in_flight: Requests in flight by endpoint.
        queue_heads: Most urgent waiting requests by service.
        sent_prompt_tokens: By service, prompt tokens of all requests that this
            incarnation of the entry has sent.
    """

    sequence: int
    in_flight: Mapping[str, int]
    queue_heads: Mapping[str, tuple[wait_queue.Urgency, ...]]
    sent_prompt_tokens: Mapping[str, int]


class PeerLoads:
    """The newest load report of every other entry."""

    __slots__ = ("_loads", "_received_s", "_totals", "_prompts")

    def __init__(self) -> None:
        self._loads: dict[str, PeerLoad] = {}
        self._received_s: dict[str, float] = {}
        self._totals: dict[str, int] = {}
        self._prompts: dict[str, collections.deque[tuple[float, int]]] = {}

    def __len__(self) -> int:
        return len(self._loads)

    def update(self, peer: str, load: PeerLoad, now_s: float) -> bool:
        """Stores a load report; returns whether anything relevant changed.

        Args:
            peer: Name of one incarnation of an entry.
            load: Its report.
            now_s: The present time.
        """
        previous = self._loads.get(peer)
        if previous is not None and previous.sequence >= load.sequence:
            return False
        self._received_s[peer] = now_s
        self._loads[peer] = load
        if previous is not None:
            for service, tokens in load.sent_prompt_tokens.items():
                new_tokens = tokens - previous.sent_prompt_tokens.get(
                    service, 0
                )
                self.record_prompt(service, new_tokens, now_s)
        if previous is not None and previous.in_flight == load.in_flight:
            return previous.queue_heads != load.queue_heads
        self._update_totals()
        return True

    def record_prompt(self, service: str, tokens: int, now_s: float) -> None:
        """Records that this or another entry has sent a prompt.

        Args:
            service: Name of the service.
            tokens: Length of the prompt.
            now_s: The present time.
        """
        if tokens <= 0:
            return
        prompts = self._prompts.setdefault(
            service, collections.deque(maxlen=_MAX_PROMPTS)
        )
        prompts.append((now_s, tokens))

    def prompt_tokens_between(
        self, service: str, from_s: float, until_s: float
    ) -> int:
        """Returns the prompt tokens sent to a service in a time interval."""
        return sum(
            tokens
            for at_s, tokens in self._prompts.get(service, ())
            if from_s < at_s <= until_s
        )

    def remove(self, peer: str) -> None:
        """Removes an entry that has announced its stop."""
        if self._loads.pop(peer, None) is not None:
            del self._received_s[peer]
            self._update_totals()

    def remove_silent(self, now_s: float) -> None:
        """Removes entries that have sent no report within the timeout."""
        silent = [
            peer
            for peer, received_s in self._received_s.items()
            if now_s - received_s > PEER_TIMEOUT_S
        ]
        for peer in silent:
            self.remove(peer)

    def in_flight(self, endpoint: str) -> int:
        """Returns how many requests the others have in flight there."""
        return self._totals.get(endpoint, 0)

    def queue_heads(
        self, service: str, now_s: float
    ) -> list[wait_queue.Urgency]:
        """Returns the most urgent requests that wait at other entries.

        Args:
            service: Name of the service.
            now_s: The present time.
        """
        return [
            wait_queue.urgency_at(head, now_s)
            for load in self._loads.values()
            for head in load.queue_heads.get(service, ())
        ]

    def _update_totals(self) -> None:
        totals: dict[str, int] = {}
        for load in self._loads.values():
            for endpoint, count in load.in_flight.items():
                totals[endpoint] = totals.get(endpoint, 0) + count
        self._totals = totals
