"""Counts the callers that are refused or cut for what they send or read."""

import collections

from godwitdale_observe import logs

# Interval between two lines in the log for the same reason.
_LOG_INTERVAL_S = 1.0


class CallerRejections:
    """Counts rejections by reason, and logs ``caller_rejected`` now and then.

    A crowd of callers could otherwise fill the log.
    """

    __slots__ = ("_log", "_logged_s", "_unlogged")

    def __init__(self, log: logs.EventLog) -> None:
        """Creates a count of no rejections.

        Args:
            log: The event log.
        """
        self._log = log
        self._logged_s: dict[str, float] = {}
        self._unlogged: collections.Counter[str] = collections.Counter()

    def record(self, reason: str, now_s: float) -> None:
        """Records one rejection.

        Args:
            reason: HTTP status of the refusal, or what there was too much of.
            now_s: The current time.
        """
        logged_s = self._logged_s.get(reason)
        if logged_s is not None and now_s - logged_s < _LOG_INTERVAL_S:
            self._unlogged[reason] += 1
            self._log.counts["caller_rejected", reason] += 1
            return
        self._logged_s[reason] = now_s
        more = self._unlogged.pop(reason, 0)
        self._log.info("caller_rejected", reason=reason, not_logged=more)
