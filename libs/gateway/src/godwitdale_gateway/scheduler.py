"""Assigns requests to endpoints, now or when a slot becomes free."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
import dataclasses
import random
from typing import Any

from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import explanation
from godwitdale_gateway import homes as homes_lib
from godwitdale_gateway import iteration_groups
from godwitdale_gateway import peers
from godwitdale_gateway import placement as placement_lib
from godwitdale_gateway import room_timers
from godwitdale_gateway import service_groups
from godwitdale_gateway import service_queue
from godwitdale_gateway import statement_sharing as statement_sharing_lib
from godwitdale_gateway import wait_refusals
from godwitdale_observe import logs
from godwitdale_routing import choice
from godwitdale_routing import peer_load
from godwitdale_routing import routes
from godwitdale_routing import wait_queue
from godwitdale_verdicts import outcomes

# Service times that are assumed before the first answer of a service.
_INITIAL_TIME_TO_FIRST_S = 0.15
_INITIAL_TOTAL_S = 1.0
# Iterations from sending a request to its first event, including those that
# process the prompt.
_ITERATIONS_TO_FIRST = 1.9
# Time after which a request that leaves room to more urgent ones tries again to
# get a permit.
_HELD_BACK_RETRY_S = 0.05


@dataclasses.dataclass(slots=True)
class _ServiceState:
    """Scheduling state of one service at this entry.

    Attributes:
        times: Service times.
        line: The waiting requests and the permits that they count on.
        tokens_per_iteration: Tokens of one stream in an iteration, or 0 if
            not declared.
        mean_iterations: Mean iterations of an answer, or 0 if not declared.
        consecutive_refusals: Refusals by endpoints since the last answer.
        is_assigning: Whether waiting requests are being assigned.
        must_assign_again: Whether a slot may have become free meanwhile.
    """

    times: wait_queue.ServiceTimes
    line: service_queue.ServiceQueue
    tokens_per_iteration: int = 0
    mean_iterations: float = 0.0
    consecutive_refusals: int = 0
    is_assigning: bool = False
    must_assign_again: bool = False


class Scheduler:
    """Assigns requests to endpoints by the load of all entries.

    Attributes:
        groups: The iteration groups of the services.
    """

    def __init__(
        self,
        directory: directory_lib.Directory,
        members: iteration_groups.GroupMembers,
        statement_sharing: statement_sharing_lib.StatementSharing,
        peer_loads: peer_load.PeerLoads,
        chooser: choice.Chooser,
        has_idle_connection: Callable[[str], bool],
        reactor: Any,
        rng: random.Random,
        log: logs.EventLog,
        on_change: Callable[[], None],
        entry_position: Callable[[], tuple[int, int]],
    ) -> None:
        """Creates a scheduler without any requests.

        Args:
            directory: The endpoints.
            members: Groups of the endpoints.
            statement_sharing: Rate limits and pauses of the endpoints.
            peer_loads: The load of the other entries.
            chooser: Picks one of several endpoints.
            has_idle_connection: Returns whether an idle connection to an
                endpoint is available.
            reactor: The Twisted reactor.
            rng: Source of jitter.
            log: The event log.
            on_change: Called when the load of this entry has changed.
            entry_position: Returns the index of this entry among the live
                entries, and their number.
        """
        self._directory = directory
        self._home_endpoints = homes_lib.Homes(directory, entry_position)
        self._members = members
        self._statement_sharing = statement_sharing
        self._peer_loads = peer_loads
        self._chooser = chooser
        self._has_idle_connection = has_idle_connection
        self._reactor = reactor
        self._refusals = wait_refusals.WaitRefusals(statement_sharing, rng)
        self._log = log
        self._on_change = on_change
        self._states: dict[str, _ServiceState] = {}
        self.groups = service_groups.ServiceGroups(
            directory,
            members,
            peer_loads,
            statement_sharing,
            lambda service: self._state(service).times.total_s,
            reactor,
        )
        self._timers: dict[placement_lib.PendingRequest, Any] = {}
        self._room_timers = room_timers.RoomTimers(
            directory, statement_sharing, self._on_room, reactor
        )

    def service_times(self, service: str) -> wait_queue.ServiceTimes:
        """Returns the service times of a service."""
        return self._state(service).times

    def configure(self, engines: Mapping[str, routes.Engine]) -> None:
        """Applies the declared properties of engines.

        The first declaration with a step time applies to its service as long as
        this scheduler exists. Later declarations do not change it.

        Args:
            engines: Engines by name of their service.
        """
        for service, engine in engines.items():
            if self.groups.configure(service, engine):
                state = self._state(service)
                state.tokens_per_iteration = engine.steps_per_iteration
                state.mean_iterations = (
                    engine.mean_answer_tokens / engine.steps_per_iteration
                )

    def set_priorities(self, priorities: Mapping[str, Collection[int]]) -> None:
        """Applies the declared priorities of the routes to each service.

        Args:
            priorities: Priorities by name of the service.
        """
        for service in self._states.keys() | priorities.keys():
            line = self._state(service).line
            had_priorities = line.has_priorities
            declared = sorted(priorities.get(service, ()))
            line.set_priorities(declared)
            if line.has_priorities != had_priorities:
                self._log.info(
                    "priorities_changed", service=service, priorities=declared
                )

    def observe_gap(
        self,
        endpoint: directory_lib.Endpoint,
        gap_s: float,
        objective_s: float,
    ) -> None:
        """Records an inter-event gap of a stream.

        Args:
            endpoint: Endpoint that sends the stream.
            gap_s: The inter-event gap.
            objective_s: Longest gap that is on time.
        """
        if not self.groups.observe_gap(endpoint, gap_s, objective_s):
            return
        service = endpoint.service
        state = self._state(service)
        iteration_s = self.groups.iteration_s(service)
        state.times.time_to_first_s = iteration_s * _ITERATIONS_TO_FIRST
        if state.mean_iterations > 0:
            iterations = _ITERATIONS_TO_FIRST + state.mean_iterations
            state.times.total_s = iteration_s * iterations
        self.assign_waiting(service)

    def observe_first(
        self, endpoint: directory_lib.Endpoint, took_s: float
    ) -> None:
        """Records that an endpoint has begun to answer a request.

        Args:
            endpoint: The endpoint.
            took_s: Time from sending the request to the first part.
        """
        state = self._state(endpoint.service)
        state.consecutive_refusals = 0
        self.groups.observe_first(endpoint)
        self._statement_sharing.on_first(
            endpoint, took_s, state.times.time_to_first_s
        )
        state.times.observe_first(took_s)

    def retry_after_refusal_s(self, service: str, left_s: float) -> float:
        """Returns the retry delay for a request that an endpoint refused.

        A single refusal means that this endpoint was full. Consecutive
        refusals by any endpoints mean that the whole service accepts no
        requests, as a group does while one of its ranks is down.

        Args:
            service: Name of the service.
            left_s: How long the caller will still wait.
        """
        state = self._state(service)
        state.consecutive_refusals += 1
        return self._refusals.retry_delay_s(
            state.consecutive_refusals - 1, left_s
        )

    def engine_priority(
        self, placement: placement_lib.PlacementRequest
    ) -> int | None:
        """Returns the priority that the engine is told, or None for none."""
        line = self._state(placement.service).line
        return placement.params.priority if line.has_priorities else None

    def submit(self, request: placement_lib.PendingRequest) -> None:
        """Assigns a request to an endpoint, queues it or refuses it."""
        now_s = self._reactor.seconds()
        placement = request.placement
        state = self._state(placement.service)
        params = state.line.on_arrival(request, now_s)
        urgency = wait_queue.urgency(params, state.times, now_s)
        refusal = self._duration_refusal(placement, now_s)
        if refusal is None:
            if self._try_assign(request, urgency, now_s):
                return
            refusal = self._wait_refusal(request, urgency, now_s)
        if refusal is not None:
            request.on_refused(refusal)
            return
        state.line.waiting.add(request, params)
        self._start_timer(request, urgency.due_s - now_s)
        self._wait_for_room(placement.service)
        self._on_change()

    def withdraw(self, request: placement_lib.PendingRequest) -> None:
        """Removes a request from the wait queue."""
        self._cancel_timer(request)
        if self._state(request.placement.service).line.waiting.remove(request):
            self._on_change()

    def release(self, record: directory_lib.EndpointRecord) -> None:
        """Frees the slot of a request that has left its endpoint."""
        record.stats.in_flight -= 1
        self._statement_sharing.pauses.record_end(record.endpoint.id)
        self._on_change()
        self.assign_waiting(record.endpoint.service)

    def assign_waiting(self, service: str) -> None:
        """Assigns waiting requests of a service to free slots.

        A request may return its slot before ``on_assigned`` returns, which
        calls this method again. The inner call only demands another pass, so
        that all passes assign requests in one order.

        Args:
            service: Name of the service.
        """
        state = self._states.get(service)
        if state is None or not len(state.line.waiting):
            return
        state.must_assign_again = True
        if state.is_assigning:
            return
        state.is_assigning = True
        try:
            while state.must_assign_again:
                state.must_assign_again = False
                self._assign_in_order(state)
        finally:
            state.is_assigning = False

    def _assign_in_order(self, state: _ServiceState) -> None:
        """Goes through the wait queue once, the most urgent request first."""
        now_s = self._reactor.seconds()
        for urgency, request in state.line.in_order(now_s):
            if request not in state.line.waiting:
                continue  # Withdrawn while another request was assigned.
            permits = self._free_permits(request.placement, now_s)
            if not self._is_next_in_line(request, urgency, permits, now_s):
                return
            candidates = self._candidates(request, permits, now_s)
            if candidates:
                self._cancel_timer(request)
                state.line.waiting.remove(request)
                self._assign(request, candidates, now_s)

    def _wait_for_room(self, service: str) -> None:
        """Assigns waiting requests when a limit or pause allows the next."""
        line = self._state(service).line
        if not len(line.waiting):
            return
        retry_s = _HELD_BACK_RETRY_S if line.has_priorities else None
        self._room_timers.start(service, retry_s)

    def _on_room(self, service: str) -> None:
        self.assign_waiting(service)
        self._wait_for_room(service)

    def on_zones_changed(self) -> None:
        """Assigns or refuses the waiting requests after an evacuation."""
        self.assign_all_waiting()
        for request in list(self._timers):
            if request in self._timers and not self._has_endpoint(request):
                self._cancel_timer(request)
                self._on_timer(request)

    def assign_all_waiting(self) -> None:
        """Assigns waiting requests of all services to free slots."""
        for service in list(self._states):
            self.assign_waiting(service)

    def log_load(self) -> None:
        """Logs the load of the services that have requests in flight."""
        for service, state in self._states.items():
            self.groups.log_load(service, len(state.line.waiting), self._log)

    def own_load(self) -> peers.OwnLoad:
        """Returns the load of this entry for the other entries."""
        now_s = self._reactor.seconds()
        in_flight = {
            record.endpoint.id: record.stats.in_flight
            for record in self._directory.records()
            if record.stats.in_flight
        }
        queue_heads = {
            service: state.line.heads(now_s)
            for service, state in self._states.items()
            if len(state.line.waiting)
        }
        arrival_rates = {
            service: state.line.own_rates_per_s(now_s)
            for service, state in self._states.items()
            if state.line.has_priorities
        }
        return peers.OwnLoad(
            in_flight,
            queue_heads,
            self.groups.sent_prompt_tokens(),
            arrival_rates,
        )

    def _state(self, service: str) -> _ServiceState:
        state = self._states.get(service)
        if state is None:
            times = wait_queue.ServiceTimes(
                _INITIAL_TIME_TO_FIRST_S, _INITIAL_TOTAL_S
            )
            line = service_queue.ServiceQueue(
                service, times, self._peer_loads, self._refusals
            )
            state = self._states[service] = _ServiceState(times, line)
        return state

    def _in_flight(self, record: directory_lib.EndpointRecord) -> int:
        return record.stats.in_flight + self._peer_loads.in_flight(
            record.endpoint.id
        )

    def _is_free(
        self, record: directory_lib.EndpointRecord, now_s: float
    ) -> bool:
        """Returns whether a request may be sent to an endpoint now."""
        endpoint = record.endpoint
        return (
            self._in_flight(record) < endpoint.slots
            and self._statement_sharing.room(endpoint.id, now_s) != 0
        )

    def _candidates(
        self,
        request: placement_lib.PendingRequest,
        permits: Mapping[str, int],
        now_s: float,
    ) -> list[directory_lib.EndpointRecord]:
        """Returns the endpoints that a request may be sent to now.

        Args:
            request: The request.
            permits: Free permits by iteration group.
            now_s: The current time.
        """
        usable = self._directory.candidates(
            request.placement.service, request.tried_endpoints, now_s
        )
        return [
            record
            for record in usable
            if self._is_free(record, now_s)
            and permits.get(self._members.key(record.endpoint), 0) > 0
        ]

    def _is_next_in_line(
        self,
        request: placement_lib.PendingRequest,
        urgency: wait_queue.Urgency,
        permits: Mapping[str, int],
        now_s: float,
    ) -> bool:
        service = request.placement.service
        return self._state(service).line.may_take_permit(
            urgency,
            sum(permits.values()),
            self.groups.concurrency_limit(service),
            now_s,
        )

    def _free_permits(
        self, placement: placement_lib.PlacementRequest, now_s: float
    ) -> dict[str, int]:
        """Returns the free permits by iteration group; see ``free_permits``."""
        return self.groups.free_permits(
            placement.service, placement.traits.prompt_tokens, now_s
        )

    def _try_assign(
        self,
        request: placement_lib.PendingRequest,
        urgency: wait_queue.Urgency,
        now_s: float,
    ) -> bool:
        service = request.placement.service
        state = self._state(service)
        queued = state.line.in_order(now_s)
        if queued and queued[0][0] < urgency:
            return False
        candidates = self._free_candidates(request, urgency, now_s)
        if not candidates:
            return False
        self._assign(request, candidates, now_s)
        return True

    def _free_candidates(
        self,
        request: placement_lib.PendingRequest,
        urgency: wait_queue.Urgency,
        now_s: float,
    ) -> list[directory_lib.EndpointRecord]:
        """Returns the endpoints that a request may be sent to in its turn."""
        permits = self._free_permits(request.placement, now_s)
        if not self._is_next_in_line(request, urgency, permits, now_s):
            return []
        return self._candidates(request, permits, now_s)

    def _assign(
        self,
        request: placement_lib.PendingRequest,
        candidates: list[directory_lib.EndpointRecord],
        now_s: float,
    ) -> None:
        chosen = self._choose(request.placement, candidates, now_s)
        self.groups.record_sent(
            chosen.endpoint, request.placement.traits.prompt_tokens
        )
        chosen.stats.in_flight += 1
        line = self._state(request.placement.service).line
        line.on_assigned(request.placement, now_s)
        self._statement_sharing.record_sent(chosen.endpoint.id)
        self._on_change()
        request.on_assigned(chosen)

    def _choose(
        self,
        placement: placement_lib.PlacementRequest,
        candidates: list[directory_lib.EndpointRecord],
        now_s: float,
    ) -> directory_lib.EndpointRecord:
        homes = self._homes(placement.service)
        for record in candidates:
            record.stats.is_home = record.endpoint.id in homes
            record.stats.is_connected = self._has_idle_connection(
                record.endpoint.id
            )
            # Only the requests of the other entries: the requests of this entry
            # are in ``in_flight``, which the choosers add.
            record.stats.report = dataclasses.replace(
                record.stats.report,
                running=self._peer_loads.in_flight(record.endpoint.id),
            )
        chosen_stats = self._chooser.choose(
            [record.stats for record in candidates],
            placement.traits,
            now_s,
        )
        chosen = self._directory.get(chosen_stats.name)
        assert chosen is not None
        return chosen

    def explain(
        self, placement: placement_lib.PlacementRequest
    ) -> explanation.Explanation:
        """Returns where a request would go now; sends and counts nothing.

        Args:
            placement: What the request would need.
        """
        now_s = self._reactor.seconds()
        service = placement.service
        state = self._state(service)
        request = explanation.HypotheticalRequest(placement)
        urgency = wait_queue.urgency(placement.params, state.times, now_s)
        limit = self.groups.concurrency_limit(service)
        refusal = self._duration_refusal(placement, now_s)
        candidates = self._free_candidates(request, urgency, now_s)
        endpoint = None
        if refusal is not None:
            decision, detail = explanation.Decision.REFUSE, refusal.detail
        elif candidates:
            chosen = self._choose(placement, candidates, now_s)
            endpoint = chosen.endpoint.id
            decision = explanation.Decision.SEND
            detail = f"the least loaded of {len(candidates)} free endpoints"
        else:
            decision, detail = self._explain_wait(
                request, urgency, limit, now_s
            )
        return explanation.Explanation(
            service=service,
            decision=decision,
            detail=detail,
            endpoint=endpoint,
            limit=limit,
            waiting=len(state.line.waiting),
            free_permits=self._free_permits(placement, now_s),
            endpoints=[
                self._explain_endpoint(record, now_s)
                for record in self._directory.listed(service)
            ],
        )

    def _explain_wait(
        self,
        request: placement_lib.PendingRequest,
        urgency: wait_queue.Urgency,
        limit: float,
        now_s: float,
    ) -> tuple[explanation.Decision, str]:
        service = request.placement.service
        refusal = self._refusals.unavailable(
            self._directory.of_service(service), request.tried_endpoints, now_s
        )
        if refusal is not None:
            return explanation.Decision.REFUSE, refusal.detail
        line = self._state(service).line
        if line.may_wait(request, urgency, limit, now_s):
            return explanation.Decision.WAIT, "a slot is expected in time"
        return explanation.Decision.REFUSE, "no slot is expected in time"

    def _explain_endpoint(
        self, record: directory_lib.EndpointRecord, now_s: float
    ) -> explanation.EndpointView:
        endpoint = record.endpoint
        return explanation.EndpointView(
            endpoint=endpoint.id,
            zone=endpoint.zone,
            group=self._members.key(endpoint),
            in_flight=self._in_flight(record),
            slots=endpoint.slots,
            room=self._statement_sharing.room(endpoint.id, now_s),
            is_home=endpoint.id in self._homes(endpoint.service),
            is_evacuated=record.is_evacuated,
            is_ejected=record.stats.health.is_ejected(now_s),
        )

    def _homes(self, service: str) -> frozenset[str]:
        """Returns the home endpoints of this entry at a service.

        Only engines whose iterations are modelled have any: there, the load of
        the whole group decides how long an iteration takes, so that a rank may
        be filled before the others.
        """
        if not self.groups.is_modelled(service):
            return frozenset()
        return self._home_endpoints.of_service(service)

    def _duration_refusal(
        self, placement: placement_lib.PlacementRequest, now_s: float
    ) -> outcomes.Refusal | None:
        """Returns a refusal if the answer would end far too late, else None."""
        state = self._state(placement.service)
        if state.tokens_per_iteration <= 0:
            return None
        tokens = placement.expected_answer_tokens
        iteration_s = self.groups.shortest_iteration_s(placement.service)
        return self._refusals.too_long(
            iteration_s * tokens / state.tokens_per_iteration,
            placement.deadline_s - now_s,
        )

    def _has_endpoint(self, request: placement_lib.PendingRequest) -> bool:
        """Returns whether an endpoint is left that the request may be sent to.

        The endpoint may be full at present.
        """
        return any(
            record.endpoint.id not in request.tried_endpoints
            for record in self._directory.of_service(request.placement.service)
        )

    def _wait_refusal(
        self,
        request: placement_lib.PendingRequest,
        urgency: wait_queue.Urgency,
        now_s: float,
    ) -> outcomes.Refusal | None:
        """Returns a refusal if the request may not wait, else None.

        It may not wait if it was already sent to all endpoints of its service,
        if all of them ask for a pause, or if it cannot expect to start in time.
        """
        service = request.placement.service
        refusal = self._refusals.unavailable(
            self._directory.of_service(service), request.tried_endpoints, now_s
        )
        return refusal or self._state(service).line.wait_refusal(
            request, urgency, self.groups.concurrency_limit(service), now_s
        )

    def _start_timer(
        self, request: placement_lib.PendingRequest, delay_s: float
    ) -> None:
        self._timers[request] = self._reactor.callLater(
            max(0.0, delay_s), self._on_timer, request
        )

    def _cancel_timer(self, request: placement_lib.PendingRequest) -> None:
        timer = self._timers.pop(request, None)
        if timer is not None and timer.active():
            timer.cancel()

    def _on_timer(self, request: placement_lib.PendingRequest) -> None:
        """Keeps or refuses a waiting request whose due time has passed.

        A request that has missed its objective stays in the queue as a late
        request if it may still start in time; otherwise it is refused.
        """
        self._timers.pop(request, None)
        now_s = self._reactor.seconds()
        state = self._state(request.placement.service)
        urgency = wait_queue.urgency(
            state.line.waiting.params(request), state.times, now_s
        )
        refusal = self._wait_refusal(request, urgency, now_s)
        self._on_change()
        if refusal is None:
            self._start_timer(request, urgency.due_s - now_s)
            return
        state.line.waiting.remove(request)
        request.on_refused(refusal)
