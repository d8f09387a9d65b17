"""One TCP connection to an agent, and the states of such connections."""

from collections.abc import Callable
from typing import Any
from typing import Protocol

import automat
from twisted.internet import protocol
from twisted.python import failure

from godwitdale_link import framing
from godwitdale_link import messages


class ConnectionOwner(Protocol):
    """What a connection tells its owner."""

    def connection_made(self, connection: "AgentConnection") -> None:
        """The connection stands."""

    def connection_lost(self, connection: "AgentConnection") -> None:
        """The connection has ended."""

    def message_received(
        self, connection: "AgentConnection", message: Any
    ) -> None:
        """A message has arrived."""


class AgentConnection(framing.MessageProtocol):
    """One TCP connection to the agent.

    Attributes:
        last_heard_s: When something arrived last.
        pinged_at_s: When a heartbeat was sent last.
        unanswered_since_s: When the first heartbeat was sent that nothing has
            followed, or None.
    """

    decoder = messages.agent_message_decoder

    def __init__(self, owner: ConnectionOwner) -> None:
        super().__init__()
        self._owner = owner
        self.last_heard_s = 0.0
        self.pinged_at_s = 0.0
        self.unanswered_since_s: float | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Is told that the connection stands."""
        framing.set_no_delay(self.transport)
        self._owner.connection_made(self)

    def message_received(self, message: Any) -> None:
        """Takes one message."""
        self._owner.message_received(self, message)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Is told that the connection has ended."""
        self._owner.connection_lost(self)


class MachineInputs(Protocol):
    """Inputs of the connection's state machine."""

    def wanted(self) -> None:
        """Something is to be sent."""

    def opened(self) -> None:
        """The agent has answered ``Hello``."""

    def broken(self) -> None:
        """The connection failed, was lost or fell silent."""

    def closed(self) -> None:
        """The link is not needed any more."""


class Opener:
    """Core of the state machine: opens connections."""

    def __init__(self, open_connection: Callable[[], None]) -> None:
        self.open_connection = open_connection


_builder = automat.TypeMachineBuilder(MachineInputs, Opener)
_idle = _builder.state("idle")
_connecting = _builder.state("connecting")
_open = _builder.state("open")
_waiting = _builder.state("waiting")
_shut = _builder.state("shut")


@_idle.upon(MachineInputs.wanted).to(_connecting)
@_waiting.upon(MachineInputs.wanted).to(_connecting)
def _start_connecting(inputs: MachineInputs, core: Opener) -> None:
    core.open_connection()


_connecting.upon(MachineInputs.wanted).loop().returns(None)
_open.upon(MachineInputs.wanted).loop().returns(None)
_shut.upon(MachineInputs.wanted).loop().returns(None)
_connecting.upon(MachineInputs.opened).to(_open).returns(None)
for _state in (_idle, _waiting, _shut):
    _state.upon(MachineInputs.broken).loop().returns(None)
for _state in (_connecting, _open):
    _state.upon(MachineInputs.broken).to(_waiting).returns(None)
for _state in (_idle, _connecting, _open, _waiting):
    _state.upon(MachineInputs.closed).to(_shut).returns(None)
_shut.upon(MachineInputs.closed).loop().returns(None)
_shut.upon(MachineInputs.opened).loop().returns(None)
Machine = _builder.build()
