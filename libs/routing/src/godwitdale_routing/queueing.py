"""Fair queueing across client accounts, then by priority and deadline."""

from collections.abc import Iterator
import dataclasses
import heapq
import itertools
from typing import Generic
from typing import TypeVar

Item = TypeVar("Item")


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulingParams:
    """What the queue has to know about a request.

    Attributes:
        account: Client account, between which the queue is fair.
        weight: Share of the account relative to others.
        priority: 0 is the most urgent.
        deadline_at_s: When the request must have started.
        cost: Work it is expected to cause, in any unit.
    """

    account: str
    weight: float
    priority: int
    deadline_at_s: float
    cost: float = 1.0


@dataclasses.dataclass(slots=True)
class _Waiting(Generic[Item]):
    ticket: SchedulingParams
    item: Item
    removed: bool = False


class _Lane(Generic[Item]):
    """The requests of one account, most urgent first."""

    __slots__ = ("heap", "virtual_start", "count")

    def __init__(self, virtual_start: float) -> None:
        self.heap: list[tuple[int, float, int, _Waiting[Item]]] = []
        self.virtual_start = virtual_start
        self.count = 0

    def head(self) -> _Waiting[Item] | None:
        while self.heap and self.heap[0][3].removed:
            heapq.heappop(self.heap)
        return self.heap[0][3] if self.heap else None


class FairQueue(Generic[Item]):
    """Start-time fair queueing over the accounts that have work waiting.

    Each account has a virtual start time; the lowest is served next and
    advances by the cost served over the account's weight. An account that
    was idle starts at the virtual time of the queue, so that it gains nothing
    from having waited. Inside an account the order is priority, deadline,
    arrival.
    """

    __slots__ = ("_lanes", "_virtual_time", "_sequence", "_by_item", "_floors")

    def __init__(self) -> None:
        self._lanes: dict[str, _Lane[Item]] = {}
        self._virtual_time = 0.0
        self._sequence = itertools.count()
        self._by_item: dict[Item, _Waiting[Item]] = {}
        self._floors: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._by_item)

    def __contains__(self, item: Item) -> bool:
        return item in self._by_item

    def push(self, params: SchedulingParams, item: Item) -> None:
        """Adds a request.

        Args:
            params: How it is to be ordered.
            item: The request; hashable and not in the queue yet.
        """
        lane = self._lanes.get(params.account)
        if lane is None:
            floor = self._floors.pop(params.account, 0.0)
            lane = _Lane(max(self._virtual_time, floor))
            self._lanes[params.account] = lane
        waiting = _Waiting(params, item)
        heapq.heappush(
            lane.heap,
            (
                params.priority,
                params.deadline_at_s,
                next(self._sequence),
                waiting,
            ),
        )
        lane.count += 1
        self._by_item[item] = waiting

    def pop(self) -> Item | None:
        """Removes and returns the request to start next, or None."""
        if not self._lanes:
            return None
        account = min(
            self._lanes,
            key=lambda name: (self._lanes[name].virtual_start, name),
        )
        lane = self._lanes[account]
        waiting = lane.head()
        assert waiting is not None
        heapq.heappop(lane.heap)
        self._virtual_time = lane.virtual_start
        lane.virtual_start += waiting.ticket.cost / waiting.ticket.weight
        self._discard(waiting, lane)
        return waiting.item

    def remove(self, item: Item) -> bool:
        """Takes a request out; returns whether it was waiting."""
        waiting = self._by_item.get(item)
        if waiting is None:
            return False
        waiting.removed = True
        self._discard(waiting, self._lanes[waiting.ticket.account])
        return True

    def remove_expired(self, now_s: float) -> list[Item]:
        """Removes and returns the requests whose deadline has passed."""
        late = [
            waiting.item
            for waiting in self._by_item.values()
            if waiting.ticket.deadline_at_s <= now_s
        ]
        for item in late:
            self.remove(item)
        return late

    def cost_ahead_of(self, params: SchedulingParams) -> float:
        """Estimates the cost that is served before a new request.

        Of its own account all that is as urgent; of every other account at
        most what fairness gives it meanwhile.

        Args:
            params: The new request.
        """
        own = self._own_cost_ahead(params)
        share = (own + params.cost) / params.weight
        total = own
        for account, lane in self._lanes.items():
            if account != params.account:
                total += self._other_cost(lane, share)
        return total

    def items(self) -> Iterator[Item]:
        """Yields the waiting requests in no particular order."""
        return iter(list(self._by_item))

    def _own_cost_ahead(self, ticket: SchedulingParams) -> float:
        lane = self._lanes.get(ticket.account)
        if lane is None:
            return 0.0
        rank = (ticket.priority, ticket.deadline_at_s)
        return sum(
            entry[3].ticket.cost
            for entry in lane.heap
            if not entry[3].removed and entry[:2] <= rank
        )

    def _other_cost(self, lane: _Lane[Item], share: float) -> float:
        waiting = lane.head()
        if waiting is None:
            return 0.0
        weight = waiting.ticket.weight
        return min(lane.count * waiting.ticket.cost, share * weight)

    def _discard(self, waiting: _Waiting[Item], lane: _Lane[Item]) -> None:
        del self._by_item[waiting.item]
        lane.count -= 1
        if lane.count == 0:
            account = waiting.ticket.account
            del self._lanes[account]
            self._remember_floor(account, lane.virtual_start)

    def _remember_floor(self, account: str, virtual_start: float) -> None:
        """Keeps an account from gaining by emptying its lane for a moment."""
        if virtual_start > self._virtual_time:
            self._floors[account] = virtual_start
        self._floors = {
            name: floor
            for name, floor in self._floors.items()
            if floor > self._virtual_time
        }


class FifoQueue(Generic[Item]):
    """First come first served, the baseline of the benchmarks."""

    __slots__ = ("_items", "_tickets")

    def __init__(self) -> None:
        self._items: dict[Item, None] = {}
        self._tickets: dict[Item, SchedulingParams] = {}

    def __len__(self) -> int:
        return len(self._items)

    def push(self, params: SchedulingParams, item: Item) -> None:
        """Adds a request at the end."""
        self._items[item] = None
        self._tickets[item] = params

    def pop(self) -> Item | None:
        """Removes and returns the oldest request, or None."""
        for item in self._items:
            del self._items[item]
            del self._tickets[item]
            return item
        return None

    def cost_ahead_of(self, params: SchedulingParams) -> float:
        """Returns the cost of all that waits."""
        return sum(each.cost for each in self._tickets.values())
