"""Follows a compacted topic of the platform's store by long polls."""

from collections.abc import Callable
import dataclasses
import random
from typing import Any
from typing import Protocol

from twisted.internet import defer
from twisted.internet import task

from godwitdale_observe import logs
from godwitdale_routing import retries
from godwitdale_verdicts import exceptions

# Bounds of the backoff after a failed call. They are short so that a change is
# noticed well before the deadline by which it has to be in force.
_BACKOFF_BASE_S = 0.1
_MAX_BACKOFF_S = 0.8
# Delay of the next poll after one that returned records. A new record ends the
# polls of all entries, so that many records in a short time would cost a read
# for each record and each entry; those that come within the delay share one.
_COLLECT_S = 0.3
# Minimum time between two interrupted polls.
_MIN_INTERRUPT_INTERVAL_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record of a topic.

    Attributes:
        key: Key of the record.
        value: Value of the record, or None if the record deletes its key.
    """

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Result of one read.

    Attributes:
        records: Records in the order of their offsets.
        next_offset: Offset at which the next read begins.
        is_snapshot: Whether ``records`` holds the newest record of every key.
        end: End of the topic when it was read, or 0 if it is unknown. It is
            larger than ``next_offset`` if more records exist than fit.
    """

    records: list[Record]
    next_offset: int
    is_snapshot: bool = False
    end: int = 0


def ignore_answer() -> None:
    """Ignores that the store begins to answer."""


class Topic(Protocol):
    """Read access to one topic of the store.

    Both methods raise ``exceptions.PlatformUnavailableError`` if the store
    does not answer.

    Attributes:
        name: Name of the topic.
    """

    name: str

    async def read_newest(self) -> Page:
        """Returns the newest record of each key."""

    async def read(
        self,
        offset: int,
        wait_s: float,
        on_answer: Callable[[], None] = ignore_answer,
    ) -> Page | None:
        """Returns the records from an offset on.

        Args:
            offset: The first offset to return.
            wait_s: How long to wait for a record if there is none yet.
            on_answer: Called when the store begins to answer.

        Returns:
            The records, or None if the store no longer has the records from
            ``offset`` on.
        """


class TopicCopy(Protocol):
    """A local copy of a topic."""

    def apply(self, page: Page) -> None:
        """Applies the records of a page to the copy."""

    def confirm(self, as_of_s: float) -> None:
        """Called when the copy is known to have been up to date at a time.

        Args:
            as_of_s: The time.
        """


class TopicCopies:
    """Several copies of one topic, each of which takes some of its keys."""

    def __init__(self, *copies: TopicCopy) -> None:
        """Combines copies.

        Args:
            copies: Get each page in this order.
        """
        self._copies = copies

    def apply(self, page: Page) -> None:
        """Applies the records of a page to all copies."""
        for copy in self._copies:
            copy.apply(page)

    def confirm(self, as_of_s: float) -> None:
        """Tells all copies that they were up to date at a time.

        Args:
            as_of_s: The time.
        """
        for copy in self._copies:
            copy.confirm(as_of_s)


PollTimeout = Callable[[bool], float]
"""Returns the timeout of the next poll.

The argument tells whether the last poll ended early, because it returned
records or was interrupted.
"""


