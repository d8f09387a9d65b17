"""Quarantine of prompt parts that may have crashed an endpoint.

Requests share parts of their prompts, and an engine may crash whenever it
begins to answer a prompt with a certain part. When an endpoint crashes, one of
the requests that it had not begun to answer may be the cause, and in it one of
the parts that no other answer has proven harmless. Requests that have all these
parts of one of them are refused for a while. After that, one request at a time
tries them.
"""

import collections
from collections.abc import Iterable
from collections.abc import Set
import dataclasses

# Requests that have all suspected parts of a request that may be the cause are
# refused for this long. Each further crash multiplies the time.
_QUARANTINE_S = 30.0
_QUARANTINE_GROWTH = 4
_MAX_QUARANTINE_S = 3600.0
# Requests that have only some of the suspected parts are refused for this long.
_PARTIAL_QUARANTINE_S = 1.0
# Only one entry tries suspected parts until the quarantine has lasted this many
# times as long. It may receive no request with them.
_OTHER_ENTRIES_FACTOR = 2
# Time within which the request that tries a suspected part should be answered.
_TRIAL_S = 2.0
# A crash with more suspected parts proves too little to refuse requests.
_MAX_SUSPECTED_PARTS = 8
# Two reports of a crash of the same endpoint mean the same crash if they are
# not further apart.
_SAME_CRASH_S = 2.0
_MAX_CRASHES = 64
_MAX_HARMLESS_PARTS = 8192


@dataclasses.dataclass(slots=True)
class Crash:
    """A crash of an endpoint.

    Attributes:
        endpoint: Id of the endpoint.
        at_s: When it crashed.
        suspects: For each request that may be the cause, its suspected parts.
    """

    endpoint: str
    at_s: float
    suspects: frozenset[frozenset[str]]

    @property
    def parts(self) -> frozenset[str]:
        """All suspected parts."""
        return frozenset[str]().union(*self.suspects)

    def may_be_caused_by(self, parts: Set[str]) -> bool:
        """Returns whether a request with these parts may cause it again."""
        return any(suspect <= parts for suspect in self.suspects)


