"""Brings all ranks of a group to a new expert map at the same pass.

The ranks do not compare their maps, so that whoever gives the orders answers
for it that no pass begins while two ranks have different ones. One rank, the
keeper, holds the group before the pass of the change; only then are the ranks
armed, and the keeper lets the group go on only after all ranks have confirmed,
or all have confirmed that they are not armed any more.

Orders may be lost, and those that were not answered may be carried out much
later. Every phase therefore uses a higher fencing number than the one before:
once a rank has confirmed an order of a phase, it refuses what is left of the
phases before. A group that forms anew has a new epoch and refuses all orders
of the old one.

Before it holds the group, the holder tells the other entries what it is about
to do. One that sees the group stand still takes the change over: it holds the
same pass with a higher fencing number, arms all ranks for the same map and
lets the group go on. All that do so use the same fencing numbers and give the
same orders, so that they help each other; therefore none of them may disarm a
rank, which another may count as armed.

Whoever finds a group that is held, or ranks that are armed, and does not know
why, takes the change back: it holds the same pass with a fencing number of its
own, so that nobody else's order to go on counts any more, and gives all ranks
an order, so that nobody else's order to arm does. Reports lag, so that only
after that it can be seen which ranks are armed; it disarms them and lets the
group go on.

The functions are pure; the specification in the tests runs this same class.
"""

from collections.abc import Iterable
import dataclasses
import enum

import msgspec

# Fencing numbers of one generation, those that one change may use, and those of
# them that go by until an entry that takes it over begins. A change uses one a
# phase, and a few more for each time that it is postponed.
FENCING_TOKENS_PER_GENERATION = 10_000
FENCING_TOKENS_PER_CHANGE = 100
TAKEOVER_TOKEN_OFFSET = 25


class Operation(enum.Enum):
    """What a rank is told to do."""

    PREPARE = "prepare"
    HOLD = "hold"
    ARM = "arm"
    DISARM = "disarm"
    GO = "go"


class CommandResult(enum.Enum):
    """What came of an order."""

    DONE = "done"
    CONFLICT = "conflict"
    FENCED = "fenced"
    UNKNOWN = "unknown"


class Phase(enum.Enum):
    """How far a change is."""

    PREPARING = "preparing"
    COPYING = "copying"
    HOLDING = "holding"
    ARMING = "arming"
    RELEASING = "releasing"
    SEIZING = "seizing"
    DISARMING = "disarming"
    CHECKING = "checking"
    RESUMING = "resuming"
    POSTPONING = "postponing"
    CHANGED = "changed"
    UNCHANGED = "unchanged"
    LOST = "lost"


