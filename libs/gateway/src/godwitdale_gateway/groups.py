"""Groups of ranks, as their reports show them."""

from collections.abc import Iterable
import dataclasses
from typing import Any

from twisted.internet import defer

from godwitdale_experts import demand as demand_lib
from godwitdale_experts import map_change
from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import ranks as ranks_lib
from godwitdale_observe import logs
from godwitdale_routing import routes
from godwitdale_verdicts import exceptions


@dataclasses.dataclass(frozen=True, slots=True)
class GroupStatus:
    """A group at one moment.

    Attributes:
        name: Its name.
        epoch: Its epoch.
        members: Its engines, by number of the rank.
        reports: What they said, by number of the rank.
    """

    name: str
    epoch: int
    members: tuple[directory_lib.Endpoint, ...]
    reports: tuple[ranks_lib.RankReport, ...]

    @property
    def step(self) -> int:
        """The last pass that any rank has begun."""
        return max(report.step for report in self.reports)

    @property
    def slowdowns(self) -> tuple[float, ...]:
        """How many times longer each rank takes than a sound one."""
        return tuple(max(1.0, report.slowdown) for report in self.reports)

    @property
    def armed(self) -> ranks_lib.ArmedChange | None:
        """A change that some rank is ready for, or None."""
        found = (each.armed for each in self.reports if each.armed is not None)
        return next(found, None)

    @property
    def halt_step(self) -> int | None:
        """The pass before which the group is held or may change, or None."""
        held = [
            each.hold_step
            for each in self.reports
            if each.hold_step is not None
        ]
        if held:
            return held[0]
        return self.armed.step if self.armed is not None else None

    def is_same_incarnation(self, other: "GroupStatus") -> bool:
        """Tells whether this is the same life of the same group."""
        return (self.name, self.epoch) == (other.name, other.epoch)


class GroupState:
    """What is known of a group while it lasts.

    Attributes:
        status: The latest look at it.
        demand: Which experts are in demand.
        sampled_endpoint: The engine whose counts are read.
        expert_map: The map in force, or None where it has not been read.
        consecutive_failures: Changes in a row that have not come about.
        backoff_until_s: No change is begun before.
    """

    __slots__ = (
        "demand",
        "expert_map",
        "consecutive_failures",
        "backoff_until_s",
        "sampled_endpoint",
        "status",
    )

    def __init__(
        self,
        status: GroupStatus,
        layout: routes.ExpertLayout,
        sampled_endpoint: directory_lib.Endpoint,
    ) -> None:
        """Begins with a first look.

        Args:
            status: The first look.
            layout: How the experts may lie.
            sampled_endpoint: The engine whose counts are read.
        """
        self.sampled_endpoint = sampled_endpoint
        self.status = status
        self.demand = demand_lib.DemandEstimator(layout.sets, layout.experts)
        self.expert_map: ranks_lib.ExpertMap | None = None
        self.consecutive_failures = 0
        self.backoff_until_s = 0.0

    def new_change(self, version: int, fence: int) -> map_change.MapChange:
        """Returns a change of this group to a new map."""
        status = self.status
        ids = [member.id for member in status.members]
        return map_change.MapChange(ids, status.epoch, version, fence)


def recovery_change(
    status: GroupStatus, version: int, fence: int
) -> map_change.MapChange:
    """Returns the end of a change that a group was seen in.

    Args:
        status: The group; it is held, or ranks are armed.
        version: One that nobody uses, where no rank was seen armed.
        fence: First of the fencing numbers that may be used.
    """
    armed = status.armed
    plan = map_change.ChangePlan(
        ranks=tuple(member.id for member in status.members),
        epoch=status.epoch,
        version=version if armed is None else armed.version,
        step=status.halt_step or 0,
        fencing_token=fence,
    )
    return map_change.MapChange.recovery(plan)


class GroupReader:
    """Looks at the groups of a service."""

    def __init__(
        self,
        rank_client: ranks_lib.RankClient,
        directory: directory_lib.Directory,
        log: logs.EventLog,
    ) -> None:
        """Prepares; nothing is sent yet.

        Args:
            rank_client: Speaks to the ranks.
            directory: The endpoints.
            log: The log of decisions.
        """
        self._rank_client = rank_client
        self._directory = directory
        self._log = log

    def endpoints(self, service: str) -> list[directory_lib.Endpoint]:
        """Returns the engines of a service.

        Args:
            service: Its name.
        """
        entries = self._directory.of_service(service)
        return [entry.endpoint for entry in entries]

    async def read(self, service: str) -> list[GroupStatus]:
        """Returns the groups of which every rank answers and takes requests.

        Args:
            service: Name of the service.
        """
        members = self.endpoints(service)
        reports = await gather(self._report(each) for each in members)
        return assemble_groups(
            (endpoint, report)
            for endpoint, report in zip(members, reports, strict=True)
            if report is not None
        )

    async def _report(
        self, endpoint: directory_lib.Endpoint
    ) -> ranks_lib.RankReport | None:
        try:
            return await self._rank_client.read_report(endpoint)
        except exceptions.PlatformUnavailableError as failed:
            self._log.info(
                "rank_silent", endpoint=endpoint.id, detail=str(failed)
            )
            return None


def assemble_groups(
    found: Iterable[tuple[directory_lib.Endpoint, ranks_lib.RankReport]],
) -> list[GroupStatus]:
    """Returns the groups of which every rank is known and takes requests.

    Args:
        found: Engines with what they report.
    """
    by_life: dict[tuple[str, int], dict[int, tuple]] = {}
    for endpoint, report in found:
        life = by_life.setdefault((report.group, report.epoch), {})
        life[report.rank] = (endpoint, report)
    complete = []
    for (name, epoch), ranked in sorted(by_life.items()):
        reports = tuple(ranked[rank][1] for rank in sorted(ranked))
        size = reports[0].size
        is_whole = sorted(ranked) == list(range(size))
        if is_whole and all(report.is_open for report in reports):
            members = tuple(ranked[rank][0] for rank in sorted(ranked))
            complete.append(GroupStatus(name, epoch, members, reports))
    return complete


async def gather(running: Iterable[Any]) -> list[Any]:
    """Awaits coroutines side by side; raises what the first of them raised."""
    deferreds = [defer.ensureDeferred(each) for each in running]
    try:
        return await defer.gatherResults(deferreds, consumeErrors=True)
    except defer.FirstError as first:
        first.subFailure.raiseException()
        raise
