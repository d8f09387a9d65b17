"""An agent's claims on idempotency keys, with the log behind them."""

import collections
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet import defer
from twisted.internet import task

from godwitdale_claims import claimant as claimant_lib
from godwitdale_claims import ledger as ledger_lib
from godwitdale_claims import records
from godwitdale_platform import log as log_lib
from godwitdale_verdicts import exceptions

_MOST_ENTRIES = 500
_RETRY_S = 0.2
_RETRY_MOST_S = 2.0
_MOST_OWN_OUTCOMES = 1000
_MOST_ANSWER_BYTES = 16 * 1024


class LogUnavailableError(Exception):
    """The log takes no claims; the request was not started."""


class ClaimStore:
    """Owns one ``Claimant`` for each partition that this agent has used."""

    def __init__(
        self,
        log: log_lib.Log,
        clock: Any,
        interval_s: float,
        window_s: Callable[[], float],
    ) -> None:
        """Starts without claims.

        Args:
            log: The platform's log.
            clock: A Twisted ``IReactorTime``.
            interval_s: Time over which entries are gathered into one append.
            window_s: Tells how long keys are remembered, as declared when a
                partition is first used.
        """
        self._log = log
        self._clock = clock
        self._interval_s = interval_s
        self._window_s = window_s
        self._partitions: dict[int, _Partition] = {}
        self._own_outcomes: collections.OrderedDict[str, records.Outcome] = (
            collections.OrderedDict()
        )

    @property
    def appends(self) -> int:
        """Counts the appends so far."""
        return sum(each.appends for each in self._partitions.values())

    @property
    def unsettled_claims(self) -> int:
        """Entries that are not yet known to be in the log."""
        return sum(each.unsettled for each in self._partitions.values())

    async def claim(
        self, claim: records.Claim, patience_s: float
    ) -> claimant_lib.Decision:
        """Claims a key and waits for the decision.

        Args:
            claim: The claim.
            patience_s: How long to wait; afterwards the claim is withdrawn.

        Raises:
            LogUnavailableError: There was no decision in time. The caller
                must not start the request.
        """
        partition = self._partition(claim.key)
        deciding = partition.claim(claim)
        deciding.addTimeout(patience_s, self._clock)
        try:
            return await deciding
        except (defer.TimeoutError, defer.CancelledError) as error:
            partition.withdraw(claim.attempt)
            raise LogUnavailableError from error

    def known_state(self, key: str) -> ledger_lib.KeyState | None:
        """Returns what this agent has read about a key, without the log.

        Args:
            key: Digest of account and key.
        """
        return self._partition(key).claimant.ledger.key_state(key)

    def own_outcome(self, key: str, attempt: str) -> records.Outcome | None:
        """Returns what an attempt of this agent came to, if it is recent.

        Args:
            key: Digest of account and key.
            attempt: The attempt that holds the key.
        """
        outcome = self._own_outcomes.get(key)
        if outcome is None or outcome.attempt != attempt:
            return None
        return outcome

    async def wait_for_outcome(
        self, key: str, patience_s: float
    ) -> records.Outcome | None:
        """Waits for the outcome of the attempt that holds a key.

        Args:
            key: Digest of account and key.
            patience_s: How long to wait.

        Returns:
            The outcome, or None where none is known in time.
        """
        partition = self._partition(key)
        until_s = self._clock.seconds() + patience_s
        while True:
            await partition.refresh()
            state = partition.claimant.ledger.key_state(key)
            if state is not None and state.outcome is not None:
                return state.outcome
            if self._clock.seconds() >= until_s:
                return None
            await task.deferLater(self._clock, _RETRY_S, lambda: None)

    def record_outcome(
        self, key: str, attempt: str, status: int, kind: str, body: bytes
    ) -> None:
        """Records what became of a won claim.

        Args:
            key: Digest of account and key.
            attempt: The attempt that ran.
            status: Status of the answer, 0 where it was lost.
            kind: Its content type.
            body: Its body; one that is too large is not kept.
        """
        kept = body if len(body) <= _MOST_ANSWER_BYTES else None
        outcome = records.Outcome(key, attempt, status, kind, kept)
        self._own_outcomes[key] = outcome
        if len(self._own_outcomes) > _MOST_OWN_OUTCOMES:
            self._own_outcomes.popitem(last=False)
        self._partition(key).finish(outcome)

    def release(self, key: str, attempt: str) -> None:
        """Gives a key back whose request certainly never started."""
        self._partition(key).release(key, attempt)

    def _partition(self, key: str) -> "_Partition":
        number = records.partition_of(key)
        found = self._partitions.get(number)
        if found is None:
            found = _Partition(
                records.stream_of(number),
                self._log,
                self._clock,
                self._interval_s,
                self._window_s(),
            )
            self._partitions[number] = found
        return found


