"""State machine that changes the map of all ranks at the same iteration.

The ranks do not compare their maps. The entry that sends the commands
therefore has to ensure that no iteration begins while two ranks have different
maps. One rank, the barrier rank, holds the group before the iteration of the
change. A rank that is armed switches to the new map by itself when it reaches
that iteration; the ranks are armed only after the group is held. The barrier
rank releases the group only after all ranks have confirmed that they are armed,
or all have confirmed that they are not armed any more.

Commands may be lost, and a command without an answer may be executed much
later. Every phase therefore uses a higher fencing token than the phase before
it: once a rank has confirmed a command of a phase, it refuses the remaining
commands of earlier phases. A group that forms again has a new epoch and
refuses all commands of the old epoch.

Before an entry holds the group, it announces the change to the other entries.
An entry that sees the group stall takes the change over: it holds the same
iteration with a higher fencing token, arms all ranks for the same map and
releases the group. All entries that take a change over use the same fencing
tokens and send the same commands, so several entries may run the same takeover
at once. None of them may disarm a rank, because another entry may count this
rank as armed.

An entry that finds a held group or armed ranks without knowing the reason
recovers the group, which takes the change back. The entry holds the same
iteration with a fencing token of its own, so that no other entry's command to
release the group is accepted any more. It then sends a command to all ranks, so
that no other entry's command to arm is accepted any more. Reports lag, so only
later reports show which ranks are armed. The entry disarms these ranks and
releases the group.

Gateways use this module. ``two_phase_switch`` is another protocol for the same
purpose, for agents that have a log. Fields named ``step`` hold the number of an
iteration.

The class does no input or output; the specification in the tests runs this
same class.
"""

from collections.abc import Iterable
import dataclasses
import enum

import msgspec

# Each generation of the ownership of the expert maps has its own range of
# FENCING_TOKENS_PER_GENERATION tokens. A change uses one fencing token per
# phase, and a few more each time that it is postponed. An entry that takes a
# change over starts at the announced token plus the offset.
FENCING_TOKENS_PER_GENERATION = 10_000
FENCING_TOKENS_PER_CHANGE = 100
TAKEOVER_TOKEN_OFFSET = 25


class Operation(enum.Enum):
    """Operation that a command asks a rank to perform.

    Attributes:
        PREPARE: Copy the experts of the new map.
        HOLD: Hold the group before an iteration.
        ARM: Switch to the new map at an iteration.
        DISARM: Do not switch to the new map.
        GO: Release the group.
    """

    PREPARE = "prepare"
    HOLD = "hold"
    ARM = "arm"
    DISARM = "disarm"
    GO = "go"


class CommandResult(enum.Enum):
    """Result of a command, as far as the sender knows."""

    DONE = "done"
    CONFLICT = "conflict"
    FENCED = "fenced"
    UNKNOWN = "unknown"


