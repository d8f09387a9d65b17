"""Executes requests at an agent: queue, key claims, calls and answers."""

import collections
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
import dataclasses
from typing import Any

from twisted.internet import defer
import xxhash

from godwitdale import agent_request
from godwitdale import claim_store
from godwitdale import feed as feed_lib
from godwitdale_claims import claimant as claimant_lib
from godwitdale_claims import records as claim_records
from godwitdale_gateway import answer_buffer
from godwitdale_link import messages
from godwitdale_link import server as link_server
from godwitdale_observe import histograms
from godwitdale_observe import logs
from godwitdale_observe import metrics as metrics_lib
from godwitdale_platform import endpoint_client
from godwitdale_routing import admission
from godwitdale_routing import limits
from godwitdale_routing import queueing
from godwitdale_verdicts import identifiers
from godwitdale_verdicts import outcomes

_RATE_TIME_CONSTANT_S = 5.0
_MAX_TRACKED_ACCOUNTS = 2048
_MAX_REPORTED_ACCOUNTS = 16
_MAX_OUTCOME_WAIT_S = 3.0
_CLAIM_TIMEOUT_SHARE = 0.5
# Maximum size of one answer, as much as the finished answers that are kept.
_MAX_ANSWER_BYTES = 24 << 20
_REPLAYED_HEADER = ("Idempotency-Replayed", "true")


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Objects that the executor of an agent uses.

    Attributes:
        reactor: The Twisted reactor.
        feed: The declarations.
        claims: Claims on idempotency keys.
        backend: Client of the endpoint.
        histograms: Times by service class and account.
        metrics: Counters.
        events: Event log of this process.
    """

    reactor: Any
    feed: feed_lib.DeclarationFeed
    claims: claim_store.ClaimStore
    backend: endpoint_client.EndpointClient
    histograms: histograms.Histograms
    metrics: metrics_lib.Metrics
    events: logs.EventLog


class Executor:
    """Decides which requests run at the endpoint, and when.

    Attributes:
        is_draining: Whether new requests are refused.
        step_s: Time of one step of the engine's group.
    """

    def __init__(
        self,
        dependencies: Dependencies,
        incarnation: str,
        slots: int,
        service_s: float,
        catch_up_s: float,
    ) -> None:
        """Creates an executor without requests.

        Args:
            dependencies: Objects that the executor uses.
            incarnation: The agent's incarnation.
            slots: Requests that the endpoint can run at once.
            service_s: Initial estimate of the time that a request occupies a
                slot.
            catch_up_s: How long an entry may lack a declaration that the agent
                has.
        """
        self.is_draining = False
        self.step_s = 0.0
        self._dependencies = dependencies
        self._incarnation = incarnation
        self._slots = slots
        self._catch_up_s = catch_up_s
        self._service_time = admission.ServiceTime(service_s)
        self._queue: queueing.FairQueue[agent_request.AgentRequest] = (
            queueing.FairQueue()
        )
        self._requests: dict[
            identifiers.RequestId, agent_request.AgentRequest
        ] = {}
        self._running = 0
        self._answer_usage = answer_buffer.BufferUsage(_MAX_ANSWER_BYTES)
        self._account_counts: collections.OrderedDict[
            str, limits.DecayingCount
        ] = collections.OrderedDict()
        self._server: link_server.LinkServer | None = None
        self._call_handlers: dict[
            str, Callable[[bytes], Coroutine[Any, Any, bytes]]
        ] = {}

    def attach_server(self, server: link_server.LinkServer) -> None:
        """Sets the link server, which sends answers and messages to entries."""
        self._server = server

    @property
    def in_flight(self) -> int:
        """Number of requests that have not ended."""
        return len(self._requests)

    def start_draining(self) -> None:
        """Refuses new requests from now on and notifies the entries at once."""
        if not self.is_draining:
            self.is_draining = True
            if self._server is not None:
                self._server.broadcast_load()

    def stop_draining(self) -> None:
        """Accepts new requests again after a leave notice was withdrawn."""
        if self.is_draining:
            self.is_draining = False
            if self._server is not None:
                self._server.broadcast_load()

    def abort_all(self) -> None:
        """Ends all requests; each gets the verdict that applies to it."""
        requests = list(self._requests.values())
        calls = [each.call for each in requests if each.call is not None]
        self._refuse_queued(
            requests,
            outcomes.not_run(outcomes.Reason.DRAINING, "the agent stops"),
        )
        for call in calls:
            call.cancel()

    def _refuse_queued(
        self,
        requests: Sequence[agent_request.AgentRequest],
        refusal: outcomes.Refusal,
    ) -> None:
        """Refuses those of some requests that have not been started.

        This comes before started ones are cancelled, since the end of a started
        request starts a queued one.
        """
        for request in requests:
            if request.call is None:
                self._withdraw(request)
                self._refuse(request, refusal)

    def refuse_expired(self) -> None:
        """Refuses the queued requests whose deadline has passed."""
        for request in self._queue.remove_expired(
            self._dependencies.reactor.seconds()
        ):
            self._release_key(request)
            self._refuse(
                request,
                outcomes.not_run(
                    outcomes.Reason.DEADLINE, "no slot was free in time"
                ),
            )

    def load(self) -> messages.EndpointLoad:
        """Returns the current load of the endpoint."""
        return messages.EndpointLoad(
            running=self._running,
            queued=len(self._queue),
            slots=self._slots,
            service_s=self._service_time.mean_s,
            step_s=self.step_s,
            prefill_tokens_per_s=10_000.0,
            is_draining=self.is_draining,
        )

    def heaviest_accounts(self) -> list[tuple[str, float]]:
        """Returns the busiest accounts with their requests per second."""
        now_s = self._dependencies.reactor.seconds()
        rates = [
            (name, round(count.rate_per_s(now_s), 3))
            for name, count in self._account_counts.items()
        ]
        rates.sort(key=lambda pair: -pair[1])
        return rates[:_MAX_REPORTED_ACCOUNTS]

    def position(self) -> messages.Position:
        """Returns the agent's position in the declaration log."""
        return self._dependencies.feed.position()

    def on_entry_position(
        self, incarnation: str, position: messages.Position
    ) -> None:
        """Fetches declarations if an entry has more than the agent."""
        if (
            self._dependencies.feed.on_peer_position(position)
            and self._server is not None
        ):
            next_offset = self._dependencies.feed.position().next_offset
            self._server.fetch_declarations(incarnation, next_offset)

    def declarations_from(self, next_offset: int) -> messages.Declarations:
        """Returns the declarations from an offset on."""
        return self._dependencies.feed.declarations_from(next_offset)

    def on_declarations(self, message: messages.Declarations) -> None:
        """Folds declarations that an entry has sent."""
        self._dependencies.feed.on_declarations(message)

    def on_submit(
        self, submit: messages.Submit, sink: link_server.AnswerSink
    ) -> None:
        """Refuses a new request, enqueues it, or first claims its key."""
        request = agent_request.AgentRequest(
            submit, sink, self._dependencies.reactor.seconds()
        )
        self._requests[submit.id] = request
        self._count_request(submit)
        refusal = self._find_refusal(submit)
        if refusal is not None:
            self._refuse(request, refusal)
        elif submit.key_digest is None:
            self._enqueue(request)
        else:
            defer.ensureDeferred(self._claim_key(request, submit.key_digest))

    def revoke(self, request_id: identifiers.RequestId) -> bool:
        """Prevents a request from starting; returns whether it has started."""
        request = self._requests.get(request_id)
        if request is None or request.call is not None:
            return True
        self._withdraw(request)
        del self._requests[request_id]
        return False

    def cancel(self, request_ids: Sequence[identifiers.RequestId]) -> None:
        """Cancels requests whose answers are no longer needed.

        A started request that must not be repeated continues, because its
        outcome has to be known.
        """
        requests = [
            request
            for request_id in request_ids
            if (request := self._requests.get(request_id)) is not None
        ]
        calls = [
            request.call
            for request in requests
            if request.call is not None and request.submit.repeatable
        ]
        self._refuse_queued(
            requests, outcomes.not_run(outcomes.Reason.CANCELLED, "cancelled")
        )
        for call in calls:
            call.cancel()

    def on_call(self, kind: str, body: bytes) -> "defer.Deferred[bytes]":
        """Executes a call of another agent and returns its encoded result."""
        handler = self._call_handlers.get(kind)
        if handler is None:
            return defer.fail(KeyError(kind))
        return defer.ensureDeferred(handler(body))

    def register_call_handler(
        self, kind: str, handler: Callable[[bytes], Coroutine[Any, Any, bytes]]
    ) -> None:
        """Registers the function that executes one kind of call."""
        self._call_handlers[kind] = handler

    def start_queued(self) -> None:
        """Starts queued requests while the endpoint has free slots."""
        while self._running < self._slots:
            request = self._queue.pop()
            if request is None:
                return
            self._start_request(request)

    def _find_refusal(self, submit: messages.Submit) -> outcomes.Refusal | None:
        if self.is_draining:
            return outcomes.not_run(
                outcomes.Reason.DRAINING, "the endpoint is leaving"
            )
        feed = self._dependencies.feed
        is_too_old = submit.position.age_s > feed.view.policy.stale_limit_s
        is_behind = feed.is_too_far_behind(submit.position, self._catch_up_s)
        if is_too_old or is_behind:
            return outcomes.not_run(
                outcomes.Reason.STALE, "the entry's declarations are too old"
            )
        return admission.check_deadline(
            self._queue,
            self._scheduling_params(
                submit, self._dependencies.reactor.seconds()
            ),
            admission.SlotUsage(self._running, self._slots),
            self._service_time.mean_s,
            self._dependencies.reactor.seconds(),
        )

    def _scheduling_params(
        self, submit: messages.Submit, arrived_s: float
    ) -> queueing.SchedulingParams:
        return queueing.SchedulingParams(
            account=submit.account,
            weight=submit.weight,
            priority=submit.priority,
            deadline_at_s=arrived_s + submit.first_byte_timeout_s,
        )

    def _enqueue(self, request: agent_request.AgentRequest) -> None:
        self._queue.push(
            self._scheduling_params(request.submit, request.arrived_s), request
        )
        self.start_queued()

    async def _claim_key(
        self, request: agent_request.AgentRequest, key_digest: str
    ) -> None:
        submit = request.submit
        request.claim_attempt = f"{submit.id}/{self._incarnation}"
        claim = claim_records.Claim(
            key_digest, request.claim_attempt, _request_digest(submit)
        )
        timeout_s = submit.first_byte_timeout_s * _CLAIM_TIMEOUT_SHARE
        try:
            decision = await self._dependencies.claims.claim(claim, timeout_s)
        except claim_store.LogUnavailableError:
            if not request.is_revoked:
                self._refuse_unclaimed(request, key_digest)
            return
        await self._on_decision(request, key_digest, decision)

    def _refuse_unclaimed(
        self, request: agent_request.AgentRequest, key_digest: str
    ) -> None:
        """Answers a request whose key could not be claimed.

        The answer is based on the last known state of the key.
        """
        state = self._dependencies.claims.known_state(key_digest)
        holder = state.holder if state is not None else None
        if state is None or holder is None or holder == request.claim_attempt:
            self._refuse(
                request,
                outcomes.not_run(
                    outcomes.Reason.LOG_UNAVAILABLE,
                    "the log takes no claims at the moment",
                    retry_after_s=1.0,
                ),
            )
            return
        if state.body_digest != _request_digest(request.submit):
            self._refuse(request, _key_reused_refusal())
            return
        own = self._dependencies.claims.own_outcome(key_digest, holder)
        outcome = state.outcome or own
        if outcome is None:
            self._refuse(request, _key_in_use_refusal())
        else:
            self._replay_outcome(request, outcome)

    async def _on_decision(
        self,
        request: agent_request.AgentRequest,
        key_digest: str,
        decision: claimant_lib.Decision,
    ) -> None:
        if isinstance(decision, claimant_lib.Won):
            if request.is_revoked:
                self._release_key(request)
            else:
                self._enqueue(request)
            return
        if request.is_revoked:
            return
        if isinstance(decision, claimant_lib.KnownOutcome):
            self._replay_outcome(request, decision.outcome)
        elif isinstance(decision, claimant_lib.InUse):
            await self._wait_for_holder(request, key_digest)
        elif isinstance(decision, claimant_lib.Mismatch):
            self._refuse(request, _key_reused_refusal())
        else:
            self._refuse(
                request,
                outcomes.not_run(outcomes.Reason.REVOKED, "voided in time"),
            )

    async def _wait_for_holder(
        self, request: agent_request.AgentRequest, key_digest: str
    ) -> None:
        timeout_s = min(
            _MAX_OUTCOME_WAIT_S, request.submit.first_byte_timeout_s / 2
        )
        outcome = await self._dependencies.claims.wait_for_outcome(
            key_digest, timeout_s
        )
        if request.is_revoked:
            return
        if outcome is not None:
            self._replay_outcome(request, outcome)
            return
        self._refuse(request, _key_in_use_refusal())

    def _replay_outcome(
        self,
        request: agent_request.AgentRequest,
        outcome: claim_records.Outcome,
    ) -> None:
        if outcome.status == 0:
            self._refuse(
                request,
                outcomes.may_have_run(
                    outcomes.Reason.ANSWER_LOST,
                    "the request was handed to the endpoint once and its "
                    "answer was lost",
                ),
            )
        elif outcome.body is None:
            self._refuse(
                request,
                outcomes.ran(
                    outcomes.Reason.ANSWER_LOST,
                    f"the request ran and was answered {outcome.status}; the "
                    "answer was too large to keep",
                ),
            )
        else:
            headers = [("Content-Type", outcome.content_type), _REPLAYED_HEADER]
            request.sink.write_head(outcome.status, headers, 0.0)
            request.sink.write_data(outcome.body)
            self._finish(request)

    def _start_request(self, request: agent_request.AgentRequest) -> None:
        self._running += 1
        request.call = defer.Deferred.fromCoroutine(self._run(request))
        request.call.addErrback(self._on_crash, request)

    async def _run(self, request: agent_request.AgentRequest) -> None:
        reactor = self._dependencies.reactor
        started_s = reactor.seconds()
        queued_s = started_s - request.arrived_s
        forwarder = agent_request.AnswerForwarder(
            request, queued_s, self._answer_usage
        )
        try:
            outcome = await self._dependencies.backend.send(
                self._endpoint_request(request, started_s), forwarder
            )
        except defer.CancelledError:
            outcome = endpoint_client.AnswerLost("cancelled")
        finally:
            forwarder.close()
            self._running -= 1
            self._service_time.observe(reactor.seconds() - started_s)
        if forwarder.is_too_large:
            outcome = endpoint_client.AnswerLost("it is too large")
        self._record_times(request, queued_s, reactor.seconds() - started_s)
        self._on_call_end(request, forwarder, outcome)
        self.start_queued()

    def _endpoint_request(
        self, request: agent_request.AgentRequest, started_s: float
    ) -> endpoint_client.EndpointRequest:
        submit = request.submit
        time_left_s = request.arrived_s + submit.timeout_s - started_s
        headers = [
            *submit.headers,
            ("Godwitdale-Request-Id", str(submit.id)),
            ("Priority", f"u={submit.priority}"),
        ]
        return endpoint_client.EndpointRequest(
            method=submit.method,
            path=submit.path,
            headers=headers,
            body=submit.body,
            repeatable=submit.repeatable,
            timeout_s=max(0.01, time_left_s),
        )

    def _on_call_end(
        self,
        request: agent_request.AgentRequest,
        forwarder: agent_request.AnswerForwarder,
        outcome: endpoint_client.CallOutcome,
    ) -> None:
        key_digest = request.submit.key_digest
        if isinstance(outcome, endpoint_client.Completed):
            if key_digest is not None and request.claim_attempt is not None:
                self._dependencies.claims.record_outcome(
                    key_digest,
                    request.claim_attempt,
                    forwarder.status,
                    forwarder.content_type,
                    bytes(forwarder.recorded_body),
                )
            forwarder.finish()
            self._finish(request)
        elif isinstance(outcome, endpoint_client.NotConnected):
            self._release_key(request)
            self._refuse(
                request,
                outcomes.not_run(
                    outcomes.Reason.ENDPOINT_FAILED,
                    f"the endpoint cannot be reached: {outcome.detail}",
                    retry_after_s=1.0,
                ),
            )
        else:
            if key_digest is not None and request.claim_attempt is not None:
                self._dependencies.claims.record_outcome(
                    key_digest, request.claim_attempt, 0, "", b""
                )
            self._refuse(
                request,
                outcomes.may_have_run(
                    outcomes.Reason.ENDPOINT_FAILED,
                    f"the endpoint's answer was lost: {outcome.detail}",
                ),
            )

    def _on_crash(
        self, reason: Any, request: agent_request.AgentRequest
    ) -> None:
        self._dependencies.events.warning(
            "request crashed",
            request_id=str(request.submit.id),
            error=reason.getTraceback(),
        )
        if request.submit.id in self._requests:
            self._refuse(
                request,
                outcomes.may_have_run(
                    outcomes.Reason.ENDPOINT_FAILED, "the agent failed"
                ),
            )

    def _withdraw(self, request: agent_request.AgentRequest) -> None:
        """Ensures that a request that has not started never starts."""
        request.is_revoked = True
        if self._queue.remove(request):
            self._release_key(request)

    def _release_key(self, request: agent_request.AgentRequest) -> None:
        key_digest = request.submit.key_digest
        if key_digest is not None and request.claim_attempt is not None:
            self._dependencies.claims.release(key_digest, request.claim_attempt)

    def _refuse(
        self, request: agent_request.AgentRequest, refusal: outcomes.Refusal
    ) -> None:
        self._requests.pop(request.submit.id, None)
        self._dependencies.metrics.incr(f"refused.{refusal.reason.value}")
        request.sink.refuse(refusal)

    def _finish(self, request: agent_request.AgentRequest) -> None:
        self._requests.pop(request.submit.id, None)
        self._dependencies.metrics.incr("answered")
        request.sink.finish()

    def _count_request(self, submit: messages.Submit) -> None:
        now_s = self._dependencies.reactor.seconds()
        count = self._account_counts.get(submit.account)
        if count is None:
            count = limits.DecayingCount(_RATE_TIME_CONSTANT_S, now_s)
            self._account_counts[submit.account] = count
        count.add(submit.offered_per_admitted, now_s)
        self._account_counts.move_to_end(submit.account)
        if len(self._account_counts) > _MAX_TRACKED_ACCOUNTS:
            self._account_counts.popitem(last=False)

    def _record_times(
        self,
        request: agent_request.AgentRequest,
        queued_s: float,
        took_s: float,
    ) -> None:
        submit = request.submit
        for metric, value_s in (
            (histograms.Metric.QUEUE, queued_s),
            (histograms.Metric.TOTAL, took_s),
        ):
            self._dependencies.histograms.record(
                metric, submit.service_class, submit.account, value_s
            )


def _key_reused_refusal() -> outcomes.Refusal:
    return outcomes.not_run(
        outcomes.Reason.KEY_REUSED, "the key belongs to another request"
    )


def _key_in_use_refusal() -> outcomes.Refusal:
    return outcomes.may_have_run(
        outcomes.Reason.KEY_IN_USE,
        "an earlier request with this key has no known outcome",
    )


def _request_digest(submit: messages.Submit) -> str:
    """Returns a digest to detect that a key is reused for another request."""
    hasher = xxhash.xxh3_128()
    hasher.update(f"{submit.method}\n{submit.path}\n".encode())
    hasher.update(submit.body)
    return hasher.hexdigest()
