"""Request limits of client accounts at one entry."""

from typing import Any

from godwitdale import endpoint_pool as endpoint_pool_lib
from godwitdale import membership as membership_lib
from godwitdale_declarations import objects
from godwitdale_routing import limits

_TIME_CONSTANT_S = 5.0


class AccountLimits:
    """Keeps a limit for each account that has one and has been seen."""

    __slots__ = ("_clock", "_members", "_endpoint_pool", "_limits", "_declared")

    def __init__(
        self,
        clock: Any,
        members: membership_lib.Membership,
        endpoint_pool: endpoint_pool_lib.EndpointPool,
    ) -> None:
        """Starts without limits.

        Args:
            clock: A Twisted ``IReactorTime``.
            members: Tells how many entries there are.
            endpoint_pool: Tells what agents say of the accounts.
        """
        self._clock = clock
        self._members = members
        self._endpoint_pool = endpoint_pool
        self._limits: dict[str, limits.AccountLimit] = {}
        self._declared: dict[str, objects.Account] = {}

    def take(self, account: objects.Account) -> float:
        """Asks to admit a request.

        Returns:
            0 where it is admitted, else the time in seconds to wait.
        """
        if account.requests_per_s is None:
            return 0.0
        if self._declared.get(account.name) != account:
            self._declare(account, account.requests_per_s)
        return self._limits[account.name].take(self._clock.seconds())

    def offered_per_admitted(self, account: str) -> float:
        """Returns how many offered requests one admitted one stands for."""
        limit = self._limits.get(account)
        if limit is None:
            return 1.0
        return limit.offered_per_admitted(self._clock.seconds())

    def update_shares(self) -> None:
        """Takes over what the agents have reported since the last call."""
        entries = len(self._members.entries)
        now_s = self._clock.seconds()
        for account, limit in self._limits.items():
            total_per_s = self._endpoint_pool.offered_per_s(account)
            limit.update_share(total_per_s, entries, now_s)

    def _declare(self, account: objects.Account, limit_per_s: float) -> None:
        self._declared[account.name] = account
        self._limits[account.name] = limits.AccountLimit(
            limit_per_s,
            account.burst_s,
            len(self._members.entries),
            _TIME_CONSTANT_S,
            self._clock.seconds(),
        )