FINAL_PHASES = frozenset({Phase.CHANGED, Phase.UNCHANGED, Phase.LOST})
_TO_KEEPER = {
    Phase.HOLDING: Operation.HOLD,
    Phase.RELEASING: Operation.GO,
    Phase.SEIZING: Operation.HOLD,
    Phase.RESUMING: Operation.GO,
    Phase.POSTPONING: Operation.GO,
}
_TO_ALL = {
    Phase.PREPARING: Operation.PREPARE,
    Phase.ARMING: Operation.ARM,
    Phase.DISARMING: Operation.DISARM,
}
# What follows when the ranks have confirmed, for a change of one's own.
_CONFIRMED = {
    Phase.PREPARING: Phase.COPYING,
    Phase.HOLDING: Phase.ARMING,
    Phase.POSTPONING: Phase.COPYING,
    Phase.ARMING: Phase.RELEASING,
    Phase.RELEASING: Phase.CHANGED,
    Phase.SEIZING: Phase.ARMING,
    Phase.DISARMING: Phase.RESUMING,
    Phase.RESUMING: Phase.UNCHANGED,
}
# And where a change is taken back of which only the effects are known.
_RECOVERED = _CONFIRMED | {
    Phase.SEIZING: Phase.DISARMING,
    Phase.DISARMING: Phase.CHECKING,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """One order to one rank.

    Attributes:
        rank: Id of the rank's engine.
        operation: What it is told to do.
        fencing_token: Fencing number.
        epoch: Epoch of the group.
        version: Version of the map.
        step: First pass that runs on it.
    """

    rank: str
    operation: Operation
    fencing_token: int
    epoch: int
    version: int
    step: int


class ChangePlan(msgspec.Struct, frozen=True, array_like=True):
    """What the other entries have to know of a change to take it over.

    Attributes:
        ranks: Ids of the engines of all ranks; the first one holds the group.
        epoch: Epoch of the group.
        version: Version of the new map.
        step: First pass that runs on it.
        fencing_token: Fencing number of the order to hold the group.
    """

    ranks: tuple[str, ...]
    epoch: int
    version: int
    step: int
    fencing_token: int


class MapChange:
    """One change of one group, or the end of someone else's.

    Attributes:
        phase: How far it is.
        step: First pass on the new map; the group is held before it.
        version: Version of the new map.
        fencing_token: Fencing number of the orders of this phase.
    """

    __slots__ = (
        "fencing_token",
        "phase",
        "step",
        "version",
        "_confirmed",
        "_epoch",
        "_is_recovery",
        "_is_takeover",
        "_ranks",
    )

    def __init__(
        self, ranks: Iterable[str], epoch: int, version: int, fencing_token: int
    ) -> None:
        """Begins with the copies.

        Args:
            ranks: Ids of the engines of all ranks; the first one holds the
                group.
            epoch: Epoch of the group.
            version: Version of the new map; nobody else uses it.
            fencing_token: First fencing token that this change may use.
        """
        self.phase = Phase.PREPARING
        self.step = 0
        self.version = version
        self._ranks = tuple(ranks)
        self._epoch = epoch
        self.fencing_token = fencing_token
        self._confirmed: set[str] = set()
        self._is_recovery = False
        self._is_takeover = False

    @classmethod
    def recovery(cls, plan: ChangePlan) -> "MapChange":
        """Returns the end of a change of which only its effects are known.

        Args:
            plan: What was seen; its version is one that ranks were seen armed
                with, or one that nobody uses.
        """
        change = cls.takeover(plan)
        change._is_recovery = True
        return change

    @classmethod
    def takeover(cls, plan: ChangePlan) -> "MapChange":
        """Returns the rest of a change that another entry has announced.

        Args:
            plan: What that entry has told, with a higher fencing number.
        """
        change = cls(plan.ranks, plan.epoch, plan.version, plan.fencing_token)
        change.step = plan.step
        change.phase = Phase.SEIZING
        change._is_takeover = True
        return change

    def plan(self) -> ChangePlan:
        """Returns what the other entries have to know."""
        return ChangePlan(
            self._ranks,
            self._epoch,
            self.version,
            self.step,
            self.fencing_token,
        )

    def pending_commands(self) -> list[Command]:
        """Returns the orders that have not been confirmed in this phase."""
        if self.phase in _TO_KEEPER:
            return [self._order(self._ranks[0], _TO_KEEPER[self.phase])]
        operation = _TO_ALL.get(self.phase)
        if operation is None:
            return []
        return [
            self._order(rank, operation)
            for rank in self._ranks
            if rank not in self._confirmed
        ]

    def on_copied(self, step: int) -> None:
        """All ranks should have the new experts; the group is to be held.

        Args:
            step: First pass that shall run on the new map.
        """
        if self.phase is Phase.COPYING:
            self.step = step
            self._enter(Phase.HOLDING)

    def on_checked(self, armed: int | None) -> None:
        """Tells what the ranks report after all have confirmed an order.

        Args:
            armed: Version that a rank is still armed with, or None.
        """
        if self.phase is not Phase.CHECKING:
            return
        if armed is None:
            self._enter(Phase.RESUMING)
        else:
            self.version = armed
            self._enter(Phase.DISARMING)

    def on_result(self, order: Command, answer: CommandResult) -> None:
        """Takes the answer to an order; one of an earlier phase is ignored.

        Args:
            order: The order.
            answer: What came of it.
        """
        if (
            order.fencing_token != self.fencing_token
            or self.phase in FINAL_PHASES
        ):
            return
        if answer is CommandResult.FENCED:
            self._enter(Phase.LOST)
        elif answer is CommandResult.CONFLICT:
            self._conflict(order)
        elif answer is CommandResult.DONE:
            self._done(order)

    def abort(self) -> None:
        """Takes the change back, where it can still be taken back.

        A change that was taken over is left to be found by others.
        """
        if self.phase in (Phase.PREPARING, Phase.COPYING):
            self._enter(Phase.UNCHANGED)
        elif self.phase in (Phase.HOLDING, Phase.POSTPONING):
            # Nobody is armed; an order to hold may still be on its way.
            self._enter(Phase.RESUMING)
        elif self.phase is Phase.ARMING and self._is_takeover:
            self._enter(Phase.UNCHANGED)
        elif self.phase is Phase.ARMING:
            self._enter(Phase.DISARMING)

    def _order(self, rank: str, operation: Operation) -> Command:
        return Command(
            rank,
            operation,
            self.fencing_token,
            self._epoch,
            self.version,
            self.step,
        )

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        self.fencing_token += 1
        self._confirmed.clear()

    def _conflict(self, order: Command) -> None:
        if self.phase is Phase.ARMING and not self._is_takeover:
            return  # The rank still copies, or the group has formed anew.
        if self.phase is Phase.HOLDING:
            # The pass has begun. An order to hold it that is still on its way
            # must not come to anything before a later pass is named.
            self._enter(Phase.POSTPONING)
        elif self.phase is Phase.DISARMING:
            # There is nothing to disarm: the group has formed anew.
            self._done(order)
        elif self.phase is Phase.RELEASING:
            self._enter(Phase.CHANGED)
        else:
            self._enter(Phase.UNCHANGED)

    def _done(self, order: Command) -> None:
        self._confirmed.add(order.rank)
        asks_all = self.phase in _TO_ALL
        if asks_all and not self._confirmed.issuperset(self._ranks):
            return
        following = _RECOVERED if self._is_recovery else _CONFIRMED
        self._enter(following[self.phase])
