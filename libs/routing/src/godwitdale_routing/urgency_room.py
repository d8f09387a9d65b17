"""Room that the less urgent requests of a service leave to the more urgent.

Routes with different priorities may lead to one service. A request keeps its
permit for seconds, and the requests that arrive meanwhile may be more urgent. A
less urgent request therefore takes no permit that these need before enough
others become free, and is refused at once while they need all permits. Both
follow from the arrivals that are seen: without more urgent arrivals, nothing is
held back.

Every priority keeps a floor: an entry owes it a share of the service that the
others get from this entry. The floor needs no reports of other entries.
"""

from collections.abc import Mapping
import dataclasses
import math

from godwitdale_routing import account_shares
from godwitdale_routing import limits
from godwitdale_routing import wait_queue

# After this time, an arrival weighs about a third of a new one.
_RATE_TIME_CONSTANT_S = 1.5
# A priority with a smaller share of the arrivals does not count as one that
# competes for permits.
_MIN_ARRIVAL_SHARE = 0.02
# Largest share of the permits that is held back for more urgent requests.
_MAX_HELD_SHARE = 0.5
# Share of its patience for which a more urgent request may be left waiting.
_PATIENCE_SHARE = 0.5
# Arrivals vary by about the square root of their number; room is held back for
# this many such deviations above the mean.
_ARRIVAL_DEVIATIONS = 1.0
# A priority is owed this share of the service that the others get. It is above
# the quarter that it is to get, because not every request that is owed a permit
# gets one in time.
_FLOOR_RATIO = 0.28


