"""The iteration groups of all services, with their load and their limits.

The groups, their models and what was observed of them are kept here. The
scheduler, which owns the wait queues, asks for the free permits of each group,
and the balancer of experts asks how long the iterations take.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
from typing import Any

from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import iteration_groups
from godwitdale_observe import logs
from godwitdale_routing import peer_load
from godwitdale_routing import routes

# Time from the announced end of a change of an expert map to the first
# iteration on the new map. The end is announced whatever the outcome is.
_MAP_CHANGE_DELAY_S = 0.6


@dataclasses.dataclass(slots=True)
class _ServiceState:
    """What is known of the iteration groups of one service.

    Attributes:
        engine: Declared properties of the engines, or None if the service
            declares no step time.
        groups: The iteration groups, by name.
        sent_prompt_tokens: Prompt tokens sent since the start, by iteration
            group.
    """

    engine: routes.Engine | None = None
    groups: dict[str, iteration_groups.IterationGroup] = dataclasses.field(
        default_factory=dict
    )
    sent_prompt_tokens: dict[str, int] = dataclasses.field(default_factory=dict)


class ServiceGroups:
    """Iteration groups of all services, as this entry observes them."""

    def __init__(
        self,
        directory: directory_lib.Directory,
        members: iteration_groups.GroupMembers,
        peer_loads: peer_load.PeerLoads,
        rooms: iteration_groups.EndpointRooms,
        total_s: Callable[[str], float],
        reactor: Any,
    ) -> None:
        """Creates the groups without any observation.

        Args:
            directory: The endpoints.
            members: Groups of the endpoints.
            peer_loads: The load of the other entries.
            rooms: Requests that the endpoints take at present.
            total_s: Returns the mean time of a request of a service.
            reactor: The Twisted reactor.
        """
        self._directory = directory
        self._members = members
        self._peer_loads = peer_loads
        self._rooms = rooms
        self._total_s = total_s
        self._reactor = reactor
        self._states: dict[str, _ServiceState] = {}

    def configure(self, service: str, engine: routes.Engine) -> bool:
        """Applies the declared properties of the engines of a service.

        Args:
            service: Name of the service.
            engine: The declaration. The first one with a step time applies as
                long as this process runs.

        Returns:
            Whether this declaration has become the one that applies.
        """
        state = self._state(service)
        if state.engine is not None or engine.step_s <= 0:
            return False
        state.engine = engine
        return True

    def is_modelled(self, service: str) -> bool:
        """Returns whether the iterations of a service are modelled."""
        return self._state(service).engine is not None

    def observe_gap(
        self,
        endpoint: directory_lib.Endpoint,
        gap_s: float,
        objective_s: float,
    ) -> bool:
        """Records an inter-event gap of a stream.

        Args:
            endpoint: Endpoint that sends the stream.
            gap_s: The inter-event gap.
            objective_s: Longest gap that is on time.

        Returns:
            Whether an iteration of a modelled group has ended.
        """
        group = self._group_of(endpoint)
        if group is None:
            return False
        now_s = self._reactor.seconds()
        if not group.observe_gap(gap_s, objective_s, now_s):
            return False
        running = self._load_of(endpoint).in_flight
        group.observe_iteration(gap_s, objective_s, running, now_s)
        return True

    def observe_first(self, endpoint: directory_lib.Endpoint) -> None:
        """Records that an endpoint has begun to answer a request."""
        group = self._group_of(endpoint)
        if group is not None:
            group.progress_s = self._reactor.seconds()

    def record_sent(
        self, endpoint: directory_lib.Endpoint, prompt_tokens: int
    ) -> None:
        """Records a request before it counts as in flight at an endpoint.

        Args:
            endpoint: The endpoint.
            prompt_tokens: Length of the prompt.
        """
        now_s = self._reactor.seconds()
        load = self._load_of(endpoint)
        group = self._group(endpoint.service, load)
        if group is not None and not load.own_in_flight:
            group.progress_s = now_s
        sent = self._state(endpoint.service).sent_prompt_tokens
        sent[load.name] = sent.get(load.name, 0) + prompt_tokens
        self._peer_loads.record_prompt(load.name, prompt_tokens, now_s)

    def sent_prompt_tokens(self) -> dict[str, int]:
        """Returns the prompt tokens sent by this entry, by iteration group."""
        return {
            name: tokens
            for state in self._states.values()
            for name, tokens in state.sent_prompt_tokens.items()
            if tokens
        }

    def stalled_s(self, service: str) -> float:
        """Returns the time since all streams of a group last got an event.

        Of the iteration groups of the service, the one counts whose streams
        wait longest. A group counts only while this entry has requests in
        flight there. Its time begins with the first of these requests if no
        stream has got an event since then.

        Args:
            service: Name of the service.
        """
        now_s = self._reactor.seconds()
        return max(
            (
                now_s - group.progress_s
                for group, load in self._modelled_groups(service)
                if load.own_in_flight
            ),
            default=0.0,
        )

    def iteration_ratio(self, service: str) -> float:
        """Returns the iteration time over the longest gap that is on time.

        Of the iteration groups, the one with the highest ratio counts. The
        ratio is 0 until the first gap has been observed.

        Args:
            service: Name of the service.
        """
        return max(
            (
                group.ratio(load.in_flight)
                for group, load in self._modelled_groups(service)
            ),
            default=0.0,
        )

    def iteration_s(self, service: str) -> float:
        """Returns the mean iteration time, or 0 if it is not modelled.

        Args:
            service: Name of the service.
        """
        return iteration_groups.mean_iteration_s(self._modelled_groups(service))

    def shortest_iteration_s(self, service: str) -> float:
        """Returns the iteration time of the fastest group without prompts.

        The time is 0 if the iterations are not modelled.

        Args:
            service: Name of the service.
        """
        return min(
            (
                group.model.iteration_s(load.in_flight)
                for group, load in self._modelled_groups(service)
            ),
            default=0.0,
        )

    def group_iteration_ratio(self, endpoint: directory_lib.Endpoint) -> float:
        """Returns the iteration ratio of the group of an endpoint."""
        group = self._group_of(endpoint)
        if group is None:
            return 0.0
        return group.ratio(self._load_of(endpoint).in_flight)

    def on_map_change(self, service: str, ranks: Sequence[str]) -> None:
        """Discounts observed iteration times when a new map should be in use.

        They are discounted even if the change did not take effect.

        Args:
            service: Name of the service.
            ranks: Ids of the endpoints for which the end of a change of their
                expert map was announced.
        """
        names = {
            self._members.key(record.endpoint)
            for record in map(self._directory.get, ranks)
            if record is not None
        }
        for name, group in self._state(service).groups.items():
            if name in names:
                self._reactor.callLater(
                    _MAP_CHANGE_DELAY_S, group.model.discount_history
                )

    def free_permits(
        self, service: str, prompt_tokens: int, now_s: float
    ) -> dict[str, int]:
        """Returns the free permits within the concurrency limits of a service.

        Args:
            service: Name of the service.
            prompt_tokens: Length of the prompt that would be sent.
            now_s: The current time.

        Returns:
            Free permits by iteration group, for the groups that have any.
        """
        free: dict[str, int] = {}
        for name, load in self._loads(service).items():
            permits = load.free_slots
            group = self._group(service, load)
            if group is not None:
                limit = group.max_running_with(
                    prompt_tokens, load.in_flight, load.slots, now_s
                )
                permits = min(permits, limit - load.in_flight)
            if permits > 0:
                free[name] = permits
        return free

    def concurrency_limit(self, service: str) -> float:
        """Returns how many requests the groups can run at once.

        Endpoints with a rate limit count for the requests that they run at once
        at that rate.

        Args:
            service: Name of the service.
        """
        limit = 0.0
        for load in self._loads(service).values():
            group = self._group(service, load)
            permits = load.slots
            if group is not None:
                permits = group.max_running(load.slots)
            limit += min(permits, load.usable_slots)
        return limit

    def log_load(self, service: str, waiting: int, log: logs.EventLog) -> None:
        """Logs the load of the groups that have requests in flight.

        Services that declare no step time have no concurrency limit and are
        left out.

        Args:
            service: Name of the service.
            waiting: Requests that wait at this entry.
            log: The event log.
        """
        for group, load in self._modelled_groups(service):
            if load.in_flight == 0:
                continue
            model = group.model
            log.info(
                "service_load",
                service=service,
                group=load.name,
                running=load.in_flight,
                limit=group.max_running(load.slots),
                slots=load.slots,
                pass_s=round(model.iteration_s(load.in_flight), 4),
                idle_pass_s=round(model.iteration_s(0), 4),
                longest_gap_s=round(group.longest_gap_s, 4),
                whole_s=round(self._total_s(service), 3),
                waiting=waiting,
            )
            group.longest_gap_s = 0.0

    def remove_old(self) -> None:
        """Removes what is known of iteration groups without endpoints."""
        for service, state in self._states.items():
            names = self._loads(service).keys()
            for name in state.groups.keys() - names:
                del state.groups[name]
            for name in state.sent_prompt_tokens.keys() - names:
                del state.sent_prompt_tokens[name]

    def _state(self, service: str) -> _ServiceState:
        return self._states.setdefault(service, _ServiceState())

    def _loads(self, service: str) -> dict[str, iteration_groups.GroupLoad]:
        return iteration_groups.group_loads(
            self._directory.listed(service),
            self._members,
            self._peer_loads,
            self._rooms,
            self._total_s(service),
            self._reactor.seconds(),
        )

    def _load_of(
        self, endpoint: directory_lib.Endpoint
    ) -> iteration_groups.GroupLoad:
        """Returns the load of the iteration group of an endpoint."""
        name = self._members.key(endpoint)
        load = self._loads(endpoint.service).get(name)
        return load or iteration_groups.GroupLoad(name, size=1)

    def _group_of(
        self, endpoint: directory_lib.Endpoint
    ) -> iteration_groups.IterationGroup | None:
        """Returns the iteration group of an endpoint; see ``_group``."""
        state = self._state(endpoint.service)
        known = state.groups.get(self._members.key(endpoint))
        return known or self._group(endpoint.service, self._load_of(endpoint))

    def _group(
        self, service: str, load: iteration_groups.GroupLoad
    ) -> iteration_groups.IterationGroup | None:
        """Returns an iteration group, or None if no step time is declared."""
        state = self._state(service)
        if state.engine is None:
            return None
        group = state.groups.get(load.name)
        if group is None:
            model = iteration_groups.iteration_model(state.engine, load.size)
            group = iteration_groups.IterationGroup(
                load.name, model, self._peer_loads
            )
            state.groups[load.name] = group
        return group

    def _modelled_groups(
        self, service: str
    ) -> list[
        tuple[iteration_groups.IterationGroup, iteration_groups.GroupLoad]
    ]:
        """Returns the iteration groups with declared times, with their load."""
        pairs = [
            (self._group(service, load), load)
            for load in self._loads(service).values()
        ]
        return [(group, load) for group, load in pairs if group is not None]
