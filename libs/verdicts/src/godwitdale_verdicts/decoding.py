"""Decodes bytes that another party has written into checked values.

The types bound the values by ``msgspec.Meta``, such as ``Count`` and ``Port``.
The decoders bound size and nesting, also in fields that no type declares, and
report every kind of unusable bytes by the same error.
"""

import re
from typing import Annotated
from typing import Any
from typing import Generic
from typing import Protocol
from typing import TypeVar

import msgspec

_Value = TypeVar("_Value")
_Decoded = TypeVar("_Decoded", covariant=True)

# Nesting of a small JSON document. All processes that read a record have to
# agree whether it is valid; the interpreter's own limit depends on the caller.
MAX_RECORD_DEPTH = 64
# Strings, which may contain brackets, and brackets.
_NESTING_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
# Digits of the largest number that is read from text. Larger numbers of digits
# are slow to convert, and the interpreter refuses very long ones.
_MAX_DIGITS = 15
_MAX_PORT = 65535
_MAX_OCTET = 255

Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
"""Number of things, such as slots or experts, that a process keeps or uses."""

Serial = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
"""Number that grows, such as a version or an offset, or a time in ms."""

Port = Annotated[int, msgspec.Meta(ge=1, le=_MAX_PORT)]
"""TCP or UDP port."""

Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
"""Duration in milliseconds, at most eleven days."""

Amount = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
"""Size, rate or share without a sign."""


class InvalidDataError(ValueError):
    """Bytes of another party are not a valid value of the expected type."""


class _BytesDecoder(Protocol[_Decoded]):
    def decode(self, data: bytes, /) -> _Decoded: ...


class Decoder(Generic[_Value]):
    """Decodes values of one type."""

    __slots__ = ("_decoder", "_max_bytes", "_max_depth")

    def __init__(
        self,
        decoder: _BytesDecoder[_Value],
        max_bytes: int | None,
        max_depth: int | None,
    ) -> None:
        """Wraps a decoder of msgspec.

        Args:
            decoder: Decodes the format and checks the type.
            max_bytes: Largest size of a value, or None if the transport
                limits it.
            max_depth: Deepest nesting of a JSON document, or None to leave it
                to the interpreter, which costs no time.
        """
        self._decoder = decoder
        self._max_bytes = max_bytes
        self._max_depth = max_depth

    def decode(self, data: bytes) -> _Value:
        """Returns the value in some bytes.

        Args:
            data: The bytes.

        Raises:
            InvalidDataError: They contain no valid value of the type.
        """
        if self._max_bytes is not None and len(data) > self._max_bytes:
            raise InvalidDataError(f"{len(data)} bytes are too many")
        if self._max_depth is not None and _is_deeper(data, self._max_depth):
            raise InvalidDataError("the value is nested too deeply")
        try:
            return self._decoder.decode(data)
        except RecursionError as error:
            raise InvalidDataError("the value is nested too deeply") from error
        except (msgspec.MsgspecError, ValueError, OverflowError) as error:
            raise InvalidDataError(str(error)) from error


def json_decoder(
    value_type: Any, max_bytes: int | None = None, max_depth: int | None = None
) -> Decoder[Any]:
    """Returns a decoder of JSON documents of a type; see ``Decoder``."""
    return Decoder(msgspec.json.Decoder(value_type), max_bytes, max_depth)


def msgpack_decoder(
    value_type: Any, max_bytes: int | None = None
) -> Decoder[Any]:
    """Returns a decoder of MessagePack documents of a type."""
    return Decoder(msgspec.msgpack.Decoder(value_type), max_bytes, None)


def _is_deeper(data: bytes, max_depth: int) -> bool:
    """Returns whether a JSON document is nested more deeply than a limit."""
    if data.count(b"[") + data.count(b"{") <= max_depth:
        return False
    depth = 0
    for match in _NESTING_TOKENS.finditer(data):
        token = match.group()
        if token in (b"[", b"{"):
            depth += 1
            if depth > max_depth:
                return True
        elif token in (b"]", b"}"):
            depth -= 1
    return False


def parse_integer(text: bytes | str) -> int | None:
    """Returns a number without a sign, or None for any other text.

    Args:
        text: At most 15 ASCII digits, with white space around them.
    """
    digits = text.strip()
    if len(digits) > _MAX_DIGITS or not digits.isascii():
        return None
    return int(digits) if digits.isdigit() else None


def parse_ipv4(text: str) -> str:
    """Returns an IPv4 address in dotted notation.

    Args:
        text: The address.

    Raises:
        InvalidDataError: The text is not an IPv4 address.
    """
    octets = [parse_integer(octet) for octet in text.split(".")]
    if len(octets) != 4 or not all(
        octet is not None and octet <= _MAX_OCTET for octet in octets
    ):
        raise InvalidDataError(f"{text[:40]!r} is not an IPv4 address")
    return ".".join(str(octet) for octet in octets)


def parse_port(number: int | None) -> int:
    """Returns a TCP or UDP port.

    Args:
        number: The port, or None if the text held no number.

    Raises:
        InvalidDataError: The number is out of range.
    """
    if number is None or not 0 < number <= _MAX_PORT:
        raise InvalidDataError(f"the port is not in 1..{_MAX_PORT}")
    return number
