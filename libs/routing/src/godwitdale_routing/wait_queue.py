"""Which of the waiting requests goes next, and which may wait at all.

The load that this answers: a little more arrives than the endpoints can serve,
for many seconds. If all of it were let in, every request would wait behind the
backlog and all of them would come late. So a request starts while it can still
meet its objective, the rest waits behind it or is refused at once.
"""

from collections.abc import Iterable
import dataclasses
import math
from typing import Generic
from typing import TypeVar

Item = TypeVar("Item")

# Share of all turns that requests which have lost their objective may count
# on; the others go to requests that can still meet theirs.
_LATE_SHARE = 0.25
# Share of the places that is kept from late requests.
_RESERVE_SHARE = 0.04
# Late requests wait only where there were places to spare this short a time
# ago; overload that lasts longer leaves none for them.
_SURPLUS_S = 1.0
# Weight of the newest observation in smoothed times.
_EWMA_WEIGHT = 0.1
# Room between the mean time to a first part and what is planned for: nine in
# ten answers begin within it while the engines are full.
_FIRST_MARGIN = 1.3


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Urgency:
    """Orders requests; the smallest goes first.

    Attributes:
        is_late: Whether the objective cannot be met any more.
        priority: 0 is the most urgent.
        due_s: Latest start that meets the objective, or for late requests
            the end of the caller's patience.
    """

    is_late: bool
    priority: int
    due_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulingParams:
    """What is known of a request when it asks for a place.

    Attributes:
        priority: 0 is the most urgent.
        objective_deadline_s: When its answer has to begin to be on time.
        start_deadline_s: When it is of no use any more to begin.
    """

    priority: int
    objective_deadline_s: float
    start_deadline_s: float


class ServiceTimes:
    """Times of one service, as this process sees them.

    Smoothed over the answers; where engines declare what a usual answer is,
    worked out from the present pass instead, since an entry sees few answers.

    Attributes:
        time_to_first_s: From sending a request to the first part of its answer.
        total_s: From sending a request to the end of its answer.
    """

    __slots__ = ("time_to_first_s", "total_s")

    def __init__(self, time_to_first_s: float, total_s: float) -> None:
        """Starts from what is declared or assumed."""
        self.time_to_first_s = time_to_first_s
        self.total_s = total_s

    def observe_first(self, took_s: float) -> None:
        """Takes the beginning of an answer into account."""
        self.time_to_first_s += _EWMA_WEIGHT * (took_s - self.time_to_first_s)

    def observe_total(self, took_s: float) -> None:
        """Takes the end of an answer into account."""
        self.total_s += _EWMA_WEIGHT * (took_s - self.total_s)

    def permit_interval_s(self, permits: int) -> float:
        """Returns the time between two permits that become free.

        Args:
            permits: Requests that the service runs at once.
        """
        return self.total_s / max(1, permits)


def urgency(
    params: SchedulingParams, times: ServiceTimes, now_s: float
) -> Urgency:
    """Returns how urgent a request is at a moment.

    Args:
        params: The request.
        times: Times of its service.
        now_s: The moment.
    """
    latest_s = latest_start_s(params, times)
    if now_s <= latest_s:
        return Urgency(False, params.priority, latest_s)
    return Urgency(True, params.priority, params.start_deadline_s)


def latest_start_s(params: SchedulingParams, times: ServiceTimes) -> float:
    """Returns when a request has to start to meet its objective."""
    return params.objective_deadline_s - times.time_to_first_s * _FIRST_MARGIN


def may_wait(
    own: Urgency,
    others: Iterable[Urgency],
    permit_interval_s: float,
    since_spare_s: float,
    now_s: float,
) -> bool:
    """Tells whether a request has any hope of a place in time.

    Args:
        own: How urgent it is.
        others: All other requests that wait, at every entry.
        permit_interval_s: Time between two places that become free.
        since_spare_s: Time since there were places to spare.
        now_s: The present time.
    """
    left_s = own.due_s - now_s
    if not own.is_late:
        ahead = sum(1 for each in others if each < own)
        return (ahead + 1) * permit_interval_s <= left_s
    if since_spare_s > _SURPLUS_S:
        return False
    ahead = sum(1 for each in others if each.is_late and each < own)
    return (ahead + 1) * permit_interval_s <= left_s * _LATE_SHARE


def reserved_permits(permits: int) -> int:
    """Returns how many permits are kept from late requests.

    A place that stays free until the next request arrives costs little; a
    late request in it would cost one its objective for as long as it runs.

    Args:
        permits: Requests that the service may run at once.
    """
    return math.ceil(permits * _RESERVE_SHARE)


def urgency_at(received: Urgency, now_s: float) -> Urgency:
    """Returns how urgent a request is that was received some time ago.

    One that could still be on time when it was received may have become late.

    Args:
        received: How urgent it was.
        now_s: The present time.
    """
    if received.is_late or now_s <= received.due_s:
        return received
    return Urgency(True, received.priority, now_s)


class WaitQueue(Generic[Item]):
    """The requests of one service that wait at this entry."""

    __slots__ = ("_tickets",)

    def __init__(self) -> None:
        self._tickets: dict[Item, SchedulingParams] = {}

    def __len__(self) -> int:
        return len(self._tickets)

    def add(self, item: Item, params: SchedulingParams) -> None:
        """Adds a request."""
        self._tickets[item] = params

    def remove(self, item: Item) -> bool:
        """Takes a request out; returns whether it waited."""
        return self._tickets.pop(item, None) is not None

    def sorted_by_urgency(
        self, times: ServiceTimes, now_s: float
    ) -> list[tuple[Urgency, Item]]:
        """Returns the requests, the most urgent first.

        Args:
            times: Times of the service.
            now_s: The present time.
        """
        ranked = [
            (urgency(ticket, times, now_s), item)
            for item, ticket in self._tickets.items()
        ]
        ranked.sort(key=lambda pair: pair[0])
        return ranked


def may_take_permit(
    own: Urgency,
    peer_heads: Iterable[Urgency],
    free_permits: int,
    reserved: int = 0,
) -> bool:
    """Tells whether a free place falls to a request of this entry.

    Every entry applies the same rule to the same heads, so that one place is
    seldom taken twice although nobody hands it out.

    Args:
        own: The most urgent request here.
        peer_heads: The most urgent requests of the other entries.
        free_permits: Places that are free as far as is known.
        reserved: Places that late requests leave free.
    """
    ahead = sum(1 for each in peer_heads if each < own)
    kept = reserved if own.is_late else 0
    return free_permits - kept > ahead