class _Arrivals:
    """Arrivals of one priority at this entry.

    Attributes:
        arrived: Recent arrivals.
        accepted: Those of them that were not refused.
        served: Recent requests that got a permit.
        patience_s: How long its last request could wait and be on time.
        floor: Permits that the priority is owed.
        accounts: Shares of the client accounts.
    """

    __slots__ = (
        "arrived",
        "accepted",
        "served",
        "patience_s",
        "floor",
        "accounts",
    )

    def __init__(self, now_s: float) -> None:
        self.arrived = limits.DecayingCount(_RATE_TIME_CONSTANT_S, now_s)
        self.accepted = limits.DecayingCount(_RATE_TIME_CONSTANT_S, now_s)
        self.served = limits.DecayingCount(_RATE_TIME_CONSTANT_S, now_s)
        self.patience_s = 0.0
        self.floor = account_shares.FloorCredit()
        self.accounts = account_shares.AccountShares(now_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """Permits that a request can count on.

    Attributes:
        is_contested: Whether requests of several priorities compete.
        interval_s: Mean time between two permits for it and those before it;
            may be infinite.
        own_interval_s: Mean time between two permits that its priority gets
            from this entry; may be infinite.
    """

    is_contested: bool
    interval_s: float
    own_interval_s: float


class UrgencyRoom:
    """Arrivals of one service at this entry, by priority."""

    __slots__ = ("_by_priority",)

    def __init__(self) -> None:
        """Creates a room without arrivals, which holds nothing back."""
        self._by_priority: dict[int, _Arrivals] = {}

    def on_arrival(
        self, priority: int, account: str, patience_s: float, now_s: float
    ) -> None:
        """Records the arrival of a request.

        Args:
            priority: 0 is the most urgent.
            account: Its client account.
            patience_s: How long it can wait and be on time.
            now_s: The current time.
        """
        arrivals = self._by_priority.get(priority)
        if arrivals is None:
            arrivals = self._by_priority[priority] = _Arrivals(now_s)
        arrivals.arrived.add(1, now_s)
        arrivals.accepted.add(1, now_s)
        arrivals.patience_s = max(0.0, patience_s)
        arrivals.floor.on_arrival(
            _FLOOR_RATIO * self._service_of_others(priority, now_s)
        )
        arrivals.accounts.on_arrival(
            account, _FLOOR_RATIO * _service_share([arrivals], now_s), now_s
        )

    def on_refused(self, priority: int, now_s: float) -> None:
        """Records that a request was refused; others may count on its permit.

        Args:
            priority: 0 is the most urgent.
            now_s: The current time.
        """
        arrivals = self._by_priority.get(priority)
        if arrivals is not None:
            arrivals.accepted.add(-1, now_s)

    def on_served(self, priority: int, account: str, now_s: float) -> None:
        """Records that a request got a permit.

        Args:
            priority: 0 is the most urgent.
            account: Its client account.
            now_s: The current time.
        """
        arrivals = self._by_priority.get(priority)
        if arrivals is None:
            return
        arrivals.served.add(1, now_s)
        arrivals.floor.on_served()
        arrivals.accounts.on_served(account)

    def own_rates_per_s(self, now_s: float) -> dict[int, float]:
        """Returns the accepted arrivals per second at this entry."""
        return {
            priority: max(0.0, arrivals.accepted.rate_per_s(now_s))
            for priority, arrivals in self._by_priority.items()
        }

    def crowding(self, priority: int, account: str, now_s: float) -> float:
        """Returns by how much an account exceeds its share of a priority.

        Args:
            priority: 0 is the most urgent.
            account: The client account.
            now_s: The current time.

        Returns:
            1 for an account within its share, otherwise more.
        """
        arrivals = self._by_priority.get(priority)
        if arrivals is None:
            return 1.0
        return arrivals.accounts.crowding(account, now_s)

    def effective_priority(self, priority: int) -> int:
        """Returns the priority with which a request competes.

        A request whose priority is owed a permit competes as one of the most
        urgent.
        """
        arrivals = self._by_priority.get(priority)
        if arrivals is None or not arrivals.floor.is_owed:
            return priority
        return min(self._by_priority)

    def standing(
        self,
        priority: int,
        urgency: wait_queue.Urgency,
        account: str,
        rates_per_s: Mapping[int, float],
        permit_interval_s: float,
        now_s: float,
    ) -> Standing:
        """Returns the permits that a request can count on.

        Args:
            priority: Its priority.
            urgency: Urgency with which it competes.
            account: Its client account.
            rates_per_s: Accepted arrivals per second at all entries by
                priority.
            permit_interval_s: Mean time between two permits that become free.
            now_s: The current time.
        """
        if not self._is_contested(rates_per_s, now_s):
            return Standing(False, permit_interval_s, permit_interval_s)
        crowding = 1.0
        if urgency.is_crowded:
            crowding = self.crowding(priority, account, now_s)
        is_any_left = math.isfinite(
            left_interval_s(
                _first_behind(urgency), rates_per_s, permit_interval_s
            )
        )
        return Standing(
            True,
            permit_interval_s * crowding if is_any_left else math.inf,
            own_interval_s(
                priority,
                self.own_rates_per_s(now_s),
                rates_per_s,
                left_interval_s(priority, rates_per_s, permit_interval_s),
            ),
        )

    def held_back(
        self,
        urgency: wait_queue.Urgency,
        rates_per_s: Mapping[int, float],
        permits: float,
        permit_interval_s: float,
    ) -> int:
        """Returns how many free permits a request leaves to more urgent ones.

        These are the permits that the more urgent arrivals will need while
        they can wait, beyond those that become free in that time.

        Args:
            urgency: Urgency with which the request competes.
            rates_per_s: Accepted arrivals per second at all entries by
                priority.
            permits: Concurrency limit of the service.
            permit_interval_s: Mean time between two permits that become free.
        """
        first_behind = _first_behind(urgency)
        rate_per_s = _more_urgent_rate_per_s(first_behind, rates_per_s)
        if rate_per_s <= 0:
            return 0
        wait_s = _PATIENCE_SHARE * min(
            (
                arrivals.patience_s
                for each, arrivals in self._by_priority.items()
                if each < first_behind
            ),
            default=0.0,
        )
        expected = rate_per_s * wait_s
        needed = expected + _ARRIVAL_DEVIATIONS * math.sqrt(expected)
        freed = wait_s / permit_interval_s
        held = min(needed - freed, permits * _MAX_HELD_SHARE)
        return max(0, math.ceil(held))

    def _is_contested(
        self, rates_per_s: Mapping[int, float], now_s: float
    ) -> bool:
        own = {
            priority: arrivals.arrived.rate_per_s(now_s)
            for priority, arrivals in self._by_priority.items()
        }
        seen = add_rates(own, rates_per_s).values()
        least = _MIN_ARRIVAL_SHARE * math.fsum(seen)
        return sum(1 for rate in seen if rate > least) > 1

    def _service_of_others(self, priority: int, now_s: float) -> float:
        others = [
            arrivals
            for each, arrivals in self._by_priority.items()
            if each != priority
        ]
        return _service_share(others, now_s)


def _first_behind(urgency: wait_queue.Urgency) -> int:
    """Returns the priority before which all requests go before this one.

    A crowded request leaves room to its own priority, too.
    """
    return urgency.priority + (1 if urgency.is_crowded else 0)


def add_rates(
    own: Mapping[int, float], others: Mapping[int, float]
) -> dict[int, float]:
    """Returns the sums of two rates by priority."""
    return {
        priority: own.get(priority, 0.0) + others.get(priority, 0.0)
        for priority in own.keys() | others.keys()
    }


def left_interval_s(
    priority: int, rates_per_s: Mapping[int, float], permit_interval_s: float
) -> float:
    """Returns the mean time between two permits that a priority can count on.

    Args:
        priority: Priority with which a request competes.
        rates_per_s: Accepted arrivals per second at all entries by
                priority.
        permit_interval_s: Mean time between two permits that become free.

    Returns:
        Infinity if the more urgent arrivals need all permits.
    """
    rate_per_s = _more_urgent_rate_per_s(priority, rates_per_s)
    left_share = 1 - rate_per_s * permit_interval_s
    return permit_interval_s / left_share if left_share > 0 else math.inf


def own_interval_s(
    priority: int,
    own_per_s: Mapping[int, float],
    rates_per_s: Mapping[int, float],
    interval_s: float,
) -> float:
    """Returns the time between two permits that a priority gets from an entry.

    Args:
        priority: The priority.
        own_per_s: Accepted arrivals per second at this entry by priority.
        rates_per_s: Accepted arrivals per second at all entries by
                priority.
        interval_s: Mean time between two permits that the priority gets.
    """
    own = own_per_s.get(priority, 0.0)
    if own <= 0:
        return math.inf
    return interval_s * max(1.0, rates_per_s.get(priority, 0.0) / own)


def _more_urgent_rate_per_s(
    priority: int, rates_per_s: Mapping[int, float]
) -> float:
    return math.fsum(
        rate for each, rate in rates_per_s.items() if each < priority
    )


def _service_share(arrivals: list[_Arrivals], now_s: float) -> float:
    """Returns the share of recent arrivals that got a permit, at most 1."""
    arrived = math.fsum(each.arrived.value(now_s) for each in arrivals)
    served = math.fsum(each.served.value(now_s) for each in arrivals)
    return min(1.0, served / arrived) if arrived > 0 else 0.0
