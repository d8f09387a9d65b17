"""Ejection of failing endpoints, up to a maximum share, and slow start."""

import dataclasses

_FAILURES_TO_EJECT = 3
_MIN_EJECTION_S = 2.0
_MAX_EJECTION_S = 60.0
_SLOW_START_S = 10.0
_MIN_SLOW_START_SHARE = 0.1


@dataclasses.dataclass(slots=True)
class Health:
    """Health of one incarnation of an endpoint, as one entry sees it.

    An incarnation is one run of an endpoint, from its start to its end.

    Attributes:
        first_used_s: When the entry added this incarnation to its endpoints.
        failures: Consecutive failures since the last success or ejection.
        ejections: Ejections since the last success.
        ejected_until_s: When the last ejection ends. ``usable_endpoints`` may
            return the endpoint earlier.
    """

    first_used_s: float
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0

    def record_success(self) -> None:
        """Records a successful answer."""
        self.failures = 0
        self.ejections = 0

    def record_failure(self, now_s: float) -> None:
        """Records a failure; several consecutive ones eject the endpoint."""
        self.failures += 1
        if self.failures < _FAILURES_TO_EJECT:
            return
        ejection_s = min(_MAX_EJECTION_S, _MIN_EJECTION_S * 2**self.ejections)
        self.ejected_until_s = now_s + ejection_s
        self.ejections += 1
        self.failures = 0

    def is_ejected(self, now_s: float) -> bool:
        """Returns whether the endpoint is ejected."""
        return now_s < self.ejected_until_s

    def slow_start_share(self, now_s: float) -> float:
        """Returns the share of normal traffic that the endpoint should get."""
        age_s = now_s - self.first_used_s
        return min(1.0, max(_MIN_SLOW_START_SHARE, age_s / _SLOW_START_S))


def usable_endpoints(
    healths: dict[str, Health], now_s: float, ejected_share: float
) -> list[str]:
    """Returns the endpoints that may be chosen.

    If a larger share is ejected than allowed, the endpoints whose ejection ends
    first are used nevertheless: a fault that affects most endpoints is rarely
    caused by the endpoints themselves.

    Args:
        healths: Health by endpoint.
        now_s: The current time.
        ejected_share: Largest share of the endpoints that may be ejected.
    """
    ejected = [name for name, each in healths.items() if each.is_ejected(now_s)]
    max_excluded = int(len(healths) * ejected_share)
    ejected.sort(key=lambda name: (-healths[name].ejected_until_s, name))
    excluded = set(ejected[:max_excluded])
    return [name for name in healths if name not in excluded]
