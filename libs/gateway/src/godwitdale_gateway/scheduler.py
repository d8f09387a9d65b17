"""Gives requests a place at an endpoint, now or when one becomes free."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import random
from typing import Any
from typing import Protocol

from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import peers
from godwitdale_observe import logs
from godwitdale_routing import choice
from godwitdale_routing import concurrency as concurrency_lib
from godwitdale_routing import peer_load
from godwitdale_routing import routes
from godwitdale_routing import wait_queue
from godwitdale_verdicts import outcomes

# Times that are assumed of a service before any answer has been seen.
_FIRST_S = 0.15
_WHOLE_S = 1.0
# An answer is refused at once if at the present pace it would take this many
# times the time that is left; slow ranks recover, so that less is no proof.
_TOO_LONG = 1.5
# A row of refusals doubles the time at the most this often.
_MOST_DOUBLINGS = 6
# Share of the time left after which it is worth another try; spread, it stays
# below the third of it up to which callers wait.
_LATER_SHARE = 0.15
# Events of two streams belong to the same pass if they come closer together
# than this share of the pause.
_SAME_PASS_SHARE = 0.5
# Passes from sending a request to its first event, prompt included.
_PASSES_TO_FIRST = 1.9
# When a service without endpoints is worth another try: about one interval in
# which the store learns of a new endpoint.
_NO_ENDPOINT_RETRY_S = 0.5
# From the end of a change of the experts' places to the first pass on it.
_MOVE_S = 0.6
# Callers that were refused come back spread over this much of the time after
# which there will be room, so that they do not meet again.
_RETRY_SPREAD = 1.0
# Shortest time after which a caller is told to come back: several passes, so
# that some places have become free.
_LEAST_RETRY_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What a request asks for.

    Attributes:
        service: Name of the service.
        params: How long it may wait.
        traits: What the choice of an endpoint may know of it.
        expected_answer_tokens: Expected length of its answer, 0 where unknown.
        deadline_s: When the caller has to have the whole answer.
    """

    service: str
    params: wait_queue.SchedulingParams
    traits: choice.RequestTraits
    expected_answer_tokens: float = 0.0
    deadline_s: float = float("inf")


class PendingRequest(Protocol):
    """A request that needs an endpoint."""

    placement: PlacementRequest
    tried_endpoints: set[str]

    def on_assigned(self, entry: directory_lib.EndpointRecord) -> None:
        """Gets a place; ``release`` gives it back."""

    def on_refused(self, refusal: outcomes.Refusal) -> None:
        """Gets none."""


@dataclasses.dataclass(slots=True)
class _Service:
    """One service as this entry uses it."""

    pace: wait_queue.ServiceTimes
    line: wait_queue.WaitQueue[PendingRequest]
    concurrency: concurrency_lib.ConcurrencyModel | None = None
    gap_objective_s: float | None = None
    surplus_s: float = 0.0
    pass_ended_s: float = 0.0
    moved_s: float = 0.0
    started: int = 0
    tokens_per_pass: int = 0
    usual_passes: float = 0.0
    refusals: int = 0


