"""Follows the declarations in the log and those received from peers.

Every daemon has one ``DeclarationFeed``. Entries read the log all the time.
Agents get the declarations through the links to their entries and read the log
only if no entry has recently confirmed that they are up to date.
"""

import collections
import random
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from godwitdale_declarations import fold as fold_lib
from godwitdale_declarations import records
from godwitdale_declarations import view as view_lib
from godwitdale_link import messages
from godwitdale_observe import logs
from godwitdale_platform import log as log_lib
from godwitdale_routing import retries
from godwitdale_verdicts import exceptions

STREAM = "declarations"
_LONG_POLL_S = 5.0
_BACKOFF_BASE_S = 0.2
_MAX_BACKOFF_S = 3.0
_MAX_AGE_WITHOUT_READ_S = 8.0
_RECORDS_PER_SNAPSHOT = 1000
_MAX_SNAPSHOT_DELAY_S = 30.0
_UNKNOWN_AGE_S = 1e9


class DeclarationFeed:
    """Keeps the fold of the declarations up to date and tracks its age.

    Attributes:
        fold: The fold of the declarations.
    """

    def __init__(
        self,
        log: log_lib.Log,
        clock: Any,
        rng: random.Random,
        always_reads_log: bool,
    ) -> None:
        """Creates a feed without any declarations.

        Args:
            log: The platform's log.
            clock: A Twisted ``IReactorTime``.
            rng: Source of jitter.
            always_reads_log: Whether to read the log even while peers keep
                this process up to date. Such processes also write snapshots.
        """
        self.fold = fold_lib.Fold()
        self._log = log
        self._clock = clock
        self._rng = rng
        self._always_reads_log = always_reads_log
        self._view_cache = view_lib.ViewCache(self.fold)
        self._fresh_at_s = -_UNKNOWN_AGE_S
        self._offset_history: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._last_snapshot_offset = 0
        self._is_snapshot_due = False
        self._is_snapshot_scheduled = False
        self._is_stopped = False
        self._events = logs.EventLog()
        self._is_log_available = True

    @property
    def view(self) -> view_lib.View:
        """The current declarations."""
        return self._view_cache.get()

    @property
    def age_s(self) -> float:
        """Time since this process was last certain to know all declarations."""
        return self._clock.seconds() - self._fresh_at_s

    @property
    def is_stale(self) -> bool:
        """Whether the declarations are too old to be used."""
        return self.age_s > self.view.policy.stale_limit_s

    @property
    def is_initialized(self) -> bool:
        """Whether all declarations have been known at least once."""
        return self._fresh_at_s > -_UNKNOWN_AGE_S

    def position(self) -> messages.Position:
        """Returns the position that messages to peers contain."""
        return messages.Position(self.fold.state.next_offset, self.age_s)

    def is_too_far_behind(
        self, position: messages.Position, catch_up_s: float
    ) -> bool:
        """Returns whether a peer is behind by more than a time limit.

        Args:
            position: The peer's position.
            catch_up_s: How long the peer may lack a record that this process
                has folded.
        """
        known_offset = 0
        limit_s = self._clock.seconds() - catch_up_s
        for noted_at_s, next_offset in self._offset_history:
            if noted_at_s <= limit_s:
                known_offset = max(known_offset, next_offset)
        return position.next_offset < known_offset

    def on_peer_position(self, position: messages.Position) -> bool:
        """Updates the age of the declarations from a peer's position.

        Returns:
            Whether the peer has declarations that this process lacks.
        """
        if position.next_offset > self.fold.state.next_offset:
            return True
        fresh_at_s = self._clock.seconds() - position.age_s
        self._fresh_at_s = max(self._fresh_at_s, fresh_at_s)
        return False

    def declarations_from(self, next_offset: int) -> messages.Declarations:
        """Returns the declarations from an offset on.

        They are records, or a snapshot if the records are no longer kept.
        """
        recent_records = self.fold.records_from(next_offset)
        if recent_records is not None:
            return messages.Declarations(recent_records, [])
        parts = self.fold.state.snapshot()
        encoded_parts = [records.encode(part) for part in parts]
        return messages.Declarations([], encoded_parts)

    def on_declarations(self, message: messages.Declarations) -> None:
        """Folds declarations from a peer; known ones have no effect."""
        if message.snapshot:
            self._adopt_snapshot(message.snapshot)
        for offset, data in message.records:
            self.fold.feed(offset, data)
        self._record_progress()

    async def run(self) -> None:
        """Reads the log until ``stop`` is called."""
        failures = 0
        while not self._is_stopped:
            if (
                not self._always_reads_log
                and self.age_s < _MAX_AGE_WITHOUT_READ_S
            ):
                await self._sleep(_MAX_AGE_WITHOUT_READ_S)
                continue
            try:
                await self._read_once()
                failures = 0
            except exceptions.PlatformUnavailableError as error:
                failures += 1
                self._log_outage(str(error))
                await self._sleep(
                    retries.backoff_s(
                        failures, _BACKOFF_BASE_S, _MAX_BACKOFF_S, self._rng
                    )
                )

    def stop(self) -> None:
        """Makes ``run`` return after the read in progress."""
        self._is_stopped = True

    def _sleep(self, delay_s: float) -> defer.Deferred[None]:
        return task.deferLater(self._clock, delay_s, lambda: None)

    async def _read_once(self) -> None:
        state = self.fold.state
        uses_long_poll = self._always_reads_log and self.is_initialized
        requested_at_s = self._clock.seconds()
        page = await self._log.read(
            STREAM, state.next_offset, _LONG_POLL_S if uses_long_poll else 0.0
        )
        for record in page.records:
            self._fold_record(record)
        self._record_progress()
        if self.fold.state.next_offset >= page.head:
            # The page may show the log as it was when the request was sent.
            self._fresh_at_s = max(self._fresh_at_s, requested_at_s)
        elif not page.records:
            await self._sleep(_BACKOFF_BASE_S)
        self._is_log_available = True
        if self._is_snapshot_due:
            await self._write_snapshot()

    def _fold_record(self, record: log_lib.Record) -> None:
        decision = self.fold.feed(record.offset, record.data)
        if isinstance(decision, fold_lib.Ignored):
            self._last_snapshot_offset = record.offset
            self._is_snapshot_due = False
        if isinstance(decision, fold_lib.Rejected):
            self._events.warning("declaration rejected", reason=decision.reason)

    def _adopt_snapshot(self, encoded_parts: list[bytes]) -> None:
        parts = []
        try:
            for data in encoded_parts:
                record = records.decode(data)
                if isinstance(record, records.SnapshotPart):
                    parts.append(record)
            self.fold.adopt(parts)
        except ValueError as error:
            self._events.warning("snapshot refused", reason=str(error))

    def _record_progress(self) -> None:
        next_offset = self.fold.state.next_offset
        if (
            not self._offset_history
            or self._offset_history[-1][1] < next_offset
        ):
            self._offset_history.append((self._clock.seconds(), next_offset))
            self._schedule_snapshot(next_offset)
        if len(self._offset_history) > _RECORDS_PER_SNAPSHOT:
            self._offset_history.popleft()

    def _schedule_snapshot(self, next_offset: int) -> None:
        records_since_snapshot = next_offset - self._last_snapshot_offset
        if not self._always_reads_log or self._is_snapshot_scheduled:
            return
        if records_since_snapshot >= _RECORDS_PER_SNAPSHOT:
            # The process with the shortest random delay writes the snapshot.
            # The others read that snapshot and do not write one.
            self._is_snapshot_scheduled = True
            self._clock.callLater(
                self._rng.uniform(0, _MAX_SNAPSHOT_DELAY_S),
                self._mark_snapshot_due,
            )

    def _mark_snapshot_due(self) -> None:
        self._is_snapshot_scheduled = False
        records_since_snapshot = (
            self.fold.state.next_offset - self._last_snapshot_offset
        )
        self._is_snapshot_due = records_since_snapshot >= _RECORDS_PER_SNAPSHOT

    async def _write_snapshot(self) -> None:
        self._is_snapshot_due = False
        for part in self.fold.state.snapshot():
            await self._log.append(STREAM, records.encode(part))

    def _log_outage(self, detail: str) -> None:
        if self._is_log_available and not self._is_stopped:
            self._events.warning("log unavailable", detail=detail)
        self._is_log_available = False
