"""Decision whether a move to another placement is worth its cost.

A move replaces the whole placement and may add or drop many expert replicas.
"""

import dataclasses

import numpy as np

from godwitdale_experts import placement as placement_lib

# Weight of the newest observation in the expected horizon.
_HORIZON_WEIGHT = 0.3
# Each candidate but the last is the placement in force, improved by up to this
# many added replicas.
_CANDIDATE_CHANGES = (4, 16, 64, 256)


@dataclasses.dataclass(frozen=True, slots=True)
class Costs:
    """Costs of a move.

    Attributes:
        fetch_s: Time to fetch the weights of one replica from the store.
        slowdown: Share by which a step is slower while weights are fetched.
        hold_s: Time for which the group waits at the switch.
        step_s: Time of a perfectly balanced step.
    """

    fetch_s: float
    slowdown: float
    hold_s: float
    step_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Preference:
    """Weights and limits for the decision on a move.

    They follow from what the operators of a group declare.

    Attributes:
        skew_weight: Weight of a second of step-time skew.
        cost_weight: Weight of a second of group time that a move costs.
        horizon_s: Time over which the gain of a move is counted: the time for
            which a placement is expected to stay good.
        is_in_quiet_window: Whether it is now a time in which operators forbid
            moves.
    """

    skew_weight: float
    cost_weight: float
    horizon_s: float
    is_in_quiet_window: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A move to a new placement, with its cost and gain.

    Attributes:
        placement: New placement, shape ``(ranks, experts)``.
        replicas_to_fetch: Number of replicas to fetch.
        delay_s: Group time that the move costs, in seconds: the time at the
            switch, and the slowdown while replicas are fetched.
        gain_s: Time that the move saves over the horizon.
    """

    placement: placement_lib.Placement
    replicas_to_fetch: int
    delay_s: float
    gain_s: float


class Horizon:
    """Estimate of the time for which a placement stays good.

    The horizon that operators declare is the upper limit. A placement that is
    replaced sooner has saved time only until then, which lowers the estimate;
    fast drift of the load therefore leads to fewer moves.

    Attributes:
        expected_s: Time for which a placement is expected to stay good.
    """

    __slots__ = ("expected_s", "_max_s", "_moved_at_s")

    def __init__(self, max_s: float, now_s: float) -> None:
        """Initializes the estimate with the declared horizon.

        Args:
            max_s: The declared horizon.
            now_s: Current time.
        """
        self.expected_s = max_s
        self._max_s = max_s
        self._moved_at_s = now_s

    def on_moved(self, now_s: float) -> None:
        """Updates the estimate after a move has replaced the placement."""
        age_s = min(self._max_s, now_s - self._moved_at_s)
        self.expected_s += _HORIZON_WEIGHT * (age_s - self.expected_s)
        self._moved_at_s = now_s

    def on_kept(self, now_s: float) -> None:
        """Updates the estimate while the placement is still good."""
        age_s = min(self._max_s, now_s - self._moved_at_s)
        self.expected_s = max(self.expected_s, age_s)


def delay_s(replicas_to_fetch: int, costs: Costs) -> float:
    """Returns the group time that a move costs, in seconds.

    Args:
        replicas_to_fetch: Number of replicas to fetch.
        costs: Costs of a move.
    """
    return costs.hold_s + replicas_to_fetch * costs.fetch_s * costs.slowdown


def choose_move(
    current: placement_lib.Placement,
    load: placement_lib.Floats,
    speed: placement_lib.Floats,
    shape: placement_lib.Shape,
    preference: Preference,
    costs: Costs,
) -> Move | None:
    """Returns the move with the highest net value, or None to keep the current.

    The candidates are improvements of the placement in force by a few changes
    and a plan from scratch. A candidate is chosen only if its weighted gain
    within the horizon exceeds its weighted cost.

    Args:
        current: Placement in force, shape ``(ranks, experts)``.
        load: Tokens for each expert, shape ``(experts,)``.
        speed: Speed of each rank, shape ``(ranks,)``.
        shape: Size of the group.
        preference: Preferences that operators declare.
        costs: Costs of a move.
    """
    if preference.is_in_quiet_window:
        return None
    best: Move | None = None
    best_value = 0.0
    for candidate in _candidates(current, load, speed, shape):
        move = _evaluate(current, candidate, load, speed, preference, costs)
        value = (
            preference.skew_weight * move.gain_s
            - preference.cost_weight * move.delay_s
        )
        if move.replicas_to_fetch > 0 and value > best_value:
            best = move
            best_value = value
    return best


def _candidates(
    current: placement_lib.Placement,
    load: placement_lib.Floats,
    speed: placement_lib.Floats,
    shape: placement_lib.Shape,
) -> list[placement_lib.Placement]:
    candidates = []
    improved = current
    changes = 0
    for max_changes in _CANDIDATE_CHANGES:
        if max_changes > shape.ranks * shape.slots:
            break
        improved = placement_lib.improve(
            improved, load, speed, shape, max_changes - changes
        )
        changes = max_changes
        candidates.append(improved)
    fresh = placement_lib.plan(load, speed, shape)
    candidates.append(match_ranks(current, fresh, speed))
    return candidates


def match_ranks(
    current: placement_lib.Placement,
    fresh: placement_lib.Placement,
    speed: placement_lib.Floats,
) -> placement_lib.Placement:
    """Reassigns the rows of a plan to ranks so that few replicas are fetched.

    Rows are exchanged only between ranks of about equal speed.

    Args:
        current: Placement in force, shape ``(ranks, experts)``.
        fresh: New plan, shape ``(ranks, experts)``.
        speed: Speed of each rank, shape ``(ranks,)``.
    """
    overlap = current.astype(np.int32) @ fresh.T.astype(np.int32)
    has_equal_speed = np.isclose(speed[:, None], speed[None, :], rtol=0.05)
    overlap = np.where(has_equal_speed, overlap, -1)
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


def _evaluate(
    current: placement_lib.Placement,
    candidate: placement_lib.Placement,
    load: placement_lib.Floats,
    speed: placement_lib.Floats,
    preference: Preference,
    costs: Costs,
) -> Move:
    min_time = placement_lib.min_step_time(load, speed)
    before = placement_lib.rank_times(current, load, speed).max() / min_time
    after = placement_lib.rank_times(candidate, load, speed).max() / min_time
    steps = preference.horizon_s / (costs.step_s * float(before))
    replicas_to_fetch = placement_lib.count_new_replicas(current, candidate)
    gain_s = float(before - after) * costs.step_s * steps
    return Move(
        candidate, replicas_to_fetch, delay_s(replicas_to_fetch, costs), gain_s
    )
