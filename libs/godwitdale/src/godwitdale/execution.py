"""The agent's handling of requests: queue, claims, the call, the answer."""

import collections
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
from typing import Any

from twisted.internet import defer
import xxhash

from godwitdale import agent_request
from godwitdale import claim_store
from godwitdale import feed as feed_lib
from godwitdale_claims import claimant as claimant_lib
from godwitdale_claims import records as claim_records
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
_MOST_RATES = 2048
_MOST_REPORTED_ACCOUNTS = 16
_OUTCOME_PATIENCE_S = 3.0
_CLAIM_PATIENCE_SHARE = 0.5
_REPLAYED_HEADER = ("Idempotency-Replayed", "true")


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """What an agent's request handling is made of.

    Attributes:
        reactor: The Twisted reactor.
        feed: The declarations.
        claims: The claims on keys.
        backend: The endpoint.
        histograms: Times by class and account.
        metrics: Counters.
        events: The log of this process.
    """

    reactor: Any
    feed: feed_lib.DeclarationFeed
    claims: claim_store.ClaimStore
    backend: endpoint_client.EndpointClient
    histograms: histograms.Histograms
    metrics: metrics_lib.Metrics
    events: logs.EventLog


class Executor:
    """Decides what runs at the endpoint, and when.

    Attributes:
        is_leaving: Whether new work is refused.
        step_s: Time of one step of the engine's group.
    """

    def __init__(
        self,
        parts: Dependencies,
        incarnation: str,
        slots: int,
        service_s: float,
        catch_up_s: float,
    ) -> None:
        """Starts idle.

        Args:
            parts: What it is made of.
            incarnation: The agent's incarnation.
            slots: Requests that the endpoint takes at once.
            service_s: First guess of the time that one occupies a slot.
            catch_up_s: How long an entry may lack a known declaration.
        """
        self.is_leaving = False
        self.step_s = 0.0
        self._parts = parts
        self._incarnation = incarnation
        self._most_running = slots
        self._catch_up_s = catch_up_s
        self._service = admission.ServiceTime(service_s)
        self._queue: queueing.FairQueue[agent_request.AgentRequest] = (
            queueing.FairQueue()
        )
        self._work: dict[identifiers.RequestId, agent_request.AgentRequest] = {}
        self._running = 0
        self._rates: collections.OrderedDict[str, limits.DecayingCount] = (
            collections.OrderedDict()
        )
        self._server: link_server.LinkServer | None = None
        self._answers: dict[
            str, Callable[[bytes], Coroutine[Any, Any, bytes]]
        ] = {}

    def attach(self, server: link_server.LinkServer) -> None:
        """Connects to the link's server, which owns the answers."""
        self._server = server

    @property
    def in_flight(self) -> int:
        """Requests that have not ended."""
        return len(self._work)

    def leave(self) -> None:
        """Refuses new work from now on and tells the entries at once."""
        if not self.is_leaving:
            self.is_leaving = True
            if self._server is not None:
                self._server.broadcast_load()

    def stay(self) -> None:
        """Takes new work again, where a leave notice was withdrawn."""
        if self.is_leaving:
            self.is_leaving = False
            if self._server is not None:
                self._server.broadcast_load()

    def cut(self) -> None:
        """Ends everything in flight with truthful verdicts."""
        for work in list(self._work.values()):
            if work.call is not None:
                work.call.cancel()
            else:
                self._withdraw(work)
                self._refuse(
                    work,
                    outcomes.not_run(
                        outcomes.Reason.DRAINING, "the agent stops"
                    ),
                )

    def expire(self) -> None:
        """Refuses what has waited beyond its deadline."""
        for work in self._queue.remove_expired(self._parts.reactor.seconds()):
            self._release(work)
            self._refuse(
                work,
                outcomes.not_run(
                    outcomes.Reason.DEADLINE, "no slot was free in time"
                ),
            )

    def load(self) -> messages.EndpointLoad:
        """Returns the load of the endpoint."""
        return messages.EndpointLoad(
            running=self._running,
            queued=len(self._queue),
            slots=self._most_running,
            service_s=self._service.mean_s,
            step_s=self.step_s,
            prefill_tokens_per_s=10_000.0,
            is_draining=self.is_leaving,
        )

    def heaviest_accounts(self) -> list[tuple[str, float]]:
        """Returns requests a second of the heaviest accounts."""
        now_s = self._parts.reactor.seconds()
        rates = [
            (name, round(count.rate_per_s(now_s), 3))
            for name, count in self._rates.items()
        ]
        rates.sort(key=lambda pair: -pair[1])
        return rates[:_MOST_REPORTED_ACCOUNTS]

    def position(self) -> messages.Position:
        """Returns how far the declarations are folded."""
        return self._parts.feed.position()

    def on_entry_position(
        self, incarnation: str, position: messages.Position
    ) -> None:
        """Fetches declarations from an entry that knows more."""
        if (
            self._parts.feed.on_peer_position(position)
            and self._server is not None
        ):
            next_offset = self._parts.feed.position().next_offset
            self._server.fetch_declarations(incarnation, next_offset)

    def declarations_from(self, next_offset: int) -> messages.Declarations:
        """Returns what an entry lacks."""
        return self._parts.feed.declarations_from(next_offset)

    def on_declarations(self, message: messages.Declarations) -> None:
        """Takes what an entry knows."""
        self._parts.feed.declarations_received(message)

    def on_submit(
        self, submit: messages.Submit, sink: link_server.AnswerSink
    ) -> None:
        """Takes a request that has never been seen before."""
        work = agent_request.AgentRequest(
            submit, sink, self._parts.reactor.seconds()
        )
        self._work[submit.id] = work
        self._count(submit)
        refusal = self._objection(submit)
        if refusal is not None:
            self._refuse(work, refusal)
        elif submit.key_digest is None:
            self._enqueue(work)
        else:
            defer.ensureDeferred(self._claim(work, submit.key_digest))

    def revoke(self, request_id: identifiers.RequestId) -> bool:
        """Keeps a request from starting; returns whether it has started."""
        work = self._work.get(request_id)
        if work is None or work.call is not None:
            return True
        self._withdraw(work)
        del self._work[request_id]
        return False

    def cancel(self, request_id: identifiers.RequestId) -> None:
        """Ends a request that nobody waits for any more.

        A request that may not be repeated runs on once it has started,
        because its outcome has to be known.
        """
        work = self._work.get(request_id)
        if work is None:
            return
        if work.call is None:
            self._withdraw(work)
            self._refuse(
                work,
                outcomes.not_run(outcomes.Reason.CANCELLED, "cancelled"),
            )
        elif work.submit.repeatable:
            work.call.cancel()

    def on_call(self, kind: str, body: bytes) -> "defer.Deferred[bytes]":
        """Answers another agent's question."""
        answer = self._answers.get(kind)
        if answer is None:
            return defer.fail(KeyError(kind))
        return defer.ensureDeferred(answer(body))

    def answer_calls(
        self, kind: str, answer: Callable[[bytes], Coroutine[Any, Any, bytes]]
    ) -> None:
        """Names who answers one kind of question."""
        self._answers[kind] = answer

    def pump(self) -> None:
        """Starts what the endpoint has room for."""
        while self._running < self._most_running:
            work = self._queue.pop()
            if work is None:
                return
            self._start(work)

    def _objection(self, submit: messages.Submit) -> outcomes.Refusal | None:
        if self.is_leaving:
            return outcomes.not_run(
                outcomes.Reason.DRAINING, "the endpoint is leaving"
            )
        feed = self._parts.feed
        too_old = submit.position.age_s > feed.view.policy.stale_limit_s
        behind = feed.is_too_far_behind(submit.position, self._catch_up_s)
        if too_old or behind:
            return outcomes.not_run(
                outcomes.Reason.STALE, "the entry's declarations are too old"
            )
        return admission.check_deadline(
            self._queue,
            self._ticket(submit, self._parts.reactor.seconds()),
            admission.SlotUsage(self._running, self._most_running),
            self._service.mean_s,
            self._parts.reactor.seconds(),
        )

    def _ticket(
        self, submit: messages.Submit, arrived_s: float
    ) -> queueing.SchedulingParams:
        return queueing.SchedulingParams(
            account=submit.account,
            weight=submit.weight,
            priority=submit.priority,
            deadline_at_s=arrived_s + submit.first_byte_timeout_s,
        )

    def _enqueue(self, work: agent_request.AgentRequest) -> None:
        self._queue.push(self._ticket(work.submit, work.arrived_s), work)
        self.pump()

    async def _claim(self, work: agent_request.AgentRequest, key: str) -> None:
        submit = work.submit
        work.attempt = f"{submit.id}/{self._incarnation}"
        claim = claim_records.Claim(key, work.attempt, _digest_of(submit))
        patience_s = submit.first_byte_timeout_s * _CLAIM_PATIENCE_SHARE
        try:
            decision = await self._parts.claims.claim(claim, patience_s)
        except claim_store.LogUnavailableError:
            if not work.revoked:
                self._refuse_unclaimed(work, key)
            return
        await self._decided(work, key, decision)

    def _refuse_unclaimed(
        self, work: agent_request.AgentRequest, key: str
    ) -> None:
        """Tells what is known of a key without the log, or that it is out."""
        state = self._parts.claims.known_state(key)
        holder = state.holder if state is not None else None
        if state is None or holder is None or holder == work.attempt:
            self._refuse(
                work,
                outcomes.not_run(
                    outcomes.Reason.LOG_UNAVAILABLE,
                    "the log takes no claims at the moment",
                    retry_after_s=1.0,
                ),
            )
            return
        if state.body_digest != _digest_of(work.submit):
            self._refuse(work, _key_reused())
            return
        own = self._parts.claims.own_outcome(key, holder)
        outcome = state.outcome or own
        if outcome is None:
            self._refuse(work, _key_in_use())
        else:
            self._replay(work, outcome)

    async def _decided(
        self,
        work: agent_request.AgentRequest,
        key: str,
        decision: claimant_lib.Decision,
    ) -> None:
        if isinstance(decision, claimant_lib.Won):
            if work.revoked:
                self._release(work)
            else:
                self._enqueue(work)
            return
        if work.revoked:
            return
        if isinstance(decision, claimant_lib.KnownOutcome):
            self._replay(work, decision.outcome)
        elif isinstance(decision, claimant_lib.InUse):
            await self._wait_for_other(work, key)
        elif isinstance(decision, claimant_lib.Mismatch):
            self._refuse(work, _key_reused())
        else:
            self._refuse(
                work,
                outcomes.not_run(outcomes.Reason.REVOKED, "voided in time"),
            )

    async def _wait_for_other(
        self, work: agent_request.AgentRequest, key: str
    ) -> None:
        patience_s = min(
            _OUTCOME_PATIENCE_S, work.submit.first_byte_timeout_s / 2
        )
        outcome = await self._parts.claims.wait_for_outcome(key, patience_s)
        if work.revoked:
            return
        if outcome is not None:
            self._replay(work, outcome)
            return
        self._refuse(work, _key_in_use())

    def _replay(
        self, work: agent_request.AgentRequest, outcome: claim_records.Outcome
    ) -> None:
        if outcome.status == 0:
            self._refuse(
                work,
                outcomes.may_have_run(
                    outcomes.Reason.ANSWER_LOST,
                    "the request was handed to the endpoint once and its "
                    "answer was lost",
                ),
            )
        elif outcome.body is None:
            self._refuse(
                work,
                outcomes.ran(
                    outcomes.Reason.ANSWER_LOST,
                    f"the request ran and was answered {outcome.status}; the "
                    "answer was too large to keep",
                ),
            )
        else:
            headers = [("Content-Type", outcome.content_type), _REPLAYED_HEADER]
            work.sink.write_head(outcome.status, headers, 0.0)
            work.sink.write_data(outcome.body)
            self._end(work)

    def _start(self, work: agent_request.AgentRequest) -> None:
        self._running += 1
        work.call = defer.Deferred.fromCoroutine(self._run(work))
        work.call.addErrback(self._crashed, work)

    async def _run(self, work: agent_request.AgentRequest) -> None:
        reactor = self._parts.reactor
        started_s = reactor.seconds()
        queued_s = started_s - work.arrived_s
        taker = agent_request.AnswerForwarder(work, queued_s)
        try:
            outcome = await self._parts.backend.send(
                self._call_of(work, started_s), taker
            )
        except defer.CancelledError:
            outcome = endpoint_client.AnswerLost("cancelled")
        finally:
            self._running -= 1
            self._service.observe(reactor.seconds() - started_s)
        self._record(work, queued_s, reactor.seconds() - started_s)
        self._conclude(work, taker, outcome)
        self.pump()

    def _call_of(
        self, work: agent_request.AgentRequest, started_s: float
    ) -> endpoint_client.EndpointRequest:
        submit = work.submit
        left_s = work.arrived_s + submit.timeout_s - started_s
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
            timeout_s=max(0.01, left_s),
        )

    def _conclude(
        self,
        work: agent_request.AgentRequest,
        taker: agent_request.AnswerForwarder,
        outcome: endpoint_client.CallOutcome,
    ) -> None:
        key = work.submit.key_digest
        if isinstance(outcome, endpoint_client.Completed):
            if key is not None and work.attempt is not None:
                self._parts.claims.record_outcome(
                    key,
                    work.attempt,
                    taker.status,
                    taker.content_type,
                    bytes(taker.kept),
                )
            taker.finish()
            self._end(work)
        elif isinstance(outcome, endpoint_client.NotConnected):
            self._release(work)
            self._refuse(
                work,
                outcomes.not_run(
                    outcomes.Reason.ENDPOINT_FAILED,
                    f"the endpoint cannot be reached: {outcome.detail}",
                    retry_after_s=1.0,
                ),
            )
        else:
            if key is not None and work.attempt is not None:
                self._parts.claims.record_outcome(key, work.attempt, 0, "", b"")
            self._refuse(
                work,
                outcomes.may_have_run(
                    outcomes.Reason.ENDPOINT_FAILED,
                    f"the endpoint's answer was lost: {outcome.detail}",
                ),
            )

    def _crashed(self, reason: Any, work: agent_request.AgentRequest) -> None:
        self._parts.events.warning(
            "request crashed",
            request_id=str(work.submit.id),
            error=reason.getTraceback(),
        )
        if work.submit.id in self._work:
            self._refuse(
                work,
                outcomes.may_have_run(
                    outcomes.Reason.ENDPOINT_FAILED, "the agent failed"
                ),
            )

    def _withdraw(self, work: agent_request.AgentRequest) -> None:
        """Makes sure that a request that has not started never will."""
        work.revoked = True
        if self._queue.remove(work):
            self._release(work)

    def _release(self, work: agent_request.AgentRequest) -> None:
        key = work.submit.key_digest
        if key is not None and work.attempt is not None:
            self._parts.claims.release(key, work.attempt)

    def _refuse(
        self, work: agent_request.AgentRequest, refusal: outcomes.Refusal
    ) -> None:
        self._work.pop(work.submit.id, None)
        self._parts.metrics.incr(f"refused.{refusal.reason.value}")
        work.sink.refuse(refusal)

    def _end(self, work: agent_request.AgentRequest) -> None:
        self._work.pop(work.submit.id, None)
        self._parts.metrics.incr("answered")
        work.sink.finish()

    def _count(self, submit: messages.Submit) -> None:
        now_s = self._parts.reactor.seconds()
        count = self._rates.get(submit.account)
        if count is None:
            count = limits.DecayingCount(_RATE_TIME_CONSTANT_S, now_s)
            self._rates[submit.account] = count
        count.add(submit.offered_per_admitted, now_s)
        self._rates.move_to_end(submit.account)
        if len(self._rates) > _MOST_RATES:
            self._rates.popitem(last=False)

    def _record(
        self, work: agent_request.AgentRequest, queued_s: float, took_s: float
    ) -> None:
        submit = work.submit
        for metric, value_s in (
            (histograms.Metric.QUEUE, queued_s),
            (histograms.Metric.TOTAL, took_s),
        ):
            self._parts.histograms.record(
                metric, submit.service_class, submit.account, value_s
            )


def _key_reused() -> outcomes.Refusal:
    return outcomes.not_run(
        outcomes.Reason.KEY_REUSED, "the key belongs to another request"
    )


def _key_in_use() -> outcomes.Refusal:
    return outcomes.may_have_run(
        outcomes.Reason.KEY_IN_USE,
        "an earlier request with this key has no known outcome",
    )


def _digest_of(submit: messages.Submit) -> str:
    """Returns a digest that tells whether a key is used for another request."""
    hasher = xxhash.xxh3_128()
    hasher.update(f"{submit.method}\n{submit.path}\n".encode())
    hasher.update(submit.body)
    return hasher.hexdigest()
