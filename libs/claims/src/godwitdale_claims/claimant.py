"""An agent's side of the claims on one partition, without input or output.

The owner appends what ``take_batch`` returns, reads the stream up to the
offset of that append, feeds what it read and acts on the decisions. An append
whose answer was lost is settled the same way: the batch is appended again,
and an entry that stands twice has no effect the second time.
"""

import dataclasses

from godwitdale_claims import ledger as ledger_lib
from godwitdale_claims import records


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """The attempt holds the key and may run, once."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Mismatch:
    """The key belongs to another request of the same account."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class InUse:
    """Another attempt holds the key and its outcome is not known."""

    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class KnownOutcome:
    """Another attempt ran under the key; this is what became of it."""

    attempt: str
    outcome: records.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Voided:
    """The attempt was voided before it claimed, so it must not run."""

    attempt: str


Decision = Won | Mismatch | InUse | KnownOutcome | Voided


def decide(state: ledger_lib.KeyState, claim: records.Claim) -> Decision:
    """Tells what a claim that has been read back came to.

    Args:
        state: State of the key after the claim was folded.
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
    """Batches the entries of one agent for one partition.

    Attributes:
        ledger: The fold of the partition.
    """

    __slots__ = ("ledger", "_outbox", "_open", "_in_flight", "_doubtful")

    def __init__(self, window_s: float) -> None:
        """Starts with nothing claimed.

        Args:
            window_s: How long the ledger remembers a key.
        """
        self.ledger = ledger_lib.Ledger(window_s)
        self._outbox: list[records.ClaimEvent] = []
        self._open: dict[str, records.Claim] = {}
        self._in_flight: list[records.ClaimEvent] = []
        self._doubtful: set[str] = set()

    @property
    def has_pending_events(self) -> bool:
        """Whether a batch waits to be appended."""
        return bool(self._outbox)

    def claim(self, claim: records.Claim) -> None:
        """Adds a claim to the next batch."""
        self._open[claim.attempt] = claim
        self._outbox.append(claim)

    def withdraw(self, attempt: str) -> None:
        """Gives up an attempt that was never started and never will be.

        A claim that may be in the log already is released there.

        Args:
            attempt: The attempt.
        """
        claim = self._open.pop(attempt, None)
        if claim is None:
            return
        is_unsent = claim in self._outbox and claim not in self._in_flight
        if is_unsent and attempt not in self._doubtful:
            self._outbox.remove(claim)
            return
        self._outbox.append(records.Void(claim.key, attempt))
        self._outbox.append(records.Release(claim.key, attempt))

    def release(self, key: str, attempt: str) -> None:
        """Gives up a claim that was won but whose request never started."""
        self._outbox.append(records.Release(key, attempt))

    def finish(self, outcome: records.Outcome) -> None:
        """Adds the outcome of a won claim to the next batch."""
        self._outbox.append(outcome)

    def take_batch(self, max_events: int) -> list[records.ClaimEvent]:
        """Returns the entries to append next; one batch is out at a time.

        Args:
            max_events: How many entries a batch may have.
        """
        self._in_flight = self._outbox[:max_events]
        return list(self._in_flight)

    def on_batch_appended(self) -> None:
        """Notes that the batch is in the log, whatever may follow it."""
        del self._outbox[: len(self._in_flight)]
        self._in_flight = []

    def on_batch_uncertain(self) -> None:
        """Notes that the batch may or may not be in the log.

        It stays at the head of the outbox and is appended again.
        """
        self._doubtful.update(entry.attempt for entry in self._in_flight)
        self._in_flight = []

    def take_decisions(self) -> list[Decision]:
        """Decides every claim that the ledger has read back."""
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
            self._bar_late_copy(claim, decision)
        return decisions

    def _bar_late_copy(self, claim: records.Claim, decision: Decision) -> None:
        """Keeps a second copy of a lost claim from taking the key later."""
        is_doubtful = claim.attempt in self._doubtful
        self._doubtful.discard(claim.attempt)
        if is_doubtful and not isinstance(decision, Won):
            self._outbox.append(records.Void(claim.key, claim.attempt))
