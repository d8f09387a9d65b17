"""An agent's claims on idempotency keys, stored in the platform's log."""

import collections
from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from godwitdale_claims import claimant as claimant_lib
from godwitdale_claims import ledger as ledger_lib
from godwitdale_claims import records
from godwitdale_platform import log as log_lib
from godwitdale_verdicts import decoding
from godwitdale_verdicts import exceptions

_MAX_EVENTS_PER_BATCH = 500
_RETRY_DELAY_S = 0.2
_MAX_RETRY_DELAY_S = 2.0
_MAX_OWN_OUTCOMES = 1000
_MAX_KEPT_BODY_BYTES = 16 * 1024


class LogUnavailableError(Exception):
    """Raised if the log accepts no claims, so the request was not started."""


class ClaimStore:
    """Claims of one agent, with one ``Claimant`` for each used partition."""

    def __init__(
        self,
        log: log_lib.Log,
        clock: Any,
        batch_interval_s: float,
        key_window_s: Callable[[], float],
    ) -> None:
        """Creates a store without claims.

        Args:
            log: The platform's log.
            clock: A Twisted ``IReactorTime``.
            batch_interval_s: Time for which events are collected before they
                are appended as one record.
            key_window_s: Returns how long keys are remembered. Each partition
                keeps the value from its first use.
        """
        self._log = log
        self._clock = clock
        self._batch_interval_s = batch_interval_s
        self._key_window_s = key_window_s
        self._partitions: dict[int, _Partition] = {}
        self._own_outcomes: collections.OrderedDict[str, records.Outcome] = (
            collections.OrderedDict()
        )

    @property
    def appends(self) -> int:
        """Number of appends to the log so far."""
        return sum(each.appends for each in self._partitions.values())

    @property
    def unsettled_claims(self) -> int:
        """Claims without a decision, plus partitions with unappended events."""
        return sum(each.unsettled_claims for each in self._partitions.values())

    async def claim(
        self, claim: records.Claim, timeout_s: float
    ) -> claimant_lib.Decision:
        """Claims a key and waits for the decision.

        Args:
            claim: The claim.
            timeout_s: Maximum time to wait, after which the claim is
                withdrawn.

        Raises:
            LogUnavailableError: There was no decision in time. The caller
                must not start the request.
        """
        partition = self._partition(claim.key)
        pending_decision = partition.claim(claim)
        pending_decision.addTimeout(timeout_s, self._clock)
        try:
            return await pending_decision
        except (defer.TimeoutError, defer.CancelledError) as error:
            partition.withdraw(claim.attempt)
            raise LogUnavailableError from error

    def known_state(self, key_digest: str) -> ledger_lib.KeyState | None:
        """Returns the last known state of a key without reading the log.

        Args:
            key_digest: Digest of account and idempotency key.
        """
        return self._partition(key_digest).claimant.ledger.key_state(key_digest)

    def own_outcome(
        self, key_digest: str, attempt: str
    ) -> records.Outcome | None:
        """Returns the outcome of a recent attempt of this agent, or None.

        Args:
            key_digest: Digest of account and idempotency key.
            attempt: The attempt that holds the key.
        """
        outcome = self._own_outcomes.get(key_digest)
        if outcome is None or outcome.attempt != attempt:
            return None
        return outcome

    async def wait_for_outcome(
        self, key_digest: str, timeout_s: float
    ) -> records.Outcome | None:
        """Waits for the outcome of the attempt that holds a key.

        Args:
            key_digest: Digest of account and idempotency key.
            timeout_s: Maximum time to wait.

        Returns:
            The outcome, or None if it is not known in time.
        """
        partition = self._partition(key_digest)
        deadline_at_s = self._clock.seconds() + timeout_s
        while True:
            await partition.refresh()
            state = partition.claimant.ledger.key_state(key_digest)
            if state is not None and state.outcome is not None:
                return state.outcome
            if self._clock.seconds() >= deadline_at_s:
                return None
            await task.deferLater(self._clock, _RETRY_DELAY_S, lambda: None)

    def record_outcome(
        self,
        key_digest: str,
        attempt: str,
        status: int,
        content_type: str,
        body: bytes,
    ) -> None:
        """Records the outcome of an attempt that holds its key.

        Args:
            key_digest: Digest of account and idempotency key.
            attempt: The attempt that ran.
            status: HTTP status of the answer, or 0 if the answer was lost.
            content_type: Content type of the answer.
            body: Body of the answer; it is not kept if it is too large.
        """
        kept_body = body if len(body) <= _MAX_KEPT_BODY_BYTES else None
        outcome = records.Outcome(
            key_digest, attempt, status, content_type, kept_body
        )
        self._own_outcomes[key_digest] = outcome
        if len(self._own_outcomes) > _MAX_OWN_OUTCOMES:
            self._own_outcomes.popitem(last=False)
        self._partition(key_digest).finish(outcome)

    def release(self, key_digest: str, attempt: str) -> None:
        """Releases a key whose request was certainly never started."""
        self._partition(key_digest).release(key_digest, attempt)

    def _partition(self, key_digest: str) -> "_Partition":
        number = records.partition_of(key_digest)
        partition = self._partitions.get(number)
        if partition is None:
            partition = _Partition(
                records.stream_of(number),
                self._log,
                self._clock,
                self._batch_interval_s,
                self._key_window_s(),
            )
            self._partitions[number] = partition
        return partition


