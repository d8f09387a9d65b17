"""When to look at the demand for experts, and when a new map pays.

A group whose ranks copy experts quickly follows the demand: its demand is read
several times a second once the group is, or is expected to be, under load, and
a plan levels all its ranks. On a group whose ranks copy for a second or longer,
a change costs more than most demands last: there demand is read only while
iterations are long, and only moves that are each worth their copying are made.
"""

import collections
import dataclasses

# A group follows the demand if a rank copies all experts that it may take in
# one change within this time.
_QUICK_COPY_S = 0.5
# Iterations take this much longer while experts are copied.
_COPY_SLOWDOWN = 0.15
# A change has to save this many times the time that it costs.
_MIN_RETURN = 2.0
# Share of the longest inter-event gap by which a change has to shorten
# iterations. Callers do not see less than that, and the counts of one rank are
# uncertain.
_MIN_RELIEF = 0.15
# Time that the pauses for readings and for the hold of a group cost, for each
# change.
_PAUSE_S = 0.03
# Time from a shift of the demand to the new map, besides copying.
_REACTION_S = 1.0
# Expected strain is looked up this far ahead of a rising load.
_LOOK_AHEAD_S = 2.0
# Time over which the rise of the load is observed.
_RISE_S = 1.5
# A shift multiplies the skew of a map by up to this much. If the strain stays
# below a limit even then, readings take place less often.
_SHIFT_SKEW_RATIO = 3.0
_URGENT_PRESSURE = 0.4
_PATIENT_INTERVAL_S = 0.5
# Below this skew, no plan gains enough.
_LEVEL_SKEW = 1.4
# Time for which a crest of the load is expected to return.
_CREST_MEMORY_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """When the demand for the experts of a service is read and followed.

    Attributes:
        is_quick: Whether the ranks copy so quickly that each demand is
            followed.
        interval_s: Time between two readings.
        busy_strain: Expected strain above which demand is read. The strain is
            the iteration time over the longest inter-event gap that is on time.
        min_pressure: Lowest strain, after the demand has had its effect, that
            makes a change worth its copying.
        min_gain: Share by which a new map has to reduce the skew.
        min_choices: Mean number of choices for each expert below which counts
            are not used.
        lead_s: Time within which all ranks of a group are expected to be armed.
        postponed_iterations: Iterations by which a change is postponed whose
            iteration has begun too early, for each try.
        backoff_s: Delay after a change that did not take effect, for each
            consecutive failure.
    """

    is_quick: bool
    interval_s: float
    busy_strain: float
    min_pressure: float
    min_gain: float
    min_choices: int
    lead_s: float
    postponed_iterations: int
    backoff_s: float


# Far above a strain of 0.6, the copying of experts would make streams late by
# itself; below it, even a very uneven load makes no answer late. A change that
# gains less than a fifth costs more than it gains, because copying slows all
# iterations down for a second or two.
_UNHURRIED = Schedule(
    is_quick=False,
    interval_s=1.0,
    busy_strain=0.6,
    min_pressure=0.0,
    min_gain=0.2,
    min_choices=20,
    lead_s=0.4,
    postponed_iterations=40,
    backoff_s=3.0,
)
# A crest may follow a strain of 0.3 within the time of one change.
_QUICK = Schedule(
    is_quick=True,
    interval_s=0.25,
    busy_strain=0.3,
    min_pressure=0.4,
    min_gain=0.2,
    min_choices=6,
    lead_s=0.15,
    postponed_iterations=4,
    backoff_s=1.0,
)


def schedule(longest_copy_s: float) -> Schedule:
    """Returns when the demand of a group is read and followed.

    Args:
        longest_copy_s: Time that a rank needs to copy all experts that it may
            take in one change.
    """
    return _QUICK if longest_copy_s <= _QUICK_COPY_S else _UNHURRIED


def reading_interval_s(schedule: Schedule, strain: "ExpectedStrain") -> float:
    """Returns the time until the demand of a group is to be read again.

    Args:
        schedule: When the demand is followed.
        strain: Strain that the group is expected to be under.
    """
    is_urgent = strain.pressure(_SHIFT_SKEW_RATIO) >= _URGENT_PRESSURE
    if is_urgent or not schedule.is_quick:
        return schedule.interval_s
    return _PATIENT_INTERVAL_S


def needs_plan(schedule: Schedule, skew: float, pressure: float) -> bool:
    """Tells whether a plan for the present demand could pay.

    Args:
        schedule: When the demand is followed.
        skew: Skew of the map in force under the present demand.
        pressure: Strain after the demand has had its effect.
    """
    if not schedule.is_quick:
        return True
    return skew > _LEVEL_SKEW and pressure >= schedule.min_pressure


def pays(
    schedule: Schedule,
    old_skew: float,
    new_skew: float,
    copy_s: float,
    lasting_s: float,
    pressure: float,
) -> bool:
    """Tells whether a change saves enough time of iterations.

    Args:
        schedule: When the demand is followed.
        old_skew: Skew of the map in force under the present demand.
        new_skew: Skew of the new map.
        copy_s: Time that the slowest rank needs to copy its new experts.
        lasting_s: Time that a demand lasts.
        pressure: Strain after the demand has had its effect.
    """
    if new_skew >= old_skew * (1 - schedule.min_gain):
        return False
    if not schedule.is_quick:
        return True
    saved_share = 1 - new_skew / old_skew
    if saved_share * pressure < _MIN_RELIEF:
        return False
    saved_s = saved_share * max(0.0, lasting_s - copy_s - _REACTION_S)
    return saved_s > _MIN_RETURN * (_COPY_SLOWDOWN * copy_s + _PAUSE_S)


class ExpectedStrain:
    """Strain that a group is expected to be under.

    The load comes in waves: a crest is expected to return, and a rise to go on.
    Demand is read while a crest may return, so that it is known when the load
    rises. A change is made for the load that is there when the change ends.
    """

    __slots__ = ("_samples",)

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def observe(self, strain: float, now_s: float) -> float:
        """Adds the present strain and returns the expected one.

        Args:
            strain: The present strain.
            now_s: The current time.
        """
        samples = self._samples
        samples.append((now_s, strain))
        while samples[0][0] < now_s - _CREST_MEMORY_S:
            samples.popleft()
        return max(max(each[1] for each in samples), self._near())

    def pressure(self, skew_ratio: float) -> float:
        """Returns the strain after a shift of the demand has had its effect.

        The time of an idle iteration does not depend on the demand; the lowest
        strain of late stands for it.

        Args:
            skew_ratio: Skew of the map in force under the present demand over
                the skew that the observed iterations had.
        """
        if not self._samples:
            return 0.0
        lowest = min(each[1] for each in self._samples)
        return lowest + (self._near() - lowest) * max(1.0, skew_ratio)

    def lengthening(self, skew_ratio: float) -> float:
        """Returns how many times longer iterations become after a shift.

        Args:
            skew_ratio: As for ``pressure``.
        """
        if not self._samples or not self._samples[-1][1]:
            return 1.0
        lowest = min(each[1] for each in self._samples)
        idle_share = lowest / self._samples[-1][1]
        return idle_share + (1 - idle_share) * max(1.0, skew_ratio)

    def _near(self) -> float:
        """Returns the strain when a change that begins now would end."""
        now_s, strain = self._samples[-1]
        recent = [each for each in self._samples if each[0] >= now_s - _RISE_S]
        first_s, first_strain = recent[0]
        if now_s <= first_s:
            return strain
        rise = max(0.0, strain - first_strain) / (now_s - first_s)
        return strain + rise * _LOOK_AHEAD_S
