"""How long a caller has been trying already."""

from collections.abc import Mapping

# Routes whose callers' times are remembered.
_MOST_ROUTES = 4096


class Ages:
    """Tells callers that come back from those that come first.

    Callers say how long they will still wait. The longest time seen on a route
    is what they start with, so one that says less has used the rest already.
    """

    __slots__ = ("_longest_s",)

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}

    def age_s(self, route: str, left_s: float | None) -> float:
        """Returns how long ago the caller first asked, as far as is known.

        Args:
            route: Name of the route.
            left_s: How long the caller will still wait, or None.
        """
        if left_s is None:
            return 0.0
        longest_s = self._longest_s.get(route, 0.0)
        if left_s >= longest_s:
            if len(self._longest_s) >= _MOST_ROUTES:
                self._longest_s.clear()
            self._longest_s[route] = left_s
            return 0.0
        return longest_s - left_s

    def known(self) -> Mapping[str, float]:
        """Returns the longest time seen on each route."""
        return self._longest_s
