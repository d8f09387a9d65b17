"""Iteration groups: endpoints that start and end each iteration together.

The ranks of a group iterate in step. Another group of the same service has
iterations of its own, and only its own requests and prompts make them longer.
Endpoints whose group is not known are taken for one group of their service.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math
from typing import Protocol

from godwitdale_gateway import directory as directory_lib
from godwitdale_routing import concurrency as concurrency_lib
from godwitdale_routing import iteration_limit
from godwitdale_routing import peer_load
from godwitdale_routing import routes

# Events of two streams belong to the same iteration if they arrive closer
# together than this share of the inter-event gap.
_SAME_ITERATION_SHARE = 0.5
# Groups that declare at least this many slots have a limit that settles. Its
# bounded steps are several requests there. In a smaller group, a single request
# is a large part of a step, and of the work of its rank.
_MIN_SETTLING_SLOTS = 256


class IterationModel(Protocol):
    """Times of the iterations of a group, and the limit that follows."""

    def observe(
        self, gap_s: float, running: int, tokens: float, objective_s: float
    ) -> None:
        """Updates the model with an observed inter-event gap."""

    def discount_history(self) -> None:
        """Reduces the weight of the observed gaps after a change."""

    def iteration_s(self, running: int) -> float:
        """Returns the estimated time of an iteration without prompts."""

    def loaded_iteration_s(self, running: int) -> float:
        """Returns the time of an iteration with the prompts that it reads."""

    def capped_prompt_tokens(self, tokens: float) -> float:
        """Returns the number of tokens that a prompt counts for the limit."""

    def max_running(
        self, objective_s: float, slots: int, tokens: float = 0.0
    ) -> int:
        """Returns how many requests may run at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """The group that an endpoint belongs to.

    Attributes:
        group: Name of the group, or an empty string if the endpoint belongs to
            none.
        size: Number of ranks in the group.
    """

    group: str
    size: int


class GroupMembers:
    """The groups of the endpoints, as far as this entry has learned them."""

    __slots__ = ("_memberships", "_keys")

    def __init__(self) -> None:
        self._memberships: dict[str, Membership] = {}
        self._keys: dict[str, str] = {}

    def get(self, endpoint_id: str) -> Membership | None:
        """Returns the group of an endpoint, or None if it is not known."""
        return self._memberships.get(endpoint_id)

    def update(self, memberships: Mapping[str, Membership]) -> None:
        """Adds or replaces the groups of endpoints.

        Args:
            memberships: Groups by id of the endpoint.
        """
        self._memberships.update(memberships)
        self._keys.clear()

    def retain(self, endpoint_ids: set[str]) -> None:
        """Removes all endpoints but the given ones."""
        for endpoint_id in self._memberships.keys() - endpoint_ids:
            del self._memberships[endpoint_id]
            self._keys.pop(endpoint_id, None)

    def key(self, endpoint: directory_lib.Endpoint) -> str:
        """Returns the name of the iteration group of an endpoint.

        The name is unique over all services and the same at all entries that
        know the group of the endpoint.
        """
        key = self._keys.get(endpoint.id)
        if key is not None:
            return key
        membership = self._memberships.get(endpoint.id)
        if membership is None or not membership.group:
            return endpoint.service
        key = f"{endpoint.service}/{membership.group}"
        self._keys[endpoint.id] = key
        return key


