"""The decision to move experts, or to leave them."""

import dataclasses

import numpy as np

from godwitdale_experts import placement as placement_lib

_HORIZON_WEIGHT = 0.3
_CHANGE_STEPS = (4, 16, 64, 256)


@dataclasses.dataclass(frozen=True, slots=True)
class Costs:
    """What a move costs.

    Attributes:
        load_s: Time to fetch one replica's weights from the store.
        slowdown: Share by which a step is slower while weights are loaded.
        hold_s: Time that the group waits at the switch.
        step_s: Time of a perfectly balanced step.
    """

    load_s: float
    slowdown: float
    hold_s: float
    step_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Preference:
    """What the operators of a group declare.

    Attributes:
        skew_weight: Worth of a second of step-time skew.
        cost_weight: Worth of a second of work delayed by a move.
        horizon_s: How long a placement is expected to stay good.
        is_quiet: Whether no move may start now.
    """

    skew_weight: float
    cost_weight: float
    horizon_s: float
    is_quiet: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A move that is worth its cost.

    Attributes:
        placement: The new placement, shape ``(ranks, experts)``.
        replicas_to_load: Replicas to load.
        delay_s: Work delayed by the move, in seconds of the group's time.
        gain_s: Time saved over the horizon.
    """

    placement: placement_lib.Placement
    replicas_to_load: int
    delay_s: float
    gain_s: float


class Horizon:
    """How long a placement may be expected to stay good.

    What operators declare is the longest; a placement that is replaced sooner
    has not earned its keep for longer than that, so that drift itself teaches
    to move less.

    Attributes:
        expected_s: The expectation.
    """

    __slots__ = ("expected_s", "_longest_s", "_moved_at_s")

    def __init__(self, longest_s: float, now_s: float) -> None:
        """Starts from the declared horizon.

        Args:
            longest_s: The declared horizon.
            now_s: The current time.
        """
        self.expected_s = longest_s
        self._longest_s = longest_s
        self._moved_at_s = now_s

    def on_moved(self, now_s: float) -> None:
        """Notes that a move has replaced the placement."""
        lasted_s = min(self._longest_s, now_s - self._moved_at_s)
        self.expected_s += _HORIZON_WEIGHT * (lasted_s - self.expected_s)
        self._moved_at_s = now_s

    def on_kept(self, now_s: float) -> None:
        """Notes that the placement is still good."""
        lasted_s = min(self._longest_s, now_s - self._moved_at_s)
        self.expected_s = max(self.expected_s, lasted_s)


def delay_s(loads: int, costs: Costs) -> float:
    """Returns the work that a move delays, in seconds of the group's time."""
    return costs.hold_s + loads * costs.load_s * costs.slowdown


def choose_move(
    current: placement_lib.Placement,
    load: placement_lib.Floats,
    speed: placement_lib.Floats,
    shape: placement_lib.Shape,
    preference: Preference,
    costs: Costs,
) -> Move | None:
    """Returns the move with the greatest worth, or None to stay.

    A few small improvements of the placement in force compete with a new plan
    from nothing; each has to pay for itself within the horizon.

    Args:
        current: The placement in force, shape ``(ranks, experts)``.
        load: Tokens for each expert, shape ``(experts,)``.
        speed: Speed of each rank, shape ``(ranks,)``.
        shape: Size of the group.
        preference: What operators declare.
        costs: What a move costs.
    """
    if preference.is_quiet:
        return None
    best: Move | None = None
    best_worth = 0.0
    for candidate in _candidates(current, load, speed, shape):
        move = _judge(current, candidate, load, speed, preference, costs)
        worth = (
            preference.skew_weight * move.gain_s
            - preference.cost_weight * move.delay_s
        )
        if move.replicas_to_load > 0 and worth > best_worth:
            best = move
            best_worth = worth
    return best


def _candidates(
    current: placement_lib.Placement,
    load: placement_lib.Floats,
    speed: placement_lib.Floats,
    shape: placement_lib.Shape,
) -> list[placement_lib.Placement]:
    found = []
    improved = current
    done = 0
    for most in _CHANGE_STEPS:
        if most > shape.ranks * shape.slots:
            break
        improved = placement_lib.improve(
            improved, load, speed, shape, most - done
        )
        done = most
        found.append(improved)
    fresh = placement_lib.plan(load, speed, shape)
    found.append(match_ranks(current, fresh, speed))
    return found


def match_ranks(
    current: placement_lib.Placement,
    fresh: placement_lib.Placement,
    speed: placement_lib.Floats,
) -> placement_lib.Placement:
    """Renames the ranks of a new plan so that little has to be loaded.

    Only ranks of about equal speed may take each other's part.

    Args:
        current: The placement in force, shape ``(ranks, experts)``.
        fresh: The new plan, shape ``(ranks, experts)``.
        speed: Speed of each rank, shape ``(ranks,)``.
    """
    overlap = current.astype(np.int32) @ fresh.T.astype(np.int32)
    alike = np.isclose(speed[:, None], speed[None, :], rtol=0.05)
    overlap = np.where(alike, overlap, -1)
    matched = np.zeros_like(fresh)
    is_taken = np.zeros(len(fresh), dtype=bool)
    for rank in np.argsort(-overlap.max(axis=1), kind="stable"):
        scores = np.where(is_taken, -2, overlap[rank])
        chosen = int(np.argmax(scores))
        if scores[chosen] < 0:
            return fresh
        is_taken[chosen] = True
        matched[rank] = fresh[chosen]
    return matched


def _judge(
    current: placement_lib.Placement,
    candidate: placement_lib.Placement,
    load: placement_lib.Floats,
    speed: placement_lib.Floats,
    preference: Preference,
    costs: Costs,
) -> Move:
    bound = placement_lib.min_step_time(load, speed)
    before = placement_lib.rank_times(current, load, speed).max() / bound
    after = placement_lib.rank_times(candidate, load, speed).max() / bound
    steps = preference.horizon_s / (costs.step_s * float(before))
    loads = placement_lib.count_loads(current, candidate)
    gain_s = float(before - after) * costs.step_s * steps
    return Move(candidate, loads, delay_s(loads, costs), gain_s)
