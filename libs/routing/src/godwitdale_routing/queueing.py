"""Fair queueing among client accounts, then by priority and deadline."""

from collections.abc import Iterator
import dataclasses
import heapq
import itertools
from typing import Generic
from typing import TypeVar

Item = TypeVar("Item")


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulingParams:
    """Parameters of a request that decide its position in a queue.

    Attributes:
        account: Client account; the queue is fair among accounts.
        weight: Weight of the account relative to the others.
        priority: 0 is the most urgent.
        deadline_at_s: Latest time at which the request may start.
        cost: Expected work of the request. The queue accepts any unit;
            ``admission`` needs 1.0 to be the work of a mean request.
    """

    account: str
    weight: float
    priority: int
    deadline_at_s: float
    cost: float = 1.0


@dataclasses.dataclass(slots=True)
class _WaitingRequest(Generic[Item]):
    params: SchedulingParams
    item: Item
    is_removed: bool = False


class _AccountQueue(Generic[Item]):
    """Waiting requests of one account, the most urgent first."""

    __slots__ = ("heap", "virtual_start", "count")

    def __init__(self, virtual_start: float) -> None:
        self.heap: list[tuple[int, float, int, _WaitingRequest[Item]]] = []
        self.virtual_start = virtual_start
        self.count = 0

    def head(self) -> _WaitingRequest[Item] | None:
        while self.heap and self.heap[0][3].is_removed:
            heapq.heappop(self.heap)
        return self.heap[0][3] if self.heap else None


class FairQueue(Generic[Item]):
    """Start-time fair queueing over the accounts with waiting requests.

    Each account has a virtual start time. The account with the lowest one is
    served next, and its virtual start time advances by the served cost divided
    by the weight of the account. When an account without waiting requests gets
    one, it starts at the virtual time of the queue, or at its own last virtual
    start time if that is later. It thus gains nothing from its idle time. The
    requests of one account are ordered by priority, then deadline, then
    arrival.
    """

    __slots__ = (
        "_account_queues",
        "_virtual_time",
        "_sequence",
        "_by_item",
        "_virtual_starts",
    )

    def __init__(self) -> None:
        self._account_queues: dict[str, _AccountQueue[Item]] = {}
        self._virtual_time = 0.0
        self._sequence = itertools.count()
        self._by_item: dict[Item, _WaitingRequest[Item]] = {}
        self._virtual_starts: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._by_item)

    def __contains__(self, item: Item) -> bool:
        return item in self._by_item

    def push(self, params: SchedulingParams, item: Item) -> None:
        """Adds a request.

        Args:
            params: Scheduling parameters of the request.
            item: The request. It has to be hashable and not in the queue yet.
        """
        account_queue = self._account_queues.get(params.account)
        if account_queue is None:
            virtual_start = self._virtual_starts.pop(params.account, 0.0)
            account_queue = _AccountQueue(
                max(self._virtual_time, virtual_start)
            )
            self._account_queues[params.account] = account_queue
        waiting = _WaitingRequest(params, item)
        heapq.heappush(
            account_queue.heap,
            (
                params.priority,
                params.deadline_at_s,
                next(self._sequence),
                waiting,
            ),
        )
        account_queue.count += 1
        self._by_item[item] = waiting

    def pop(self) -> Item | None:
        """Removes and returns the request to start next, or None."""
        if not self._account_queues:
            return None
        account = min(
            self._account_queues,
            key=lambda name: (self._account_queues[name].virtual_start, name),
        )
        account_queue = self._account_queues[account]
        waiting = account_queue.head()
        assert waiting is not None
        heapq.heappop(account_queue.heap)
        self._virtual_time = account_queue.virtual_start
        account_queue.virtual_start += (
            waiting.params.cost / waiting.params.weight
        )
        self._discard(waiting, account_queue)
        return waiting.item

    def remove(self, item: Item) -> bool:
        """Removes a request; returns whether it was waiting."""
        waiting = self._by_item.get(item)
        if waiting is None:
            return False
        waiting.is_removed = True
        self._discard(waiting, self._account_queues[waiting.params.account])
        return True

    def remove_expired(self, now_s: float) -> list[Item]:
        """Removes and returns the requests whose deadline has passed."""
        expired = [
            waiting.item
            for waiting in self._by_item.values()
            if waiting.params.deadline_at_s <= now_s
        ]
        for item in expired:
            self.remove(item)
        return expired

    def cost_ahead_of(self, params: SchedulingParams) -> float:
        """Estimates the cost that is served before a new request.

        This includes all requests of its own account that are at least as
        urgent, and of every other account at most the cost that the account is
        entitled to meanwhile.

        Args:
            params: Scheduling parameters of the new request.
        """
        own = self._own_cost_ahead(params)
        virtual_cost = (own + params.cost) / params.weight
        total = own
        for account, account_queue in self._account_queues.items():
            if account != params.account:
                total += self._other_cost_ahead(account_queue, virtual_cost)
        return total

    def items(self) -> Iterator[Item]:
        """Yields the waiting requests in no particular order."""
        return iter(list(self._by_item))

    def _own_cost_ahead(self, params: SchedulingParams) -> float:
        account_queue = self._account_queues.get(params.account)
        if account_queue is None:
            return 0.0
        urgency = (params.priority, params.deadline_at_s)
        return sum(
            each[3].params.cost
            for each in account_queue.heap
            if not each[3].is_removed and each[:2] <= urgency
        )

    def _other_cost_ahead(
        self, account_queue: _AccountQueue[Item], virtual_cost: float
    ) -> float:
        waiting = account_queue.head()
        if waiting is None:
            return 0.0
        weight = waiting.params.weight
        return min(
            account_queue.count * waiting.params.cost, virtual_cost * weight
        )

    def _discard(
        self, waiting: _WaitingRequest[Item], account_queue: _AccountQueue[Item]
    ) -> None:
        del self._by_item[waiting.item]
        account_queue.count -= 1
        if account_queue.count == 0:
            account = waiting.params.account
            del self._account_queues[account]
            self._remember_virtual_start(account, account_queue.virtual_start)

    def _remember_virtual_start(
        self, account: str, virtual_start: float
    ) -> None:
        """Remembers the virtual start time of an account with an empty queue.

        It keeps the account from gaining when its queue is briefly empty. The
        remembered start times of any accounts that the virtual time of the
        queue has reached are removed, because they no longer have an effect.
        """
        if virtual_start > self._virtual_time:
            self._virtual_starts[account] = virtual_start
        self._virtual_starts = {
            name: start
            for name, start in self._virtual_starts.items()
            if start > self._virtual_time
        }


class FifoQueue(Generic[Item]):
    """First in, first out; the baseline of the benchmarks."""

    __slots__ = ("_items", "_params")

    def __init__(self) -> None:
        self._items: dict[Item, None] = {}
        self._params: dict[Item, SchedulingParams] = {}

    def __len__(self) -> int:
        return len(self._items)

    def push(self, params: SchedulingParams, item: Item) -> None:
        """Adds a request at the end."""
        self._items[item] = None
        self._params[item] = params

    def pop(self) -> Item | None:
        """Removes and returns the oldest request, or None."""
        for item in self._items:
            del self._items[item]
            del self._params[item]
            return item
        return None

    def cost_ahead_of(self, params: SchedulingParams) -> float:
        """Returns the cost of all waiting requests."""
        return sum(each.cost for each in self._params.values())