class _Partition:
    """Appends and reads one claim stream, one step at a time."""

    def __init__(
        self,
        stream: str,
        log: log_lib.Log,
        clock: Any,
        interval_s: float,
        window_s: float,
    ) -> None:
        self.claimant = claimant_lib.Claimant(window_s)
        self.appends = 0
        self._stream = stream
        self._log = log
        self._clock = clock
        self._interval_s = interval_s
        self._waiting: dict[str, defer.Deferred[claimant_lib.Decision]] = {}
        self._is_running = False
        self._lock = defer.DeferredLock()

    @property
    def unsettled(self) -> int:
        return len(self._waiting) + int(self.claimant.has_pending_events)

    def claim(
        self, claim: records.Claim
    ) -> "defer.Deferred[claimant_lib.Decision]":
        deciding: defer.Deferred[claimant_lib.Decision] = defer.Deferred()
        self._waiting[claim.attempt] = deciding
        self.claimant.claim(claim)
        self._run_soon()
        return deciding

    def withdraw(self, attempt: str) -> None:
        self._waiting.pop(attempt, None)
        self.claimant.withdraw(attempt)
        self._run_soon()

    def release(self, key: str, attempt: str) -> None:
        self.claimant.release(key, attempt)
        self._run_soon()

    def finish(self, outcome: records.Outcome) -> None:
        self.claimant.finish(outcome)
        self._run_soon()

    async def refresh(self) -> None:
        """Reads what has been appended since the last read, if it can."""
        try:
            await self._lock.run(
                lambda: defer.Deferred.fromCoroutine(self._read())
            )
        except exceptions.PlatformUnavailableError:
            return
        self._settle()

    def _run_soon(self) -> None:
        if not self._is_running and self.claimant.has_pending_events:
            self._is_running = True
            self._clock.callLater(self._interval_s, self._start)

    def _start(self) -> None:
        defer.ensureDeferred(self._run())

    async def _run(self) -> None:
        failures = 0
        while self.claimant.has_pending_events:
            if await self._step():
                failures = 0
                continue
            delay_s = min(_RETRY_MOST_S, _RETRY_S * 2**failures)
            failures += 1
            await task.deferLater(self._clock, delay_s, lambda: None)
        self._is_running = False
        self._run_soon()

    async def _step(self) -> bool:
        """Appends one batch and reads it back; returns whether it could."""
        batch = self.claimant.take_batch(_MOST_ENTRIES)
        self.appends += 1
        outcome = await self._log.append(self._stream, records.encode(batch))
        if not isinstance(outcome, log_lib.Appended):
            self.claimant.on_batch_uncertain()
            return False
        self.claimant.on_batch_appended()
        if not self._waiting:
            return True
        return await self._read_back(outcome.offset)

    async def _read_back(self, offset: int) -> bool:
        while self.claimant.ledger.next_offset <= offset:
            try:
                await self._lock.run(
                    lambda: defer.Deferred.fromCoroutine(self._read())
                )
            except exceptions.PlatformUnavailableError:
                if not self._waiting:
                    return False
                await task.deferLater(self._clock, _RETRY_S, lambda: None)
        self._settle()
        return True

    async def _read(self) -> None:
        start = self.claimant.ledger.next_offset
        for record in await log_lib.read_all(self._log, self._stream, start):
            try:
                entries = records.decode(record.data)
            except msgspec.MsgspecError:
                entries = []
            self.claimant.ledger.fold_record(
                record.offset, record.appended_at_s, entries
            )

    def _settle(self) -> None:
        for decision in self.claimant.take_decisions():
            deciding = self._waiting.pop(decision.attempt, None)
            if deciding is not None:
                deciding.callback(decision)