class Scheduler:
    """Places requests by what this entry and the others have in work."""

    def __init__(
        self,
        directory: directory_lib.Directory,
        board: peer_load.PeerLoads,
        chooser: choice.Chooser,
        has_idle: Callable[[str], bool],
        reactor: Any,
        rng: random.Random,
        log: logs.EventLog,
        changed: Callable[[], None],
    ) -> None:
        """Starts with nothing in work.

        Args:
            directory: The endpoints.
            board: The load of the other entries.
            chooser: Picks one of several endpoints.
            has_idle: Tells whether a connection to an endpoint is at hand.
            reactor: The Twisted reactor.
            rng: Source of jitter.
            log: The log of decisions.
            changed: Called when the load here has changed.
        """
        self._directory = directory
        self._board = board
        self._chooser = chooser
        self._has_idle = has_idle
        self._reactor = reactor
        self._rng = rng
        self._log = log
        self._changed = changed
        self._services: dict[str, _Service] = {}
        self._timers: dict[PendingRequest, Any] = {}

    def service_times(self, service: str) -> wait_queue.ServiceTimes:
        """Returns the times of a service."""
        return self._service(service).pace

    def configure(self, engines: Mapping[str, routes.Engine]) -> None:
        """Takes over what is declared of the engines.

        Args:
            engines: By name of the service.
        """
        for name, engine in engines.items():
            service = self._service(name)
            if service.concurrency is None and engine.step_s > 0:
                service.concurrency = concurrency_lib.ConcurrencyModel(
                    _declared(engine)
                )
                service.tokens_per_pass = engine.steps_per_iteration
                service.usual_passes = (
                    engine.mean_answer_tokens / engine.steps_per_iteration
                )

    def observe_gap(self, name: str, gap_s: float, objective_s: float) -> None:
        """Takes a pause between two events of a stream into account.

        All ranks of a group end a pass together, so that events that come
        together are seen as one pass.

        Args:
            name: Name of the service.
            gap_s: The pause.
            objective_s: Longest pause that is on time.
        """
        service = self._service(name)
        now_s = self._reactor.seconds()
        service.moved_s = now_s
        if service.concurrency is None:
            return
        service.gap_objective_s = objective_s
        if now_s - service.pass_ended_s < gap_s * _SAME_PASS_SHARE:
            return
        service.pass_ended_s = now_s
        running = self._running(name)
        tokens = self._board.prompt_tokens_between(
            name, now_s - 2 * gap_s, now_s - gap_s
        )
        service.concurrency.observe(gap_s, running, tokens, objective_s)
        pass_s = service.concurrency.iteration_s(running)
        service.pace.time_to_first_s = pass_s * _PASSES_TO_FIRST
        if service.usual_passes > 0:
            passes = _PASSES_TO_FIRST + service.usual_passes
            service.pace.total_s = pass_s * passes
        self.assign_waiting(name)

    def observe_first(self, name: str, took_s: float) -> None:
        """Notes that an endpoint of a service has begun to answer."""
        service = self._service(name)
        service.refusals = 0
        service.moved_s = self._reactor.seconds()
        service.pace.observe_first(took_s)

    def stalled_s(self, service: str) -> float:
        """Returns for how long streams here have waited for any event.

        Args:
            service: Name of the service.
        """
        if not self._has_own(service):
            return 0.0
        return self._reactor.seconds() - self._service(service).moved_s

    def iteration_ratio(self, service: str) -> float:
        """Returns the time of a pass over the longest that is on time.

        Args:
            service: Name of the service.
        """
        objective_s = self._service(service).gap_objective_s
        return self.iteration_s(service) / objective_s if objective_s else 0.0

    def iteration_s(self, service: str) -> float:
        """Returns how long a pass takes at present, or 0.

        Args:
            service: Name of the service.
        """
        concurrency = self._service(service).concurrency
        if concurrency is None:
            return 0.0
        return concurrency.iteration_s(self._running(service))

    def on_map_change(self, name: str) -> None:
        """Is told that the experts of a service are about to lie elsewhere.

        Args:
            name: Name of the service.
        """
        concurrency = self._service(name).concurrency
        if concurrency is not None:
            self._reactor.callLater(_MOVE_S, concurrency.discount_history)

    def retry_after_refusal_s(self, name: str, left_s: float) -> float:
        """Returns when a request that an endpoint refused may come back.

        One refusal says that this endpoint was full; a row of them, from any
        endpoint, that the service as a whole takes no work, as a group does
        while one of its ranks is gone.

        Args:
            name: Name of the service.
            left_s: How long the caller will still wait.
        """
        service = self._service(name)
        delay_s = _LEAST_RETRY_S * 2 ** min(service.refusals, _MOST_DOUBLINGS)
        service.refusals += 1
        most_s = max(_LEAST_RETRY_S, left_s * _LATER_SHARE)
        return self._spread(min(delay_s, most_s))

    def submit(self, request: PendingRequest) -> None:
        """Places a request, lets it wait, or refuses it."""
        now_s = self._reactor.seconds()
        placement = request.placement
        service = self._service(placement.service)
        own = wait_queue.urgency(placement.params, service.pace, now_s)
        refusal = self._too_long(placement, now_s)
        if refusal is None:
            if self._try_place(request, own, now_s):
                return
            refusal = self._hopeless(request, own, now_s)
        if refusal is not None:
            request.on_refused(refusal)
            return
        service.line.add(request, placement.params)
        self._arm(request, own.due_s - now_s)
        self._changed()

    def withdraw(self, request: PendingRequest) -> None:
        """Takes a request out that does not need a place any more."""
        self._disarm(request)
        if self._service(request.placement.service).line.remove(request):
            self._changed()

    def release(self, entry: directory_lib.EndpointRecord) -> None:
        """Gives a place back."""
        entry.stats.in_flight -= 1
        self._changed()
        self.assign_waiting(entry.endpoint.service)

    def assign_waiting(self, name: str) -> None:
        """Hands free places of a service to the requests that wait for them."""
        service = self._services.get(name)
        if service is None or not len(service.line):
            return
        now_s = self._reactor.seconds()
        for own, request in service.line.sorted_by_urgency(service.pace, now_s):
            if not self._has_turn(request, own, now_s):
                return
            candidates = self._candidates(request, now_s)
            if candidates:
                self._disarm(request)
                service.line.remove(request)
                self._place(request, candidates, now_s)

    def assign_all_waiting(self) -> None:
        """Does so for every service."""
        for name in list(self._services):
            self.assign_waiting(name)

    def log_load(self) -> None:
        """Logs what decides on places in each service that is in use."""
        for name, service in self._services.items():
            entries = self._directory.of_service(name)
            running = self._running(name)
            if running == 0 or service.concurrency is None:
                continue
            self._log.info(
                "service_load",
                service=name,
                running=running,
                limit=self._limit(name, entries),
                slots=sum(entry.endpoint.slots for entry in entries),
                pass_s=round(service.concurrency.iteration_s(running), 4),
                idle_pass_s=round(service.concurrency.iteration_s(0), 4),
                whole_s=round(service.pace.total_s, 3),
                waiting=len(service.line),
            )

    def own_load(self) -> peers.OwnLoad:
        """Returns what the other entries have to know."""
        now_s = self._reactor.seconds()
        in_work = {
            entry.endpoint.id: entry.stats.in_flight
            for entry in self._directory.records()
            if entry.stats.in_flight
        }
        heads = {
            name: [
                own
                for own, _ in service.line.sorted_by_urgency(
                    service.pace, now_s
                )[: peer_load.MAX_QUEUE_HEADS]
            ]
            for name, service in self._services.items()
            if len(service.line)
        }
        started = {
            name: service.started
            for name, service in self._services.items()
            if service.started
        }
        return peers.OwnLoad(in_work, heads, started)

    def _service(self, name: str) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = _Service(
                wait_queue.ServiceTimes(_FIRST_S, _WHOLE_S),
                wait_queue.WaitQueue(),
            )
            self._services[name] = service
        return service

    def _taken(self, entry: directory_lib.EndpointRecord) -> int:
        return entry.stats.in_flight + self._board.in_flight(entry.endpoint.id)

    def _running(self, name: str) -> int:
        """Returns the requests in work at a service, of all entries."""
        entries = self._directory.of_service(name)
        return sum(self._taken(entry) for entry in entries)

    def _has_own(self, name: str) -> bool:
        """Tells whether this entry has requests in work at a service."""
        entries = self._directory.of_service(name)
        return any(entry.stats.in_flight for entry in entries)

    def _free(self, entry: directory_lib.EndpointRecord) -> int:
        return max(0, entry.endpoint.slots - self._taken(entry))

    def _candidates(
        self, request: PendingRequest, now_s: float
    ) -> list[directory_lib.EndpointRecord]:
        usable = self._directory.candidates(
            request.placement.service, request.tried_endpoints, now_s
        )
        return [entry for entry in usable if self._free(entry)]

    def _has_turn(
        self, request: PendingRequest, own: wait_queue.Urgency, now_s: float
    ) -> bool:
        name = request.placement.service
        heads = self._board.queue_heads(name, now_s)
        entries = self._directory.of_service(name)
        prompt_tokens = request.placement.traits.prompt_tokens
        free = self._free_places(name, entries, prompt_tokens, now_s)
        kept = wait_queue.reserved_permits(self._limit(name, entries))
        if free > kept:
            self._service(name).surplus_s = now_s
        return wait_queue.may_take_permit(own, heads, free, kept)

    def _free_places(
        self,
        name: str,
        entries: list[directory_lib.EndpointRecord],
        prompt_tokens: int,
        now_s: float,
    ) -> int:
        """Returns the places that are free within the limit of the service.

        Args:
            name: Name of the service.
            entries: Its endpoints.
            prompt_tokens: Length of the prompt that would come.
            now_s: The present time.
        """
        free = sum(self._free(entry) for entry in entries)
        taken = sum(self._taken(entry) for entry in entries)
        service = self._service(name)
        tokens = 0.0
        if service.concurrency is not None:
            # An entry without a stream of its own sees no pass end.
            pass_s = service.concurrency.iteration_s(taken)
            since_s = max(service.pass_ended_s, now_s - pass_s)
            tokens = service.concurrency.capped_prompt_tokens(prompt_tokens)
            tokens += self._board.prompt_tokens_between(name, since_s, now_s)
        return min(free, self._limit(name, entries, tokens) - taken)

    def _limit(
        self,
        name: str,
        entries: list[directory_lib.EndpointRecord],
        tokens: float = 0.0,
    ) -> int:
        service = self._service(name)
        slots = sum(entry.endpoint.slots for entry in entries)
        if service.concurrency is None or service.gap_objective_s is None:
            return slots
        return service.concurrency.max_running(
            service.gap_objective_s, slots, tokens
        )

    def _try_place(
        self, request: PendingRequest, own: wait_queue.Urgency, now_s: float
    ) -> bool:
        name = request.placement.service
        service = self._service(name)
        ranked = service.line.sorted_by_urgency(service.pace, now_s)
        if ranked and ranked[0][0] < own:
            return False
        if not self._has_turn(request, own, now_s):
            return False
        candidates = self._candidates(request, now_s)
        if not candidates:
            return False
        self._place(request, candidates, now_s)
        return True

    def _place(
        self,
        request: PendingRequest,
        candidates: list[directory_lib.EndpointRecord],
        now_s: float,
    ) -> None:
        for entry in candidates:
            entry.stats.is_connected = self._has_idle(entry.endpoint.id)
            entry.stats.report = dataclasses.replace(
                entry.stats.report,
                running=self._board.in_flight(entry.endpoint.id),
            )
        tracked = self._chooser.choose(
            [entry.stats for entry in candidates],
            request.placement.traits,
            now_s,
        )
        chosen = self._directory.get(tracked.name)
        assert chosen is not None
        service = self._service(request.placement.service)
        if not self._has_own(request.placement.service):
            service.moved_s = now_s
        chosen.stats.in_flight += 1
        prompt = request.placement.traits.prompt_tokens
        service.started += prompt
        self._board.record_prompt(request.placement.service, prompt, now_s)
        self._changed()
        request.on_assigned(chosen)

    def _too_long(
        self, placement: PlacementRequest, now_s: float
    ) -> outcomes.Refusal | None:
        """Returns a refusal of an answer that cannot end in time, or None."""
        service = self._service(placement.service)
        if service.concurrency is None or service.tokens_per_pass <= 0:
            return None
        pass_s = service.concurrency.iteration_s(
            self._running(placement.service)
        )
        whole_s = (
            pass_s * placement.expected_answer_tokens / service.tokens_per_pass
        )
        left_s = placement.deadline_s - now_s
        if whole_s <= left_s * _TOO_LONG:
            return None
        return outcomes.not_run(
            outcomes.Reason.OVERLOADED,
            f"the answer would take {whole_s:.1f} s, {left_s:.1f} s are left",
            retry_after_s=self._spread(left_s * _LATER_SHARE),
        )

    def _hopeless(
        self, request: PendingRequest, own: wait_queue.Urgency, now_s: float
    ) -> outcomes.Refusal | None:
        """Returns a refusal where waiting has no hope, or None."""
        name = request.placement.service
        service = self._service(name)
        entries = self._directory.of_service(name)
        if not any(
            each.endpoint.id not in request.tried_endpoints for each in entries
        ):
            return outcomes.not_run(
                outcomes.Reason.NO_ENDPOINT,
                "no endpoint takes work",
                retry_after_s=self._spread(_NO_ENDPOINT_RETRY_S),
            )
        places = self._limit(name, entries)
        turn_s = service.pace.permit_interval_s(places)
        surplus_s = now_s - service.surplus_s
        others = self._board.queue_heads(name, now_s)
        others += [
            each
            for each, item in service.line.sorted_by_urgency(
                service.pace, now_s
            )
            if item is not request
        ]
        if wait_queue.may_wait(own, others, turn_s, surplus_s, now_s):
            return None
        room_s = max(_LEAST_RETRY_S, service.pace.total_s / 2)
        return outcomes.not_run(
            outcomes.Reason.OVERLOADED,
            f"{len(others)} requests wait, a place takes {turn_s:.3f} s",
            retry_after_s=self._spread(room_s + len(others) * turn_s),
        )

    def _spread(self, delay_s: float) -> float:
        return delay_s * (1 + _RETRY_SPREAD * self._rng.random())

    def _arm(self, request: PendingRequest, delay_s: float) -> None:
        self._timers[request] = self._reactor.callLater(
            max(0.0, delay_s), self._due, request
        )

    def _disarm(self, request: PendingRequest) -> None:
        timer = self._timers.pop(request, None)
        if timer is not None and timer.active():
            timer.cancel()

    def _due(self, request: PendingRequest) -> None:
        """A waiting request has lost its objective, or all hope."""
        self._timers.pop(request, None)
        now_s = self._reactor.seconds()
        service = self._service(request.placement.service)
        own = wait_queue.urgency(request.placement.params, service.pace, now_s)
        refusal = self._hopeless(request, own, now_s)
        self._changed()
        if refusal is None:
            self._arm(request, own.due_s - now_s)
            return
        service.line.remove(request)
        request.on_refused(refusal)


def _declared(engine: routes.Engine) -> concurrency_lib.DeclaredTimes:
    per_request_s = engine.steps_per_iteration * engine.step_per_request_s
    reads_per_s = engine.prefill_tokens_per_s
    return concurrency_lib.DeclaredTimes(
        base_s=engine.steps_per_iteration * engine.step_s,
        per_request_s=per_request_s,
        even_load_share=1 / max(1, engine.slots),
        rank_local_share=1 - engine.expert_share,
        prefill_per_token_s=1 / reads_per_s if reads_per_s > 0 else 0.0,
        mean_prompt_tokens=engine.mean_prompt_tokens,
    )
