"""Planner that levels the ranks of a group with few spare replica slots.

With many ranks and few spare slots, many ranks are nearly as slow as the
slowest one. Relieving one of them lowers the time of an iteration by little or
not at all, and yet all of them have to be relieved. ``replication`` makes a
move only if the move alone is worth its copying and stops early on such a
group. This planner levels the slowest rank with whatever move helps most: it
adds, drops, moves or exchanges replicas. Whether the whole plan is worth its
copying is decided afterwards, by ``change_policy``.

All moves are counted in evaluations, so that the caller can divide the work.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import operator

from godwitdale_experts import replication

# Number of the least loaded ranks that may take a replica of the slowest rank
# in one move.
_CANDIDATE_RANKS = 3
# Number of the heaviest replicas of the slowest rank that are considered.
_CANDIDATE_EXPERTS = 5
# Share by which a move has to shorten the time of all ranks that it touches,
# compared with the slowest rank before.
_MIN_MOVE_GAIN = 0.01
# No move is made once the slowest rank takes this many times an even share. The
# copies that a plan needs rise steeply towards an even share, where less is
# gained than the estimate of the demand is off.
_LEVEL_SKEW = 1.25
# A set of layers is left as it is if its slowest rank gains less than this.
_MIN_SET_GAIN = 0.05
# Moves for each rank after which planning ends in any case.
_MAX_MOVES_PER_RANK = 4


@dataclasses.dataclass(frozen=True, slots=True)
class _Move:
    """Replicas to add and to drop, each as an expert and a rank."""

    added: tuple[tuple[int, int], ...] = ()
    dropped: tuple[tuple[int, int], ...] = ()


class Planner:
    """Plans replica moves in one set of layers, one move at a time.

    Attributes:
        evaluations: Number of moves that have been evaluated.
    """

    __slots__ = (
        "evaluations",
        "_best",
        "_best_time",
        "_capacity",
        "_held",
        "_holders",
        "_initial",
        "_load",
        "_moves_left",
        "_rank_experts",
        "_rank_loads",
        "_slowdowns",
    )

    def __init__(
        self,
        rank_experts: replication.RankExperts,
        load: Sequence[float],
        slowdowns: Sequence[float],
        capacity: replication.RankCapacity,
    ) -> None:
        """Initializes the planner with the map in force.

        Args:
            rank_experts: Experts of each rank.
            load: Share of each expert in the tokens; the shares sum to 1.
            slowdowns: Time of each rank as a multiple of a healthy rank's
                time.
            capacity: Capacity of each rank.
        """
        self.evaluations = 0
        self._load = load
        self._slowdowns = slowdowns
        self._capacity = capacity
        self._initial = [frozenset(each) for each in rank_experts]
        self._rank_experts = rank_experts
        self._held = [set(each) for each in rank_experts]
        self._holders: list[set[int]] = [set() for _ in load]
        for rank, experts in enumerate(rank_experts):
            for expert in experts:
                self._holders[expert].add(rank)
        self._rank_loads = [
            sum(map(self._replica_share, held)) for held in rank_experts
        ]
        self._moves_left = _MAX_MOVES_PER_RANK * len(rank_experts)
        self._best: _Move | None = None
        self._best_time = 0.0

    def make_move(self) -> bool:
        """Makes the next move; returns False if no move levels the ranks."""
        times = [
            load * slowdown
            for load, slowdown in zip(
                self._rank_loads, self._slowdowns, strict=True
            )
        ]
        ranks = sorted(range(len(times)), key=times.__getitem__)
        slowest = ranks.pop()
        is_level = times[slowest] * len(times) <= _LEVEL_SKEW
        if is_level or self._moves_left <= 0:
            return False
        self._moves_left -= 1
        self._best = None
        self._best_time = times[slowest] * (1 - _MIN_MOVE_GAIN)
        heaviest = sorted(
            self._held[slowest], key=self._replica_share, reverse=True
        )
        for expert in heaviest[:_CANDIDATE_EXPERTS]:
            self._evaluate_moves(expert, slowest, ranks)
        if self._best is None:
            return False
        self._make(self._best)
        return True

    def make_moves(self, evaluations: int) -> bool:
        """Makes moves within a bound; returns whether further ones may follow.

        Args:
            evaluations: Number of evaluated moves after which no further move
                is begun.
        """
        end = self.evaluations + evaluations
        while self.evaluations < end:
            if not self.make_move():
                return False
        return True

    def rank_experts(self) -> replication.RankExperts:
        """Returns the experts of each rank after the moves so far."""
        return tuple(tuple(sorted(each)) for each in self._held)

    def worthwhile_experts(self) -> replication.RankExperts:
        """Returns the experts of each rank, unchanged if the gain is small."""
        old_time = max(
            replication.rank_times(
                self._rank_experts, self._load, self._slowdowns
            )
        )
        times = map(operator.mul, self._rank_loads, self._slowdowns)
        if max(times) > old_time * (1 - _MIN_SET_GAIN):
            return self._rank_experts
        return self.rank_experts()

    def _replica_share(self, expert: int) -> float:
        return self._load[expert] / len(self._holders[expert])

    def _may_add(self, expert: int, rank: int) -> bool:
        """Returns whether a rank may take a replica in this change."""
        if expert in self._held[rank]:
            return False
        initial = self._initial[rank]
        new = len(self._held[rank] - initial)
        return expert in initial or new < self._capacity.max_new_replicas

    def _evaluate_moves(
        self, expert: int, slowest: int, ranks: Iterable[int]
    ) -> None:
        """Evaluates all moves that take an expert's load off a rank.

        Args:
            expert: The expert.
            slowest: The rank.
            ranks: The other ranks, those with the shortest time first.
        """
        drop = (expert, slowest)
        if len(self._holders[expert]) > 1:
            self._evaluate(_Move(dropped=(drop,)))
        candidates = 0
        for rank in ranks:
            if not self._may_add(expert, rank):
                continue
            candidates += 1
            if candidates > _CANDIDATE_RANKS:
                return
            self._evaluate_move_to(rank, drop)

    def _evaluate_move_to(self, rank: int, drop: tuple[int, int]) -> None:
        expert, slowest = drop
        add = (expert, rank)
        if len(self._held[rank]) < self._capacity.replica_slots:
            self._evaluate(_Move((add,)))
            self._evaluate(_Move((add,), (drop,)))
        else:
            redundant = self._least_loaded(
                each
                for each in self._held[rank]
                if len(self._holders[each]) > 1
            )
            if redundant is not None:
                make_room = (redundant, rank)
                self._evaluate(_Move((add,), (make_room,)))
                self._evaluate(_Move((add,), (make_room, drop)))
        exchanged = self._least_loaded(
            each for each in self._held[rank] if self._may_add(each, slowest)
        )
        if exchanged is not None:
            self._evaluate(
                _Move((add, (exchanged, slowest)), (drop, (exchanged, rank)))
            )

    def _least_loaded(self, experts: Iterable[int]) -> int | None:
        return min(experts, key=self._replica_share, default=None)

    def _evaluate(self, move: _Move) -> None:
        """Keeps a move if it leaves shorter times than the best so far."""
        self.evaluations += 1
        slowest_s = max(
            (self._rank_loads[rank] + change) * self._slowdowns[rank]
            for rank, change in self._load_changes(move).items()
        )
        if slowest_s < self._best_time:
            self._best, self._best_time = move, slowest_s

    def _load_changes(self, move: _Move) -> dict[int, float]:
        """Returns by how much a move changes the load of each rank."""
        changes: dict[int, float] = {}
        experts = {each[0] for each in move.added + move.dropped}
        for expert in sorted(experts):
            added = [rank for each, rank in move.added if each == expert]
            dropped = [rank for each, rank in move.dropped if each == expert]
            holders = self._holders[expert]
            old = self._load[expert] / len(holders)
            count = len(holders) + len(added) - len(dropped)
            new = self._load[expert] / count
            if new != old:
                for rank in holders:
                    changes[rank] = changes.get(rank, 0.0) + new - old
            for rank in dropped:
                changes[rank] = changes.get(rank, 0.0) - new
            for rank in added:
                changes[rank] = changes.get(rank, 0.0) + new
        return changes

    def _make(self, move: _Move) -> None:
        for rank, change in self._load_changes(move).items():
            self._rank_loads[rank] += change
        for expert, rank in move.dropped:
            self._holders[expert].discard(rank)
            self._held[rank].discard(expert)
        for expert, rank in move.added:
            self._holders[expert].add(rank)
            self._held[rank].add(expert)
