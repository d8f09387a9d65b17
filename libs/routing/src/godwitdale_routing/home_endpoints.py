"""Divides the endpoints of a service among the entries.

Load pattern: many entries before endpoints whose slots are nearly all taken.
What an entry knows of the others' requests is some broadcasts old. If all of
them choose the least loaded endpoint, those that choose within that time meet
at the same few free slots, and their requests wait there behind each other.
An entry that fills its home endpoints first meets the others only with what
does not fit there.
"""

from collections.abc import Iterable


def home_endpoints(
    endpoint_ids: Iterable[str], index: int, entry_count: int
) -> frozenset[str]:
    """Returns the endpoints that an entry fills first.

    Each endpoint is the home of one entry. Entries that disagree about each
    other or about the endpoints choose less well, never wrongly.

    Args:
        endpoint_ids: Ids of the endpoints of a service.
        index: Index of the entry among the entries, from 0.
        entry_count: Number of entries.
    """
    ordered = sorted(endpoint_ids)
    return frozenset(
        endpoint_id
        for position, endpoint_id in enumerate(ordered)
        if position * entry_count // len(ordered) == index
    )
