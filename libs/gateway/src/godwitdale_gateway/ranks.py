"""Interface to the ranks of a group: their reports and commands to them."""

import dataclasses
from typing import Protocol

from godwitdale_experts import map_change
from godwitdale_experts import replication
from godwitdale_gateway import directory

# By set of layers, the experts of each rank. The layers of a set share one
# placement of experts.
ExpertMap = tuple[replication.RankExperts, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ArmedChange:
    """A map change that a rank is armed for.

    Attributes:
        version: Version of the new map.
        step: First iteration that runs on the new map.
    """

    version: int
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class RankReport:
    """State of a rank; it may be out of date, because reports lag.

    Attributes:
        group: Name of the group.
        epoch: Epoch of the group; it grows each time the group re-forms.
        rank: Number of the rank in the group.
        size: Number of ranks in the group.
        is_open: Whether the group accepts requests.
        step: The last iteration that was started.
        prepared_version: Version of the map whose experts the rank has copied,
            or None.
        armed: The change that the rank is armed for, or None.
        hold_step: The iteration before which the rank holds the group, or
            None.
        slowdown: Time that the rank takes, as a multiple of a healthy rank's.
    """

    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool
    step: int
    prepared_version: int | None
    armed: ArmedChange | None
    hold_step: int | None
    slowdown: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertCounts:
    """How often the requests of a rank have chosen each expert.

    Attributes:
        epoch: Epoch of the group.
        counts: Choices of each expert since the rank started, with the experts
            of all layer sets in a row.
    """

    epoch: int
    counts: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HeldExperts:
    """The experts that a rank holds.

    Attributes:
        epoch: Epoch of the group.
        version: Version of the map in force.
        experts: By layer set, numbers of the experts.
    """

    epoch: int
    version: int
    experts: tuple[tuple[int, ...], ...]


class RankClient(Protocol):
    """Reads from ranks and sends them commands.

    All calls but ``send_command`` raise
    ``exceptions.PlatformUnavailableError``.
    """

    async def read_report(
        self, endpoint: directory.Endpoint
    ) -> RankReport | None:
        """Returns the report of a rank, or None if it belongs to no group."""

    async def read_counts(self, endpoint: directory.Endpoint) -> ExpertCounts:
        """Returns how often the requests of a rank chose each expert."""

    async def read_experts(self, endpoint: directory.Endpoint) -> HeldExperts:
        """Returns the experts that a rank holds."""

    async def send_command(
        self,
        endpoint: directory.Endpoint,
        command: map_change.Command,
        expert_map: ExpertMap,
    ) -> map_change.CommandResult:
        """Sends a command to a rank and returns its result.

        Args:
            endpoint: Endpoint of the rank.
            command: The command.
            expert_map: The new map, which is sent with a command to prepare.
        """
