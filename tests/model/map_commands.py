"""Specification of the orders that change an expert map, with the real class.

Two ranks begin passes together; the first one may hold the group. One holder
makes a change and may crash or run out of time at any point. Another entry may
take the change over once it is announced, or take back what it finds, which
reports of any age tell it. Orders may be lost, or be carried out much later,
and answers may be lost.
"""

import dataclasses

from msgspec import structs

from godwitdale_experts import map_change
import model_checking

RANKS = ("a", "b")
VERSION = 1
UNUSED = 9
MOST_PASSES = 2
MOST_LATE = 1
FENCES = {"holder": 0, "successor": 20, "second": 20, "finder": 40}
LATEST_FENCE = 60
# A pass is named twice at the most.
MOST_FENCE = 4
RULES = {
    "hold": "ranks are armed only after the group is held",
    "all": "the group goes on only after all ranks have confirmed",
    "fence": "a rank refuses orders with a lower fencing number",
    "raise": "each phase uses a higher fencing number",
    "seize": "who takes over or takes back holds the pass again first",
    "check": "who takes back looks again after all ranks have confirmed",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """What a rank keeps."""

    fence: int = -1
    armed: tuple[int, int] | None = None
    map: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Ranks, orders on their way, and what each entry is at."""

    ranks: tuple[Rank, ...] = (Rank(), Rank())
    held: int | None = None
    next_pass: int = 0
    orders: frozenset = frozenset()
    late: int = 0
    entries: tuple = ()
    crashed: bool = False
    is_mixed: bool = False

    def entry(self, name):
        return dict(self.entries).get(name)

    def with_entry(self, name, frozen):
        entries = dict(self.entries) | {name: frozen}
        return dataclasses.replace(self, entries=tuple(sorted(entries.items())))


def freeze(change):
    return tuple(
        frozenset(value) if isinstance(value, set) else value
        for value in (getattr(change, name) for name in change.__slots__)
    )


def thaw(frozen):
    change = object.__new__(map_change.MapChange)
    for name, value in zip(change.__slots__, frozen, strict=True):
        setattr(
            change, name, set(value) if isinstance(value, frozenset) else value
        )
    return change


def first_state():
    change = map_change.MapChange(RANKS, 1, VERSION, FENCES["holder"])
    for order in change.pending_commands():
        change.on_result(order, map_change.CommandResult.DONE)
    return State().with_entry("holder", freeze(change))


def transitions(state, removed, others):
    """Yields all steps from a state."""
    yield from passing(state)
    yield from carrying_out(state, removed)
    yield from beginning(state, removed, others)
    for name, frozen in state.entries:
        if name == "holder" and state.crashed:
            continue
        yield from acting(state, name, thaw(frozen), removed)
    if not state.crashed:
        yield "the holder crashes", dataclasses.replace(state, crashed=True)


def passing(state):
    step = state.next_pass
    if step >= MOST_PASSES or state.held == step:
        return
    ranks = tuple(
        Rank(rank.fence, None, rank.armed[0])
        if rank.armed is not None and rank.armed[1] == step
        else rank
        for rank in state.ranks
    )
    yield (
        f"pass {step} begins",
        dataclasses.replace(
            state,
            ranks=ranks,
            next_pass=step + 1,
            is_mixed=state.is_mixed or len({rank.map for rank in ranks}) > 1,
        ),
    )


def beginning(state, removed, others):
    """Another entry comes in."""
    holder = thaw(state.entry("holder"))
    has_announced = holder.step > 0 and holder.phase not in (
        map_change.Phase.COPYING,
    )
    if not has_announced:
        return
    for name in ("successor", "second"):
        if name not in others or state.entry(name) is not None:
            continue
        plan = structs.replace(holder.plan(), fencing_token=FENCES[name])
        change = map_change.MapChange.takeover(plan)
        yield f"{name} takes over", state.with_entry(name, freeze(change))
    if "finder" in others and state.entry("finder") is None:
        for seen in (VERSION, UNUSED):
            plan = map_change.ChangePlan(
                RANKS, 1, seen, holder.step, FENCES["finder"]
            )
            change = map_change.MapChange.recovery(plan)
            if "seize" in removed:
                change.phase = map_change.Phase.DISARMING
            yield (
                f"takes back, has seen {seen}",
                state.with_entry("finder", freeze(change)),
            )


def acting(state, name, change, removed):
    phase = change.phase
    if phase is map_change.Phase.COPYING:
        if change.fencing_token > MOST_FENCE:
            return
        for step in {1, max(1, state.next_pass)}:
            copy = thaw(freeze(change))
            copy.on_copied(step)
            settle(copy, change, removed)
            after = state.with_entry(name, freeze(copy))
            yield f"{name} names pass {step}", after
        return
    if phase is map_change.Phase.CHECKING:
        armed = [rank.armed[0] for rank in state.ranks if rank.armed]
        change.on_checked(armed[0] if armed else None)
        yield f"{name} looks", state.with_entry(name, freeze(change))
        return
    sent = state.orders | {(name, order) for order in change.pending_commands()}
    if sent != state.orders:
        yield f"{name} sends", dataclasses.replace(state, orders=sent)
    if name == "holder" and phase not in map_change.FINAL_PHASES:
        copy = thaw(freeze(change))
        copy.abort()
        if copy.phase is not phase:
            settle(copy, change, removed)
            yield f"{name} gives up", state.with_entry(name, freeze(copy))


def carrying_out(state, removed):
    for name, order in state.orders:
        after, answer = obey(state, order, removed)
        left = dataclasses.replace(after, orders=state.orders - {(name, order)})
        label = f"{name}: {order.operation.value} at {order.rank}"
        yield f"{label}, not answered", left
        is_gone = name == "holder" and state.crashed
        if not is_gone:
            yield f"{label}: {answer.value}", told(left, name, order, answer)
            if name == "holder" and state.late < MOST_LATE:
                # The first of two equal orders is still on its way.
                kept = dataclasses.replace(
                    after, orders=state.orders, late=state.late + 1
                )
                yield f"{label} twice", told(kept, name, order, answer)


def told(state, name, order, answer):
    change = thaw(state.entry(name))
    before = thaw(state.entry(name))
    change.on_result(order, answer)
    settle(change, before, state_removed.get())
    return state.with_entry(name, freeze(change))


class Removed:
    """The rules that are removed in the search that runs."""

    def __init__(self):
        self._rules = frozenset()

    def set(self, rules):
        self._rules = rules

    def get(self):
        return self._rules


state_removed = Removed()


def settle(change, before, removed):
    """Applies the removal of rules of the entries."""
    if "raise" in removed:
        change.fencing_token = before.fencing_token
    if (
        "hold" in removed
        and change.phase is map_change.Phase.HOLDING
        and before.phase is not map_change.Phase.HOLDING
    ):
        change.phase = map_change.Phase.ARMING
    if (
        "all" in removed
        and change.phase is map_change.Phase.ARMING
        and change._confirmed
    ):
        change.phase = map_change.Phase.RELEASING
    if "check" in removed and change.phase is map_change.Phase.CHECKING:
        change.phase = map_change.Phase.RESUMING


def obey(state, order, removed):
    """Returns the state after a rank got an order, and its answer."""
    index = RANKS.index(order.rank)
    rank = state.ranks[index]
    if order.fencing_token < rank.fence and "fence" not in removed:
        return state, map_change.CommandResult.FENCED
    rank = dataclasses.replace(rank, fence=max(order.fencing_token, rank.fence))
    answer = map_change.CommandResult.DONE
    held = state.held
    operation = order.operation
    is_past = order.step < state.next_pass
    if operation is map_change.Operation.HOLD:
        if is_past or held not in (None, order.step):
            answer = map_change.CommandResult.CONFLICT
        else:
            held = order.step
    elif operation is map_change.Operation.GO and held == order.step:
        held = None
    elif operation is map_change.Operation.ARM:
        if is_past or order.version != VERSION or rank.map == VERSION:
            answer = map_change.CommandResult.CONFLICT
        else:
            rank = dataclasses.replace(rank, armed=(order.version, order.step))
    elif operation is map_change.Operation.DISARM:
        if rank.map == order.version:
            answer = map_change.CommandResult.CONFLICT
        elif rank.armed is not None and rank.armed[0] == order.version:
            rank = dataclasses.replace(rank, armed=None)
    ranks = state.ranks[:index] + (rank,) + state.ranks[index + 1 :]
    return dataclasses.replace(state, ranks=ranks, held=held), answer


def steps_with(*others):
    """Returns the steps beside other entries."""

    def steps(state, removed):
        state_removed.set(removed)
        are_fenced = not removed & {"fence", "raise"}
        if not are_fenced or len(others) > 1:
            # No order comes twice, to keep the search short.
            state = dataclasses.replace(state, late=MOST_LATE)
        for label, after in transitions(state, removed, others):
            yield label, without_effect(after) if are_fenced else after

    return steps


def without_effect(state):
    """Drops orders that a rank refuses and nobody waits for."""
    kept = frozenset(
        (name, order)
        for name, order in state.orders
        if order.fencing_token >= state.ranks[RANKS.index(order.rank)].fence
        or order.fencing_token >= thaw(state.entry(name)).fencing_token
    )
    return dataclasses.replace(state, orders=kept)


def can_be_freed(state):
    """Tells whether one more entry, undisturbed, lets the group go on."""
    if state.held is None:
        return True
    plan = map_change.ChangePlan(RANKS, 1, UNUSED, state.held, LATEST_FENCE)
    change = map_change.MapChange.recovery(plan)
    while change.phase not in map_change.FINAL_PHASES:
        if change.phase is map_change.Phase.CHECKING:
            armed = [rank.armed[0] for rank in state.ranks if rank.armed]
            change.on_checked(armed[0] if armed else None)
        for order in change.pending_commands():
            state, answer = obey(state, order, frozenset())
            change.on_result(order, answer)
    return state.held is None and not any(rank.armed for rank in state.ranks)


PROMISES = {
    "no pass begins with two maps": lambda state: not state.is_mixed,
    "a held group can be freed": can_be_freed,
}


def specification(others, rules):
    return model_checking.Specification(
        name=f"expert map orders, {' and '.join(others)}",
        initial=first_state(),
        transitions=steps_with(*others),
        promises=PROMISES,
        mutants={rule: frozenset({rule}) for rule in rules},
    )


SPECIFICATIONS = [
    specification(("successor",), ("hold", "all", "fence", "raise")),
    specification(("successor", "second"), ()),
    specification(("finder",), ("seize", "check")),
]
