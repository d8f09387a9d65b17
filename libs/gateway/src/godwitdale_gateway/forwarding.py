"""One request on its way: attempts, deadline, and the answer back."""

from collections.abc import Callable
import dataclasses
from typing import Any

from twisted.internet import defer
from twisted.python import failure

from godwitdale_gateway import answer_times
from godwitdale_gateway import dialect as dialect_lib
from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import event_stream
from godwitdale_gateway import refusals
from godwitdale_gateway import scheduler as scheduler_lib
from godwitdale_http import callers
from godwitdale_http import channel as channel_lib
from godwitdale_http import headers as headers_lib
from godwitdale_http import pool as pool_lib
from godwitdale_observe import histograms as histograms_lib
from godwitdale_observe import logs
from godwitdale_routing import attempts as attempts_lib
from godwitdale_routing import choice
from godwitdale_routing import retries
from godwitdale_routing import routes
from godwitdale_routing import wait_queue
from godwitdale_verdicts import outcomes
from godwitdale_verdicts import verdict as verdict_lib

# Time for a new connection: well under every objective, so that another
# endpoint can be tried, and many round trips between zones.
_CONNECT_S = 0.25
# Connections that may fail to open before a request is refused.
_MOST_UNREACHED = 3
# Work that must not be lost to a closing connection uses only one on which an
# exchange ended this short a time ago.
_SAFE_IDLE_S = 0.5
_ANY_IDLE_S = 3600.0
# Largest answer that is kept until it is whole.
_MOST_BUFFERED_BYTES = 8 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that is allowed, and where it goes.

    Attributes:
        incoming: The request as it came.
        headers: What its headers say.
        params: How long it may wait for an endpoint.
        route: Its route.
        service: Name of the service that takes it.
        account: Name of the client account, or None.
        deadline_s: When the caller has to have an answer.
    """

    incoming: callers.IncomingRequest
    headers: dialect_lib.RequestHeaders
    params: wait_queue.SchedulingParams
    route: routes.Route
    service: str
    account: str | None
    deadline_s: float

    @property
    def service_class(self) -> str:
        """The class that times are gathered by; there are few of them."""
        return f"{self.service}/{self.route.kind.value}"


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingContext:
    """What all requests of a process share.

    Attributes:
        reactor: The Twisted reactor.
        dialect: Reads and writes headers.
        directory: The endpoints.
        pool: Connections to them.
        scheduler: Gives requests a place at an endpoint.
        budgets: Retry budgets.
        zone: Availability zone of this process.
        log: The log of decisions.
        histograms: Times by class and account.
    """

    reactor: Any
    dialect: dialect_lib.Dialect
    directory: directory_lib.Directory
    pool: pool_lib.Pool
    scheduler: scheduler_lib.Scheduler
    budgets: retries.BudgetsByService
    zone: str
    log: logs.EventLog
    histograms: histograms_lib.Histograms


class RequestForwarder:
    """Carries one request to its end. Takes the answers of endpoints.

    Attributes:
        placement: What the request asks of the placer.
        tried_endpoints: Ids of the endpoints that it has been sent to.
    """

    def __init__(
        self,
        job: AdmittedRequest,
        answer: callers.CallerChannel,
        context: ForwardingContext,
        ended: Callable[[], None],
    ) -> None:
        """Prepares; nothing is sent until ``start``.

        Args:
            job: The request.
            answer: Where the answer goes.
            context: What all requests share.
            ended: Called once at the end.
        """
        self._on_end = ended
        self._job = job
        self._answer = answer
        self._context = context
        self.placement = scheduler_lib.PlacementRequest(
            job.service,
            job.params,
            choice.RequestTraits(
                prompt_tokens=job.headers.prompt_tokens, zone=context.zone
            ),
            job.headers.answer_tokens,
            job.deadline_s,
        )
        self.tried_endpoints: set[str] = set()
        self._is_waiting = False
        self._attempts = 0
        self._unreached = 0
        self._in_doubt = False
        self._entry: directory_lib.EndpointRecord | None = None
        self._asked: str | None = None  # The last endpoint, also after it.
        self._connecting: defer.Deferred[Any] | None = None
        self._channel: channel_lib.Channel | None = None
        self._status = 0
        self._headers: headers_lib.Headers = []
        self._answer_kind = dialect_lib.AnswerKind.FOREIGN
        self._is_live_stream = False
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._splitter = event_stream.EventSplitter()
        self._last_event_id = job.headers.last_event_id
        self._has_head = False
        self._times = answer_times.AnswerTimes(job.incoming.received_s)
        self._is_over = False
        self._timer: Any = None

    def start(self) -> None:
        """Hands the request to the first endpoint."""
        self._context.budgets.record_request(self._job.service)
        left_s = max(0.0, self._left_s())
        self._timer = self._context.reactor.callLater(left_s, self._time_out)
        self._next_attempt()

    def cancel(self) -> None:
        """Ends the work because the caller has gone."""
        self._drop_attempt()
        self._end()

    # Attempts.

    def on_assigned(self, entry: directory_lib.EndpointRecord) -> None:
        """Gets a place at an endpoint."""
        self._is_waiting = False
        self.tried_endpoints.add(entry.endpoint.id)
        self._entry = entry
        self._asked = entry.endpoint.id
        self._connect(entry)

    def on_refused(self, refusal: outcomes.Refusal) -> None:
        """Gets no place."""
        self._is_waiting = False
        self._give_up(refusal)

    def _next_attempt(self) -> None:
        self._is_waiting = True
        self._context.scheduler.submit(self)

    def _connect(self, entry: directory_lib.EndpointRecord) -> None:
        is_safe = self._job.route.is_repeatable
        idle_s = _ANY_IDLE_S if is_safe else _SAFE_IDLE_S
        channel = self._context.pool.acquire(entry.endpoint.id, idle_s)
        if channel is not None:
            self._send(channel)
            return
        opening = self._context.pool.connect(entry.endpoint.address, _CONNECT_S)
        self._connecting = opening
        opening.addCallbacks(self._connected, self._unreachable)

    def _connected(self, channel: channel_lib.Channel) -> None:
        self._connecting = None
        if self._is_over or self._entry is None:
            channel.close()
            return
        self._send(channel)

    def _unreachable(self, reason: failure.Failure) -> None:
        self._connecting = None
        if self._is_over or self._entry is None:
            return
        self._unreached += 1
        detail = f"no connection: {reason.getErrorMessage()}"
        self._failed_attempt(detail)
        if self._unreached < _MOST_UNREACHED:
            self._next_attempt()
            return
        self._give_up(
            outcomes.not_run(
                outcomes.Reason.ENDPOINT_LOST,
                detail,
                retry_after_s=refusals.UNREACHABLE_RETRY_S,
            )
        )

    def _send(self, channel: channel_lib.Channel) -> None:
        job = self._job
        entry = self._entry
        assert entry is not None
        self._attempts += 1
        self._times.on_sent(self._context.reactor.seconds())
        self._channel = channel
        self._body = []
        self._body_bytes = 0
        self._splitter = event_stream.EventSplitter()
        sending = dialect_lib.ForwardedHeaders(
            endpoint_id=entry.endpoint.id,
            account=job.account,
            time_left_s=max(0.0, self._left_s()),
            last_event_id=self._last_event_id,
        )
        dialect = self._context.dialect
        request_id = job.headers.request_id
        outgoing = channel_lib.OutgoingRequest(
            method=job.incoming.method,
            target=job.incoming.target,
            headers=dialect.encode_request(job.incoming.headers, sending),
            body=job.incoming.body,
            is_own_answer=lambda headers: dialect.is_answer_to(
                request_id, headers
            ),
        )
        channel.send_request(outgoing, self)

    # The endpoint's answer.

    def on_answer_head(self, status: int, headers: headers_lib.Headers) -> None:
        """Takes status and headers."""
        self._status = status
        self._headers = headers
        self._answer_kind = self._context.dialect.answer_kind(status, headers)
        self._is_live_stream = self._is_event_stream(headers)
        if self._entry is not None and not self._is_refused():
            self._entry.stats.health.record_success()

    def on_answer_data(self, data: bytes) -> None:
        """Takes a part of the body."""
        if self._is_live_stream:
            for event in self._splitter.feed(data):
                self._pass_on(event)
            return
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > _MOST_BUFFERED_BYTES:
            self._drop_attempt()
            self._give_up(
                outcomes.may_have_run(
                    outcomes.Reason.ANSWER_LOST, "the answer is too large"
                )
            )

    def on_answer_end(self) -> None:
        """Takes the end of a complete answer."""
        self._return_channel()
        answer_kind = self._answer_kind
        if answer_kind is dialect_lib.AnswerKind.SUCCESS:
            self._finish_success()
        elif answer_kind is dialect_lib.AnswerKind.FAILURE:
            self._own_failure()
        elif answer_kind is dialect_lib.AnswerKind.FOREIGN:
            self.on_answer_failed("not an answer of the endpoint")
        else:
            self._not_run()

    def on_answer_failed(self, detail: str) -> None:
        """Takes the loss of the connection before the end."""
        self._failed_attempt(detail)
        if self._is_refused() and self._status:
            self._retry_or_give_up(
                outcomes.not_run(outcomes.Reason.OVERLOADED, detail)
            )
            return
        self._retry_or_give_up(
            outcomes.may_have_run(outcomes.Reason.ENDPOINT_LOST, detail)
        )

    def _is_refused(self) -> bool:
        return self._answer_kind in (
            dialect_lib.AnswerKind.NOT_RUN,
            dialect_lib.AnswerKind.MISDIRECTED,
        )

    def _is_event_stream(self, headers: headers_lib.Headers) -> bool:
        kind = headers_lib.first_value(headers, b"content-type") or b""
        return (
            self._job.route.kind is routes.Kind.STREAM
            and self._answer_kind is dialect_lib.AnswerKind.SUCCESS
            and kind.startswith(b"text/event-stream")
        )

    def _pass_on(self, event: event_stream.Event) -> None:
        """Writes an event, unless the caller has it already."""
        last = self._last_event_id
        if event.id is not None and last is not None and event.id <= last:
            return
        self._note_part()
        if not self._has_head:
            self._has_head = True
            self._answer.send_head(self._status, self._answer_headers())
        self._answer.send_data(event.data)
        if event.id is not None:
            self._last_event_id = event.id

    def _note_part(self) -> None:
        """Takes the time of a part of an answer into account."""
        now_s = self._context.reactor.seconds()
        placer = self._context.scheduler
        service = self._job.service
        gap_s = self._times.on_part(now_s)
        if gap_s is None:
            placer.observe_first(service, now_s - self._times.sent_s)
            return
        objective_s = self._job.route.gap_objective_s
        if objective_s is not None:
            placer.observe_gap(service, gap_s, objective_s)

    def _note_end(self) -> None:
        now_s = self._context.reactor.seconds()
        times = self._times
        job = self._job
        self._context.scheduler.service_times(job.service).observe_total(
            now_s - times.sent_s
        )
        metric = histograms_lib.Metric
        for each, value_s in (
            (metric.QUEUE, times.queue_time_s),
            (metric.FIRST_TOKEN, times.time_to_first_part_s),
            (metric.TOTAL, now_s - job.incoming.received_s),
        ):
            self._context.histograms.record(
                each, job.service_class, job.account or "", value_s
            )
        self._context.log.info(
            "answered",
            request=job.headers.request_id_text,
            route=job.route.name,
            attempts=self._attempts,
            waited_s=round(times.queue_time_s, 3),
            first_s=round(times.time_to_first_part_s, 3),
            gap_s=round(times.longest_gap_s, 3),
            whole_s=round(now_s - job.incoming.received_s, 3),
        )

    def _finish_success(self) -> None:
        if not self._is_live_stream:
            self._note_part()
            self._note_end()
            self._answer_whole()
            return
        if self._splitter.has_partial_event:
            self.on_answer_failed("the stream ended inside an event")
            return
        if not self._has_head:
            self._answer_whole()
            return
        self._answer.end_answer()
        self._note_end()
        self._end()

    def _answer_whole(self) -> None:
        self._answer.send_answer(
            self._status, self._answer_headers(), b"".join(self._body)
        )
        self._end()

    def _answer_headers(self) -> headers_lib.Headers:
        return headers_lib.end_to_end(self._headers)

    def _own_failure(self) -> None:
        """Repeats what failed at the endpoint, or passes the failure on."""
        refusal = self._retry(
            outcomes.may_have_run(
                outcomes.Reason.ENDPOINT_FAILED, f"answered {self._status}"
            )
        )
        if refusal is None:
            return
        if self._has_head:
            self._give_up(refusal)
        else:
            self._answer_whole()

    def _not_run(self) -> None:
        if self._answer_kind is dialect_lib.AnswerKind.MISDIRECTED:
            entry = self._entry
            if entry is not None:
                self._context.directory.remove(entry.endpoint.id)
        detail = f"the endpoint refused: {self._status}"
        self._retry_or_give_up(
            outcomes.not_run(
                outcomes.Reason.OVERLOADED,
                detail,
                retry_after_s=self._context.scheduler.retry_after_refusal_s(
                    self._job.service, self._left_s()
                ),
            )
        )

    # What follows a failed attempt.

    def _retry(self, refusal: outcomes.Refusal) -> outcomes.Refusal | None:
        """Begins another attempt, or returns how the request ends."""
        self._leave_endpoint()
        budget = self._context.budgets.budget_for(self._job.service)
        step = attempts_lib.decide_after_failure(
            refusal, self._situation(), budget
        )
        if refusal.verdict is not verdict_lib.Verdict.NOT_RUN:
            self._in_doubt = True
        if isinstance(step, attempts_lib.GiveUp):
            return step.refusal
        self._next_attempt()
        return None

    def _retry_or_give_up(self, refusal: outcomes.Refusal) -> None:
        end = self._retry(refusal)
        if end is not None:
            self._give_up(end)

    def _situation(self) -> attempts_lib.FailureContext:
        route = self._job.route
        return attempts_lib.FailureContext(
            is_repeatable=route.is_repeatable,
            keyed=attempts_lib.Keyed.NO,
            has_answer_begun=self._has_head and not route.is_resumable,
            earlier_may_have_run=self._in_doubt,
            attempts=self._attempts,
            max_attempts=route.max_attempts,
            time_left_s=self._left_s(),
        )

    def _time_out(self) -> None:
        is_sent = self._channel is not None or self._in_doubt
        self._drop_attempt()
        make = outcomes.may_have_run if is_sent else outcomes.not_run
        self._give_up(make(outcomes.Reason.DEADLINE, "no answer in time"))

    def _give_up(self, refusal: outcomes.Refusal) -> None:
        refusal = attempts_lib.include_earlier_attempts(refusal, self._in_doubt)
        self._context.log.info(
            "refused",
            request=self._job.headers.request_id_text,
            reason=refusal.reason.value,
            verdict=refusal.verdict.value,
            detail=refusal.detail,
            endpoint=self._asked,
            attempts=self._attempts,
            left_s=round(self._left_s(), 3),
        )
        if self._has_head:
            self._answer.abort()
        else:
            refusals.send_refusal(
                self._answer,
                refusal,
                self._context.dialect.refusal_headers(
                    self._job.headers.request_id
                ),
            )
        self._end()

    def _failed_attempt(self, detail: str) -> None:
        entry = self._entry
        if entry is None:
            return
        entry.stats.health.record_failure(self._context.reactor.seconds())
        self._context.log.info(
            "attempt_failed",
            request=self._job.headers.request_id_text,
            endpoint=entry.endpoint.id,
            detail=detail,
        )
        self._leave_endpoint()

    def _leave_endpoint(self) -> None:
        entry = self._entry
        self._entry = None
        self._channel = None
        if entry is not None:
            self._context.scheduler.release(entry)

    def _return_channel(self) -> None:
        channel = self._channel
        entry = self._entry
        if channel is None or entry is None:
            return
        if self._context.directory.get(entry.endpoint.id) is entry:
            self._context.pool.release(entry.endpoint.id, channel)
        else:
            channel.close()

    def _drop_attempt(self) -> None:
        """Stops the attempt in progress, and so the endpoint's work."""
        if self._is_waiting:
            self._is_waiting = False
            self._context.scheduler.withdraw(self)
        connecting = self._connecting
        self._connecting = None
        channel = self._channel
        self._leave_endpoint()
        if connecting is not None:
            connecting.addErrback(lambda _: None)
            connecting.cancel()
        if channel is not None:
            channel.abort()

    def _end(self) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._on_end()
        self._leave_endpoint()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _left_s(self) -> float:
        return self._job.deadline_s - self._context.reactor.seconds()
