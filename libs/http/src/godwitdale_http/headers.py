"""Headers that belong to one connection."""

from collections.abc import Iterable

Headers = list[tuple[bytes, bytes]]

# RFC 9110, section 7.6.1, and the fields that frame a message.
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
    """Returns the first value of a header, or None.

    Args:
        headers: Names in lower case, and values.
        name: The name in lower case.
    """
    for each, value in headers:
        if each == name:
            return value
    return None


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Returns the headers that are passed on to the next hop.

    Args:
        headers: Names in lower case, and values.
    """
    listed = list(headers)
    dropped = set(HOP_BY_HOP)
    for name, value in listed:
        if name == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    return [(name, value) for name, value in listed if name not in dropped]
