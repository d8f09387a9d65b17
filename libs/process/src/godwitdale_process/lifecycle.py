"""The life of a daemon: starting, ready, draining, stopped."""

from collections.abc import Callable
from typing import Any
from typing import Protocol

import automat

from godwitdale_observe import logs

_CHECK_S = 0.05
_MIN_DRAIN_S = 0.2


class Daemon(Protocol):
    """What a daemon does at each turn of its life."""

    def drain(self) -> None:
        """Stops taking new work."""

    def in_flight(self) -> int:
        """Returns the number of requests that have not ended."""

    def abort_requests(self) -> None:
        """Ends all requests in flight with truthful verdicts."""

    def close(self) -> None:
        """Closes sockets and tasks."""


class Inputs(Protocol):
    """Inputs of the life cycle."""

    def started(self) -> None:
        """The daemon can serve."""

    def stop(self) -> None:
        """Someone asks for a graceful stop, or insists on it."""

    def drained(self) -> None:
        """No request is in flight any more, or the limit has passed."""


class _Core:
    """Actions of the life cycle."""

    def __init__(
        self,
        service: Daemon,
        clock: Any,
        limit_s: float,
        stop: Any,
        min_drain_s: float,
    ) -> None:
        self.min_drain_s = min_drain_s
        self.service = service
        self.clock = clock
        self.limit_s = limit_s
        self.stop_reactor = stop
        self.state = "starting"
        self.drain_started_s = 0.0
        self.events = logs.EventLog()
        self.drained: Callable[[], None] = self.stop_now

    def begin_drain(self) -> None:
        self.state = "draining"
        self.drain_started_s = self.clock.seconds()
        self.events.info("draining", in_flight=self.service.in_flight())
        self.service.drain()
        self.clock.callLater(self.min_drain_s, self.check)

    def check(self) -> None:
        if self.state != "draining":
            return
        took_s = self.clock.seconds() - self.drain_started_s
        if self.service.in_flight() == 0:
            self.drained()
        elif took_s >= self.limit_s:
            self.service.abort_requests()
            self.clock.callLater(_CHECK_S, self.drained)
        else:
            self.clock.callLater(_CHECK_S, self.check)

    def cut_now(self) -> None:
        self.events.warning("cutting", in_flight=self.service.in_flight())
        self.service.abort_requests()
        self.clock.callLater(_CHECK_S, self.drained)

    def stop_now(self) -> None:
        if self.state == "stopped":
            return
        self.state = "stopped"
        self.service.close()
        self.events.info("stopped")
        self.clock.callLater(_CHECK_S, self.stop_reactor)

    def ready(self) -> None:
        self.state = "ready"
        self.events.info("ready")


_builder = automat.TypeMachineBuilder(Inputs, _Core)
_starting = _builder.state("starting")
_ready = _builder.state("ready")
_draining = _builder.state("draining")
_cutting = _builder.state("cutting")
_stopped = _builder.state("stopped")


@_starting.upon(Inputs.started).to(_ready)
def _on_started(inputs: Inputs, core: _Core) -> None:
    core.ready()


@_starting.upon(Inputs.stop).to(_draining)
@_ready.upon(Inputs.stop).to(_draining)
def _on_stop(inputs: Inputs, core: _Core) -> None:
    core.drained = inputs.drained
    core.begin_drain()


@_draining.upon(Inputs.stop).to(_cutting)
def _on_second_stop(inputs: Inputs, core: _Core) -> None:
    core.drained = inputs.drained
    core.cut_now()


@_draining.upon(Inputs.drained).to(_stopped)
@_cutting.upon(Inputs.drained).to(_stopped)
def _on_drained(inputs: Inputs, core: _Core) -> None:
    core.stop_now()


for _state in (_ready, _draining, _cutting, _stopped):
    _state.upon(Inputs.started).loop().returns(None)
for _state in (_cutting, _stopped):
    _state.upon(Inputs.stop).loop().returns(None)
for _state in (_starting, _ready, _stopped):
    _state.upon(Inputs.drained).loop().returns(None)
_Machine = _builder.build()


class LifeCycle:
    """Drives a service through its life; signals call ``stop``."""

    __slots__ = ("_core", "_machine")

    def __init__(
        self,
        service: Daemon,
        clock: Any,
        limit_s: float,
        stop_reactor: Callable[[], None],
        min_drain_s: float = _MIN_DRAIN_S,
    ) -> None:
        """Starts in the state ``starting``.

        Args:
            service: The daemon.
            clock: A Twisted ``IReactorTime``.
            limit_s: Time that requests in flight get at a stop.
            stop_reactor: Ends the process.
            min_drain_s: Time that a drain takes at least, so that whoever
                sends new work can notice.
        """
        self._core = _Core(service, clock, limit_s, stop_reactor, min_drain_s)
        self._machine: Inputs = _Machine(self._core)

    @property
    def state(self) -> str:
        """The name of the present state."""
        return self._core.state

    def mark_ready(self) -> None:
        """Is told that the daemon can serve."""
        self._machine.started()

    def stop(self) -> None:
        """Begins a graceful stop; a second call cuts it short."""
        self._machine.stop()
