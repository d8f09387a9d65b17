"""Following the declarations, from the log and from peers.

Every process that runs long has one ``DeclarationFeed``. Entries read the log
all the time. Agents are told by their entries' heartbeats and read the log
only when no entry has told them anything fresh.
"""

import collections
import random
from typing import Any

import msgspec
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
_BACKOFF_MOST_S = 3.0
_FRESH_ENOUGH_S = 8.0
_SNAPSHOT_EVERY_RECORDS = 1000
_SNAPSHOT_SPREAD_S = 30.0
_NEVER_S = 1e9


class DeclarationFeed:
    """Keeps the fold up to date and knows how fresh it is.

    Attributes:
        fold: The declarations.
    """

    def __init__(
        self,
        log: log_lib.Log,
        clock: Any,
        rng: random.Random,
        always_reads_log: bool,
    ) -> None:
        """Starts from nothing.

        Args:
            log: The platform's log.
            clock: A Twisted ``IReactorTime``.
            rng: Source of jitter.
            always_reads_log: Whether to read the log also while peers keep this
                process fresh; such processes write the snapshots, too.
        """
        self.fold = fold_lib.Fold()
        self._log = log
        self._clock = clock
        self._rng = rng
        self._always_reads_log = always_reads_log
        self._views = view_lib.ViewCache(self.fold)
        self._fresh_at_s = -_NEVER_S
        self._milestones: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._last_snapshot = 0
        self._snapshot_due = False
        self._snapshot_planned = False
        self._stopped = False
        self._events = logs.EventLog()
        self._log_is_up = True

    @property
    def view(self) -> view_lib.View:
        """What is declared now."""
        return self._views.get()

    @property
    def age_s(self) -> float:
        """How long ago this process surely knew everything."""
        return self._clock.seconds() - self._fresh_at_s

    @property
    def is_stale(self) -> bool:
        """Whether the declarations are too old to be served."""
        return self.age_s > self.view.policy.stale_limit_s

    @property
    def is_initialized(self) -> bool:
        """Whether the declarations have been complete at least once."""
        return self._fresh_at_s > -_NEVER_S

    def position(self) -> messages.Position:
        """Returns what messages to peers carry."""
        return messages.Position(self.fold.state.next_offset, self.age_s)

    def is_too_far_behind(
        self, position: messages.Position, catch_up_s: float
    ) -> bool:
        """Tells whether a peer lacks what has been known here for long.

        Args:
            position: The peer's position.
            catch_up_s: How long it may lack it.
        """
        known = 0
        limit_s = self._clock.seconds() - catch_up_s
        for noted_s, next_offset in self._milestones:
            if noted_s <= limit_s:
                known = max(known, next_offset)
        return position.next_offset < known

    def on_peer_position(self, position: messages.Position) -> bool:
        """Learns from a peer's position.

        Returns:
            Whether the peer has declarations that this process lacks.
        """
        if position.next_offset > self.fold.state.next_offset:
            return True
        fresh_at_s = self._clock.seconds() - position.age_s
        self._fresh_at_s = max(self._fresh_at_s, fresh_at_s)
        return False

    def declarations_from(self, next_offset: int) -> messages.Declarations:
        """Returns what a peer lacks, as records or as a snapshot."""
        found = self.fold.records_from(next_offset)
        if found is not None:
            return messages.Declarations(found, [])
        parts = self.fold.state.snapshot()
        encoded = [records.encode(part) for part in parts]
        return messages.Declarations([], encoded)

    def declarations_received(self, message: messages.Declarations) -> None:
        """Folds what a peer sent; what is known already changes nothing."""
        if message.snapshot:
            self._adopt(message.snapshot)
        for offset, data in message.records:
            self.fold.feed(offset, data)
        self._note_progress()

    async def run(self) -> None:
        """Follows the log until ``stop``."""
        failures = 0
        while not self._stopped:
            if not self._always_reads_log and self.age_s < _FRESH_ENOUGH_S:
                await self._sleep(_FRESH_ENOUGH_S)
                continue
            try:
                await self._read_once()
                failures = 0
            except exceptions.PlatformUnavailableError as error:
                failures += 1
                self._note_outage(str(error))
                await self._sleep(
                    retries.backoff_s(
                        failures, _BACKOFF_BASE_S, _BACKOFF_MOST_S, self._rng
                    )
                )

    def stop(self) -> None:
        """Ends ``run`` after the read that is under way."""
        self._stopped = True

    def _sleep(self, delay_s: float) -> defer.Deferred[None]:
        return task.deferLater(self._clock, delay_s, lambda: None)

    async def _read_once(self) -> None:
        state = self.fold.state
        is_waiting = self._always_reads_log and self.is_initialized
        asked_at_s = self._clock.seconds()
        page = await self._log.read(
            STREAM, state.next_offset, _LONG_POLL_S if is_waiting else 0.0
        )
        for record in page.records:
            self._feed(record)
        self._note_progress()
        if self.fold.state.next_offset >= page.head:
            # The page may be as old as the question.
            self._fresh_at_s = max(self._fresh_at_s, asked_at_s)
        elif not page.records:
            await self._sleep(_BACKOFF_BASE_S)
        self._log_is_up = True
        if self._snapshot_due:
            await self._write_snapshot()

    def _feed(self, record: log_lib.Record) -> None:
        decision = self.fold.feed(record.offset, record.data)
        if isinstance(decision, fold_lib.Ignored):
            self._last_snapshot = record.offset
            self._snapshot_due = False
        if isinstance(decision, fold_lib.Rejected):
            self._events.warning("declaration rejected", reason=decision.reason)

    def _adopt(self, encoded: list[bytes]) -> None:
        parts = []
        for data in encoded:
            record = records.decode(data)
            if isinstance(record, records.SnapshotPart):
                parts.append(record)
        try:
            self.fold.adopt(parts)
        except (ValueError, msgspec.MsgspecError) as error:
            self._events.warning("snapshot refused", reason=str(error))

    def _note_progress(self) -> None:
        next_offset = self.fold.state.next_offset
        if not self._milestones or self._milestones[-1][1] < next_offset:
            self._milestones.append((self._clock.seconds(), next_offset))
            self._plan_snapshot(next_offset)
        if len(self._milestones) > _SNAPSHOT_EVERY_RECORDS:
            self._milestones.popleft()

    def _plan_snapshot(self, next_offset: int) -> None:
        behind = next_offset - self._last_snapshot
        if not self._always_reads_log or self._snapshot_planned:
            return
        if behind >= _SNAPSHOT_EVERY_RECORDS:
            # Whoever draws the shortest delay writes; the rest see it come.
            self._snapshot_planned = True
            self._clock.callLater(
                self._rng.uniform(0, _SNAPSHOT_SPREAD_S), self._set_due
            )

    def _set_due(self) -> None:
        self._snapshot_planned = False
        behind = self.fold.state.next_offset - self._last_snapshot
        self._snapshot_due = behind >= _SNAPSHOT_EVERY_RECORDS

    async def _write_snapshot(self) -> None:
        self._snapshot_due = False
        for part in self.fold.state.snapshot():
            await self._log.append(STREAM, records.encode(part))

    def _note_outage(self, detail: str) -> None:
        if self._log_is_up and not self._stopped:
            self._events.warning("log unavailable", detail=detail)
        self._log_is_up = False
