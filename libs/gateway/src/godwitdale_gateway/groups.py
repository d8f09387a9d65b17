"""Groups of ranks, assembled from the reports of the ranks."""

from collections.abc import Iterable
import dataclasses
from typing import Any

from twisted.internet import defer

from godwitdale_experts import change_policy
from godwitdale_experts import demand as demand_lib
from godwitdale_experts import map_change
from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import ranks as ranks_lib
from godwitdale_observe import logs
from godwitdale_routing import routes
from godwitdale_verdicts import exceptions


@dataclasses.dataclass(frozen=True, slots=True)
class GroupStatus:
    """State of a group at one moment.

    Attributes:
        name: Name of the group.
        epoch: Epoch of the group.
        members: Endpoints of the ranks, by rank number.
        reports: Reports of the ranks, by rank number.
    """

    name: str
    epoch: int
    members: tuple[directory_lib.Endpoint, ...]
    reports: tuple[ranks_lib.RankReport, ...]

    @property
    def step(self) -> int:
        """The last iteration that any rank has started."""
        return max(report.step for report in self.reports)

    @property
    def slowdowns(self) -> tuple[float, ...]:
        """Time that each rank takes, as a multiple of a healthy rank's."""
        return tuple(max(1.0, report.slowdown) for report in self.reports)

    @property
    def armed(self) -> ranks_lib.ArmedChange | None:
        """A change that at least one rank is armed for, or None."""
        armed_changes = (
            each.armed for each in self.reports if each.armed is not None
        )
        return next(armed_changes, None)

    @property
    def halt_step(self) -> int | None:
        """Iteration before which the group is held.

        If it is not held, the iteration of an armed change; otherwise None.
        """
        hold_steps = [
            each.hold_step
            for each in self.reports
            if each.hold_step is not None
        ]
        if hold_steps:
            return hold_steps[0]
        return self.armed.step if self.armed is not None else None

    def is_same_incarnation(self, other: "GroupStatus") -> bool:
        """Tells whether both are the same incarnation of the same group."""
        return (self.name, self.epoch) == (other.name, other.epoch)


class GroupState:
    """What this gateway has read of one incarnation of a group.

    It also holds the back-off after failed changes. ``group.GroupState`` is
    another class: the state that agents compute from a log.

    Attributes:
        status: The latest status that was read.
        schedule: When the demand is read and followed.
        demand: Demand for each expert.
        strain: Strain that the group is expected to be under.
        skew: Skew of the map in force when the demand was last known, or 0.
        sampled_endpoint: Endpoint of the rank whose counts are read.
        expert_map: The map in force, or None if it has not been read.
        consecutive_failures: Consecutive changes that did not take effect.
        backoff_until_s: Time before which no change is started.
        reading_due_s: When the demand is to be read again.
    """

    __slots__ = (
        "demand",
        "expert_map",
        "consecutive_failures",
        "backoff_until_s",
        "reading_due_s",
        "sampled_endpoint",
        "schedule",
        "skew",
        "status",
        "strain",
        "_known_loads",
    )

    def __init__(
        self,
        status: GroupStatus,
        layout: routes.ExpertLayout,
        sampled_endpoint: directory_lib.Endpoint,
    ) -> None:
        """Starts from the first status that was read.

        Args:
            status: The first status.
            layout: Limits for the placement of experts on ranks.
            sampled_endpoint: Endpoint of the rank whose counts are read.
        """
        self.sampled_endpoint = sampled_endpoint
        self.status = status
        self.schedule = change_policy.schedule(layout.longest_copy_s)
        self.demand = demand_lib.DemandEstimator(
            layout.sets,
            layout.experts,
            self.schedule.min_choices,
            self.schedule.is_quick,
        )
        self.strain = change_policy.ExpectedStrain()
        self.skew = 0.0
        self._known_loads: list[list[float]] | None = None
        self.expert_map: ranks_lib.ExpertMap | None = None
        self.consecutive_failures = 0
        self.backoff_until_s = 0.0
        self.reading_due_s = 0.0

    def continue_from(self, earlier: "GroupState", now_s: float) -> None:
        """Takes over the demand that was known before the group formed again.

        Args:
            earlier: State of an earlier incarnation of the same group.
            now_s: The current time.
        """
        if not self.schedule.is_quick:
            return
        self.demand = earlier.demand
        self.strain = earlier.strain
        self._known_loads = earlier.demand.latest(now_s)

    def take_known_loads(self) -> list[list[float]] | None:
        """Returns the demand before the group formed again, at most once."""
        loads, self._known_loads = self._known_loads, None
        return loads

    def create_change(
        self, version: int, fencing_token: int
    ) -> map_change.MapChange:
        """Returns a change that brings this group to a new map."""
        status = self.status
        ids = [member.id for member in status.members]
        return map_change.MapChange(ids, status.epoch, version, fencing_token)


