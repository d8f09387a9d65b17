"""Publishing declarations to the log, and waiting until they are in force."""

import dataclasses
from typing import Any
import uuid

import msgspec
import treq
from twisted.internet import task

from godwitdale import feed as feed_lib
from godwitdale_declarations import fold as fold_lib
from godwitdale_declarations import objects
from godwitdale_declarations import records
from godwitdale_platform import instances as instances_lib
from godwitdale_platform import log as log_lib
from godwitdale_verdicts import exceptions

_RETRY_S = 0.2
_POLL_S = 0.2
_STATUS_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """What became of a publication.

    Attributes:
        accepted: One for each object that changed.
        next_offset: Instances at this offset have it in force.
    """

    accepted: list[fold_lib.Accepted]
    next_offset: int


class Publisher:
    """Appends changes and settles what became of them by reading.

    Attributes:
        fold: The declarations as the publisher has read them.
    """

    def __init__(self, log: log_lib.Log, clock: Any, patience_s: float) -> None:
        """Prepares; nothing is read yet.

        Args:
            log: The platform's log.
            clock: A Twisted ``IReactorTime``.
            patience_s: How long an unavailable log is tried.
        """
        self.fold = fold_lib.Fold()
        self._log = log
        self._clock = clock
        self._patience_s = patience_s
        self._decisions: dict[str, fold_lib.Decision] = {}

    async def refresh(self) -> None:
        """Reads the declarations up to the log's head.

        Raises:
            exceptions.PlatformUnavailableError: The log does not answer.
        """
        start = self.fold.state.next_offset
        stream = feed_lib.STREAM
        for record in await log_lib.read_all(self._log, stream, start):
            decision = self.fold.feed(record.offset, record.data)
            self._remember(decision)

    async def publish(
        self, wanted: list[objects.Object], author: str, prune: bool
    ) -> Publication:
        """Makes the declarations what a file says.

        Args:
            wanted: All objects of the file.
            author: Who publishes.
            prune: Whether objects that the file lacks are removed.

        Raises:
            exceptions.RejectedError: A rival's change came first.
            exceptions.PlatformUnavailableError: The log stayed unavailable.
        """
        await self.refresh()
        accepted = []
        for change in self.changes(wanted, author, prune):
            decision = await self._append(change)
            if isinstance(decision, fold_lib.Rejected):
                raise exceptions.RejectedError(
                    f"{change.key} was rejected: {decision.reason}; read the "
                    "declarations again and publish anew"
                )
            if isinstance(decision, fold_lib.Accepted):
                accepted.append(decision)
        return Publication(accepted, self.fold.state.next_offset)

    def changes(
        self, wanted: list[objects.Object], author: str, prune: bool
    ) -> list[records.Change]:
        """Returns the changes that lead from what is in force to a file.

        Args:
            wanted: All objects of the file.
            author: Who publishes.
            prune: Whether objects that the file lacks are removed.
        """
        held = self.fold.state.objects
        found = []
        for each in wanted:
            key = objects.object_key(each)
            current = held.get(key)
            if current is None or current.declared != each:
                found.append(self._change(key, each, author))
        if prune:
            kept = {objects.object_key(each) for each in wanted}
            gone = [key for key in held if key not in kept]
            found += [self._change(key, None, author) for key in sorted(gone)]
        return found

    def _change(
        self, key: str, declared: objects.Object | None, author: str
    ) -> records.Change:
        current = self.fold.state.objects.get(key)
        return records.Change(
            id=uuid.uuid4().hex,
            key=key,
            based_on=current.version if current else 0,
            body=(
                records.encode_object(declared) if declared else records.REMOVAL
            ),
            author=author,
        )

    async def _append(self, change: records.Change) -> fold_lib.Decision:
        data = records.encode(change)
        until_s = self._clock.seconds() + self._patience_s
        while True:
            outcome = await self._log.append(feed_lib.STREAM, data)
            decision = await self._settle(change.id)
            if decision is not None:
                return decision
            if self._clock.seconds() >= until_s:
                raise exceptions.PlatformUnavailableError(
                    f"{change.key} is not published: {outcome.detail}"
                    if not isinstance(outcome, log_lib.Appended)
                    else f"{change.key} may be published but cannot be read"
                )
            await task.deferLater(self._clock, _RETRY_S, lambda: None)

    async def _settle(self, change_id: str) -> fold_lib.Decision | None:
        """Reads on and returns the decision on a change, if it is there.

        A copy that was appended after a lost answer is rejected; the first
        decision on an identifier is the one that counts.
        """
        try:
            await self.refresh()
        except exceptions.PlatformUnavailableError:
            return None
        return self._decisions.get(change_id)

    def _remember(self, decision: fold_lib.Decision | None) -> None:
        if isinstance(decision, fold_lib.Accepted | fold_lib.Rejected):
            self._decisions.setdefault(decision.record_id, decision)


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceStatus:
    """What one instance said of itself.

    Attributes:
        instance: The instance as the platform lists it.
        status: Its status, or None where it does not answer.
    """

    instance: instances_lib.Instance
    status: dict[str, Any] | None

    @property
    def next_offset(self) -> int:
        """How far it has folded the declarations; -1 where it is silent."""
        if self.status is None:
            return -1
        return int(self.status["declarations"]["next_offset"])


async def fetch_statuses(
    source: instances_lib.HttpInstanceList,
) -> list[InstanceStatus]:
    """Asks every listed instance for its status.

    Args:
        source: The platform's list.

    Raises:
        exceptions.PlatformUnavailableError: The list does not answer.
    """
    found = []
    for instance in await source.fetch():
        found.append(InstanceStatus(instance, await _fetch_status(instance)))
    return found


async def _fetch_status(
    instance: instances_lib.Instance,
) -> dict[str, Any] | None:
    url = f"http://{instance.host}:{instance.admin_port}/status"
    try:
        response = await treq.get(url, timeout=_STATUS_TIMEOUT_S)
        return msgspec.json.decode(await treq.content(response))
    except Exception:  # A silent instance is reported, not an error.
        return None


async def wait_until_applied(
    source: instances_lib.HttpInstanceList,
    next_offset: int,
    patience_s: float,
    clock: Any,
) -> None:
    """Waits until every listed instance has folded up to an offset.

    Args:
        source: The platform's list.
        next_offset: The offset.
        patience_s: How long to wait.
        clock: A Twisted ``IReactorTime``.

    Raises:
        exceptions.NotInForceError: Some instance lags; the message names it.
    """
    until_s = clock.seconds() + patience_s
    while True:
        lagging = [
            f"{each.instance.name} (at {each.next_offset})"
            for each in await fetch_statuses(source)
            if each.next_offset < next_offset
        ]
        if not lagging:
            return
        if clock.seconds() >= until_s:
            raise exceptions.NotInForceError(
                f"accepted, but not yet at offset {next_offset}: "
                + ", ".join(lagging)
            )
        await task.deferLater(clock, _POLL_S, lambda: None)
