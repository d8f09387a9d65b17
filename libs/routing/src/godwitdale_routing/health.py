"""Ejection of failing endpoints, with a floor, and slow start."""

import dataclasses

_FAILURES_TO_EJECT = 3
_EJECT_BASE_S = 2.0
_EJECT_MOST_S = 60.0
_SLOW_START_S = 10.0
_SLOW_START_FLOOR = 0.1


@dataclasses.dataclass(slots=True)
class Health:
    """What an entry has seen of one endpoint.

    Attributes:
        first_used_s: When the entry first used the endpoint's present life.
        failures: Failures in a row.
        ejections: Ejections without a success between.
        ejected_until_s: When it may be tried again.
    """

    first_used_s: float
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0

    def record_success(self) -> None:
        """Notes an answer."""
        self.failures = 0
        self.ejections = 0

    def record_failure(self, now_s: float) -> None:
        """Notes a failure; several in a row eject the endpoint for a time."""
        self.failures += 1
        if self.failures < _FAILURES_TO_EJECT:
            return
        term_s = min(_EJECT_MOST_S, _EJECT_BASE_S * 2**self.ejections)
        self.ejected_until_s = now_s + term_s
        self.ejections += 1
        self.failures = 0

    def is_ejected(self, now_s: float) -> bool:
        """Tells whether the endpoint is out."""
        return now_s < self.ejected_until_s

    def slow_start_share(self, now_s: float) -> float:
        """Returns the share of its normal traffic that it should get."""
        age_s = now_s - self.first_used_s
        return min(1.0, max(_SLOW_START_FLOOR, age_s / _SLOW_START_S))


def usable_endpoints(
    healths: dict[str, Health], now_s: float, ejected_share: float
) -> list[str]:
    """Returns the endpoints that may be chosen.

    Where more are ejected than the floor allows, those whose ejection ends
    first are used all the same: a fault that hits most endpoints is rarely
    the endpoints' own.

    Args:
        healths: Health by endpoint.
        now_s: The current time.
        ejected_share: Largest share that may be out.
    """
    ejected = [name for name, each in healths.items() if each.is_ejected(now_s)]
    most_out = int(len(healths) * ejected_share)
    ejected.sort(key=lambda name: (-healths[name].ejected_until_s, name))
    out = set(ejected[:most_out])
    return [name for name in healths if name not in out]
