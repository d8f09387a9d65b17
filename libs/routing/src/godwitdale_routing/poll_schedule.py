"""How the entries share the work of watching the store.

Every entry follows the store by long polls, and a store may fail to wake one of
them. If the ends of the polls are spread over the entries, one of them notices
soon, and tells the others; none has to ask often itself.
"""

# Longest wait of one poll: below what the store allows, and short enough for a
# lone entry to recover from a poll that never ends.
_MOST_WAIT_S = 25.0


def poll_timeout_s(
    interval_s: float, rank: int, count: int, has_changes: bool
) -> float:
    """Returns how long the next poll of an entry may wait.

    Args:
        interval_s: Time between the ends of two polls, over all entries.
        rank: Place of this entry among them, from 0.
        count: Number of entries.
        has_changes: Whether the last poll brought changes; then all polls of
            the entries ended together and are spread anew.
    """
    turns = rank + 1 if has_changes else count
    return min(_MOST_WAIT_S, interval_s * turns)
