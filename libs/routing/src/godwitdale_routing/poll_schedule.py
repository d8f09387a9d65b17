"""Schedule of the long polls of the platform's store by the entries.

Every entry follows the configuration and the endpoints in this store with long
polls, and a store may fail to end a poll after a change. The ends of the polls
are therefore spread over the entries: one entry soon notices the change and
notifies the others, so that no entry has to poll often.
"""

# Longest timeout of one poll. It is below the limit of the store. It is also
# short enough for a single entry: if the store fails to end a poll after a
# change, the entry notices the change with its next poll.
_MAX_TIMEOUT_S = 25.0


def poll_timeout_s(
    interval_s: float, index: int, count: int, has_changes: bool
) -> float:
    """Returns the timeout of the next poll of an entry.

    Args:
        interval_s: Time from the end of any entry's poll to the end of the
            next poll of another entry, once the polls are spread.
        index: Index of this entry among the entries, from 0.
        count: Number of entries.
        has_changes: Whether the last poll returned changes or was interrupted.
            In that case, the polls of all entries ended together and have to be
            spread again.
    """
    intervals = index + 1 if has_changes else count
    return min(_MAX_TIMEOUT_S, interval_s * intervals)
