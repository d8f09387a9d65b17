"""Fold of a claim stream; every process computes the same state from it."""

import collections

from godwitdale_claims import records


class KeyState:
    """State of one key, according to the stream.

    Attributes:
        holder: The attempt that holds the key and may run, or None.
        body_digest: Digest of the holder's request.
        outcome: Outcome of the holder, or None while it is not known.
        voided: Attempts that can no longer become the holder.
        held_since_s: Timestamp of the claim that became the holder.
    """

    __slots__ = ("holder", "body_digest", "outcome", "voided", "held_since_s")

    def __init__(self) -> None:
        self.holder: str | None = None
        self.body_digest = ""
        self.outcome: records.Outcome | None = None
        self.voided: set[str] = set()
        self.held_since_s = 0.0

    def apply(self, appended_at_s: float, event: records.ClaimEvent) -> None:
        """Folds in one event; an event that comes too late has no effect.

        Args:
            appended_at_s: Timestamp of the event in the log.
            event: The event.
        """
        if isinstance(event, records.Claim):
            self._claim(appended_at_s, event)
        elif isinstance(event, records.Void):
            self._void(event)
        elif self.holder != event.attempt:
            return
        elif isinstance(event, records.Outcome):
            self.outcome = self.outcome or event
        elif self.outcome is None:
            self.voided.add(event.attempt)
            self.holder = None

    def _claim(self, appended_at_s: float, claim: records.Claim) -> None:
        if self.holder is None and claim.attempt not in self.voided:
            self.held_since_s = appended_at_s
            self.holder = claim.attempt
            self.body_digest = claim.body_digest

    def _void(self, void: records.Void) -> None:
        if self.holder != void.attempt:
            self.voided.add(void.attempt)


class Ledger:
    """State of the keys of one partition at an offset of its stream.

    Attributes:
        next_offset: First offset that has not been folded.
    """

    __slots__ = ("next_offset", "_window_s", "_keys", "_key_times")

    def __init__(self, window_s: float) -> None:
        """Creates an empty ledger.

        Args:
            window_s: How long a key is remembered after the last claim that
                took it, according to the timestamps of the log.
        """
        self.next_offset = 0
        self._window_s = window_s
        self._keys: dict[str, KeyState] = {}
        self._key_times: collections.deque[tuple[float, str]] = (
            collections.deque()
        )

    def __len__(self) -> int:
        return len(self._keys)

    def key_state(self, key: str) -> KeyState | None:
        """Returns the state of a key, or None if the key is not known."""
        return self._keys.get(key)

    def fold_record(
        self,
        offset: int,
        appended_at_s: float,
        events: list[records.ClaimEvent],
    ) -> None:
        """Folds in one log record.

        Args:
            offset: Offset of the record. Records below ``next_offset`` are
                ignored, as they are already folded in. Missing offsets are
                records that the retention of the log has removed.
            appended_at_s: Timestamp of the record in the log.
            events: The events in the record.
        """
        if offset < self.next_offset:
            return
        self.next_offset = offset + 1
        for event in events:
            state = self._keys.get(event.key)
            if state is None:
                state = self._keys[event.key] = KeyState()
                self._key_times.append((appended_at_s, event.key))
            state.apply(appended_at_s, event)
        self._remove_old_keys(appended_at_s)

    def _remove_old_keys(self, now_s: float) -> None:
        while (
            self._key_times and self._key_times[0][0] + self._window_s < now_s
        ):
            _, key = self._key_times.popleft()
            held_since_s = self._keys[key].held_since_s
            if held_since_s + self._window_s < now_s:
                del self._keys[key]
            else:
                self._key_times.append((held_since_s, key))
