"""The pure function that every process folds over a claim stream."""

import collections

from godwitdale_claims import records


class KeyState:
    """What the stream says about one key.

    Attributes:
        holder: The attempt that may run, or None.
        body_digest: Digest of the holder's request.
        outcome: What became of the holder, once it is known.
        voided: Attempts that can never become the holder.
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
        """Folds one event; an event that comes too late has no effect.

        Args:
            appended_at_s: The log's own timestamp of the event.
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
    """The keys of one partition, as of an offset of its stream.

    Attributes:
        next_offset: First offset that has not been folded.
    """

    __slots__ = ("next_offset", "_window_s", "_keys", "_ages")

    def __init__(self, window_s: float) -> None:
        """Starts empty.

        Args:
            window_s: How long a key is remembered after its latest claim
                that became the holder, by the timestamps of the log.
        """
        self.next_offset = 0
        self._window_s = window_s
        self._keys: dict[str, KeyState] = {}
        self._ages: collections.deque[tuple[float, str]] = collections.deque()

    def __len__(self) -> int:
        return len(self._keys)

    def key_state(self, key: str) -> KeyState | None:
        """Returns what is known of a key, or None where nothing is."""
        return self._keys.get(key)

    def fold_record(
        self,
        offset: int,
        appended_at_s: float,
        events: list[records.ClaimEvent],
    ) -> None:
        """Folds one log record.

        Args:
            offset: Its offset; records below ``next_offset`` are known
                already, and gaps are what retention has removed.
            appended_at_s: The log's own timestamp of the record.
            events: The events in it.
        """
        if offset < self.next_offset:
            return
        self.next_offset = offset + 1
        for entry in events:
            state = self._keys.get(entry.key)
            if state is None:
                state = self._keys[entry.key] = KeyState()
                self._ages.append((appended_at_s, entry.key))
            state.apply(appended_at_s, entry)
        self._forget(appended_at_s)

    def _forget(self, now_s: float) -> None:
        while self._ages and self._ages[0][0] + self._window_s < now_s:
            _, key = self._ages.popleft()
            held_since_s = self._keys[key].held_since_s
            if held_since_s + self._window_s < now_s:
                del self._keys[key]
            else:
                self._ages.append((held_since_s, key))
