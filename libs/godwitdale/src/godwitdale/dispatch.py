"""Dispatches one request of a caller: attempts, retries and deadlines."""

from collections.abc import Callable
import dataclasses
import itertools
from typing import Any
from typing import Protocol

from godwitdale import endpoint_pool as endpoint_pool_lib
from godwitdale import feed as feed_lib
from godwitdale_claims import records as claim_records
from godwitdale_declarations import objects
from godwitdale_link import messages
from godwitdale_observe import histograms
from godwitdale_observe import logs
from godwitdale_observe import metrics as metrics_lib
from godwitdale_routing import attempts as attempts_lib
from godwitdale_routing import choice
from godwitdale_routing import retries
from godwitdale_routing import subsets
from godwitdale_verdicts import identifiers
from godwitdale_verdicts import outcomes
from godwitdale_verdicts import verdict as verdict_lib

_REVOKE_TIMEOUT_S = 0.5
_MAX_RETRY_TOKENS = 20.0
_NO_ENDPOINT_RETRY_AFTER_S = 1.0
_FAILURE_REASONS = frozenset(
    {outcomes.Reason.ENDPOINT_LOST, outcomes.Reason.ENDPOINT_FAILED}
)


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A caller's request that was authenticated, classified and admitted.

    Attributes:
        trace_id: Identifier of the request in logs.
        account: Client account of the caller.
        offered_per_admitted: Number of requests that callers sent for each
            admitted one.
        work: Kind of work.
        selector: Selector that bound the request.
        key_digest: Digest of account and idempotency key, or None.
        method: HTTP method.
        path: Path with the query.
        headers: Headers for the endpoint.
        body: Body of the request.
        prompt_tokens: Estimated length of the prompt.
        prefix_blocks: Hashes of the prefix blocks of the prompt.
    """

    trace_id: str
    account: objects.Account
    offered_per_admitted: float
    work: objects.Work
    selector: objects.Selector
    key_digest: str | None
    method: str
    path: str
    headers: messages.Headers
    body: bytes
    prompt_tokens: int
    prefix_blocks: list[int]


class ResponseWriter(Protocol):
    """Writes the answer or a refusal to the caller."""

    @property
    def has_begun(self) -> bool:
        """Whether a part of the answer was written."""

    def write_head(self, head: messages.AnswerHead, endpoint: str) -> None:
        """Writes the status and the headers of an answer."""

    def write_data(self, number: int, data: bytes) -> None:
        """Writes a part of the body."""

    def finish(self) -> None:
        """Completes the answer."""

    def refuse(self, refusal: outcomes.Refusal) -> None:
        """Ends the response without an answer or in the middle of it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Objects that all requests of an entry share.

    Attributes:
        reactor: The Twisted reactor.
        endpoint_pool: Endpoints and the links to their agents.
        feed: The declarations.
        sequence: Source of attempt numbers, which are unique within an
            incarnation.
        incarnation: The entry's incarnation.
        zone: The entry's availability zone.
        max_attempts: Largest number of endpoints tried for one request.
        retry_budget: Limit on the share of retries.
        histograms: Times by service class and account.
        metrics: Counters and timings.
        events: Event log of this process.
    """

    reactor: Any
    endpoint_pool: endpoint_pool_lib.EndpointPool
    feed: feed_lib.DeclarationFeed
    sequence: "itertools.count[int]"
    incarnation: str
    zone: str
    max_attempts: int
    retry_budget: retries.RetryBudget
    histograms: histograms.Histograms
    metrics: metrics_lib.Metrics
    events: logs.EventLog


def new_retry_budget() -> retries.RetryBudget:
    """Returns a full retry budget with the default share of retries."""
    return retries.RetryBudget(objects.Policy().retry_share, _MAX_RETRY_TOKENS)


class RequestDispatcher:
    """Sends one request to endpoints until it is answered or refused.

    It receives the answers to its attempts from the links.
    """

    def __init__(
        self,
        request: AdmittedRequest,
        writer: ResponseWriter,
        dependencies: Dependencies,
        on_end: Callable[[], None],
    ) -> None:
        """Creates a dispatcher that sends nothing until ``start``.

        Args:
            request: The request.
            writer: Writes the response to the caller.
            dependencies: Objects that all requests share.
            on_end: Called once when the request has ended.
        """
        self._request = request
        self._writer = writer
        self._dependencies = dependencies
        self._on_end = on_end
        self._started_at_s = dependencies.reactor.seconds()
        self._deadline_at_s = self._started_at_s + request.work.deadline_s
        self._timeout_at_s = self._started_at_s + request.work.timeout_s
        self._tried_endpoints: set[str] = set()
        self._attempts = 0
        self._may_have_run = False
        self._last_refusal: outcomes.Refusal | None = None
        self._current_id: identifiers.RequestId | None = None
        self._endpoint = ""
        self._head_at_s: float | None = None
        self._last_data_at_s = 0.0
        self._has_ended = False
        self._is_timed_out = False
        self._timer: Any = None

    def start(self) -> None:
        """Starts the first attempt."""
        self._dependencies.retry_budget.record_request()
        self._set_timer(self._request.work.deadline_s, self._on_deadline)
        self._next_attempt()

    def abandon(self) -> None:
        """Cancels the request after the caller has disconnected."""
        if self._has_ended:
            return
        self._cancel_current()
        self._finish("cancelled", None)

    def on_answer_head(self, head: messages.AnswerHead) -> None:
        """Writes the status and the headers to the caller."""
        now_s = self._dependencies.reactor.seconds()
        self._head_at_s = now_s
        self._last_data_at_s = now_s
        stats = self._dependencies.endpoint_pool.stats(self._endpoint)
        stats.observe_first_byte(now_s - self._started_at_s)
        self._record_time(histograms.Metric.QUEUE, head.queued_s)
        self._set_timer(self._timeout_at_s - now_s, self._on_timeout)
        self._writer.write_head(head, self._endpoint)

    def on_answer_data(self, number: int, data: bytes) -> None:
        """Writes a part of the body to the caller."""
        now_s = self._dependencies.reactor.seconds()
        if number == 1:
            self._record_time(
                histograms.Metric.FIRST_TOKEN, now_s - self._started_at_s
            )
        else:
            self._record_time(
                histograms.Metric.BETWEEN_TOKENS, now_s - self._last_data_at_s
            )
        self._last_data_at_s = now_s
        self._writer.write_data(number, data)

    def on_answer_end(self) -> None:
        """Ends the request with a complete answer."""
        now_s = self._dependencies.reactor.seconds()
        self._record_time(histograms.Metric.TOTAL, now_s - self._started_at_s)
        self._current_id = None
        self._writer.finish()
        self._finish("answered", verdict_lib.Verdict.RAN)

    def on_answer_refused(self, refusal: outcomes.Refusal) -> None:
        """Retries the request if that is safe, otherwise refuses it."""
        self._current_id = None
        if self._has_ended:
            return
        if refusal.reason in _FAILURE_REASONS:
            health = self._dependencies.endpoint_pool.stats(
                self._endpoint
            ).health
            health.record_failure(self._dependencies.reactor.seconds())
        self._last_refusal = refusal
        next_step = attempts_lib.decide_after_failure(
            refusal, self._failure_context(), self._dependencies.retry_budget
        )
        if refusal.verdict is not verdict_lib.Verdict.NOT_RUN:
            self._may_have_run = True
        if isinstance(next_step, attempts_lib.GiveUp):
            self._refuse(next_step.refusal)
        else:
            self._dependencies.metrics.incr("retries")
            self._next_attempt()

    def on_revoke_result(self, started: bool) -> None:
        """Refuses the request if its attempt was revoked before it started."""
        if self._has_ended or started:
            return
        self._current_id = None
        refusal = outcomes.not_run(
            outcomes.Reason.DEADLINE, "no endpoint began in time"
        )
        self._refuse(
            attempts_lib.include_earlier_attempts(refusal, self._may_have_run)
        )

    def _failure_context(self) -> attempts_lib.FailureContext:
        has_key = self._request.key_digest is not None
        now_s = self._dependencies.reactor.seconds()
        return attempts_lib.FailureContext(
            is_repeatable=self._request.work.repeatable,
            has_idempotency_key=(
                attempts_lib.HasIdempotencyKey.YES
                if has_key
                else attempts_lib.HasIdempotencyKey.NO
            ),
            has_answer_begun=self._writer.has_begun,
            earlier_may_have_run=self._may_have_run,
            attempts=self._attempts,
            max_attempts=self._dependencies.max_attempts,
            time_left_s=self._deadline_at_s - now_s,
        )

    def _next_attempt(self) -> None:
        endpoint_pool = self._dependencies.endpoint_pool
        candidates = endpoint_pool.candidates(
            self._request.selector, self._tried_endpoints
        )
        if not candidates:
            self._refuse(self._no_candidate_refusal())
            return
        stats = endpoint_pool.choose(
            candidates, self._request_traits(candidates)
        )
        link = endpoint_pool.link(stats.name)
        self._tried_endpoints.add(stats.name)
        if link is None:
            self._next_attempt()
            return
        self._attempts += 1
        self._endpoint = stats.name
        stats.in_flight += 1
        self._dependencies.endpoint_pool.prefixes.add_blocks(
            stats.name, self._request.prefix_blocks
        )
        submit = self._submit_message()
        self._current_id = submit.id
        link.submit(submit, self)

    def _request_traits(
        self, candidates: list[choice.EndpointStats]
    ) -> choice.RequestTraits:
        request = self._request
        sticky_endpoint = None
        if request.key_digest is not None:
            stream = claim_records.stream_of(
                claim_records.partition_of(request.key_digest)
            )
            sticky_endpoint = subsets.choose_for_key(
                stream, [each.name for each in candidates]
            )
        return choice.RequestTraits(
            prompt_tokens=request.prompt_tokens,
            cached_tokens=self._dependencies.endpoint_pool.prefixes.cached_tokens(
                request.prefix_blocks
            ),
            zone=self._dependencies.zone,
            sticky_endpoint=sticky_endpoint,
        )

    def _submit_message(self) -> messages.Submit:
        request = self._request
        dependencies = self._dependencies
        now_s = dependencies.reactor.seconds()
        return messages.Submit(
            id=identifiers.RequestId(
                dependencies.incarnation, next(dependencies.sequence)
            ),
            agent_incarnation="",
            account=request.account.name,
            weight=request.account.weight,
            offered_per_admitted=request.offered_per_admitted,
            service_class=request.work.service_class,
            priority=request.work.priority,
            first_byte_timeout_s=self._deadline_at_s - now_s,
            timeout_s=self._timeout_at_s - now_s,
            key_digest=request.key_digest,
            repeatable=request.work.repeatable,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            position=dependencies.feed.position(),
        )

    def _no_candidate_refusal(self) -> outcomes.Refusal:
        if self._last_refusal is not None:
            return attempts_lib.include_earlier_attempts(
                self._last_refusal, self._may_have_run
            )
        return outcomes.not_run(
            outcomes.Reason.NO_ENDPOINT,
            f"no endpoint of selector {self._request.selector.name} takes work",
            retry_after_s=_NO_ENDPOINT_RETRY_AFTER_S,
        )

    def _on_deadline(self) -> None:
        """Revokes the current attempt if it has not started.

        An attempt that has started continues, because a late answer is more
        useful to the caller than none.
        """
        self._set_timer(
            self._timeout_at_s - self._dependencies.reactor.seconds(),
            self._on_timeout,
        )
        self._revoke_current()

    def _on_timeout(self) -> None:
        if not self._is_timed_out:
            self._is_timed_out = True
            self._set_timer(_REVOKE_TIMEOUT_S, self._on_timeout)
            self._revoke_current()
            return
        self._cancel_current()
        self._refuse(
            outcomes.may_have_run(
                outcomes.Reason.DEADLINE, "the answer did not come in time"
            )
        )

    def _revoke_current(self) -> None:
        link = self._dependencies.endpoint_pool.link(self._endpoint)
        if self._current_id is not None and link is not None:
            link.revoke(self._current_id)

    def _cancel_current(self) -> None:
        link = self._dependencies.endpoint_pool.link(self._endpoint)
        if self._current_id is not None and link is not None:
            link.cancel(self._current_id)
        self._current_id = None

    def _refuse(self, refusal: outcomes.Refusal) -> None:
        self._writer.refuse(refusal)
        self._finish(refusal.reason.value, refusal.verdict)

    def _finish(self, result: str, verdict: verdict_lib.Verdict | None) -> None:
        self._has_ended = True
        self._clear_timer()
        took_s = self._dependencies.reactor.seconds() - self._started_at_s
        self._dependencies.metrics.incr(f"requests.{result}")
        self._dependencies.metrics.timing("request", took_s * 1000)
        self._dependencies.events.info(
            "request",
            request_id=self._request.trace_id,
            account=self._request.account.name,
            service_class=self._request.work.service_class,
            selector=self._request.selector.name,
            endpoint=self._endpoint,
            attempts=self._attempts,
            result=result,
            verdict=verdict.value if verdict else None,
            took_ms=round(took_s * 1000, 2),
        )
        self._on_end()

    def _record_time(self, metric: histograms.Metric, value_s: float) -> None:
        self._dependencies.histograms.record(
            metric,
            self._request.work.service_class,
            self._request.account.name,
            value_s,
        )

    def _set_timer(self, delay_s: float, action: Callable[[], None]) -> None:
        self._clear_timer()
        self._timer = self._dependencies.reactor.callLater(
            max(0, delay_s), action
        )

    def _clear_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


class AnswerReplay:
    """Writes the remaining part of an interrupted answer to the caller.

    The caller may have received the first part through another entry.

    Attributes:
        endpoint: Endpoint whose agent keeps the answer.
    """

    def __init__(
        self, writer: ResponseWriter, endpoint: str, on_end: Callable[[], None]
    ) -> None:
        """Creates a receiver of the answer's remaining part.

        Args:
            writer: Writes the response to the caller.
            endpoint: Endpoint whose agent keeps the answer.
            on_end: Called once when the response has ended.
        """
        self.endpoint = endpoint
        self._writer = writer
        self._on_end = on_end

    def on_answer_head(self, head: messages.AnswerHead) -> None:
        """Writes the status and the headers to the caller."""
        self._writer.write_head(head, self.endpoint)

    def on_answer_data(self, number: int, data: bytes) -> None:
        """Writes a part of the body to the caller."""
        self._writer.write_data(number, data)

    def on_answer_end(self) -> None:
        """Completes the response."""
        self._writer.finish()
        self._on_end()

    def on_answer_refused(self, refusal: outcomes.Refusal) -> None:
        """Ends the response without the remaining part."""
        self._writer.refuse(refusal)
        self._on_end()

    def on_revoke_result(self, started: bool) -> None:
        """Does nothing, because a resumed attempt is never revoked."""
