"""One request on its way: attempts, retries, deadlines and the answer."""

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

_REVOKE_GRACE_S = 0.5
_RETRY_BUDGET_MOST = 20.0
_NO_ENDPOINT_RETRY_S = 1.0
_FAILURES = frozenset(
    {outcomes.Reason.ENDPOINT_LOST, outcomes.Reason.ENDPOINT_FAILED}
)


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """What a caller asks for, after authentication and classification.

    Attributes:
        trace: Names the request in logs.
        account: The client account.
        offered: Requests that callers offered for each one admitted.
        work: The kind of work.
        selector: The selector that bound it.
        key: Digest of account and idempotency key, or None.
        method: HTTP method.
        path: Path with the query.
        headers: Headers for the endpoint.
        body: Body of the request.
        prompt_tokens: Estimated length of the prompt.
        blocks: Hashes of the prompt's prefix blocks.
    """

    trace: str
    account: objects.Account
    offered: float
    work: objects.Work
    selector: objects.Selector
    key: str | None
    method: str
    path: str
    headers: messages.Headers
    body: bytes
    prompt_tokens: int
    blocks: list[int]


class ResponseWriter(Protocol):
    """Writes to the caller."""

    @property
    def has_begun(self) -> bool:
        """Whether the caller has seen a part of the answer."""

    def head(self, head: messages.AnswerHead, endpoint: str) -> None:
        """Takes status and headers of an answer."""

    def data(self, number: int, data: bytes) -> None:
        """Takes a part of the body."""

    def end(self) -> None:
        """Ends a whole answer."""

    def refuse(self, refusal: outcomes.Refusal) -> None:
        """Ends without an answer, or without the rest of it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """What every request of an entry shares.

    Attributes:
        reactor: The Twisted reactor.
        endpoint_pool: Endpoints and links.
        feed: The declarations.
        sequence: Numbers attempts; never repeats in one incarnation.
        incarnation: The entry's incarnation.
        zone: Its availability zone.
        max_attempts: Endpoints tried for one request.
        retry_budget: Retry budget.
        histograms: Times by class and account.
        metrics: Counters.
        events: The log of this process.
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
    """Returns the retry budget that an entry starts with."""
    return retries.RetryBudget(objects.Policy().retry_share, _RETRY_BUDGET_MOST)


