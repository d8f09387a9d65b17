"""Keeps a copy of a compacted topic of the platform's store."""

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

# Bounds of the pause after a failed call: short enough for a change to be
# noticed well within the time in which it has to be in force.
_BACKOFF_BASE_S = 0.1
_BACKOFF_MOST_S = 0.8
# Least time between two polls that are ended early.
_HURRY_PAUSE_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record of a topic.

    Attributes:
        key: Its key.
        value: Its value, or None where the key is dropped.
    """

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """What a read returned.

    Attributes:
        records: Records in order.
        next_offset: Where the next read begins.
        is_snapshot: Whether these are the newest records of all keys.
    """

    records: list[Record]
    next_offset: int
    is_snapshot: bool = False


class Topic(Protocol):
    """One topic of the store.

    Both calls raise ``exceptions.PlatformUnavailableError``.
    """

    name: str

    async def read_newest(self) -> Page:
        """Returns the newest record of each key."""

    async def read(self, offset: int, wait_s: float) -> Page | None:
        """Returns the records from an offset on, or None if they are gone.

        Args:
            offset: The first offset that is wanted.
            wait_s: How long to wait for a record where there is none.
        """


class TopicCopy(Protocol):
    """What follows a topic."""

    def apply(self, page: Page) -> None:
        """Takes records."""

    def confirm(self, as_of_s: float) -> None:
        """Is told that it was complete at a moment."""


PollTimeout = Callable[[bool], float]
"""Returns how long a poll may wait; takes whether the last one brought
anything."""


class TopicFollower:
    """Reads a topic from its newest records on, for as long as it runs.

    Attributes:
        is_reachable: Whether the last call was answered.
        reachable_since_s: When a call was last answered after one that was not.
    """

    def __init__(
        self,
        topic: Topic,
        copy: TopicCopy,
        poll_wait: PollTimeout,
        reactor: Any,
        rng: random.Random,
        log: logs.EventLog,
    ) -> None:
        """Prepares; nothing is read until ``run``.

        Args:
            topic: What to read.
            copy: Takes what was read.
            poll_wait: Returns how long a poll may wait.
            reactor: The Twisted reactor.
            rng: Source of jitter.
            log: The log of decisions.
        """
        self.is_reachable = False
        self.reachable_since_s = reactor.seconds()
        self._topic = topic
        self._copy = copy
        self._poll_wait = poll_wait
        self._reactor = reactor
        self._rng = rng
        self._log = log
        self._next: int | None = None
        self._failures = 0
        self._is_stopped = False
        self._is_woken = True
        self._is_hurried = False
        self._hurried_s = 0.0
        self._reading: defer.Deferred[Page | None] | None = None

    @property
    def name(self) -> str:
        """Name of the topic."""
        return self._topic.name

    @property
    def position(self) -> int | None:
        """The first offset that has not been read, or None at the start."""
        return self._next

    def interrupt(self) -> None:
        """Ends a poll that may have missed something, and reads at once."""
        now_s = self._reactor.seconds()
        reading = self._reading
        if reading is None or now_s - self._hurried_s < _HURRY_PAUSE_S:
            return
        self._hurried_s = now_s
        self._is_hurried = True
        self._log.info("poll_hurried", topic=self._topic.name)
        reading.cancel()

    async def run(self) -> None:
        """Reads until ``stop``."""
        while not self._is_stopped:
            try:
                await self._read_once()
            except defer.CancelledError:
                continue
            except exceptions.PlatformUnavailableError as failed:
                self._note_failure(failed)
                delay_s = retries.backoff_s(
                    self._failures, _BACKOFF_BASE_S, _BACKOFF_MOST_S, self._rng
                )
                await task.deferLater(self._reactor, delay_s)
            else:
                self._note_success()

    def stop(self) -> None:
        """Ends ``run`` after the call in progress."""
        self._is_stopped = True

    async def _read_once(self) -> None:
        asked_s = self._reactor.seconds()
        if self._next is None:
            page = await self._topic.read_newest()
            self._take(page, asked_s)
            return
        wait_s = 0.0 if self._is_hurried else self._poll_wait(self._is_woken)
        self._reading = defer.ensureDeferred(
            self._topic.read(self._next, wait_s)
        )
        try:
            following = await self._reading
        finally:
            self._reading = None
        was_hurried = self._is_hurried
        self._is_hurried = False
        if following is None:
            self._log.info("history_forgotten", topic=self._topic.name)
            self._next = None
            self._is_woken = True
            return
        answered_s = self._reactor.seconds()
        is_empty = not following.records and answered_s >= asked_s + wait_s
        # Entries hurry together as well, so that their polls spread anew.
        self._is_woken = bool(following.records) or was_hurried
        self._take(following, asked_s + wait_s if is_empty else asked_s)

    def _take(self, page: Page, as_of_s: float) -> None:
        self._next = page.next_offset
        if page.records or page.is_snapshot:
            self._copy.apply(page)
        self._copy.confirm(as_of_s)

    def _note_failure(self, failed: Exception) -> None:
        self._failures += 1
        if self.is_reachable or self._failures == 1:
            self._log.warning(
                "store_lost", topic=self._topic.name, detail=str(failed)
            )
        self.is_reachable = False

    def _note_success(self) -> None:
        if not self.is_reachable:
            self.is_reachable = True
            self.reachable_since_s = self._reactor.seconds()
            self._log.info(
                "store_reached",
                topic=self._topic.name,
                failures=self._failures,
                next_offset=self._next,
            )
        self._failures = 0