class TopicFollower:
    """Keeps a copy of a topic up to date.

    First reads the newest record of every key, then polls for later records.
    If many records are missing, it reads the newest record of every key again.

    Attributes:
        is_reachable: Whether the store answered the last call.
        reachable_since_s: When the store last became reachable again.
    """

    def __init__(
        self,
        topic: Topic,
        copy: TopicCopy,
        poll_timeout: PollTimeout,
        reactor: Any,
        rng: random.Random,
        log: logs.EventLog,
    ) -> None:
        """Creates a follower; ``run`` begins to read.

        Args:
            topic: The topic to read.
            copy: The copy to update.
            poll_timeout: Returns the timeout of the next poll.
            reactor: The Twisted reactor.
            rng: Source of jitter for the backoff.
            log: The event log.
        """
        self.is_reachable = False
        self.reachable_since_s = reactor.seconds()
        self._topic = topic
        self._copy = copy
        self._poll_timeout = poll_timeout
        self._reactor = reactor
        self._rng = rng
        self._log = log
        self._next_offset: int | None = None
        self._known_end = 0
        # Largest offset up to which records have been applied.
        self._applied_end = 0
        # Number of records of the last snapshot.
        self._snapshot_size = 1
        self._was_snapshot_read = False
        self._failures = 0
        self._is_stopped = False
        self._last_poll_ended_early = True
        self._collects_records = False
        self._is_interrupted = False
        self._interrupted_s = 0.0
        self._read_started_s = 0.0
        self._is_answering = False
        # The poll in progress, or None if the read in progress does not wait.
        self._waiting_poll: defer.Deferred[Page | None] | None = None

    @property
    def name(self) -> str:
        """Name of the topic."""
        return self._topic.name

    @property
    def position(self) -> int | None:
        """First offset that has not been read, or None before a snapshot."""
        return self._next_offset

    @property
    def is_up_to_date(self) -> bool:
        """Whether all records that are known to exist have been read.

        False also before a snapshot, since nothing is known of the records
        that came after the copy.
        """
        return (
            self._next_offset is not None
            and self._next_offset >= self._known_end
        )

    def record_end(self, end: int) -> None:
        """Records that the topic reaches at least up to a position.

        Args:
            end: The position.
        """
        self._known_end = max(self._known_end, end)

    def interrupt(self) -> None:
        """Cancels the waiting poll and reads again without waiting.

        Used if the store may hold a record that did not end the poll. Does
        nothing if the last interruption is too recent, or if no poll waits: a
        read that does not wait, or whose answer is being received, brings the
        record anyway, and starting it again would only delay the record.
        """
        now_s = self._reactor.seconds()
        waiting_poll = self._waiting_poll
        if (
            waiting_poll is None
            or self._is_answering
            or now_s - self._interrupted_s < _MIN_INTERRUPT_INTERVAL_S
        ):
            return
        self._interrupted_s = now_s
        self._is_interrupted = True
        self._log.info(
            "poll_hurried",
            topic=self._topic.name,
            offset=self._next_offset,
            read_for_s=round(now_s - self._read_started_s, 3),
        )
        waiting_poll.cancel()

    async def run(self) -> None:
        """Reads the topic until ``stop`` is called."""
        while not self._is_stopped:
            try:
                await self._read_once()
            except defer.CancelledError:
                continue
            except exceptions.PlatformUnavailableError as error:
                self._record_failure(error)
                delay_s = retries.backoff_s(
                    self._failures, _BACKOFF_BASE_S, _MAX_BACKOFF_S, self._rng
                )
                await task.deferLater(self._reactor, delay_s)
            else:
                self._record_success()
                if self._collects_records:
                    await task.deferLater(self._reactor, _COLLECT_S)

    def stop(self) -> None:
        """Makes ``run`` return after the call in progress."""
        self._is_stopped = True

    async def _read_once(self) -> None:
        requested_s = self._reactor.seconds()
        self._collects_records = False
        if self._next_offset is None or self._is_snapshot_shorter():
            self._was_snapshot_read = True
            await self._read_snapshot(requested_s)
            return
        self._was_snapshot_read = False
        wait_s = (
            0.0
            if self._is_interrupted
            else self._poll_timeout(self._last_poll_ended_early)
        )
        self._read_started_s = requested_s
        self._is_answering = False
        read = defer.ensureDeferred(
            self._topic.read(self._next_offset, wait_s, self._on_answer)
        )
        self._waiting_poll = read if wait_s > 0 else None
        try:
            next_page = await read
        finally:
            self._waiting_poll = None
        was_interrupted = self._is_interrupted
        self._is_interrupted = False
        if next_page is None:
            self._log.info("history_forgotten", topic=self._topic.name)
            self._next_offset = None
            self._last_poll_ended_early = True
            return
        answered_s = self._reactor.seconds()
        has_timed_out = (
            not next_page.records and answered_s >= requested_s + wait_s
        )
        # All entries interrupt their polls at about the same time, so their
        # next polls start together. An interruption therefore counts as an
        # early end, like new records: the timeouts of the next polls are
        # staggered again.
        self._last_poll_ended_early = bool(next_page.records) or was_interrupted
        has_all = next_page.end <= next_page.next_offset
        self._collects_records = bool(next_page.records) and has_all
        self._apply_page(
            next_page, requested_s + wait_s if has_timed_out else requested_s
        )

    def _is_snapshot_shorter(self) -> bool:
        """Returns whether a snapshot should have fewer records than a read.

        A snapshot is never followed by another one, since a store that lags
        would return the same one again.
        """
        assert self._next_offset is not None
        missing_count = self._known_end - self._next_offset
        return (
            missing_count > self._snapshot_size and not self._was_snapshot_read
        )

    async def _read_snapshot(self, requested_s: float) -> None:
        page = await self._topic.read_newest()
        if page.next_offset < self._applied_end:
            raise exceptions.PlatformUnavailableError(
                f"the snapshot ends at {page.next_offset}, "
                f"records up to {self._applied_end} were read before"
            )
        self._snapshot_size = max(1, len(page.records))
        self._is_interrupted = False
        self._last_poll_ended_early = True
        self._apply_page(page, requested_s)

    def _on_answer(self) -> None:
        self._is_answering = True

    def _apply_page(self, page: Page, as_of_s: float) -> None:
        self._next_offset = page.next_offset
        self._applied_end = page.next_offset
        self.record_end(max(page.end, page.next_offset))
        if page.records or page.is_snapshot:
            self._copy.apply(page)
        if self.is_up_to_date:
            self._copy.confirm(as_of_s)

    def _record_failure(self, error: Exception) -> None:
        self._failures += 1
        if self.is_reachable or self._failures == 1:
            self._log.warning(
                "store_lost", topic=self._topic.name, detail=str(error)
            )
        self.is_reachable = False

    def _record_success(self) -> None:
        if not self.is_reachable:
            self.is_reachable = True
            self.reachable_since_s = self._reactor.seconds()
            self._log.info(
                "store_reached",
                topic=self._topic.name,
                failures=self._failures,
                next_offset=self._next_offset,
            )
        self._failures = 0
