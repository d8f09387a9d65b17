"""Binding of requests to kinds of work and endpoints.

The functions here are pure: the time of day comes with the request.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from godwitdale_declarations import objects

_MINUTES_PER_HOUR = 60


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What selectors can see of a request.

    Attributes:
        account: Name of the client account.
        account_labels: Its labels.
        method: HTTP method in capitals.
        path: Path without the query.
        model: Model that the body names, or None.
        headers: Headers by lower-case name.
        minute_of_day: Minutes since midnight, UTC.
    """

    account: str
    account_labels: Mapping[str, str]
    method: str
    path: str
    model: str | None
    headers: Mapping[str, str]
    minute_of_day: int

    def attribute(self, name: str) -> str | None:
        """Returns the value of an attribute, or None where it is absent."""
        prefix, _, rest = name.partition(":")
        if prefix == "header":
            return self.headers.get(rest.lower())
        if prefix == "account-label":
            return self.account_labels.get(rest)
        return self._plain_attribute(name)

    def _plain_attribute(self, name: str) -> str | None:
        if name == "account":
            return self.account
        if name == "method":
            return self.method
        if name == "path":
            return self.path
        if name == "model":
            return self.model
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """How one selector fared for a request.

    Attributes:
        selector: The selector.
        is_bound: Whether it is the one that binds.
        reason: A sentence.
    """

    selector: objects.Selector
    is_bound: bool
    reason: str


def is_minute_in_window(minute_of_day: int, window: str) -> bool:
    """Tells whether a minute lies in ``HH:MM-HH:MM``, which may wrap."""
    start_text, _, end_text = window.partition("-")
    start = _minutes(start_text)
    end = _minutes(end_text)
    if start <= end:
        return start <= minute_of_day < end
    return minute_of_day >= start or minute_of_day < end


def _minutes(text: str) -> int:
    hours, _, minutes = text.partition(":")
    return int(hours) * _MINUTES_PER_HOUR + int(minutes)


def value_matches(condition: objects.Condition, value: str | None) -> bool:
    """Tells whether a condition holds for a value, None where it is absent."""
    return _matches_plainly(condition, value) != condition.negate


def _matches_plainly(condition: objects.Condition, value: str | None) -> bool:
    if value is None:
        return False
    if condition.op == "exists":
        return True
    if condition.op == "prefix":
        return value.startswith(tuple(condition.values))
    return value in condition.values


def condition_holds(condition: objects.Condition, request: Request) -> bool:
    """Tells whether a condition of a selector holds for a request."""
    if condition.attribute == "time":
        inside = any(
            is_minute_in_window(request.minute_of_day, window)
            for window in condition.values
        )
        return inside != condition.negate
    return value_matches(condition, request.attribute(condition.attribute))


def failing_condition(
    selector: objects.Selector, request: Request
) -> objects.Condition | None:
    """Returns the first condition that does not hold, or None."""
    for condition in selector.when:
        if not condition_holds(condition, request):
            return condition
    return None


def sort_selectors(
    selectors: Iterable[objects.Selector],
) -> list[objects.Selector]:
    """Returns selectors in the order in which they are tried.

    Highest precedence first, then the one with more conditions, then by name.
    """
    return sorted(
        selectors,
        key=lambda each: (-each.precedence, -len(each.when), each.name),
    )


def bind(
    ordered: Iterable[objects.Selector], request: Request
) -> objects.Selector | None:
    """Returns the first of the ordered selectors that matches a request."""
    for selector in ordered:
        if failing_condition(selector, request) is None:
            return selector
    return None


def explain(
    ordered: Iterable[objects.Selector], request: Request
) -> list[Candidate]:
    """Tells for every selector whether it binds a request, and why.

    Args:
        ordered: Selectors in the order in which they are tried.
        request: The request.
    """
    candidates = []
    winner: objects.Selector | None = None
    for selector in ordered:
        failed = failing_condition(selector, request)
        if failed is not None:
            why = f"{describe(failed)} does not hold"
        elif winner is None:
            winner = selector
            why = "first match in order of precedence"
        else:
            why = f"matches too, but {winner.name} comes first"
        candidates.append(Candidate(selector, selector is winner, why))
    return candidates


def describe(condition: objects.Condition) -> str:
    """Returns a condition as an operator would read it."""
    negation = "not " if condition.negate else ""
    values = ", ".join(condition.values)
    return f"{negation}{condition.attribute} {condition.op} {values}".rstrip()


def endpoint_matches(
    selector: objects.Selector, labels: Mapping[str, str]
) -> bool:
    """Tells whether an endpoint's labels satisfy a selector."""
    return all(
        value_matches(condition, labels.get(condition.attribute))
        for condition in selector.endpoints
    )