class Phase(enum.Enum):
    """Phase of a map change.

    Attributes:
        PREPARING: The ranks are asked to prepare the new map.
        COPYING: The ranks copy experts; no command is sent.
        HOLDING: The barrier rank is asked to hold the group.
        ARMING: All ranks are asked to arm.
        RELEASING: The barrier rank is asked to release the group, which then
            switches to the new map.
        SEIZING: A takeover or recovery asks the barrier rank to hold the group
            with a higher fencing token.
        DISARMING: All ranks are asked to disarm.
        CHECKING: A recovery waits for reports that show which ranks are armed.
        RESUMING: The barrier rank is asked to release the group, which keeps
            its map.
        POSTPONING: The barrier rank is asked to release the group, because the
            iteration of the change began before the group was held. A later
            iteration is chosen then.
        CHANGED: Final: the group switches to the new map.
        UNCHANGED: Final: this entry has not changed the map. If a takeover was
            aborted or met a conflict, the group may still be held, ranks may
            be armed, or the map may have been changed by another entry.
        LOST: Final: a rank refused a command because another entry uses a
            higher fencing token, so this entry gives up.
    """

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
_BARRIER_RANK_OPERATIONS = {
    Phase.HOLDING: Operation.HOLD,
    Phase.RELEASING: Operation.GO,
    Phase.SEIZING: Operation.HOLD,
    Phase.RESUMING: Operation.GO,
    Phase.POSTPONING: Operation.GO,
}
_ALL_RANKS_OPERATIONS = {
    Phase.PREPARING: Operation.PREPARE,
    Phase.ARMING: Operation.ARM,
    Phase.DISARMING: Operation.DISARM,
}
# Phase that follows when the ranks have confirmed.
_NEXT_PHASE = {
    Phase.PREPARING: Phase.COPYING,
    Phase.HOLDING: Phase.ARMING,
    Phase.POSTPONING: Phase.COPYING,
    Phase.ARMING: Phase.RELEASING,
    Phase.RELEASING: Phase.CHANGED,
    Phase.SEIZING: Phase.ARMING,
    Phase.DISARMING: Phase.RESUMING,
    Phase.RESUMING: Phase.UNCHANGED,
}
# Phase that follows in a recovery. Only the effects of the change are known,
# not its plan; the ranks are therefore disarmed instead of armed.
_NEXT_RECOVERY_PHASE = _NEXT_PHASE | {
    Phase.SEIZING: Phase.DISARMING,
    Phase.DISARMING: Phase.CHECKING,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """A command to one rank.

    Attributes:
        rank: Id of the rank's engine.
        operation: Operation that the rank is to perform.
        fencing_token: Fencing token of the phase.
        epoch: Epoch of the group.
        version: Version of the map.
        step: Number of the first iteration that runs on the map.
    """

    rank: str
    operation: Operation
    fencing_token: int
    epoch: int
    version: int
    step: int


class ChangePlan(msgspec.Struct, frozen=True, array_like=True):
    """Description of a change, with which another entry can take it over.

    Attributes:
        ranks: Ids of the engines of all ranks, the barrier rank first.
        epoch: Epoch of the group.
        version: Version of the new map.
        step: Number of the first iteration that runs on the new map.
        fencing_token: Fencing token of the command to hold the group.
    """

    ranks: tuple[str, ...]
    epoch: int
    version: int
    step: int
    fencing_token: int


class MapChange:
    """A change of a group's map, a takeover or a recovery.

    Attributes:
        phase: Current phase.
        step: Number of the first iteration on the new map; the group is held
            before it.
        version: Version of the new map.
        fencing_token: Fencing token of the commands of this phase.
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
        """Creates a change that starts with the preparation of the ranks.

        Args:
            ranks: Ids of the engines of all ranks, the barrier rank first.
            epoch: Epoch of the group.
            version: Version of the new map; no other map may have it.
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
        """Returns the recovery from a change of which only effects are known.

        Args:
            plan: The observed state of the group. Its version is one that
                ranks were armed with, or a version that no map has.
        """
        change = cls.takeover(plan)
        change._is_recovery = True
        return change

    @classmethod
    def takeover(cls, plan: ChangePlan) -> "MapChange":
        """Returns the takeover of a change that another entry has announced.

        Args:
            plan: The announced plan with a higher fencing token.
        """
        change = cls(plan.ranks, plan.epoch, plan.version, plan.fencing_token)
        change.step = plan.step
        change.phase = Phase.SEIZING
        change._is_takeover = True
        return change

    def plan(self) -> ChangePlan:
        """Returns the description of this change for the other entries."""
        return ChangePlan(
            self._ranks,
            self._epoch,
            self.version,
            self.step,
            self.fencing_token,
        )

    def pending_commands(self) -> list[Command]:
        """Returns the commands of this phase that are not confirmed yet."""
        if self.phase in _BARRIER_RANK_OPERATIONS:
            return [
                self._command(
                    self._ranks[0], _BARRIER_RANK_OPERATIONS[self.phase]
                )
            ]
        operation = _ALL_RANKS_OPERATIONS.get(self.phase)
        if operation is None:
            return []
        return [
            self._command(rank, operation)
            for rank in self._ranks
            if rank not in self._confirmed
        ]

    def on_copied(self, step: int) -> None:
        """Starts to hold the group, after the ranks had time to copy.

        Args:
            step: Number of the first iteration that is to run on the new map.
        """
        if self.phase is Phase.COPYING:
            self.step = step
            self._enter_phase(Phase.HOLDING)

    def on_checked(self, armed: int | None) -> None:
        """Handles reports that all ranks made after they confirmed a command.

        Args:
            armed: Version that a rank is still armed with, or None.
        """
        if self.phase is not Phase.CHECKING:
            return
        if armed is None:
            self._enter_phase(Phase.RESUMING)
        else:
            self.version = armed
            self._enter_phase(Phase.DISARMING)

    def on_result(self, command: Command, result: CommandResult) -> None:
        """Handles the result of a command; ignores those of earlier phases.

        Args:
            command: The command.
            result: Its result.
        """
        if (
            command.fencing_token != self.fencing_token
            or self.phase in FINAL_PHASES
        ):
            return
        if result is CommandResult.FENCED:
            self._enter_phase(Phase.LOST)
        elif result is CommandResult.CONFLICT:
            self._on_conflict(command)
        elif result is CommandResult.DONE:
            self._on_done(command)

    def abort(self) -> None:
        """Aborts the change if the current phase still allows it.

        A takeover that is aborted leaves the ranks as they are; an entry that
        finds the held group recovers it.
        """
        if self.phase in (Phase.PREPARING, Phase.COPYING):
            self._enter_phase(Phase.UNCHANGED)
        elif self.phase in (Phase.HOLDING, Phase.POSTPONING):
            # No rank is armed, but a command to hold may still arrive.
            self._enter_phase(Phase.RESUMING)
        elif self.phase is Phase.ARMING and self._is_takeover:
            self._enter_phase(Phase.UNCHANGED)
        elif self.phase is Phase.ARMING:
            self._enter_phase(Phase.DISARMING)

    def _command(self, rank: str, operation: Operation) -> Command:
        return Command(
            rank,
            operation,
            self.fencing_token,
            self._epoch,
            self.version,
            self.step,
        )

    def _enter_phase(self, phase: Phase) -> None:
        self.phase = phase
        self.fencing_token += 1
        self._confirmed.clear()

    def _on_conflict(self, command: Command) -> None:
        if self.phase is Phase.ARMING and not self._is_takeover:
            return  # The rank still copies, or the group has formed again.
        if self.phase is Phase.HOLDING:
            # The iteration has begun. A command to hold it may still arrive
            # and has to be fenced off before a later iteration is chosen.
            self._enter_phase(Phase.POSTPONING)
        elif self.phase is Phase.DISARMING:
            # There is nothing to disarm: the group has formed again.
            self._on_done(command)
        elif self.phase is Phase.RELEASING:
            self._enter_phase(Phase.CHANGED)
        else:
            self._enter_phase(Phase.UNCHANGED)

    def _on_done(self, command: Command) -> None:
        self._confirmed.add(command.rank)
        needs_all_ranks = self.phase in _ALL_RANKS_OPERATIONS
        if needs_all_ranks and not self._confirmed.issuperset(self._ranks):
            return
        next_phases = _NEXT_RECOVERY_PHASE if self._is_recovery else _NEXT_PHASE
        self._enter_phase(next_phases[self.phase])