class RequestDispatcher:
    """Carries one request to its end. A receiver of the link's frames."""

    def __init__(
        self,
        job: AdmittedRequest,
        writer: ResponseWriter,
        tools: Dependencies,
        ended: Callable[[], None],
    ) -> None:
        """Prepares; nothing is sent until ``start``.

        Args:
            job: What the caller asks for.
            writer: Writes to the caller.
            tools: What all requests share.
            ended: Called once when the request has ended.
        """
        self._job = job
        self._writer = writer
        self._tools = tools
        self._on_end = ended
        self._started_s = tools.reactor.seconds()
        self._deadline_s = self._started_s + job.work.deadline_s
        self._timeout_s = self._started_s + job.work.timeout_s
        self._tried: set[str] = set()
        self._attempts = 0
        self._in_doubt = False
        self._last: outcomes.Refusal | None = None
        self._current: identifiers.RequestId | None = None
        self._endpoint = ""
        self._head_s: float | None = None
        self._last_data_s = 0.0
        self._is_over = False
        self._is_timed_out = False
        self._timer: Any = None

    def start(self) -> None:
        """Hands the request to the first endpoint."""
        self._tools.retry_budget.record_request()
        self._arm(self._job.work.deadline_s, self._deadline_passed)
        self._next_attempt()

    def abandon(self) -> None:
        """Ends the request because the caller has gone."""
        if self._is_over:
            return
        self._cancel_current()
        self._finish("cancelled", None)

    def on_answer_head(self, head: messages.AnswerHead) -> None:
        """Takes status and headers."""
        now_s = self._tools.reactor.seconds()
        self._head_s = now_s
        self._last_data_s = now_s
        tracked = self._tools.endpoint_pool.stats(self._endpoint)
        tracked.observe_first_byte(now_s - self._started_s)
        self._record(histograms.Metric.QUEUE, head.queued_s)
        self._arm(self._timeout_s - now_s, self._time_out)
        self._writer.head(head, self._endpoint)

    def on_answer_data(self, number: int, data: bytes) -> None:
        """Takes a part of the body."""
        now_s = self._tools.reactor.seconds()
        if number == 1:
            self._record(histograms.Metric.FIRST_TOKEN, now_s - self._started_s)
        else:
            self._record(
                histograms.Metric.BETWEEN_TOKENS, now_s - self._last_data_s
            )
        self._last_data_s = now_s
        self._writer.data(number, data)

    def on_answer_end(self) -> None:
        """Ends the request with a whole answer."""
        now_s = self._tools.reactor.seconds()
        self._record(histograms.Metric.TOTAL, now_s - self._started_s)
        self._current = None
        self._writer.end()
        self._finish("answered", verdict_lib.Verdict.RAN)

    def on_answer_refused(self, refusal: outcomes.Refusal) -> None:
        """Tries again where that is safe, or tells the caller."""
        self._current = None
        if self._is_over:
            return
        if refusal.reason in _FAILURES:
            health = self._tools.endpoint_pool.stats(self._endpoint).health
            health.record_failure(self._tools.reactor.seconds())
        self._last = refusal
        step = attempts_lib.decide_after_failure(
            refusal, self._situation(), self._tools.retry_budget
        )
        if refusal.verdict is not verdict_lib.Verdict.NOT_RUN:
            self._in_doubt = True
        if isinstance(step, attempts_lib.GiveUp):
            self._refuse(step.refusal)
        else:
            self._tools.metrics.incr("retries")
            self._next_attempt()

    def on_revoke_result(self, started: bool) -> None:
        """Ends a request whose time is over, with what is known now."""
        if self._is_over or started:
            return
        self._current = None
        refusal = outcomes.not_run(
            outcomes.Reason.DEADLINE, "no endpoint began in time"
        )
        self._refuse(
            attempts_lib.include_earlier_attempts(refusal, self._in_doubt)
        )

    def _situation(self) -> attempts_lib.FailureContext:
        is_keyed = self._job.key is not None
        now_s = self._tools.reactor.seconds()
        return attempts_lib.FailureContext(
            is_repeatable=self._job.work.repeatable,
            has_idempotency_key=(
                attempts_lib.HasIdempotencyKey.YES
                if is_keyed
                else attempts_lib.HasIdempotencyKey.NO
            ),
            has_answer_begun=self._writer.has_begun,
            earlier_may_have_run=self._in_doubt,
            attempts=self._attempts,
            max_attempts=self._tools.max_attempts,
            time_left_s=self._deadline_s - now_s,
        )

    def _next_attempt(self) -> None:
        endpoint_pool = self._tools.endpoint_pool
        candidates = endpoint_pool.candidates(self._job.selector, self._tried)
        if not candidates:
            self._refuse(self._nobody())
            return
        tracked = endpoint_pool.choose(candidates, self._ask(candidates))
        link = endpoint_pool.link(tracked.name)
        self._tried.add(tracked.name)
        if link is None:
            self._next_attempt()
            return
        self._attempts += 1
        self._endpoint = tracked.name
        tracked.in_flight += 1
        self._tools.endpoint_pool.prefix_index.add_blocks(
            tracked.name, self._job.blocks
        )
        submit = self._submit()
        self._current = submit.id
        link.submit(submit, self)

    def _ask(
        self, candidates: list[choice.EndpointStats]
    ) -> choice.RequestTraits:
        job = self._job
        home = None
        if job.key is not None:
            stream = claim_records.stream_of(
                claim_records.partition_of(job.key)
            )
            home = subsets.choose_for_key(
                stream, [each.name for each in candidates]
            )
        return choice.RequestTraits(
            prompt_tokens=job.prompt_tokens,
            cached_tokens=self._tools.endpoint_pool.prefix_index.cached_tokens(
                job.blocks
            ),
            zone=self._tools.zone,
            sticky_endpoint=home,
        )

    def _submit(self) -> messages.Submit:
        job = self._job
        tools = self._tools
        now_s = tools.reactor.seconds()
        return messages.Submit(
            id=identifiers.RequestId(tools.incarnation, next(tools.sequence)),
            agent_incarnation="",
            account=job.account.name,
            weight=job.account.weight,
            offered_per_admitted=job.offered,
            service_class=job.work.service_class,
            priority=job.work.priority,
            first_byte_timeout_s=self._deadline_s - now_s,
            timeout_s=self._timeout_s - now_s,
            key_digest=job.key,
            repeatable=job.work.repeatable,
            method=job.method,
            path=job.path,
            headers=job.headers,
            body=job.body,
            position=tools.feed.position(),
        )

    def _nobody(self) -> outcomes.Refusal:
        if self._last is not None:
            return attempts_lib.include_earlier_attempts(
                self._last, self._in_doubt
            )
        return outcomes.not_run(
            outcomes.Reason.NO_ENDPOINT,
            f"no endpoint of selector {self._job.selector.name} takes work",
            retry_after_s=_NO_ENDPOINT_RETRY_S,
        )

    def _deadline_passed(self) -> None:
        """Takes the request back where it has not started.

        Where it has started, the caller is better served by a late answer.
        """
        self._arm(
            self._timeout_s - self._tools.reactor.seconds(), self._time_out
        )
        self._revoke_current()

    def _time_out(self) -> None:
        if not self._is_timed_out:
            self._is_timed_out = True
            self._arm(_REVOKE_GRACE_S, self._time_out)
            self._revoke_current()
            return
        self._cancel_current()
        self._refuse(
            outcomes.may_have_run(
                outcomes.Reason.DEADLINE, "the answer did not come in time"
            )
        )

    def _revoke_current(self) -> None:
        link = self._tools.endpoint_pool.link(self._endpoint)
        if self._current is not None and link is not None:
            link.revoke(self._current)

    def _cancel_current(self) -> None:
        link = self._tools.endpoint_pool.link(self._endpoint)
        if self._current is not None and link is not None:
            link.cancel(self._current)
        self._current = None

    def _refuse(self, refusal: outcomes.Refusal) -> None:
        self._writer.refuse(refusal)
        self._finish(refusal.reason.value, refusal.verdict)

    def _finish(self, result: str, verdict: verdict_lib.Verdict | None) -> None:
        self._is_over = True
        self._disarm()
        took_s = self._tools.reactor.seconds() - self._started_s
        self._tools.metrics.incr(f"requests.{result}")
        self._tools.metrics.timing("request", took_s * 1000)
        self._tools.events.info(
            "request",
            request_id=self._job.trace,
            account=self._job.account.name,
            service_class=self._job.work.service_class,
            selector=self._job.selector.name,
            endpoint=self._endpoint,
            attempts=self._attempts,
            result=result,
            verdict=verdict.value if verdict else None,
            took_ms=round(took_s * 1000, 2),
        )
        self._on_end()

    def _record(self, metric: histograms.Metric, value_s: float) -> None:
        self._tools.histograms.record(
            metric,
            self._job.work.service_class,
            self._job.account.name,
            value_s,
        )

    def _arm(self, delay_s: float, action: Callable[[], None]) -> None:
        self._disarm()
        self._timer = self._tools.reactor.callLater(max(0, delay_s), action)

    def _disarm(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


class AnswerReplay:
    """Gives a caller the rest of an answer that another entry began.

    Attributes:
        endpoint: Endpoint that keeps the answer.
    """

    def __init__(
        self, writer: ResponseWriter, endpoint: str, ended: Callable[[], None]
    ) -> None:
        """Prepares to receive.

        Args:
            writer: Writes to the caller.
            endpoint: Endpoint that keeps the answer.
            ended: Called once at the end.
        """
        self.endpoint = endpoint
        self._writer = writer
        self._on_end = ended

    def on_answer_head(self, head: messages.AnswerHead) -> None:
        """Takes status and headers."""
        self._writer.head(head, self.endpoint)

    def on_answer_data(self, number: int, data: bytes) -> None:
        """Takes a part of the body."""
        self._writer.data(number, data)

    def on_answer_end(self) -> None:
        """Ends a whole answer."""
        self._writer.end()
        self._on_end()

    def on_answer_refused(self, refusal: outcomes.Refusal) -> None:
        """Ends without the rest."""
        self._writer.refuse(refusal)
        self._on_end()

    def on_revoke_result(self, started: bool) -> None:
        """Is never asked for."""
