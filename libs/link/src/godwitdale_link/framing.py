"""Length-prefixed messages over a Twisted transport."""

import struct
from typing import Any

import msgspec
from twisted.internet import interfaces
from twisted.internet import protocol

from godwitdale_link import messages
from godwitdale_verdicts import decoding

_LENGTH_PREFIX = struct.Struct("!I")


class MessageProtocol(protocol.Protocol):
    """Sends and receives messages.

    Subclasses set ``decoder`` and implement ``message_received``. A message
    that cannot be decoded aborts only the connection that it arrived on.

    Attributes:
        received_bytes: Number of bytes received.
        sent_bytes: Number of bytes sent.
    """

    decoder: decoding.Decoder[Any]

    def __init__(self) -> None:
        """Creates a protocol with an empty receive buffer."""
        self._buffer = bytearray()
        self._discards_input = False
        self.received_bytes = 0
        self.sent_bytes = 0

    def send(self, message: msgspec.Struct) -> None:
        """Sends one message."""
        self.send_batch([message])

    def send_batch(self, batch: list[msgspec.Struct]) -> None:
        """Sends several messages in a single write."""
        if self.transport is None:
            return
        parts = []
        for message in batch:
            payload = messages.encoder.encode(message)
            parts.append(_LENGTH_PREFIX.pack(len(payload)))
            parts.append(payload)
        data = b"".join(parts)
        self.sent_bytes += len(data)
        self.transport.write(data)

    def discard_input(self) -> None:
        """Discards all buffered input and everything that arrives later."""
        self._discards_input = True
        self._buffer.clear()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Processes bytes from the transport."""
        self.received_bytes += len(data)
        if self._discards_input:
            return
        self._buffer += data
        try:
            self._read_messages()
        except ValueError as error:
            self.discard_input()
            self.on_protocol_error(str(error))
            self.abort()

    def abort(self) -> None:
        """Closes the connection immediately, without waiting for the peer."""
        transport = self.transport
        if transport is not None:
            transport.abortConnection()  # type: ignore[attr-defined]

    def message_received(self, message: Any) -> None:
        """Processes one decoded message."""
        raise NotImplementedError

    def on_protocol_error(self, detail: str) -> None:
        """Called for a message that cannot be decoded, before the abort."""

    def _read_messages(self) -> None:
        start = 0
        buffer = self._buffer
        while len(buffer) - start >= _LENGTH_PREFIX.size:
            (length,) = _LENGTH_PREFIX.unpack_from(buffer, start)
            if length > messages.MAX_MESSAGE_BYTES:
                raise ValueError(f"message of {length} bytes exceeds the limit")
            end = start + _LENGTH_PREFIX.size + length
            if len(buffer) < end:
                break
            payload = bytes(buffer[start + _LENGTH_PREFIX.size : end])
            start = end
            self.message_received(self.decoder.decode(payload))
            if self._discards_input:
                return
        del buffer[:start]


def set_no_delay(transport: interfaces.ITransport | None) -> None:
    """Disables the delay of small writes where the transport supports it."""
    setter = getattr(transport, "setTcpNoDelay", None)
    if setter is not None:
        setter(True)
