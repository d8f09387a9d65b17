"""Publishes declarations and waits until all instances apply them."""

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
from godwitdale_platform import bodies
from godwitdale_platform import instances as instances_lib
from godwitdale_platform import log as log_lib
from godwitdale_verdicts import exceptions

_RETRY_DELAY_S = 0.2
_POLL_INTERVAL_S = 0.2
_STATUS_TIMEOUT_S = 1.0
# Limits on the status of an instance, which contains its histograms.
_STATUS_LIMITS = bodies.Limits(16 << 20, part_s=_STATUS_TIMEOUT_S, total_s=5.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """Result of a publication.

    Attributes:
        accepted: One decision for each object that changed.
        next_offset: Offset in the declaration log from which the publication
            is in force.
    """

    accepted: list[fold_lib.Accepted]
    next_offset: int


class Publisher:
    """Appends changes to the log and reads back the decisions on them.

    Attributes:
        fold: The fold of the declarations that were read.
    """

    def __init__(self, log: log_lib.Log, clock: Any, timeout_s: float) -> None:
        """Creates a publisher that has read nothing.

        Args:
            log: The platform's log.
            clock: A Twisted ``IReactorTime``.
            timeout_s: How long to retry an append while the log is
                unavailable.
        """
        self.fold = fold_lib.Fold()
        self._log = log
        self._clock = clock
        self._timeout_s = timeout_s
        self._decisions: dict[str, fold_lib.Decision] = {}

    async def refresh(self) -> None:
        """Reads the declarations up to the head of the log.

        Raises:
            exceptions.PlatformUnavailableError: The log did not answer.
        """
        start = self.fold.state.next_offset
        stream = feed_lib.STREAM
        for record in await log_lib.read_all(self._log, stream, start):
            decision = self.fold.feed(record.offset, record.data)
            self._record_decision(decision)

    async def publish(
        self, declared_objects: list[objects.Object], author: str, prune: bool
    ) -> Publication:
        """Changes the declarations so that they match a file.

        Args:
            declared_objects: All objects of the file.
            author: Name of the publisher.
            prune: Whether to remove objects that the file does not contain.

        Raises:
            exceptions.RejectedError: A concurrent change was accepted first.
            exceptions.PlatformUnavailableError: The log stayed unavailable.
        """
        await self.refresh()
        return await self._append_all(
            self.changes(declared_objects, author, prune)
        )

    async def withdraw(self, key: str, author: str) -> Publication:
        """Removes an object; does nothing if it is not declared.

        Args:
            key: Key of the object, ``KIND/NAME``.
            author: Name of the publisher.

        Raises:
            exceptions.RejectedError: A concurrent change was accepted first.
            exceptions.PlatformUnavailableError: The log stayed unavailable.
        """
        await self.refresh()
        changes = []
        if key in self.fold.state.objects:
            changes.append(self._make_change(key, None, author))
        return await self._append_all(changes)

    async def _append_all(self, changes: list[records.Change]) -> Publication:
        accepted = []
        for change in changes:
            decision = await self._append(change)
            if isinstance(decision, fold_lib.Rejected):
                raise exceptions.RejectedError(
                    f"{change.key} was rejected: {decision.reason}; read the "
                    "current declarations and publish again"
                )
            if isinstance(decision, fold_lib.Accepted):
                accepted.append(decision)
        return Publication(accepted, self.fold.state.next_offset)

    def changes(
        self, declared_objects: list[objects.Object], author: str, prune: bool
    ) -> list[records.Change]:
        """Returns the changes that make the declarations match a file.

        Args:
            declared_objects: All objects of the file.
            author: Name of the publisher.
            prune: Whether to remove objects that the file does not contain.
                Evacuations stay: a file does not take them back.
        """
        current_objects = self.fold.state.objects
        changes = []
        for each in declared_objects:
            key = objects.object_key(each)
            current_object = current_objects.get(key)
            if current_object is None or current_object.declared != each:
                changes.append(self._make_change(key, each, author))
        if prune:
            kept_keys = {objects.object_key(each) for each in declared_objects}
            removed_keys = [
                key
                for key, current in current_objects.items()
                if key not in kept_keys
                and not isinstance(current.declared, objects.Evacuation)
            ]
            changes += [
                self._make_change(key, None, author)
                for key in sorted(removed_keys)
            ]
        return changes

    def _make_change(
        self, key: str, declared: objects.Object | None, author: str
    ) -> records.Change:
        current_object = self.fold.state.objects.get(key)
        return records.Change(
            id=uuid.uuid4().hex,
            key=key,
            based_on=current_object.version if current_object else 0,
            body=(
                records.encode_object(declared) if declared else records.REMOVAL
            ),
            author=author,
        )

    async def _append(self, change: records.Change) -> fold_lib.Decision:
        data = records.encode(change)
        deadline_at_s = self._clock.seconds() + self._timeout_s
        while True:
            outcome = await self._log.append(feed_lib.STREAM, data)
            decision = await self._read_decision(change.id)
            if decision is not None:
                return decision
            if self._clock.seconds() >= deadline_at_s:
                raise exceptions.PlatformUnavailableError(
                    f"{change.key} was not published: {outcome.detail}"
                    if not isinstance(outcome, log_lib.Appended)
                    else f"{change.key} may be published, but cannot be read"
                )
            await task.deferLater(self._clock, _RETRY_DELAY_S, lambda: None)

    async def _read_decision(self, change_id: str) -> fold_lib.Decision | None:
        """Reads the log and returns the decision on a change, or None.

        If the answer to an append was lost, the change may be in the log
        twice. The second record is rejected, so only the first decision on an
        identifier counts.
        """
        try:
            await self.refresh()
        except exceptions.PlatformUnavailableError:
            return None
        return self._decisions.get(change_id)

    def _record_decision(self, decision: fold_lib.Decision | None) -> None:
        if isinstance(decision, fold_lib.Accepted | fold_lib.Rejected):
            self._decisions.setdefault(decision.record_id, decision)


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceStatus:
    """Status that an instance reports.

    Attributes:
        instance: The instance, as the platform lists it.
        status: Decoded status of the instance, or None if it did not answer.
    """

    instance: instances_lib.Instance
    status: dict[str, Any] | None

    @property
    def next_offset(self) -> int:
        """Offset up to which it has folded the declarations; -1 if unknown."""
        if self.status is None:
            return -1
        return int(self.status["declarations"]["next_offset"])


async def fetch_statuses(
    source: instances_lib.HttpInstanceList, clock: Any
) -> list[InstanceStatus]:
    """Fetches the status of every listed instance.

    Args:
        source: Client of the platform's instance list.
        clock: A Twisted ``IReactorTime``.

    Raises:
        exceptions.PlatformUnavailableError: The instance list did not answer.
    """
    statuses = []
    for instance in await source.fetch():
        status = await _fetch_status(instance, clock)
        statuses.append(InstanceStatus(instance, status))
    return statuses


async def _fetch_status(
    instance: instances_lib.Instance, clock: Any
) -> dict[str, Any] | None:
    url = f"http://{instance.host}:{instance.admin_port}/status"
    try:
        response = await treq.get(url, timeout=_STATUS_TIMEOUT_S)
        body = await bodies.read(response, _STATUS_LIMITS, clock)
        return msgspec.json.decode(body)
    except Exception:  # The caller reports an instance without a status.
        return None


async def wait_until_applied(
    source: instances_lib.HttpInstanceList,
    next_offset: int,
    timeout_s: float,
    clock: Any,
) -> None:
    """Waits until every listed instance has folded up to an offset.

    Args:
        source: Client of the platform's instance list.
        next_offset: Offset in the declaration log.
        timeout_s: Maximum time to wait.
        clock: A Twisted ``IReactorTime``.

    Raises:
        exceptions.NotInForceError: Some instances did not reach the offset in
            time; the message names them.
    """
    deadline_at_s = clock.seconds() + timeout_s
    while True:
        lagging = [
            f"{each.instance.name} (at {each.next_offset})"
            for each in await fetch_statuses(source, clock)
            if each.next_offset < next_offset
        ]
        if not lagging:
            return
        if clock.seconds() >= deadline_at_s:
            raise exceptions.NotInForceError(
                "accepted, but these instances have not reached offset "
                f"{next_offset}: " + ", ".join(lagging)
            )
        await task.deferLater(clock, _POLL_INTERVAL_S, lambda: None)
