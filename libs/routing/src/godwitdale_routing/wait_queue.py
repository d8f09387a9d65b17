"""Order of the waiting requests of a service, and which requests may wait.

If slightly more requests arrive than the endpoints can serve, for many seconds,
and all of them are accepted, every request waits behind the backlog and all
answers are late. Requests that can still meet their objective are therefore
started first. The others wait behind them or are refused at once.

An entry is a process of the load balancer that callers connect to. Several
entries send requests to the same services.
"""

from collections.abc import Iterable
import dataclasses
import math
from typing import Generic
from typing import TypeVar

Item = TypeVar("Item")

# Late requests may count on this share of the permits that become free. The
# others go to requests that can still meet their objective.
_LATE_SHARE = 0.25
# Share of the permits that is reserved for requests that are not late.
_RESERVED_SHARE = 0.04
# Late requests may wait only if, at some moment within this time, more permits
# were free than are reserved. An overload that lasts longer leaves no permits
# for late requests.
_MAX_SINCE_SPARE_S = 1.0
# Fewer permits count as this many, so that intervals stay finite.
_MIN_PERMITS = 0.01
# Priorities of routes that are told apart within one priority of an account.
_MAX_ROUTE_PRIORITIES = 10
# Weight of the newest observation in a moving average.
_EWMA_WEIGHT = 0.1
# The latest start of a request is this many mean times to the first part of an
# answer before its objective. Nine in ten answers begin within that time while
# the engines are full.
_FIRST_MARGIN = 1.3


@dataclasses.dataclass(frozen=True, slots=True)
class Urgency:
    """Orders requests; the smallest goes first.

    Attributes:
        is_late: Whether the objective can no longer be met.
        priority: 0 is the most urgent.
        due_s: Latest start that meets the objective; for late requests, the
            latest start that is of use to the caller (see ``urgency_at`` for
            an exception).
        is_crowded: Whether it goes behind the others of its priority, because
            its client account exceeds its share.
    """

    is_late: bool
    priority: int
    due_s: float
    is_crowded: bool = False

    def __lt__(self, other: "Urgency") -> bool:
        return self._sort_key() < other._sort_key()

    def _sort_key(self) -> tuple[bool, int, bool, float]:
        return (self.is_late, self.priority, self.is_crowded, self.due_s)


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulingParams:
    """Parameters of a request that decide when it starts.

    Attributes:
        priority: 0 is the most urgent.
        objective_deadline_s: The answer is on time if it begins by then.
        start_deadline_s: After this time, it is of no use to start the request.
        is_crowded: As in ``Urgency``.
        route_priority: Priority of the route, which orders requests whose
            priority comes from their client account.
    """

    priority: int
    objective_deadline_s: float
    start_deadline_s: float
    is_crowded: bool = False
    route_priority: int = 0

    @property
    def level(self) -> int:
        """Priority by account and then by route; 0 is the most urgent."""
        return self.priority * _MAX_ROUTE_PRIORITIES + min(
            self.route_priority, _MAX_ROUTE_PRIORITIES - 1
        )


class ServiceTimes:
    """Times of one service, as this process sees them.

    The times are moving averages over the answers. For engines that declare a
    step time, the scheduler also sets ``time_to_first_s`` from the time of the
    current iteration, and ``total_s`` too if they declare the length of a usual
    answer, because one entry sees few answers.

    Attributes:
        time_to_first_s: From sending a request to the first part of its answer.
        total_s: From sending a request to the end of its answer.
    """

    __slots__ = ("time_to_first_s", "total_s")

    def __init__(self, time_to_first_s: float, total_s: float) -> None:
        """Creates times with declared or assumed initial values."""
        self.time_to_first_s = time_to_first_s
        self.total_s = total_s

    def observe_first(self, took_s: float) -> None:
        """Updates the time to the first part of an answer."""
        self.time_to_first_s += _EWMA_WEIGHT * (took_s - self.time_to_first_s)

    def observe_total(self, took_s: float) -> None:
        """Updates the time to the end of an answer."""
        self.total_s += _EWMA_WEIGHT * (took_s - self.total_s)

    def permit_interval_s(self, permits: float) -> float:
        """Returns the mean time between two permits that become free.

        Args:
            permits: Requests that the service runs at once.
        """
        return self.total_s / max(_MIN_PERMITS, permits)


