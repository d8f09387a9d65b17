"""Learns which group each endpoint belongs to.

Reading the report of a rank costs as much as a probe. Only the oldest entry
therefore reads reports; the other entries ask it.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import Protocol

from twisted.internet import task

from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import groups as groups_lib
from godwitdale_gateway import iteration_groups
from godwitdale_gateway import ranks as ranks_lib
from godwitdale_observe import logs
from godwitdale_routing import routes
from godwitdale_verdicts import exceptions

_INTERVAL_S = 0.25
# Largest number of reports that are read at the same time.
_MAX_READS = 64
# Delay before a report that could not be read is read again.
_RETRY_S = 2.0


class PeerEntries(Protocol):
    """The other entries."""

    @property
    def is_oldest(self) -> bool:
        """Whether this entry is the oldest one."""

    def query_members(self, endpoint_ids: Sequence[str]) -> None:
        """Asks the oldest entry for the groups of endpoints."""


class MemberReader:
    """Finds out the groups of the endpoints whose engines form groups."""

    def __init__(
        self,
        rank_client: ranks_lib.RankClient,
        directory: directory_lib.Directory,
        members: iteration_groups.GroupMembers,
        peers: PeerEntries,
        reactor: Any,
        log: logs.EventLog,
    ) -> None:
        """Creates a reader; ``run`` starts it.

        Args:
            rank_client: Reads the reports of ranks.
            directory: The endpoints.
            members: Takes the groups of the endpoints.
            peers: The other entries.
            reactor: The Twisted reactor.
            log: The event log.
        """
        self._rank_client = rank_client
        self._directory = directory
        self._members = members
        self._peers = peers
        self._reactor = reactor
        self._log = log
        self._services: frozenset[str] = frozenset()
        self._retry_times_s: dict[str, float] = {}

    def configure(self, engines: Mapping[str, routes.Engine]) -> None:
        """Applies the declared properties of the engines.

        Args:
            engines: By name of the service.
        """
        self._services = frozenset(
            name
            for name, engine in engines.items()
            if engine.layout is not None
        )

    async def run(self) -> None:
        """Reads or asks for the groups of new endpoints, until cancelled."""
        while True:
            await task.deferLater(self._reactor, _INTERVAL_S)
            self._members.retain(self._directory.ids())
            unknown = self._unknown_endpoints()
            if not unknown:
                continue
            if self._peers.is_oldest:
                await self._read(unknown)
            else:
                self._peers.query_members([each.id for each in unknown])

    def _unknown_endpoints(self) -> list[directory_lib.Endpoint]:
        return [
            record.endpoint
            for service in sorted(self._services)
            for record in self._directory.listed(service)
            if self._members.get(record.endpoint.id) is None
        ]

    async def _read(self, endpoints: list[directory_lib.Endpoint]) -> None:
        now_s = self._reactor.seconds()
        ids = {each.id for each in endpoints}
        for endpoint_id in self._retry_times_s.keys() - ids:
            del self._retry_times_s[endpoint_id]
        due = [
            each
            for each in endpoints
            if self._retry_times_s.get(each.id, 0.0) <= now_s
        ][:_MAX_READS]
        for each in due:
            self._retry_times_s[each.id] = now_s + _RETRY_S
        await groups_lib.gather(self._read_member(each) for each in due)

    async def _read_member(self, endpoint: directory_lib.Endpoint) -> None:
        try:
            report = await self._rank_client.read_report(endpoint)
        except exceptions.PlatformUnavailableError as error:
            self._log.info(
                "rank_silent", endpoint=endpoint.id, detail=str(error)
            )
            return
        membership = (
            iteration_groups.Membership("", 1)
            if report is None
            else iteration_groups.Membership(report.group, report.size)
        )
        self._members.update({endpoint.id: membership})
