"""Delays of the loop that runs all work of a process."""

import time
from typing import Any

from twisted.internet import task

from godwitdale_observe import logs

# Interval of the timer whose delay is observed.
_INTERVAL_S = 0.25
# Smallest delay that is logged. Callers of the most urgent requests would have
# noticed a longer one.
_LOGGED_DELAY_S = 0.25


class LoopDelay:
    """Observes how late a periodic timer of the process runs.

    Logs ``loop_delayed``. If the processor time is about as long as the delay,
    work of the process itself held up the loop. If it is much shorter, the
    process was not running.

    Attributes:
        highest_s: Longest delay since the last call of ``take_highest_s``.
    """

    __slots__ = ("highest_s", "_reactor", "_log", "_loop", "_last_s", "_cpu_s")

    def __init__(self, reactor: Any, log: logs.EventLog) -> None:
        """Creates an observer; ``start`` starts its timer.

        Args:
            reactor: The Twisted reactor.
            log: The event log.
        """
        self.highest_s = 0.0
        self._reactor = reactor
        self._log = log
        self._loop = task.LoopingCall(self._observe)
        self._loop.clock = reactor
        self._last_s = 0.0
        self._cpu_s = 0.0

    def start(self) -> None:
        """Starts the timer."""
        self._remember()
        self._loop.start(_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stops the timer."""
        if self._loop.running:
            self._loop.stop()

    def take_highest_s(self) -> float:
        """Returns the longest delay since the last call."""
        highest_s = self.highest_s
        self.highest_s = 0.0
        return highest_s

    def _observe(self) -> None:
        delay_s = self._reactor.seconds() - self._last_s - _INTERVAL_S
        self.highest_s = max(self.highest_s, delay_s)
        if delay_s >= _LOGGED_DELAY_S:
            self._log.warning(
                "loop_delayed",
                delay_s=round(delay_s, 3),
                cpu_s=round(time.process_time() - self._cpu_s, 3),
            )
        self._remember()

    def _remember(self) -> None:
        self._last_s = self._reactor.seconds()
        self._cpu_s = time.process_time()
