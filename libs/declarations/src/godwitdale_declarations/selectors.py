"""Selectors, which bind requests to kinds of work and to endpoints.

A kind of work (``objects.Work``) sets the priority and the time limits of its
requests, and whether a request may be run twice.

The functions are pure: the time of day is an attribute of the request.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from godwitdale_declarations import objects

_MINUTES_PER_HOUR = 60


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Attributes of a request that selectors can test.

    Attributes:
        account: Name of the client account.
        account_labels: Labels of the client account.
        method: HTTP method in upper case.
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
        """Returns the value of an attribute, or None if it is absent.

        Args:
            name: Name of the attribute, as in ``objects.Condition``.
        """
        prefix, _, rest = name.partition(":")
        if prefix == "header":
            return self.headers.get(rest.lower())
        if prefix == "account-label":
            return self.account_labels.get(rest)
        return self._unprefixed_attribute(name)

    def _unprefixed_attribute(self, name: str) -> str | None:
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
    """Evaluation of one selector for a request, also if it does not match.

    Attributes:
        selector: The selector.
        is_bound: Whether this selector binds the request.
        reason: Why it does or does not bind the request, for operators.
    """

    selector: objects.Selector
    is_bound: bool
    reason: str


def is_minute_in_window(minute_of_day: int, window: str) -> bool:
    """Returns whether a minute lies in a time window.

    Args:
        minute_of_day: Minutes since midnight.
        window: ``HH:MM-HH:MM``, excluding its end; it may cross midnight.
    """
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
    """Returns whether a condition holds for a value.

    Args:
        condition: The condition.
        value: Value of the attribute, or None if it is absent.
    """
    return _matches_before_negation(condition, value) != condition.negate


def _matches_before_negation(
    condition: objects.Condition, value: str | None
) -> bool:
    if value is None:
        return False
    if condition.op == "exists":
        return True
    if condition.op == "prefix":
        return value.startswith(tuple(condition.values))
    return value in condition.values


def condition_holds(condition: objects.Condition, request: Request) -> bool:
    """Returns whether a condition of a selector holds for a request."""
    if condition.attribute == "time":
        is_inside = any(
            is_minute_in_window(request.minute_of_day, window)
            for window in condition.values
        )
        return is_inside != condition.negate
    return value_matches(condition, request.attribute(condition.attribute))


def failing_condition(
    selector: objects.Selector, request: Request
) -> objects.Condition | None:
    """Returns a selector's first condition that does not hold, or None."""
    for condition in selector.when:
        if not condition_holds(condition, request):
            return condition
    return None


def sort_selectors(
    selectors: Iterable[objects.Selector],
) -> list[objects.Selector]:
    """Returns selectors in the order in which they are tried.

    The order is by descending precedence, then by descending number of
    conditions, then by name.
    """
    return sorted(
        selectors,
        key=lambda each: (-each.precedence, -len(each.when), each.name),
    )


def bind(
    ordered: Iterable[objects.Selector], request: Request
) -> objects.Selector | None:
    """Returns the first selector that matches a request, or None.

    Args:
        ordered: Selectors in the order in which they are tried.
        request: The request.
    """
    for selector in ordered:
        if failing_condition(selector, request) is None:
            return selector
    return None


def explain(
    ordered: Iterable[objects.Selector], request: Request
) -> list[Candidate]:
    """Returns for every selector whether it binds a request, and why.

    Args:
        ordered: Selectors in the order in which they are tried.
        request: The request.
    """
    candidates = []
    bound: objects.Selector | None = None
    for selector in ordered:
        failing = failing_condition(selector, request)
        if failing is not None:
            reason = f"{describe(failing)} does not hold"
        elif bound is None:
            bound = selector
            reason = "first match in order of precedence"
        else:
            reason = f"matches too, but {bound.name} comes first"
        candidates.append(Candidate(selector, selector is bound, reason))
    return candidates


def describe(condition: objects.Condition) -> str:
    """Returns a condition as text for operators."""
    negation = "not " if condition.negate else ""
    values = ", ".join(condition.values)
    return f"{negation}{condition.attribute} {condition.op} {values}".rstrip()


def endpoint_matches(
    selector: objects.Selector, labels: Mapping[str, str]
) -> bool:
    """Returns whether an endpoint's labels satisfy a selector."""
    return all(
        value_matches(condition, labels.get(condition.attribute))
        for condition in selector.endpoints
    )
