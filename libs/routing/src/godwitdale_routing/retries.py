"""Retry budget and backoff."""

import random

_BACKOFF_FACTOR = 2.0


class RetryBudget:
    """Allows retries as a share of recent requests.

    A failure of many endpoints at once then adds at most that share of load.
    """

    __slots__ = ("_share", "_most", "_tokens")

    def __init__(self, share: float, most: float) -> None:
        """Starts with a full budget.

        Args:
            share: Retries earned by each request.
            most: Retries that may be saved up.
        """
        self._share = share
        self._most = most
        self._tokens = most

    def set_share(self, share: float) -> None:
        """Takes over a newly declared share."""
        self._share = share

    def set_max_tokens(self, most: float) -> None:
        """Changes how many retries may be saved up."""
        self._tokens = min(most, self._tokens + max(0.0, most - self._most))
        self._most = most

    def record_request(self) -> None:
        """Notes one request of a caller."""
        self._tokens = min(self._most, self._tokens + self._share)

    def try_take(self) -> bool:
        """Takes one retry out of the budget; returns whether it had one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def backoff_s(
    attempt: int, base_s: float, max_s: float, rng: random.Random
) -> float:
    """Returns a delay with full jitter.

    Args:
        attempt: Number of failures so far, from 1.
        base_s: Upper bound of the first delay.
        max_s: Upper bound of every delay.
        rng: Source of the jitter.
    """
    bound_s = min(max_s, base_s * _BACKOFF_FACTOR ** (attempt - 1))
    return rng.uniform(0, bound_s)


class BudgetsByService:
    """One retry budget for each service that requests go to."""

    __slots__ = ("_share", "_most", "_budgets")

    def __init__(self, share: float, most: float) -> None:
        """Starts without any service.

        Args:
            share: Retries earned by each request.
            most: Retries that each service may save up.
        """
        self._share = share
        self._most = most
        self._budgets: dict[str, RetryBudget] = {}

    def set_max_tokens(self, most: float) -> None:
        """Changes how many retries each service may save up."""
        self._most = most
        for budget in self._budgets.values():
            budget.set_max_tokens(most)

    def budget_for(self, service: str) -> RetryBudget:
        """Returns the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._share, self._most)
            self._budgets[service] = budget
        return budget

    def record_request(self, service: str) -> None:
        """Notes one request of a caller."""
        self.budget_for(service).record_request()
