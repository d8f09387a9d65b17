"""Retry budget and backoff."""

import random

_BACKOFF_FACTOR = 2.0


class RetryBudget:
    """Token bucket that allows retries as a share of recent requests.

    When many endpoints fail at once, the load grows by no more than that share,
    apart from the retries that are already in the bucket, at most
    ``max_tokens``.
    """

    __slots__ = ("_share", "_max_tokens", "_tokens")

    def __init__(self, share: float, max_tokens: float) -> None:
        """Creates a full budget.

        Args:
            share: Retries that each request adds to the budget.
            max_tokens: Largest number of retries in the budget.
        """
        self._share = share
        self._max_tokens = max_tokens
        self._tokens = max_tokens

    def set_share(self, share: float) -> None:
        """Changes how many retries each request adds to the budget."""
        self._share = share

    def set_max_tokens(self, max_tokens: float) -> None:
        """Changes the largest number of retries in the budget.

        If the number grows, the difference is added to the budget at once.
        """
        self._tokens = min(
            max_tokens, self._tokens + max(0.0, max_tokens - self._max_tokens)
        )
        self._max_tokens = max_tokens

    def record_request(self) -> None:
        """Records one request of a caller."""
        self._tokens = min(self._max_tokens, self._tokens + self._share)

    def try_take(self) -> bool:
        """Takes one retry out of the budget; returns whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def backoff_s(
    attempt: int, base_s: float, max_s: float, rng: random.Random
) -> float:
    """Returns an exponential backoff delay with full jitter.

    Args:
        attempt: Number of failures so far; at least 1.
        base_s: Upper bound of the first delay.
        max_s: Upper bound of every delay.
        rng: Source of the jitter.
    """
    bound_s = min(max_s, base_s * _BACKOFF_FACTOR ** (attempt - 1))
    return rng.uniform(0, bound_s)


class BudgetsByService:
    """One retry budget for each service that requests go to."""

    __slots__ = ("_share", "_max_tokens", "_budgets")

    def __init__(self, share: float, max_tokens: float) -> None:
        """Creates a collection without any service.

        Args:
            share: Retries that each request adds to the budget of its service.
            max_tokens: Largest number of retries in each budget.
        """
        self._share = share
        self._max_tokens = max_tokens
        self._budgets: dict[str, RetryBudget] = {}

    def set_max_tokens(self, max_tokens: float) -> None:
        """Changes the largest number of retries in each budget."""
        self._max_tokens = max_tokens
        for budget in self._budgets.values():
            budget.set_max_tokens(max_tokens)

    def budget_for(self, service: str) -> RetryBudget:
        """Returns the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._share, self._max_tokens)
            self._budgets[service] = budget
        return budget

    def record_request(self, service: str) -> None:
        """Records one request of a caller."""
        self.budget_for(service).record_request()
