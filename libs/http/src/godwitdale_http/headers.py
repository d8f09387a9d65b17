"""Functions for HTTP headers."""

from collections.abc import Iterable

Headers = list[tuple[bytes, bytes]]

# Headers that apply to one connection (RFC 9110, section 7.6.1), and headers
# that frame a message.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def first_value(
    headers: Iterable[tuple[bytes, bytes]], name: bytes
) -> bytes | None:
    """Returns the first value of a header, or None if it is absent.

    Args:
        headers: Pairs of a lower-case name and a value.
        name: Name of the header in lower case.
    """
    for each, value in headers:
        if each == name:
            return value
    return None


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Returns the headers that a proxy forwards to the next hop.

    Headers that ``Connection`` lists are dropped as well.

    Args:
        headers: Pairs of a lower-case name and a value.
    """
    pairs = list(headers)
    dropped = set(HOP_BY_HOP)
    for name, value in pairs:
        if name == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    return [(name, value) for name, value in pairs if name not in dropped]