class Quarantine:
    """Decides which requests are refused because of parts of their prompts."""

    __slots__ = ("_harmless", "_crashes", "_trial_ends_s", "_cleared")

    def __init__(self) -> None:
        # Keys in the order of their last use; the values have no meaning.
        self._harmless: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._crashes: list[Crash] = []
        self._trial_ends_s: dict[str, float] = {}
        # Harmless parts that were suspected, and when they were last suspected.
        self._cleared: dict[str, float] = {}

    @property
    def suspected_parts(self) -> set[str]:
        """The parts that are suspected at present."""
        return {part for crash in self._crashes for part in crash.parts}

    def crashes(self) -> list[Crash]:
        """Returns the crashes that suspected parts may have caused."""
        return list(self._crashes)

    def cleared_parts(self) -> list[str]:
        """Returns harmless parts that are or were suspected."""
        return list(self._cleared)

    def unproven(self, parts: Iterable[str]) -> frozenset[str]:
        """Returns the parts that no answer has proven harmless."""
        return frozenset(part for part in parts if part not in self._harmless)

    def record_harmless(self, parts: Iterable[str], now_s: float) -> bool:
        """Records that an endpoint has survived an answer to these parts.

        Args:
            parts: Shared parts of the prompt.
            now_s: The current time.

        Returns:
            Whether one of them was suspected.
        """
        suspected = self.suspected_parts
        was_suspected = False
        for part in parts:
            self._harmless[part] = None
            self._harmless.move_to_end(part)
            if part in suspected:
                self._clear(part, now_s)
                was_suspected = True
        while len(self._harmless) > _MAX_HARMLESS_PARTS:
            self._harmless.popitem(last=False)
        return was_suspected

    def record_crash(
        self,
        endpoint: str,
        requests: Iterable[Iterable[str]],
        at_s: float,
        now_s: float,
    ) -> bool:
        """Records a crash, or further requests that may be its cause.

        Args:
            endpoint: Id of the endpoint that crashed.
            requests: Shared parts of the prompts of the requests that it had
                not begun to answer.
            at_s: When it crashed.
            now_s: The current time.

        Returns:
            Whether this entry now suspects another request.
        """
        reported = [frozenset(parts) for parts in requests]
        for part in frozenset[str]().union(*reported):
            if part in self._harmless:
                self._cleared[part] = now_s
        unproven = {self.unproven(parts) for parts in reported}
        suspects = frozenset(parts for parts in unproven if parts)
        known = self._find(endpoint, at_s)
        if known is not None:
            suspects |= known.suspects
        crash = Crash(endpoint, at_s, suspects)
        if not suspects or len(crash.parts) > _MAX_SUSPECTED_PARTS:
            return False
        if known is None:
            self._crashes.append(crash)
            del self._crashes[:-_MAX_CRASHES]
            return True
        is_new = suspects != known.suspects
        known.suspects = suspects
        return is_new

    def may_crash(self, parts: Iterable[str]) -> bool:
        """Returns whether a request with these parts may have crashed one."""
        suspected = self.unproven(parts)
        return any(crash.may_be_caused_by(suspected) for crash in self._crashes)

    def wait_s(
        self, parts: Iterable[str], now_s: float, tries_parts: bool
    ) -> float:
        """Returns how long a request is refused, or 0 if it may be sent.

        Args:
            parts: Shared parts of the prompt of the request.
            now_s: The current time.
            tries_parts: Whether this entry tries parts after their quarantine.
        """
        suspected = self.suspected_parts.intersection(parts)
        if not suspected:
            return 0.0
        ends_s = max(
            self._quarantine_end_s(suspected, tries_parts),
            *(self._trial_ends_s.get(part, 0.0) for part in suspected),
        )
        return max(0.0, ends_s - now_s)

    def begin_trial(self, parts: Iterable[str], now_s: float) -> None:
        """Records that a request is sent, which tries suspected parts.

        Args:
            parts: Shared parts of the prompt of the request.
            now_s: The current time.
        """
        for part in self.suspected_parts.intersection(parts):
            self._trial_ends_s[part] = now_s + _TRIAL_S

    def expire(self, now_s: float) -> None:
        """Drops crashes and cleared parts that have no effect any more.

        Args:
            now_s: The current time.
        """
        self._crashes = [
            crash
            for crash in self._crashes
            if now_s - crash.at_s < _MAX_QUARANTINE_S
        ]
        for part, at_s in list(self._cleared.items()):
            if now_s - at_s > _QUARANTINE_S:
                del self._cleared[part]
        for part, end_s in list(self._trial_ends_s.items()):
            if now_s > end_s:
                del self._trial_ends_s[part]

    def _find(self, endpoint: str, at_s: float) -> Crash | None:
        for crash in self._crashes:
            if (
                crash.endpoint == endpoint
                and abs(crash.at_s - at_s) < _SAME_CRASH_S
            ):
                return crash
        return None

    def _clear(self, part: str, now_s: float) -> None:
        self._cleared[part] = now_s
        self._trial_ends_s.pop(part, None)
        for crash in self._crashes:
            remaining = {suspect - {part} for suspect in crash.suspects}
            crash.suspects = frozenset(each for each in remaining if each)
        self._crashes = [crash for crash in self._crashes if crash.suspects]

    def _quarantine_end_s(
        self, suspected: set[str], tries_parts: bool
    ) -> float:
        factor = 1 if tries_parts else _OTHER_ENTRIES_FACTOR
        caused = [
            crash
            for crash in self._crashes
            if crash.may_be_caused_by(suspected)
        ]
        partial_ends_s = [
            crash.at_s + _PARTIAL_QUARANTINE_S * factor
            for crash in self._crashes
            if crash.parts & suspected
        ]
        if not caused:
            return max(partial_ends_s, default=0.0)
        duration_s = min(
            _MAX_QUARANTINE_S,
            _QUARANTINE_S * _QUARANTINE_GROWTH ** (len(caused) - 1) * factor,
        )
        return max(crash.at_s for crash in caused) + duration_s
