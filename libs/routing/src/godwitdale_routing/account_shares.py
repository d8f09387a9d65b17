"""Shares of client accounts in the requests of one kind.

An account that brings more requests than the mean account may wait only behind
a shorter queue, so that the requests that are refused are mostly its own. The
queue of one entry is too short to order it by account: a few requests wait
there, of many accounts.
"""

from godwitdale_routing import limits

# After this time, an arrival weighs about a third of a new one. It is long
# enough for several requests of one account to arrive at one entry.
_TIME_CONSTANT_S = 4.0
# An account with fewer recent arrivals is forgotten.
_MIN_ARRIVALS = 0.2
# An account exceeds its share beyond this many times the arrivals of the mean
# account. The few arrivals of a light account at one entry vary by as much.
_MAX_TO_MEAN_RATIO = 2.0
# An account with fewer recent arrivals does not exceed its share.
_MIN_CROWDING_ARRIVALS = 3.0
# An account exceeds its share by at most this ratio.
_MAX_CROWDING = 4.0
# Permits that may be owed at once, so that a long time without service is not
# followed by a burst.
_MAX_CREDIT = 2.0
# Permits beyond the floor that count against it later on. It bounds the time
# without service after a time of much service.
_MAX_DEBT = 0.5


class FloorCredit:
    """Permits that some kind of request is owed."""

    __slots__ = ("_credit",)

    def __init__(self) -> None:
        """Creates a credit of nothing."""
        self._credit = 0.0

    @property
    def is_owed(self) -> bool:
        """Whether the next request is owed a permit."""
        return self._credit >= 1.0

    def on_arrival(self, share: float) -> None:
        """Adds the share of a permit that every arrival is owed."""
        self._credit = min(_MAX_CREDIT, self._credit + share)

    def on_served(self) -> None:
        """Takes off a request that got a permit."""
        self._credit = max(-_MAX_DEBT, self._credit - 1.0)


class _Account:
    __slots__ = ("arrived", "floor")

    def __init__(self, now_s: float) -> None:
        self.arrived = limits.DecayingCount(_TIME_CONSTANT_S, now_s)
        self.floor = FloorCredit()


class AccountShares:
    """Recent arrivals at this entry by client account."""

    __slots__ = ("_accounts", "_total", "_pruned_s")

    def __init__(self, now_s: float) -> None:
        """Creates shares without arrivals."""
        self._accounts: dict[str, _Account] = {}
        self._total = limits.DecayingCount(_TIME_CONSTANT_S, now_s)
        self._pruned_s = now_s

    def on_arrival(self, name: str, floor_share: float, now_s: float) -> None:
        """Records a request of an account.

        Args:
            name: Name of the account.
            floor_share: Share of a permit that every arrival is owed.
            now_s: The current time.
        """
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account(now_s)
        account.arrived.add(1, now_s)
        account.floor.on_arrival(floor_share)
        self._total.add(1, now_s)
        if now_s - self._pruned_s > _TIME_CONSTANT_S:
            self._prune(now_s)

    def on_served(self, name: str) -> None:
        """Records that a request of an account got a permit."""
        account = self._accounts.get(name)
        if account is not None:
            account.floor.on_served()

    def crowding(self, name: str, now_s: float) -> float:
        """Returns the arrivals of an account over the most within its share.

        Args:
            name: Name of the account.
            now_s: The current time.

        Returns:
            1 for an account within its share or that is owed a permit.
        """
        account = self._accounts.get(name)
        if account is None or account.floor.is_owed:
            return 1.0
        arrived = account.arrived.value(now_s)
        if arrived < _MIN_CROWDING_ARRIVALS:
            return 1.0
        mean = self._total.value(now_s) / len(self._accounts)
        return min(
            _MAX_CROWDING, max(1.0, arrived / (mean * _MAX_TO_MEAN_RATIO))
        )

    def _prune(self, now_s: float) -> None:
        self._pruned_s = now_s
        self._accounts = {
            name: account
            for name, account in self._accounts.items()
            if account.arrived.value(now_s) >= _MIN_ARRIVALS
        }
