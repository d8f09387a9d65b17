"""Claims of one agent for idempotency keys in one partition of the log.

The module does no input or output. The caller appends the batch that
``take_batch`` returns to the log, reads the stream up to the offset of that
append, folds the records into the ledger and acts on the decisions. If the
answer to an append was lost, the batch is appended again: an event that is in
the log twice has no effect the second time.
"""

import dataclasses

from godwitdale_claims import ledger as ledger_lib
from godwitdale_claims import records


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """The attempt holds the key and may run once.

    Attributes:
        attempt: The attempt that made the claim.
    """

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Mismatch:
    """The key was used for a different request of the same account.

    Attributes:
        attempt: The attempt that made the claim.
    """

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class InUse:
    """Another attempt holds the key, and its outcome is not known.

    Attributes:
        attempt: The attempt that made the claim.
    """

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class KnownOutcome:
    """Another attempt holds the key, and its outcome is known.

    Attributes:
        attempt: The attempt that made the claim.
        outcome: The outcome of the attempt that holds the key.
    """

    attempt: str
    outcome: records.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Voided:
    """The attempt was voided before it claimed the key and must not run.

    Attributes:
        attempt: The attempt that made the claim.
    """

    attempt: str


Decision = Won | Mismatch | InUse | KnownOutcome | Voided


def decide(state: ledger_lib.KeyState, claim: records.Claim) -> Decision:
    """Returns the result of a claim that was read back from the log.

    Args:
        state: State of the key after the claim was folded in.
        claim: The claim.
    """
    if state.holder == claim.attempt:
        return Won(claim.attempt)
    if state.holder is None:
        return Voided(claim.attempt)
    if state.body_digest != claim.body_digest:
        return Mismatch(claim.attempt)
    if state.outcome is not None:
        return KnownOutcome(claim.attempt, state.outcome)
    return InUse(claim.attempt)


class Claimant:
    """Collects the claim events of one agent for one partition in batches.

    Attributes:
        ledger: The fold of the partition.
    """

    __slots__ = ("ledger", "_outbox", "_open", "_in_flight", "_uncertain")

    def __init__(self, window_s: float) -> None:
        """Creates a claimant without any claims.

        Args:
            window_s: How long the ledger remembers a key.
        """
        self.ledger = ledger_lib.Ledger(window_s)
        self._outbox: list[records.ClaimEvent] = []
        self._open: dict[str, records.Claim] = {}
        self._in_flight: list[records.ClaimEvent] = []
        self._uncertain: set[str] = set()

    @property
    def has_pending_events(self) -> bool:
        """Whether there are events to append."""
        return bool(self._outbox)

    def claim(self, claim: records.Claim) -> None:
        """Adds a claim to the next batch."""
        self._open[claim.attempt] = claim
        self._outbox.append(claim)

    def withdraw(self, attempt: str) -> None:
        """Withdraws the claim of an attempt that will never be started.

        A claim that may already be in the log is voided and released there.

        Args:
            attempt: The attempt.
        """
        claim = self._open.pop(attempt, None)
        if claim is None:
            return
        is_unsent = claim in self._outbox and claim not in self._in_flight
        if is_unsent and attempt not in self._uncertain:
            self._outbox.remove(claim)
            return
        self._outbox.append(records.Void(claim.key, attempt))
        self._outbox.append(records.Release(claim.key, attempt))

    def release(self, key: str, attempt: str) -> None:
        """Releases a key that was won by an attempt that never started."""
        self._outbox.append(records.Release(key, attempt))

    def finish(self, outcome: records.Outcome) -> None:
        """Adds the outcome of a won claim to the next batch."""
        self._outbox.append(outcome)

    def take_batch(self, max_events: int) -> list[records.ClaimEvent]:
        """Returns the events to append next.

        Only one batch may be in flight at a time.

        Args:
            max_events: Largest number of events in a batch.
        """
        self._in_flight = self._outbox[:max_events]
        return list(self._in_flight)

    def on_batch_appended(self) -> None:
        """Records that the batch in flight is in the log.

        The batch need not be at the end of the log; other records may follow.
        """
        del self._outbox[: len(self._in_flight)]
        self._in_flight = []

    def on_batch_uncertain(self) -> None:
        """Records that the batch in flight may or may not be in the log.

        The batch stays at the head of the outbox and is appended again.
        """
        self._uncertain.update(event.attempt for event in self._in_flight)
        self._in_flight = []

    def take_decisions(self) -> list[Decision]:
        """Returns the decisions on all open claims that the ledger contains."""
        decisions: list[Decision] = []
        for attempt, claim in list(self._open.items()):
            if claim in self._outbox:
                continue
            state = self.ledger.key_state(claim.key)
            if state is None:
                continue
            del self._open[attempt]
            decision = decide(state, claim)
            decisions.append(decision)
            self._void_duplicate(claim, decision)
        return decisions

    def _void_duplicate(self, claim: records.Claim, decision: Decision) -> None:
        """Keeps a duplicate of an uncertain claim from taking the key later."""
        is_uncertain = claim.attempt in self._uncertain
        self._uncertain.discard(claim.attempt)
        if is_uncertain and not isinstance(decision, Won):
            self._outbox.append(records.Void(claim.key, claim.attempt))
