"""What an entry reads from the ranks of a group, and what it tells them."""

import dataclasses
from typing import Protocol

from godwitdale_experts import map_change
from godwitdale_experts import replication
from godwitdale_gateway import directory

# By set of layers, the experts of each rank.
ExpertMap = tuple[replication.RankExperts, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ArmedChange:
    """A change that a rank is ready for.

    Attributes:
        version: Version of the map.
        step: First pass that runs on it.
    """

    version: int
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class RankReport:
    """What a rank says of itself, a little while ago.

    Attributes:
        group: Name of its group.
        epoch: Grows each time the group forms anew.
        rank: Its number in the group.
        size: Ranks of the group.
        is_open: Whether the group takes requests.
        step: The last pass that was begun.
        prepared_version: Version of the map whose experts it has copied, or
            None.
        armed: The change that it is ready for, or None.
        hold_step: The pass before which it holds the group, or None.
        slowdown: How many times longer it takes than a sound one.
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
        counts: Since the rank started; the experts of all sets in a row.
    """

    epoch: int
    counts: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HeldExperts:
    """The experts that a rank holds.

    Attributes:
        epoch: Epoch of the group.
        version: Version of the map in force.
        experts: By set of layers.
    """

    epoch: int
    version: int
    experts: tuple[tuple[int, ...], ...]


class RankClient(Protocol):
    """Speaks to the ranks.

    Its calls, but for ``order``, raise ``PlatformUnavailableError``.
    """

    async def read_report(
        self, endpoint: directory.Endpoint
    ) -> RankReport | None:
        """Returns what a rank says, or None where it belongs to no group."""

    async def read_counts(self, endpoint: directory.Endpoint) -> ExpertCounts:
        """Returns how often each expert was chosen."""

    async def read_experts(self, endpoint: directory.Endpoint) -> HeldExperts:
        """Returns the experts that a rank holds."""

    async def send_command(
        self,
        endpoint: directory.Endpoint,
        order: map_change.Command,
        experts: ExpertMap,
    ) -> map_change.CommandResult:
        """Gives an order.

        Args:
            endpoint: The rank.
            order: The order.
            experts: The map, which goes along with an order to prepare.
        """