def urgency(
    params: SchedulingParams, times: ServiceTimes, now_s: float
) -> Urgency:
    """Returns how urgent a request is at a point in time.

    Args:
        params: Scheduling parameters of the request.
        times: Times of its service.
        now_s: The point in time.
    """
    latest_s = latest_start_s(params, times)
    if now_s <= latest_s:
        return Urgency(False, params.priority, latest_s, params.is_crowded)
    return Urgency(
        True, params.priority, params.start_deadline_s, params.is_crowded
    )


def latest_start_s(params: SchedulingParams, times: ServiceTimes) -> float:
    """Returns the latest start with which a request meets its objective."""
    return params.objective_deadline_s - times.time_to_first_s * _FIRST_MARGIN


def may_wait(
    own: Urgency,
    others: Iterable[Urgency],
    permit_interval_s: float,
    since_spare_s: float,
    now_s: float,
) -> bool:
    """Returns whether a request can expect a permit in time.

    Args:
        own: Urgency of the request.
        others: Urgencies of the other known waiting requests of all entries.
        permit_interval_s: Mean time between two permits that become free.
        since_spare_s: Time since more permits were free than are reserved.
        now_s: The present time.
    """
    left_s = own.due_s - now_s
    if not own.is_late:
        ahead = sum(1 for each in others if each < own)
        return (ahead + 1) * permit_interval_s <= left_s
    if since_spare_s > _MAX_SINCE_SPARE_S:
        return False
    ahead = sum(1 for each in others if each.is_late and each < own)
    return (ahead + 1) * permit_interval_s <= left_s * _LATE_SHARE


def reserved_permits(permits: float) -> int:
    """Returns how many permits late requests may not take.

    A permit that stays free until the next request arrives costs little. A late
    request that takes it makes another request miss its objective for as long
    as the late request runs.

    Args:
        permits: Concurrency limit of the service.
    """
    return math.ceil(permits * _RESERVED_SHARE)


def urgency_at(received: Urgency, now_s: float) -> Urgency:
    """Returns the present urgency of a request that another entry reported.

    A request that could still be on time when it was reported may have become
    late since then. The report does not contain the latest start that is of use
    to its caller. The present time stands for it, so that the request is sorted
    before other late requests of its priority.

    Args:
        received: Urgency of the request when it was reported.
        now_s: The present time.
    """
    if received.is_late or now_s <= received.due_s:
        return received
    return Urgency(True, received.priority, now_s)


class WaitQueue(Generic[Item]):
    """Waiting requests of one service at this entry."""

    __slots__ = ("_params",)

    def __init__(self) -> None:
        self._params: dict[Item, SchedulingParams] = {}

    def __len__(self) -> int:
        return len(self._params)

    def __contains__(self, item: Item) -> bool:
        return item in self._params

    def add(self, item: Item, params: SchedulingParams) -> None:
        """Adds a request."""
        self._params[item] = params

    def params(self, item: Item) -> SchedulingParams:
        """Returns the parameters with which a waiting request was added."""
        return self._params[item]

    def remove(self, item: Item) -> bool:
        """Removes a request; returns whether it was waiting."""
        return self._params.pop(item, None) is not None

    def sorted_by_urgency(
        self, times: ServiceTimes, now_s: float
    ) -> list[tuple[Urgency, Item]]:
        """Returns the requests, the most urgent first.

        Args:
            times: Times of the service.
            now_s: The present time.
        """
        ranked = [
            (urgency(params, times, now_s), item)
            for item, params in self._params.items()
        ]
        ranked.sort(key=lambda pair: pair[0])
        return ranked


def may_take_permit(
    own: Urgency,
    peer_heads: Iterable[Urgency],
    free_permits: int,
    reserved: int = 0,
    held_back: int = 0,
) -> bool:
    """Returns whether a request of this entry may take a free permit.

    Every entry applies the same rule to the queue heads of all entries, as far
    as their reports have arrived. Two entries thus seldom take the same permit,
    although no process assigns the permits.

    Args:
        own: Urgency of the most urgent request of this entry.
        peer_heads: Urgencies of the most urgent requests of the other entries.
        free_permits: Permits that are free, as far as this entry knows.
        reserved: Permits that late requests may not take.
        held_back: Permits that this request leaves to more urgent ones that
            are expected.
    """
    ahead = sum(1 for each in peer_heads if each < own)
    withheld = max(held_back, reserved if own.is_late else 0)
    return free_permits - withheld > ahead