def create_recovery(
    status: GroupStatus, version: int, fencing_token: int
) -> map_change.MapChange:
    """Returns a change that takes the unfinished change of a group back.

    Args:
        status: Status of the group, which is held or has armed ranks.
        version: A version that is not in use; it applies if no rank was
            reported as armed.
        fencing_token: First of the fencing tokens that the change may use.
    """
    armed = status.armed
    plan = map_change.ChangePlan(
        ranks=tuple(member.id for member in status.members),
        epoch=status.epoch,
        version=version if armed is None else armed.version,
        step=status.halt_step or 0,
        fencing_token=fencing_token,
    )
    return map_change.MapChange.recovery(plan)


class GroupReader:
    """Reads the status of the groups of a service."""

    def __init__(
        self,
        rank_client: ranks_lib.RankClient,
        directory: directory_lib.Directory,
        log: logs.EventLog,
    ) -> None:
        """Creates a reader; ``read`` queries the ranks.

        Args:
            rank_client: Reads the reports of ranks.
            directory: The endpoints.
            log: The event log.
        """
        self._rank_client = rank_client
        self._directory = directory
        self._log = log

    def endpoints(self, service: str) -> list[directory_lib.Endpoint]:
        """Returns the endpoints of a service that neither drain nor leave.

        Args:
            service: Name of the service.
        """
        records = self._directory.listed(service)
        return [record.endpoint for record in records]

    async def read(self, service: str) -> list[GroupStatus]:
        """Returns the groups whose ranks all answer and accept requests.

        Args:
            service: Name of the service.
        """
        members = self.endpoints(service)
        reports = await gather(self._read_report(each) for each in members)
        return assemble_groups(
            (endpoint, report)
            for endpoint, report in zip(members, reports, strict=True)
            if report is not None
        )

    async def _read_report(
        self, endpoint: directory_lib.Endpoint
    ) -> ranks_lib.RankReport | None:
        try:
            return await self._rank_client.read_report(endpoint)
        except exceptions.PlatformUnavailableError as error:
            self._log.info(
                "rank_silent", endpoint=endpoint.id, detail=str(error)
            )
            return None


def assemble_groups(
    rank_reports: Iterable[tuple[directory_lib.Endpoint, ranks_lib.RankReport]],
) -> list[GroupStatus]:
    """Returns the groups whose ranks are all known and accept requests.

    Args:
        rank_reports: Endpoints of ranks, with their reports.
    """
    by_incarnation: dict[tuple[str, int], dict[int, tuple]] = {}
    for endpoint, report in rank_reports:
        ranks = by_incarnation.setdefault((report.group, report.epoch), {})
        ranks[report.rank] = (endpoint, report)
    complete_groups = []
    for (name, epoch), by_rank in sorted(by_incarnation.items()):
        reports = tuple(by_rank[rank][1] for rank in sorted(by_rank))
        size = reports[0].size
        is_complete = sorted(by_rank) == list(range(size))
        if is_complete and all(report.is_open for report in reports):
            members = tuple(by_rank[rank][0] for rank in sorted(by_rank))
            complete_groups.append(GroupStatus(name, epoch, members, reports))
    return complete_groups


async def gather(coroutines: Iterable[Any]) -> list[Any]:
    """Awaits coroutines concurrently; raises the first exception of any."""
    deferreds = [defer.ensureDeferred(each) for each in coroutines]
    try:
        return await defer.gatherResults(deferreds, consumeErrors=True)
    except defer.FirstError as first_error:
        first_error.subFailure.raiseException()
        raise
