"""Ids of server-sent events, after which a broken stream is resumed.

An id is kept as the bytes that were received, since an endpoint may compare
``Last-Event-Id`` as text. Only decimal numbers are ids here: without an order
it could not be told whether a resumed stream repeats an event.
"""

# Longest id that is sent in a header.
_MAX_ID_BYTES = 256


def parse(value: bytes) -> bytes | None:
    """Returns the id in a field of an event, or None if it has no order.

    Args:
        value: Value of the field, with white space around it.
    """
    event_id = value.strip()
    if not event_id.isdigit() or len(event_id) > _MAX_ID_BYTES:
        return None
    return event_id


def is_at_or_before(event_id: bytes, other: bytes) -> bool:
    """Returns whether an event comes at or before another one in its stream.

    Args:
        event_id: Id of the event.
        other: Id of the other event; callers may send ids of any form.
    """
    return other.isdigit() and _order(event_id) <= _order(other)


def _order(event_id: bytes) -> tuple[int, bytes]:
    digits = event_id.lstrip(b"0")
    return len(digits), digits
