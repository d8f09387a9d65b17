"""Specification of the commands that change an expert map.

It runs the product's class ``map_change.MapChange``. Two ranks begin iterations
together; the first one is the barrier rank, which can hold the group. One
entry, the owner of the expert maps, makes a change. It may crash or reach its
time limit at any point. Another entry may take the change over once the change
is announced. An entry may also recover the group from what it finds; the
reports that it reads may be of any age. Commands may be lost or executed much
later, and their results may be lost.
"""

import dataclasses

from msgspec import structs

from godwitdale_experts import map_change
import model_checking

RANKS = ("a", "b")
VERSION = 1
UNUSED_VERSION = 9
MAX_ITERATIONS = 2
MAX_DUPLICATES = 1
FIRST_FENCING_TOKENS = {
    "owner": 0,
    "successor": 20,
    "second successor": 20,
    "recoverer": 40,
}
LATEST_FENCING_TOKEN = 60
# Highest fencing token with which a change may choose its iteration. It allows
# the owner to choose an iteration twice.
MAX_COPYING_TOKEN = 4
RULES = {
    "hold": "ranks are armed only after the group is held",
    "all": "the group is released only after all ranks have confirmed",
    "fence": "a rank refuses commands with a lower fencing token",
    "raise": "each phase uses a higher fencing token",
    "seize": "a takeover or a recovery first holds the iteration again",
    "check": "a recovery reads new reports after all ranks have confirmed",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """State of a rank.

    Attributes:
        highest_token: Highest fencing token that the rank has accepted.
        armed: Version and first iteration of the map that the rank is armed
            with, or None.
        version: Version of the map in use.
    """

    highest_token: int = -1
    armed: tuple[int, int] | None = None
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """State of the ranks, the commands in flight and the entries.

    Attributes:
        ranks: State of each rank.
        held: Iteration before which the group is held, or None.
        next_iteration: The next iteration to begin.
        commands: Commands in flight, each with the name of its sender.
        duplicates: How often a command was executed and stayed in flight.
        entries: Name of each entry that takes part, and a snapshot of its
            change.
        has_owner_crashed: Whether the owner has crashed.
        has_mixed_maps: Whether an iteration began with two maps.
    """

    ranks: tuple[Rank, ...] = (Rank(), Rank())
    held: int | None = None
    next_iteration: int = 0
    commands: frozenset = frozenset()
    duplicates: int = 0
    entries: tuple = ()
    has_owner_crashed: bool = False
    has_mixed_maps: bool = False

    def entry(self, name):
        return dict(self.entries).get(name)

    def with_entry(self, name, snapshot):
        entries = dict(self.entries) | {name: snapshot}
        return dataclasses.replace(self, entries=tuple(sorted(entries.items())))


def snapshot_of(change):
    """Returns the attributes of a change as a hashable tuple."""
    return tuple(
        frozenset(value) if isinstance(value, set) else value
        for value in (getattr(change, name) for name in change.__slots__)
    )


def restore(snapshot):
    """Returns a change with the attributes of a snapshot."""
    change = object.__new__(map_change.MapChange)
    for name, value in zip(change.__slots__, snapshot, strict=True):
        setattr(
            change, name, set(value) if isinstance(value, frozenset) else value
        )
    return change


def initial_state():
    """Returns the state after all ranks have prepared the owner's change."""
    change = map_change.MapChange(
        RANKS, 1, VERSION, FIRST_FENCING_TOKENS["owner"]
    )
    for command in change.pending_commands():
        change.on_result(command, map_change.CommandResult.DONE)
    return State().with_entry("owner", snapshot_of(change))


def transitions(state, removed_rules, other_entries):
    """Yields the label and the next state of each enabled action."""
    yield from iteration_actions(state)
    yield from command_actions(state, removed_rules)
    yield from join_actions(state, removed_rules, other_entries)
    for name, snapshot in state.entries:
        if name == "owner" and state.has_owner_crashed:
            continue
        yield from entry_actions(state, name, restore(snapshot), removed_rules)
    if not state.has_owner_crashed:
        yield (
            "owner crashes",
            dataclasses.replace(state, has_owner_crashed=True),
        )


def iteration_actions(state):
    """Yields the start of the next iteration, if the group is not held."""
    iteration = state.next_iteration
    if iteration >= MAX_ITERATIONS or state.held == iteration:
        return
    ranks = tuple(
        Rank(rank.highest_token, None, rank.armed[0])
        if rank.armed is not None and rank.armed[1] == iteration
        else rank
        for rank in state.ranks
    )
    yield (
        f"iteration {iteration} begins",
        dataclasses.replace(
            state,
            ranks=ranks,
            next_iteration=iteration + 1,
            has_mixed_maps=state.has_mixed_maps
            or len({rank.version for rank in ranks}) > 1,
        ),
    )


def join_actions(state, removed_rules, other_entries):
    """Yields the takeovers and recoveries that other entries may start."""
    owner = restore(state.entry("owner"))
    has_announced = owner.step > 0 and owner.phase not in (
        map_change.Phase.COPYING,
    )
    if not has_announced:
        return
    for name in ("successor", "second successor"):
        if name not in other_entries or state.entry(name) is not None:
            continue
        plan = structs.replace(
            owner.plan(), fencing_token=FIRST_FENCING_TOKENS[name]
        )
        change = map_change.MapChange.takeover(plan)
        yield (
            f"{name} takes over",
            state.with_entry(name, snapshot_of(change)),
        )
    if "recoverer" in other_entries and state.entry("recoverer") is None:
        for reported_version in (VERSION, UNUSED_VERSION):
            plan = map_change.ChangePlan(
                RANKS,
                1,
                reported_version,
                owner.step,
                FIRST_FENCING_TOKENS["recoverer"],
            )
            change = map_change.MapChange.recovery(plan)
            if "seize" in removed_rules:
                change.phase = map_change.Phase.DISARMING
            yield (
                f"recoverer starts, reported version {reported_version}",
                state.with_entry("recoverer", snapshot_of(change)),
            )


def entry_actions(state, name, change, removed_rules):
    """Yields the actions of one entry in the phase of its change."""
    phase = change.phase
    if phase is map_change.Phase.COPYING:
        if change.fencing_token > MAX_COPYING_TOKEN:
            return
        for iteration in {1, max(1, state.next_iteration)}:
            copy = restore(snapshot_of(change))
            copy.on_copied(iteration)
            apply_removed_rules(copy, change, removed_rules)
            after = state.with_entry(name, snapshot_of(copy))
            yield f"{name} chooses iteration {iteration}", after
        return
    if phase is map_change.Phase.CHECKING:
        armed = [rank.armed[0] for rank in state.ranks if rank.armed]
        change.on_checked(armed[0] if armed else None)
        yield (
            f"{name} reads the reports",
            state.with_entry(name, snapshot_of(change)),
        )
        return
    commands = state.commands | {
        (name, command) for command in change.pending_commands()
    }
    if commands != state.commands:
        yield (
            f"{name} sends commands",
            dataclasses.replace(state, commands=commands),
        )
    if name == "owner" and phase not in map_change.FINAL_PHASES:
        copy = restore(snapshot_of(change))
        copy.abort()
        if copy.phase is not phase:
            apply_removed_rules(copy, change, removed_rules)
            yield f"{name} aborts", state.with_entry(name, snapshot_of(copy))


def command_actions(state, removed_rules):
    """Yields the execution of each command in flight."""
    for name, command in state.commands:
        after, result = execute(state, command, removed_rules)
        executed = dataclasses.replace(
            after, commands=state.commands - {(name, command)}
        )
        label = f"{name}: {command.operation.value} at {command.rank}"
        yield f"{label}, result lost", executed
        has_crashed = name == "owner" and state.has_owner_crashed
        if not has_crashed:
            yield (
                f"{label}: {result.value}",
                with_result(executed, name, command, result),
            )
            if name == "owner" and state.duplicates < MAX_DUPLICATES:
                # The owner sent the command twice; one of the two copies is
                # still in flight.
                duplicated = dataclasses.replace(
                    after,
                    commands=state.commands,
                    duplicates=state.duplicates + 1,
                )
                yield (
                    f"{label}: {result.value}, with a duplicate in flight",
                    with_result(duplicated, name, command, result),
                )


def with_result(state, name, command, result):
    """Returns the state after an entry received the result of a command."""
    change = restore(state.entry(name))
    before = restore(state.entry(name))
    change.on_result(command, result)
    apply_removed_rules(change, before, current_removed_rules.get())
    return state.with_entry(name, snapshot_of(change))


class RemovedRules:
    """Holds the names of the rules that are removed in the current search."""

    def __init__(self):
        self._removed_rules = frozenset()

    def set(self, removed_rules):
        self._removed_rules = removed_rules

    def get(self):
        return self._removed_rules


current_removed_rules = RemovedRules()


def apply_removed_rules(change, before, removed_rules):
    """Changes the next state of an entry as if it ran without some rules.

    Args:
        change: The change after an action of the product's class.
        before: The change before the action.
        removed_rules: Names of the removed rules.
    """
    if "raise" in removed_rules:
        change.fencing_token = before.fencing_token
    if (
        "hold" in removed_rules
        and change.phase is map_change.Phase.HOLDING
        and before.phase is not map_change.Phase.HOLDING
    ):
        change.phase = map_change.Phase.ARMING
    if (
        "all" in removed_rules
        and change.phase is map_change.Phase.ARMING
        and change._confirmed
    ):
        change.phase = map_change.Phase.RELEASING
    if "check" in removed_rules and change.phase is map_change.Phase.CHECKING:
        change.phase = map_change.Phase.RESUMING


def execute(state, command, removed_rules):
    """Returns the state after a rank got a command, and the result."""
    index = RANKS.index(command.rank)
    rank = state.ranks[index]
    if (
        command.fencing_token < rank.highest_token
        and "fence" not in removed_rules
    ):
        return state, map_change.CommandResult.FENCED
    rank = dataclasses.replace(
        rank, highest_token=max(command.fencing_token, rank.highest_token)
    )
    result = map_change.CommandResult.DONE
    held = state.held
    operation = command.operation
    is_past = command.step < state.next_iteration
    if operation is map_change.Operation.HOLD:
        if is_past or held not in (None, command.step):
            result = map_change.CommandResult.CONFLICT
        else:
            held = command.step
    elif operation is map_change.Operation.GO and held == command.step:
        held = None
    elif operation is map_change.Operation.ARM:
        if is_past or command.version != VERSION or rank.version == VERSION:
            result = map_change.CommandResult.CONFLICT
        else:
            rank = dataclasses.replace(
                rank, armed=(command.version, command.step)
            )
    elif operation is map_change.Operation.DISARM:
        if rank.version == command.version:
            result = map_change.CommandResult.CONFLICT
        elif rank.armed is not None and rank.armed[0] == command.version:
            rank = dataclasses.replace(rank, armed=None)
    ranks = state.ranks[:index] + (rank,) + state.ranks[index + 1 :]
    return dataclasses.replace(state, ranks=ranks, held=held), result


def transitions_with(*other_entries):
    """Returns the transition function for the owner and other entries."""

    def transition_function(state, removed_rules):
        current_removed_rules.set(removed_rules)
        has_fencing = not removed_rules & {"fence", "raise"}
        if not has_fencing or len(other_entries) > 1:
            # No command is duplicated, to keep the search short.
            state = dataclasses.replace(state, duplicates=MAX_DUPLICATES)
        for label, after in transitions(state, removed_rules, other_entries):
            yield (
                label,
                without_ineffective_commands(after) if has_fencing else after,
            )

    return transition_function


def without_ineffective_commands(state):
    """Drops commands that a rank refuses and whose result no entry awaits."""
    kept = frozenset(
        (name, command)
        for name, command in state.commands
        if command.fencing_token
        >= state.ranks[RANKS.index(command.rank)].highest_token
        or command.fencing_token >= restore(state.entry(name)).fencing_token
    )
    return dataclasses.replace(state, commands=kept)


def can_be_released(state):
    """Returns whether a recovery by one more entry releases the group.

    No other entry acts during this recovery, and no command is lost.
    """
    if state.held is None:
        return True
    plan = map_change.ChangePlan(
        RANKS, 1, UNUSED_VERSION, state.held, LATEST_FENCING_TOKEN
    )
    change = map_change.MapChange.recovery(plan)
    while change.phase not in map_change.FINAL_PHASES:
        if change.phase is map_change.Phase.CHECKING:
            armed = [rank.armed[0] for rank in state.ranks if rank.armed]
            change.on_checked(armed[0] if armed else None)
        for command in change.pending_commands():
            state, result = execute(state, command, frozenset())
            change.on_result(command, result)
    return state.held is None and not any(rank.armed for rank in state.ranks)


INVARIANTS = {
    "no iteration begins with two maps": (
        lambda state: not state.has_mixed_maps
    ),
    "a held group can be released": can_be_released,
}


def specification(other_entries, rules):
    """Returns the specification for the owner and other entries.

    Args:
        other_entries: Names of the other entries.
        rules: Names of the rules whose removal violates an invariant.
    """
    return model_checking.Specification(
        name=f"expert map commands, {' and '.join(other_entries)}",
        initial_state=initial_state(),
        transitions=transitions_with(*other_entries),
        invariants=INVARIANTS,
        mutants={rule: frozenset({rule}) for rule in rules},
    )


SPECIFICATIONS = [
    specification(("successor",), ("hold", "all", "fence", "raise")),
    specification(("successor", "second successor"), ()),
    specification(("recoverer",), ("seize", "check")),
]
