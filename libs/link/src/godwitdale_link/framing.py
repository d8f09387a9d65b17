"""Length-prefixed messages over a Twisted transport."""

import struct
from typing import Any

import msgspec
from twisted.internet import interfaces
from twisted.internet import protocol

from godwitdale_link import messages

_PREFIX = struct.Struct("!I")


class MessageProtocol(protocol.Protocol):
    """Sends and receives messages.

    Subclasses set ``decoder`` and implement ``message_received``. A message
    that cannot be read ends the connection and nothing else.

    Attributes:
        received_bytes: Counts what has arrived.
        sent_bytes: Counts what was sent.
    """

    decoder: msgspec.msgpack.Decoder[Any]

    def __init__(self) -> None:
        """Starts with an empty buffer."""
        self._buffer = bytearray()
        self._ignored = False
        self.received_bytes = 0
        self.sent_bytes = 0

    def send(self, message: msgspec.Struct) -> None:
        """Sends one message."""
        self.send_batch([message])

    def send_batch(self, batch: list[msgspec.Struct]) -> None:
        """Sends several messages with one write."""
        if self.transport is None:
            return
        parts = []
        for message in batch:
            payload = messages.encoder.encode(message)
            parts.append(_PREFIX.pack(len(payload)))
            parts.append(payload)
        data = b"".join(parts)
        self.sent_bytes += len(data)
        self.transport.write(data)

    def discard_input(self) -> None:
        """Drops everything that arrives from now on."""
        self._ignored = True
        self._buffer.clear()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Takes bytes from the transport."""
        self.received_bytes += len(data)
        if self._ignored:
            return
        self._buffer += data
        try:
            self._read_messages()
        except (msgspec.MsgspecError, ValueError) as error:
            self.discard_input()
            self.on_protocol_error(str(error))
            self.abort()

    def abort(self) -> None:
        """Ends the connection at once, without waiting for the peer."""
        transport = self.transport
        if transport is not None:
            transport.abortConnection()  # type: ignore[attr-defined]

    def message_received(self, message: Any) -> None:
        """Takes one message."""
        raise NotImplementedError

    def on_protocol_error(self, detail: str) -> None:
        """Is told of a message that cannot be read."""

    def _read_messages(self) -> None:
        start = 0
        buffer = self._buffer
        while len(buffer) - start >= _PREFIX.size:
            (length,) = _PREFIX.unpack_from(buffer, start)
            if length > messages.MAX_MESSAGE_BYTES:
                raise ValueError(f"a message of {length} bytes")
            end = start + _PREFIX.size + length
            if len(buffer) < end:
                break
            payload = bytes(buffer[start + _PREFIX.size : end])
            start = end
            self.message_received(self.decoder.decode(payload))
            if self._ignored:
                return
        del buffer[:start]


def set_no_delay(transport: interfaces.ITransport | None) -> None:
    """Turns off the delay of small writes where the transport has one."""
    setter = getattr(transport, "setTcpNoDelay", None)
    if setter is not None:
        setter(True)
