"""Rate limits of the client accounts at one entry."""

from typing import Any

from godwitdale import endpoint_pool as endpoint_pool_lib
from godwitdale import membership as membership_lib
from godwitdale_declarations import objects
from godwitdale_routing import limits

_RATE_TIME_CONSTANT_S = 5.0


class AccountLimits:
    """Rate limits of the limited accounts that have sent requests."""

    __slots__ = ("_clock", "_members", "_endpoint_pool", "_limits", "_accounts")

    def __init__(
        self,
        clock: Any,
        members: membership_lib.Membership,
        endpoint_pool: endpoint_pool_lib.EndpointPool,
    ) -> None:
        """Creates an empty set of limits.

        Args:
            clock: A Twisted ``IReactorTime``.
            members: The instances that the platform lists.
            endpoint_pool: Source of the request rates that agents report.
        """
        self._clock = clock
        self._members = members
        self._endpoint_pool = endpoint_pool
        self._limits: dict[str, limits.AccountLimit] = {}
        self._accounts: dict[str, objects.Account] = {}

    def take(self, account: objects.Account) -> float:
        """Tries to admit a request of an account.

        Returns:
            0 if the request is admitted, else the time in seconds to wait.
        """
        if account.requests_per_s is None:
            return 0.0
        if self._accounts.get(account.name) != account:
            self._create_limit(account, account.requests_per_s)
        return self._limits[account.name].take(self._clock.seconds())

    def offered_per_admitted(self, account: str) -> float:
        """Returns the number of offered requests per admitted request."""
        limit = self._limits.get(account)
        if limit is None:
            return 1.0
        return limit.offered_per_admitted(self._clock.seconds())

    def update_shares(self) -> None:
        """Updates all limits from the request rates that agents report."""
        entries = len(self._members.entries)
        now_s = self._clock.seconds()
        for account, limit in self._limits.items():
            total_per_s = self._endpoint_pool.offered_per_s(account)
            limit.update_share(total_per_s, entries, now_s)

    def _create_limit(
        self, account: objects.Account, limit_per_s: float
    ) -> None:
        self._accounts[account.name] = account
        self._limits[account.name] = limits.AccountLimit(
            limit_per_s,
            account.burst_s,
            len(self._members.entries),
            _RATE_TIME_CONSTANT_S,
            self._clock.seconds(),
        )
