"""Load reports that entries send to each other.

Each entry reports how many requests it has in flight at each endpoint, and its
most urgent waiting requests. The other entries, its peers, add the reports up.
The entries do not have to agree on these numbers, which only decide whether,
when and where a request starts. After a lost or late report, such a choice may
be less good, such as a busier endpoint, but it is never incorrect.
"""

import collections
from collections.abc import Mapping
import dataclasses

from godwitdale_routing import wait_queue

# An entry whose last report is older than this no longer counts. The timeout
# covers three heartbeats of ``godwitdale_gateway.peers``.
PEER_TIMEOUT_S = 3.2
# Records of sent prompts that are kept for each iteration group. This is far
# more than the number within the last two iterations, the only ones that the
# scheduler asks for.
_MAX_PROMPT_RECORDS = 64
# Most urgent waiting requests that an entry reports for each service.
MAX_QUEUE_HEADS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """Load report of one entry.

    Attributes:
        sequence: Increases with each report of one incarnation of the entry.
        in_flight: Requests in flight by endpoint.
        queue_heads: Most urgent waiting requests by service.
        sent_prompt_tokens: By iteration group, prompt tokens of all requests
            that this incarnation of the entry has sent.
        arrival_rates: Accepted arrivals per second by priority, of the services
            that get requests of several priorities. Older entries report none.
    """

    sequence: int
    in_flight: Mapping[str, int]
    queue_heads: Mapping[str, tuple[wait_queue.Urgency, ...]]
    sent_prompt_tokens: Mapping[str, int]
    arrival_rates: Mapping[str, Mapping[int, float]] = dataclasses.field(
        default_factory=dict
    )


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
        """Stores a load report if it is newer than the stored one.

        Args:
            peer: Name of one incarnation of an entry.
            load: Its report.
            now_s: The present time.

        Returns:
            Whether the report is the first one of this peer, or changes its
            in-flight counts or its queue heads.
        """
        previous = self._loads.get(peer)
        if previous is not None and previous.sequence >= load.sequence:
            return False
        self._received_s[peer] = now_s
        self._loads[peer] = load
        if previous is not None:
            for group, tokens in load.sent_prompt_tokens.items():
                new_tokens = tokens - previous.sent_prompt_tokens.get(group, 0)
                self.record_prompt(group, new_tokens, now_s)
        if previous is not None and previous.in_flight == load.in_flight:
            return previous.queue_heads != load.queue_heads
        self._update_totals()
        return True

    def update_changes(
        self, peer: str, changes: PeerLoad, now_s: float
    ) -> bool:
        """Applies the changes of a load since the load that was sent before.

        Changes are ignored until the whole load of the peer is known. A lost
        message makes the load wrong until the whole load is received again.

        Args:
            peer: Name of one incarnation of an entry.
            changes: Its load with only the endpoints and iteration groups that
                have changed, and with all queue heads.
            now_s: The present time.

        Returns:
            Whether the in-flight counts or the queue heads have changed.
        """
        previous = self._loads.get(peer)
        if previous is None:
            return False
        in_flight = {**previous.in_flight, **changes.in_flight}
        load = PeerLoad(
            changes.sequence,
            {each: count for each, count in in_flight.items() if count},
            changes.queue_heads,
            {**previous.sent_prompt_tokens, **changes.sent_prompt_tokens},
            previous.arrival_rates,
        )
        return self.update(peer, load, now_s)

    def record_prompt(self, group: str, tokens: int, now_s: float) -> None:
        """Records prompt tokens that this or another entry has sent.

        For another entry, one record stands for all prompts that it has sent
        between two reports, at the time when the later report is received.

        Args:
            group: Name of the iteration group.
            tokens: Length of the prompt, or of all these prompts together.
            now_s: The present time.
        """
        if tokens <= 0:
            return
        prompts = self._prompts.setdefault(
            group, collections.deque(maxlen=_MAX_PROMPT_RECORDS)
        )
        prompts.append((now_s, tokens))

    def prompt_tokens_between(
        self, group: str, from_s: float, until_s: float
    ) -> int:
        """Returns the prompt tokens recorded in a time interval.

        Args:
            group: Name of the iteration group.
            from_s: Start of the interval, exclusive.
            until_s: End of the interval, inclusive.
        """
        return sum(
            tokens
            for at_s, tokens in self._prompts.get(group, ())
            if from_s < at_s <= until_s
        )

    def remove(self, peer: str) -> None:
        """Removes the report of an entry that has stopped or is silent."""
        if self._loads.pop(peer, None) is not None:
            del self._received_s[peer]
            self._update_totals()

    def remove_silent(self, now_s: float) -> None:
        """Removes entries that have sent no report within the timeout.

        Removes records of prompts that are as old, too.
        """
        silent = [
            peer
            for peer, received_s in self._received_s.items()
            if now_s - received_s > PEER_TIMEOUT_S
        ]
        for peer in silent:
            self.remove(peer)
        for group, prompts in list(self._prompts.items()):
            if now_s - prompts[-1][0] > PEER_TIMEOUT_S:
                del self._prompts[group]

    def in_flight(self, endpoint: str) -> int:
        """Returns how many requests the peers have in flight at an endpoint."""
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

    def arrival_rates(self, service: str) -> dict[int, float]:
        """Returns the accepted arrivals per second at the peers by priority.

        Args:
            service: Name of the service.
        """
        rates: dict[int, float] = {}
        for load in self._loads.values():
            for priority, rate in load.arrival_rates.get(service, {}).items():
                rates[priority] = rates.get(priority, 0.0) + rate
        return rates

    def _update_totals(self) -> None:
        totals: dict[str, int] = {}
        for load in self._loads.values():
            for endpoint, count in load.in_flight.items():
                totals[endpoint] = totals.get(endpoint, 0) + count
        self._totals = totals