class IterationGroup:
    """Iterations of one group, as this entry observes them.

    Attributes:
        model: Model of the iteration time.
        objective_s: Longest inter-event gap that is on time, or None if no gap
            has been observed yet.
        progress_s: When a stream last received an event, or when the first
            request of an idle entry was last assigned.
        longest_gap_s: Longest inter-event gap since the load was last logged.
    """

    __slots__ = (
        "model",
        "objective_s",
        "progress_s",
        "longest_gap_s",
        "_name",
        "_peer_loads",
        "_iteration_ended_s",
    )

    def __init__(
        self,
        name: str,
        model: IterationModel,
        peer_loads: peer_load.PeerLoads,
    ) -> None:
        """Creates a group without observations.

        Args:
            name: Name of the iteration group.
            model: Model of the iteration time.
            peer_loads: Prompts that were sent to each iteration group.
        """
        self.model = model
        self.objective_s: float | None = None
        self.progress_s = 0.0
        self.longest_gap_s = 0.0
        self._name = name
        self._peer_loads = peer_loads
        self._iteration_ended_s = 0.0

    def observe_gap(
        self, gap_s: float, objective_s: float, now_s: float
    ) -> bool:
        """Records an inter-event gap of a stream.

        All ranks of a group end an iteration together. Events that arrive
        close together are therefore counted as one iteration.

        Args:
            gap_s: The inter-event gap.
            objective_s: Longest gap that is on time.
            now_s: The current time.

        Returns:
            Whether the event is the first of its iteration.
        """
        self.progress_s = now_s
        self.objective_s = objective_s
        self.longest_gap_s = max(self.longest_gap_s, gap_s)
        if now_s - self._iteration_ended_s < gap_s * _SAME_ITERATION_SHARE:
            return False
        self._iteration_ended_s = now_s
        return True

    def observe_iteration(
        self, gap_s: float, objective_s: float, running: int, now_s: float
    ) -> None:
        """Updates the model with an iteration that has just ended.

        Args:
            gap_s: The inter-event gap, which is the time of the iteration.
            objective_s: Longest gap that is on time.
            running: Requests of all entries in flight at the group.
            now_s: The current time.
        """
        tokens = self._peer_loads.prompt_tokens_between(
            self._name, now_s - 2 * gap_s, now_s - gap_s
        )
        self.model.observe(gap_s, running, tokens, objective_s)

    def ratio(self, running: int) -> float:
        """Returns the iteration time over the longest gap that is on time.

        The ratio is 0 until the first gap has been observed.

        Args:
            running: Requests of all entries in flight at the group.
        """
        if not self.objective_s:
            return 0.0
        return self.model.iteration_s(running) / self.objective_s

    def max_running(self, slots: int) -> int:
        """Returns how many requests may run at once if no prompt is read.

        Args:
            slots: Requests that the group can run at once.
        """
        if self.objective_s is None:
            return slots
        return self.model.max_running(self.objective_s, slots)

    def max_running_with(
        self, prompt_tokens: int, running: int, slots: int, now_s: float
    ) -> int:
        """Returns how many requests may run after one more prompt is sent.

        Args:
            prompt_tokens: Length of the prompt.
            running: Requests of all entries in flight at the group.
            slots: Requests that the group can run at once.
            now_s: The current time.
        """
        if self.objective_s is None:
            return slots
        # An entry without a stream of its own observes no iteration end. It
        # takes the iteration to have begun one iteration time ago.
        iteration_s = self.model.iteration_s(running)
        since_s = max(self._iteration_ended_s, now_s - iteration_s)
        tokens = self.model.capped_prompt_tokens(prompt_tokens)
        tokens += self._peer_loads.prompt_tokens_between(
            self._name, since_s, now_s
        )
        return self.model.max_running(self.objective_s, slots, tokens)


@dataclasses.dataclass(slots=True)
class GroupLoad:
    """Load of one iteration group at one moment.

    Attributes:
        name: Name of the iteration group.
        slots: Requests that its endpoints can run at once. An endpoint in an
            evacuated zone only has the slots that are taken.
        free_slots: Slots that a request may take now.
        usable_slots: Slots that are taken if each endpoint gets as many
            requests as its rate limit allows.
        in_flight: Requests of all entries at its endpoints.
        own_in_flight: Those of them that this entry has sent.
        size: Number of ranks of the group, or number of the endpoints if they
            are in no known group.
    """

    name: str
    slots: int = 0
    free_slots: int = 0
    usable_slots: float = 0.0
    in_flight: int = 0
    own_in_flight: int = 0
    size: int = 0