class _Partition:
    """Appends to and reads the claim stream of one partition."""

    def __init__(
        self,
        stream: str,
        log: log_lib.Log,
        clock: Any,
        batch_interval_s: float,
        key_window_s: float,
    ) -> None:
        self.claimant = claimant_lib.Claimant(key_window_s)
        self.appends = 0
        self._stream = stream
        self._log = log
        self._clock = clock
        self._batch_interval_s = batch_interval_s
        self._pending_decisions: dict[
            str, defer.Deferred[claimant_lib.Decision]
        ] = {}
        self._is_running = False
        self._read_lock = defer.DeferredLock()

    @property
    def unsettled_claims(self) -> int:
        return len(self._pending_decisions) + int(
            self.claimant.has_pending_events
        )

    def claim(
        self, claim: records.Claim
    ) -> "defer.Deferred[claimant_lib.Decision]":
        pending_decision: defer.Deferred[claimant_lib.Decision] = (
            defer.Deferred()
        )
        self._pending_decisions[claim.attempt] = pending_decision
        self.claimant.claim(claim)
        self._schedule_run()
        return pending_decision

    def withdraw(self, attempt: str) -> None:
        self._pending_decisions.pop(attempt, None)
        self.claimant.withdraw(attempt)
        self._schedule_run()

    def release(self, key_digest: str, attempt: str) -> None:
        self.claimant.release(key_digest, attempt)
        self._schedule_run()

    def finish(self, outcome: records.Outcome) -> None:
        self.claimant.finish(outcome)
        self._schedule_run()

    async def refresh(self) -> None:
        """Reads new records and delivers decisions if the log is available."""
        try:
            await self._read_lock.run(
                lambda: defer.Deferred.fromCoroutine(self._read())
            )
        except exceptions.PlatformUnavailableError:
            return
        self._deliver_decisions()

    def _schedule_run(self) -> None:
        if not self._is_running and self.claimant.has_pending_events:
            self._is_running = True
            self._clock.callLater(self._batch_interval_s, self._start_run)

    def _start_run(self) -> None:
        defer.ensureDeferred(self._run())

    async def _run(self) -> None:
        failures = 0
        while self.claimant.has_pending_events:
            if await self._append_batch():
                failures = 0
                continue
            delay_s = min(_MAX_RETRY_DELAY_S, _RETRY_DELAY_S * 2**failures)
            failures += 1
            await task.deferLater(self._clock, delay_s, lambda: None)
        self._is_running = False
        self._schedule_run()

    async def _append_batch(self) -> bool:
        """Appends a batch and reads it back; returns whether this succeeded."""
        batch = self.claimant.take_batch(_MAX_EVENTS_PER_BATCH)
        self.appends += 1
        outcome = await self._log.append(self._stream, records.encode(batch))
        if not isinstance(outcome, log_lib.Appended):
            self.claimant.on_batch_uncertain()
            return False
        self.claimant.on_batch_appended()
        if not self._pending_decisions:
            return True
        return await self._read_back(outcome.offset)

    async def _read_back(self, offset: int) -> bool:
        while self.claimant.ledger.next_offset <= offset:
            try:
                await self._read_lock.run(
                    lambda: defer.Deferred.fromCoroutine(self._read())
                )
            except exceptions.PlatformUnavailableError:
                if not self._pending_decisions:
                    return False
                await task.deferLater(self._clock, _RETRY_DELAY_S, lambda: None)
        self._deliver_decisions()
        return True

    async def _read(self) -> None:
        start = self.claimant.ledger.next_offset
        for record in await log_lib.read_all(self._log, self._stream, start):
            try:
                events = records.decode(record.data)
            except decoding.InvalidDataError:
                events = []
            self.claimant.ledger.fold_record(
                record.offset, record.appended_at_s, events
            )

    def _deliver_decisions(self) -> None:
        for decision in self.claimant.take_decisions():
            pending_decision = self._pending_decisions.pop(
                decision.attempt, None
            )
            if pending_decision is not None:
                pending_decision.callback(decision)
