"""Life cycle of a daemon.

A daemon is starting, ready, draining or stopped. While it drains, it waits for
its requests in flight. A second request to stop aborts these requests.
"""

from collections.abc import Callable
from typing import Any
from typing import Protocol

import automat

from godwitdale_observe import logs

# Interval between checks for requests in flight. Also the delay after they were
# aborted, and the delay between closing and stopping the reactor.
_CHECK_INTERVAL_S = 0.05
_MIN_DRAIN_S = 0.2


class Daemon(Protocol):
    """A process whose life cycle is managed."""

    def drain(self) -> None:
        """Stops accepting new requests."""

    def in_flight(self) -> int:
        """Returns the number of requests in flight."""

    def abort_requests(self) -> None:
        """Ends all requests in flight, each with a truthful verdict."""

    def close(self) -> None:
        """Closes sockets and stops tasks."""


class Inputs(Protocol):
    """Inputs of the state machine."""

    def mark_ready(self) -> None:
        """The daemon can serve requests."""

    def stop(self) -> None:
        """The daemon has to stop: gracefully, or at once if called again."""

    def drained(self) -> None:
        """No request is in flight any more, or all of them were aborted."""


class _Core:
    """State and actions of the life cycle."""

    def __init__(
        self,
        daemon: Daemon,
        clock: Any,
        max_drain_s: float,
        stop_reactor: Any,
        min_drain_s: float,
    ) -> None:
        self.min_drain_s = min_drain_s
        self.daemon = daemon
        self.clock = clock
        self.max_drain_s = max_drain_s
        self.stop_reactor = stop_reactor
        self.state = "starting"
        self.drain_started_s = 0.0
        self.log = logs.EventLog()
        self.on_drained: Callable[[], None] = self.stop_now

    def start_drain(self) -> None:
        self.state = "draining"
        self.drain_started_s = self.clock.seconds()
        self.log.info("draining", in_flight=self.daemon.in_flight())
        self.daemon.drain()
        self.clock.callLater(self.min_drain_s, self.check_in_flight)

    def check_in_flight(self) -> None:
        if self.state != "draining":
            return
        elapsed_s = self.clock.seconds() - self.drain_started_s
        if self.daemon.in_flight() == 0:
            self.on_drained()
        elif elapsed_s >= self.max_drain_s:
            self.daemon.abort_requests()
            self.clock.callLater(_CHECK_INTERVAL_S, self.on_drained)
        else:
            self.clock.callLater(_CHECK_INTERVAL_S, self.check_in_flight)

    def abort_requests_now(self) -> None:
        self.log.warning("cutting", in_flight=self.daemon.in_flight())
        self.daemon.abort_requests()
        self.clock.callLater(_CHECK_INTERVAL_S, self.on_drained)

    def stop_now(self) -> None:
        if self.state == "stopped":
            return
        self.state = "stopped"
        self.daemon.close()
        self.log.info("stopped")
        self.clock.callLater(_CHECK_INTERVAL_S, self.stop_reactor)

    def set_ready(self) -> None:
        self.state = "ready"
        self.log.info("ready")


_builder = automat.TypeMachineBuilder(Inputs, _Core)
_starting = _builder.state("starting")
_ready = _builder.state("ready")
_draining = _builder.state("draining")
_cutting = _builder.state("cutting")
_stopped = _builder.state("stopped")


@_starting.upon(Inputs.mark_ready).to(_ready)
def _on_ready(inputs: Inputs, core: _Core) -> None:
    core.set_ready()


@_starting.upon(Inputs.stop).to(_draining)
@_ready.upon(Inputs.stop).to(_draining)
def _on_stop(inputs: Inputs, core: _Core) -> None:
    core.on_drained = inputs.drained
    core.start_drain()


@_draining.upon(Inputs.stop).to(_cutting)
def _on_second_stop(inputs: Inputs, core: _Core) -> None:
    core.on_drained = inputs.drained
    core.abort_requests_now()


@_draining.upon(Inputs.drained).to(_stopped)
@_cutting.upon(Inputs.drained).to(_stopped)
def _on_drained(inputs: Inputs, core: _Core) -> None:
    core.stop_now()


for _state in (_ready, _draining, _cutting, _stopped):
    _state.upon(Inputs.mark_ready).loop().returns(None)
for _state in (_cutting, _stopped):
    _state.upon(Inputs.stop).loop().returns(None)
for _state in (_starting, _ready, _stopped):
    _state.upon(Inputs.drained).loop().returns(None)
_Machine = _builder.build()


class LifeCycle:
    """Moves a daemon through its states. Signal handlers call ``stop``."""

    __slots__ = ("_core", "_machine")

    def __init__(
        self,
        daemon: Daemon,
        clock: Any,
        max_drain_s: float,
        stop_reactor: Callable[[], None],
        min_drain_s: float = _MIN_DRAIN_S,
    ) -> None:
        """Creates a life cycle in the state ``starting``.

        Args:
            daemon: The daemon.
            clock: A Twisted ``IReactorTime``.
            max_drain_s: Maximum time that a drain waits for requests in
                flight before it aborts them.
            stop_reactor: Ends the process.
            min_drain_s: Minimum duration of a drain, so that senders of new
                requests can notice it.
        """
        self._core = _Core(
            daemon, clock, max_drain_s, stop_reactor, min_drain_s
        )
        self._machine: Inputs = _Machine(self._core)

    @property
    def state(self) -> str:
        """Name of the current state."""
        return self._core.state

    def mark_ready(self) -> None:
        """Enters ``ready`` from ``starting``; has no effect afterwards."""
        self._machine.mark_ready()

    def stop(self) -> None:
        """Starts a graceful stop; a second call aborts requests in flight."""
        self._machine.stop()