class EndpointRooms(Protocol):
    """Requests that endpoints take by what they state in their answers."""

    def stated_room(self, endpoint_id: str, now_s: float) -> int | None:
        """Returns how many requests an endpoint takes, or None if unlimited."""

    def concurrency(
        self, endpoint_id: str, slots: int, total_s: float, now_s: float
    ) -> float:
        """Returns how many requests an endpoint runs at once at present."""


def group_loads(
    records: Iterable[directory_lib.EndpointRecord],
    members: GroupMembers,
    peer_loads: peer_load.PeerLoads,
    rooms: EndpointRooms,
    total_s: float,
    now_s: float,
) -> dict[str, GroupLoad]:
    """Returns the load of the iteration groups of some endpoints, by name.

    Args:
        records: The endpoints.
        members: Groups of the endpoints.
        peer_loads: Load reports of the other entries.
        rooms: Requests that the endpoints take at present.
        total_s: Mean time of a request.
        now_s: The current time.
    """
    loads: dict[str, GroupLoad] = {}
    for record in records:
        endpoint = record.endpoint
        name = members.key(endpoint)
        load = loads.get(name)
        if load is None:
            load = loads[name] = GroupLoad(name)
        own = record.stats.in_flight
        in_flight = own + peer_loads.in_flight(endpoint.id)
        load.in_flight += in_flight
        load.own_in_flight += own
        membership = members.get(endpoint.id)
        if membership is not None and membership.group:
            load.size = membership.size
        else:
            load.size += 1
        if record.is_evacuated:
            load.slots += in_flight
            continue
        load.slots += endpoint.slots
        free_slots = max(0, endpoint.slots - in_flight)
        room = rooms.stated_room(endpoint.id, now_s)
        load.free_slots += free_slots if room is None else min(free_slots, room)
        load.usable_slots += rooms.concurrency(
            endpoint.id, endpoint.slots, total_s, now_s
        )
    return loads


def iteration_model(engine: routes.Engine, size: int) -> IterationModel:
    """Returns the model of the iterations that fits the shape of a group.

    Args:
        engine: Declared properties of the engines.
        size: Number of ranks in the group.
    """
    declared = declared_times(engine, size)
    slots = engine.slots * size
    if slots >= _MIN_SETTLING_SLOTS:
        return iteration_limit.IterationLimit(declared, slots)
    return concurrency_lib.ConcurrencyModel(declared)


def declared_times(
    engine: routes.Engine, size: int
) -> concurrency_lib.DeclaredTimes:
    """Returns the declared times of the iterations of a group.

    Args:
        engine: Declared properties of the engines.
        size: Number of ranks in the group.
    """
    prefill_tokens_per_s = engine.prefill_tokens_per_s
    return concurrency_lib.DeclaredTimes(
        base_s=engine.steps_per_iteration * engine.step_s,
        per_request_s=engine.steps_per_iteration * engine.step_per_request_s,
        even_load_share=1 / max(1, size),
        rank_local_share=1 - engine.expert_share,
        prefill_per_token_s=1 / prefill_tokens_per_s
        if prefill_tokens_per_s > 0
        else 0.0,
        mean_prompt_tokens=engine.mean_prompt_tokens,
    )


def mean_iteration_s(
    groups: Iterable[tuple[IterationGroup, GroupLoad]],
) -> float:
    """Returns the mean iteration time of some groups, weighted by their slots.

    The time includes the reading of prompts.

    Args:
        groups: Groups with their load; if there is none, the time is 0.
    """
    weighted = [
        (group.model.loaded_iteration_s(load.in_flight), load.slots)
        for group, load in groups
    ]
    slots = math.fsum(each for _, each in weighted)
    if slots <= 0:
        return 0.0
    return math.fsum(time_s * each for time_s, each in weighted) / slots
