"""Schedule of the long polls with which the entries follow the store.

Every entry follows the store with long polls, and a store may fail to end a
poll after a change. The ends of the polls are therefore spread over the
entries: one entry soon notices the change and notifies the others, so that no
entry has to poll often.
"""

# Longest timeout of one poll. It is below the limit of the store, and short
# enough for a single entry to recover from a poll that never ends.
_MAX_TIMEOUT_S = 25.0


def poll_timeout_s(
    interval_s: float, index: int, count: int, has_changes: bool
) -> float:
    """Returns the timeout of the next poll of an entry.

    Args:
        interval_s: Time between the ends of two polls of any entries.
        index: Index of this entry among the entries, from 0.
        count: Number of entries.
        has_changes: Whether the last poll returned changes. In that case, the
            polls of all entries ended together and have to be spread again.
    """
    intervals = index + 1 if has_changes else count
    return min(_MAX_TIMEOUT_S, interval_s * intervals)
