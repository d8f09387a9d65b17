"""Keeps the background work of a process running after unexpected errors.

An error that a task does not handle itself ends one run of the task, never the
process. Restarting the process would not help: it would meet the same data.
"""

from collections.abc import Callable
from collections.abc import Coroutine
import random
from typing import Any

from twisted.internet import defer
from twisted.internet import task
from twisted.python import failure

from godwitdale_observe import logs

# Bounds of the delay before a failed task is started again.
_BACKOFF_BASE_S = 0.1
_MAX_BACKOFF_S = 2.0
# A task that ran for this long before it failed starts again without a longer
# delay than after its first failure.
_HEALTHY_S = 10.0


class Supervisor:
    """Runs tasks and periodic calls, and restarts those that fail.

    Logs ``task_failed`` with the traceback at each unexpected error.
    """

    __slots__ = ("_reactor", "_rng", "_log", "_loops", "_is_stopped")

    def __init__(
        self, reactor: Any, rng: random.Random, log: logs.EventLog
    ) -> None:
        """Creates a supervisor without tasks.

        Args:
            reactor: The Twisted reactor.
            rng: Source of jitter for the backoff.
            log: The event log.
        """
        self._reactor = reactor
        self._rng = rng
        self._log = log
        self._loops: list[task.LoopingCall] = []
        self._is_stopped = False

    def run(
        self, name: str, start: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Runs a task until it returns or ``stop`` is called.

        Args:
            name: Name of the task in the log.
            start: Starts the task. Called again after an unexpected error; the
                state that the task keeps elsewhere has to allow that.
        """
        defer.ensureDeferred(self._run(name, start))

    def call_every(
        self, name: str, interval_s: float, call: Callable[[], None]
    ) -> None:
        """Calls a function periodically until ``stop`` is called.

        Args:
            name: Name of the call in the log.
            interval_s: Time between two calls. An error does not change it.
            call: The function.
        """

        def call_and_log() -> None:
            try:
                call()
            except Exception:
                self._log_failure(name)

        loop = task.LoopingCall(call_and_log)
        loop.clock = self._reactor
        loop.start(interval_s, now=False)
        self._loops.append(loop)

    def stop(self) -> None:
        """Stops the periodic calls; tasks that fail later stay ended."""
        self._is_stopped = True
        for loop in self._loops:
            if loop.running:
                loop.stop()

    async def _run(
        self, name: str, start: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        failures = 0
        while not self._is_stopped:
            started_s = self._reactor.seconds()
            try:
                await start()
                return
            except Exception:
                self._log_failure(name)
            if self._reactor.seconds() - started_s >= _HEALTHY_S:
                failures = 0
            bound_s = min(_MAX_BACKOFF_S, _BACKOFF_BASE_S * 2**failures)
            failures += 1
            await task.deferLater(
                self._reactor, bound_s * (1 + self._rng.random()) / 2
            )

    def _log_failure(self, name: str) -> None:
        self._log.warning(
            "task_failed", task=name, detail=failure.Failure().getTraceback()
        )
