"""One TCP connection to an agent, and its state machine."""

from collections.abc import Callable
from typing import Any
from typing import Protocol

import automat
from twisted.internet import protocol
from twisted.python import failure

from godwitdale_link import framing
from godwitdale_link import messages


class ConnectionOwner(Protocol):
    """Receives the events of a connection."""

    def connection_made(self, connection: "AgentConnection") -> None:
        """Called when the connection is established."""

    def connection_lost(self, connection: "AgentConnection") -> None:
        """Called when the connection has ended."""

    def message_received(
        self, connection: "AgentConnection", message: Any
    ) -> None:
        """Called for every message that arrives."""


class AgentConnection(framing.MessageProtocol):
    """Protocol of one TCP connection to an agent.

    Attributes:
        last_received_at_s: When the last message arrived.
        pinged_at_s: When the last heartbeat was sent.
        unanswered_since_s: When the first ``Hello`` or heartbeat was sent that
            no message from the agent has followed, or None.
    """

    decoder = messages.agent_message_decoder

    def __init__(self, owner: ConnectionOwner) -> None:
        super().__init__()
        self._owner = owner
        self.last_received_at_s = 0.0
        self.pinged_at_s = 0.0
        self.unanswered_since_s: float | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Notifies the owner that the connection is established."""
        framing.set_no_delay(self.transport)
        self._owner.connection_made(self)

    def message_received(self, message: Any) -> None:
        """Passes a message to the owner."""
        self._owner.message_received(self, message)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Notifies the owner that the connection has ended."""
        self._owner.connection_lost(self)


class ConnectionInputs(Protocol):
    """Inputs of the connection's state machine."""

    def connection_needed(self) -> None:
        """A connection is needed to send messages."""

    def connection_opened(self) -> None:
        """The agent has answered ``Hello`` with ``Welcome``."""

    def connection_failed(self) -> None:
        """The connection failed, was lost or a heartbeat timed out."""

    def link_closed(self) -> None:
        """The link is closed and must not connect again."""


class ConnectionOpener:
    """Opens connections for the state machine."""

    def __init__(self, open_connection: Callable[[], None]) -> None:
        self.open_connection = open_connection


_builder = automat.TypeMachineBuilder(ConnectionInputs, ConnectionOpener)
_idle = _builder.state("idle")
_connecting = _builder.state("connecting")
_open = _builder.state("open")
_waiting = _builder.state("waiting")
_shut = _builder.state("shut")


@_idle.upon(ConnectionInputs.connection_needed).to(_connecting)
@_waiting.upon(ConnectionInputs.connection_needed).to(_connecting)
def _start_connecting(inputs: ConnectionInputs, core: ConnectionOpener) -> None:
    core.open_connection()


_connecting.upon(ConnectionInputs.connection_needed).loop().returns(None)
_open.upon(ConnectionInputs.connection_needed).loop().returns(None)
_shut.upon(ConnectionInputs.connection_needed).loop().returns(None)
_connecting.upon(ConnectionInputs.connection_opened).to(_open).returns(None)
for _state in (_idle, _waiting, _shut):
    _state.upon(ConnectionInputs.connection_failed).loop().returns(None)
for _state in (_connecting, _open):
    _state.upon(ConnectionInputs.connection_failed).to(_waiting).returns(None)
for _state in (_idle, _connecting, _open, _waiting):
    _state.upon(ConnectionInputs.link_closed).to(_shut).returns(None)
_shut.upon(ConnectionInputs.link_closed).loop().returns(None)
_shut.upon(ConnectionInputs.connection_opened).loop().returns(None)
ConnectionMachine = _builder.build()
