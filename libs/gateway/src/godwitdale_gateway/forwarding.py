"""Forwards a request to endpoints and the answer to its caller."""

from collections.abc import Callable
import dataclasses
from typing import Any

from twisted.internet import defer
from twisted.python import failure

from godwitdale_gateway import answer_buffer
from godwitdale_gateway import answer_statements
from godwitdale_gateway import answer_times
from godwitdale_gateway import dialect as dialect_lib
from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import event_ids
from godwitdale_gateway import event_stream
from godwitdale_gateway import part_guard as part_guard_lib
from godwitdale_gateway import placement as placement_lib
from godwitdale_gateway import refusals
from godwitdale_gateway import scheduler as scheduler_lib
from godwitdale_gateway import statement_sharing as statement_sharing_lib
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
from godwitdale_routing import stop_budget as stop_budget_lib
from godwitdale_verdicts import outcomes
from godwitdale_verdicts import verdict as verdict_lib

# Well below every latency objective, so that another endpoint can be tried, and
# many round trips between zones.
_CONNECT_TIMEOUT_S = 0.25
# A request is refused after this many failures to open a connection.
_MAX_CONNECT_FAILURES = 3
# Maximum time since the last exchange on a pooled connection. A request that
# cannot be repeated must not be lost on a connection that is being closed. It
# therefore uses only a recently used connection.
_MAX_IDLE_NON_REPEATABLE_S = 0.5
_MAX_IDLE_REPEATABLE_S = 3600.0
# Number of events of a stream after which its endpoint has survived the prompt.
# An endpoint that crashes on a prompt may still send the first event.
_SURVIVED_EVENTS = 2
# Maximum size of the body of an answer that is discarded. A longer one is not
# read to its end to keep the connection.
_MAX_DISCARDED_BYTES = 64 << 10


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingContext:
    """Objects that all requests of a process share.

    Attributes:
        reactor: The Twisted reactor.
        dialect: Decodes and encodes headers.
        directory: The endpoints.
        pool: Connections to the endpoints.
        scheduler: Assigns requests to endpoints.
        budgets: Retry budgets by service.
        part_guard: Refuses requests that may crash endpoints.
        statement_sharing: Takes what endpoints state in their answers.
        stop_budget: Time that is left once the process stops.
        buffer_usage: Counts the bytes of buffered answers.
        zone: Availability zone of this process.
        log: The event log.
        histograms: Latencies by service class and client account.
    """

    reactor: Any
    dialect: dialect_lib.Dialect
    directory: directory_lib.Directory
    pool: pool_lib.Pool
    scheduler: scheduler_lib.Scheduler
    budgets: retries.BudgetsByService
    part_guard: part_guard_lib.PartGuard
    statement_sharing: statement_sharing_lib.StatementSharing
    stop_budget: stop_budget_lib.StopBudget
    buffer_usage: answer_buffer.BufferUsage
    zone: str
    log: logs.EventLog
    histograms: histograms_lib.Histograms


class RequestForwarder:
    """Forwards one request, with retries, until it is answered or refused.

    Attributes:
        placement: What the scheduler needs to know to assign the request to an
            endpoint.
        tried_endpoints: Ids of the endpoints that the request was assigned to.
    """

    def __init__(
        self,
        request: placement_lib.AdmittedRequest,
        caller: callers.CallerChannel,
        context: ForwardingContext,
        on_end: Callable[[], None],
    ) -> None:
        """Creates a forwarder; ``start`` submits the request.

        Args:
            request: The request to forward.
            caller: Connection of the caller, which receives the answer.
            context: Objects that all requests share.
            on_end: Called once, when the request has ended.
        """
        self._on_end = on_end
        self._request = request
        self._caller = caller
        self._context = context
        self.placement = placement_lib.PlacementRequest(
            request.service,
            request.params,
            choice.RequestTraits(
                prompt_tokens=request.headers.prompt_tokens, zone=context.zone
            ),
            request.headers.expected_answer_tokens,
            request.deadline_s,
            request.account or "",
        )
        self.tried_endpoints: set[str] = set()
        self._is_waiting = False
        self._attempt_count = 0
        self._connect_failures = 0
        self._earlier_may_have_run = False
        self._endpoint_record: directory_lib.EndpointRecord | None = None
        self._last_endpoint_id: str | None = None  # Kept after the attempt.
        self._connecting: defer.Deferred[Any] | None = None
        self._channel: channel_lib.Channel | None = None
        self._status = 0
        self._headers: headers_lib.Headers = []
        self._answer_kind = dialect_lib.AnswerKind.FOREIGN
        self._is_streaming = False
        self._body = answer_buffer.AnswerBuffer(context.buffer_usage)
        self._discarded_bytes = 0
        # Events of the current attempt, and whether its endpoint goes on after
        # it has begun to answer.
        self._event_count = 0
        self._has_survived = False
        self._splitter = event_stream.EventSplitter()
        self._last_event_id = request.headers.last_event_id
        # Whether the caller has exactly the events up to ``_last_event_id``.
        self._is_position_known = True
        # Whether an attempt has broken off inside an event that is still to
        # come.
        self._misses_event = False
        self._has_sent_head = False
        self._times = answer_times.AnswerTimes(request.incoming.received_s)
        self._has_ended = False
        self._deadline_timer: Any = None

    def start(self) -> None:
        """Submits the request for its first attempt."""
        self._context.budgets.record_request(self._request.service)
        time_left_s = max(0.0, self._time_left_s())
        self._deadline_timer = self._context.reactor.callLater(
            time_left_s, self._on_deadline
        )
        refusal = self._check_parts()
        if refusal is None:
            self._start_attempt()
        else:
            self._refuse(refusal)

    def cancel(self, detail: str) -> None:
        """Cancels the request because the caller's connection has ended.

        Args:
            detail: Why it has ended.
        """
        self._context.log.info(
            "cancelled",
            request=self._request.headers.request_id_text,
            detail=detail,
            endpoint=self._last_endpoint_id,
            attempts=self._attempt_count,
            events=self._event_count,
        )
        self._cancel_attempt()
        self._end()

    def _cancel_unsent(self) -> None:
        """Cancels the request instead of sending it to its endpoint."""
        self._caller.abort()
        self.cancel("the caller left before the request was sent")

    def refuse_if_too_late(self) -> None:
        """Refuses the request if it waits and may not begin any more."""
        if self._is_waiting and self._is_too_late():
            self._cancel_attempt()
            self._refuse(refusals.refuse_for_stop())

    def stop(self) -> None:
        """Ends the request because the process is about to exit."""
        if self._has_ended:
            return
        self._give_up(outcomes.Reason.DRAINING, "this entry has stopped")

    # Start of an attempt.

    def on_assigned(self, record: directory_lib.EndpointRecord) -> None:
        """Sends the request to the endpoint that the scheduler assigned."""
        self._is_waiting = False
        self._endpoint_record = record
        if self._caller.has_caller_left():
            self._cancel_unsent()
            return
        refusal = self._check_parts()
        if refusal is None and self._is_too_late():
            refusal = refusals.refuse_for_stop()
        if refusal is not None:
            self._release_endpoint()
            self._refuse(refusal)
            return
        if self.tried_endpoints:
            self._context.log.info(
                "attempt_repeated",
                request=self._request.headers.request_id_text,
                endpoint=record.endpoint.id,
                previous=self._last_endpoint_id,
                attempts=self._attempt_count,
                may_have_run=self._earlier_may_have_run,
                after_event=(self._last_event_id or b"").decode("latin-1"),
                left_s=round(self._time_left_s(), 3),
            )
        self.tried_endpoints.add(record.endpoint.id)
        self._last_endpoint_id = record.endpoint.id
        self._event_count = 0
        self._has_survived = False
        self._context.part_guard.on_sent(self, self._parts)
        self._connect(record)

    def on_refused(self, refusal: outcomes.Refusal) -> None:
        """Ends the request because the scheduler refused it."""
        self._is_waiting = False
        self._refuse(refusal)

    def on_quarantined(self) -> None:
        """Cancels the request because it would crash its endpoint."""
        self._give_up(
            outcomes.Reason.QUARANTINED,
            "a part of the prompt crashes endpoints",
        )

    @property
    def _parts(self) -> tuple[str, ...]:
        return self._request.headers.shared_parts

    def _check_parts(self) -> outcomes.Refusal | None:
        return self._context.part_guard.check(self._parts)

    def _record_survival(self) -> None:
        if not self._has_survived:
            self._has_survived = True
            self._context.part_guard.on_survived(self, self._parts)

    def _is_too_late(self) -> bool:
        """Returns whether an attempt could be cut off by the end of a stop.

        An answer that the caller has a part of is continued all the same.
        """
        if self._has_sent_head:
            return False
        return not self._context.stop_budget.may_begin(
            self._request.route.is_stream,
            self._request.deadline_s,
            self._context.reactor.seconds(),
        )

    def _start_attempt(self) -> None:
        if self._is_too_late():
            self._refuse(refusals.refuse_for_stop())
            return
        self._is_waiting = True
        self._context.scheduler.submit(self)

    def _connect(self, record: directory_lib.EndpointRecord) -> None:
        is_repeatable = self._request.route.is_repeatable
        max_idle_s = (
            _MAX_IDLE_REPEATABLE_S
            if is_repeatable
            else _MAX_IDLE_NON_REPEATABLE_S
        )
        channel = self._context.pool.acquire(record.endpoint.id, max_idle_s)
        if channel is not None:
            self._send(channel)
            return
        connecting = self._context.pool.connect(
            record.endpoint.address, _CONNECT_TIMEOUT_S
        )
        self._connecting = connecting
        connecting.addCallbacks(self._on_connected, self._on_connect_failed)

    def _on_connected(self, channel: channel_lib.Channel) -> None:
        self._connecting = None
        if self._has_ended or self._endpoint_record is None:
            channel.close()
            return
        if self._caller.has_caller_left():
            self._return_channel(channel)
            self._cancel_unsent()
            return
        self._send(channel)

    def _on_connect_failed(self, reason: failure.Failure) -> None:
        self._connecting = None
        if self._has_ended or self._endpoint_record is None:
            return
        self._connect_failures += 1
        detail = f"no connection: {reason.getErrorMessage()}"
        self._fail_attempt(detail)
        if self._connect_failures < _MAX_CONNECT_FAILURES:
            self._start_attempt()
            return
        self._refuse(
            outcomes.not_run(
                outcomes.Reason.ENDPOINT_LOST,
                detail,
                retry_after_s=refusals.UNREACHABLE_RETRY_S,
            )
        )

    def _send(self, channel: channel_lib.Channel) -> None:
        request = self._request
        record = self._endpoint_record
        assert record is not None
        self._attempt_count += 1
        self._times.on_sent(self._context.reactor.seconds())
        self._channel = channel
        self._reset_answer()
        forwarded = dialect_lib.ForwardedHeaders(
            endpoint_id=record.endpoint.id,
            account=request.account,
            time_left_s=max(0.0, self._time_left_s()),
            last_event_id=self._last_event_id,
            priority=self._context.scheduler.engine_priority(self.placement),
        )
        dialect = self._context.dialect
        request_id = request.headers.request_id
        outgoing = channel_lib.OutgoingRequest(
            method=request.incoming.method,
            target=request.incoming.target,
            headers=dialect.encode_request(request.incoming.headers, forwarded),
            body=request.incoming.body,
            is_own_answer=lambda headers: dialect.is_answer_to(
                request_id, headers
            ),
        )
        channel.send_request(outgoing, self)

    def _reset_answer(self) -> None:
        """Forgets the answer of the attempt before."""
        self._status = 0
        self._headers = []
        self._answer_kind = dialect_lib.AnswerKind.FOREIGN
        self._is_streaming = False
        self._body.clear()
        self._discarded_bytes = 0
        self._splitter = event_stream.EventSplitter()

    # Callbacks for the answer of an endpoint.

    def on_answer_head(self, status: int, headers: headers_lib.Headers) -> None:
        """Handles status and headers of an answer."""
        self._status = status
        self._headers = headers
        self._answer_kind = self._context.dialect.answer_kind(status, headers)
        self._is_streaming = self._is_event_stream(headers)
        record = self._endpoint_record
        if record is None:
            return
        if not self._is_refused_by_endpoint():
            record.stats.health.record_success()
        answer_statements.record_statements(
            self._context.dialect,
            self._context.statement_sharing,
            record,
            self._answer_kind,
            status,
            headers,
        )

    def on_answer_data(self, data: bytes) -> None:
        """Handles a part of the body."""
        if self._is_streaming:
            for event in self._splitter.feed(data):
                self._forward_event(event)
            is_within_limits = not self._splitter.is_too_large
        elif self._is_forwarded_answer():
            is_within_limits = self._body.append(data)
        else:
            self._discarded_bytes += len(data)
            is_within_limits = self._discarded_bytes <= _MAX_DISCARDED_BYTES
        if not is_within_limits and self._channel is not None:
            self._channel.abort()
            self.on_answer_failed("the answer is too large")

    def on_answer_end(self) -> None:
        """Handles the end of a complete answer."""
        if self._channel is not None:
            self._return_channel(self._channel)
        answer_kind = self._answer_kind
        if answer_kind is dialect_lib.AnswerKind.SUCCESS:
            self._on_success()
        elif answer_kind is dialect_lib.AnswerKind.FAILURE:
            self._on_endpoint_failure()
        elif answer_kind is dialect_lib.AnswerKind.FOREIGN:
            self.on_answer_failed("not an answer of the endpoint")
        else:
            self._on_not_run()

    def on_answer_failed(self, detail: str) -> None:
        """Handles an answer that is incomplete or not the endpoint's."""
        record = self._endpoint_record
        if self._splitter.has_partial_event:
            self._misses_event = True
        self._fail_attempt(detail)
        if self._is_refused_by_endpoint() and self._status:
            self._retry_or_refuse(
                outcomes.not_run(outcomes.Reason.OVERLOADED, detail)
            )
            return
        refusal = outcomes.may_have_run(outcomes.Reason.ENDPOINT_LOST, detail)
        if (
            record is not None
            and not self._has_survived
            and self._context.part_guard.on_lost(record, self._parts)
        ):
            # Another attempt could crash another endpoint.
            self._refuse(refusal)
            return
        self._retry_or_refuse(refusal)

    def _is_refused_by_endpoint(self) -> bool:
        return self._answer_kind in (
            dialect_lib.AnswerKind.NOT_RUN,
            dialect_lib.AnswerKind.MISDIRECTED,
        )

    def _is_forwarded_answer(self) -> bool:
        return self._answer_kind in (
            dialect_lib.AnswerKind.SUCCESS,
            dialect_lib.AnswerKind.FAILURE,
        )

    def _is_event_stream(self, headers: headers_lib.Headers) -> bool:
        content_type = headers_lib.first_value(headers, b"content-type") or b""
        return (
            self._request.route.kind is routes.Kind.STREAM
            and self._answer_kind is dialect_lib.AnswerKind.SUCCESS
            and content_type.startswith(b"text/event-stream")
        )

    def _forward_event(self, event: event_stream.Event) -> None:
        """Sends an event to the caller unless the caller already has it."""
        last = self._last_event_id
        if (
            event.id is not None
            and last is not None
            and event_ids.is_at_or_before(event.id, last)
        ):
            return
        self._event_count += 1
        self._misses_event = False
        if self._event_count >= _SURVIVED_EVENTS:
            self._record_survival()
        self._record_part()
        if not self._has_sent_head:
            self._has_sent_head = True
            self._caller.send_head(self._status, self._caller_headers())
        self._caller.send_data(event.data)
        if event.id is not None:
            self._last_event_id = event.id
        if event.has_content:
            self._is_position_known = event.id is not None

    def _record_part(self) -> None:
        """Reports the arrival of an answer part to the scheduler."""
        now_s = self._context.reactor.seconds()
        scheduler = self._context.scheduler
        gap_s = self._times.on_part(now_s)
        record = self._endpoint_record
        if record is None:
            return
        if gap_s is None:
            scheduler.observe_first(record.endpoint, now_s - self._times.sent_s)
            return
        objective_s = self._request.route.gap_objective_s
        if objective_s is not None:
            scheduler.observe_gap(record.endpoint, gap_s, objective_s)

    def _record_end(self) -> None:
        now_s = self._context.reactor.seconds()
        times = self._times
        request = self._request
        self._context.scheduler.service_times(request.service).observe_total(
            now_s - times.sent_s
        )
        metrics = histograms_lib.Metric
        for metric, value_s in (
            (metrics.QUEUE, times.queue_time_s),
            (metrics.FIRST_TOKEN, times.time_to_first_part_s),
            (metrics.TOTAL, now_s - request.incoming.received_s),
        ):
            self._context.histograms.record(
                metric, request.service_class, request.account or "", value_s
            )
        self._context.log.info(
            "answered",
            request=request.headers.request_id_text,
            route=request.route.name,
            priority=request.params.priority,
            endpoint=self._last_endpoint_id,
            attempts=self._attempt_count,
            waited_s=round(times.queue_time_s, 3),
            first_s=round(times.time_to_first_part_s, 3),
            gap_s=round(times.longest_gap_s, 3),
            whole_s=round(now_s - request.incoming.received_s, 3),
        )

    def _on_success(self) -> None:
        self._record_survival()
        if not self._is_streaming:
            if self._has_sent_head:
                self.on_answer_failed("no stream continues the stream")
                return
            self._record_part()
            self._record_end()
            self._send_complete_answer()
            return
        if self._splitter.has_partial_event:
            self.on_answer_failed("the stream ended inside an event")
            return
        if self._misses_event:
            self.on_answer_failed("the stream ended before the broken event")
            return
        if not self._has_sent_head:
            self._send_complete_answer()
            return
        self._caller.end_answer()
        self._record_end()
        self._end()

    def _send_complete_answer(self) -> None:
        self._caller.send_answer(
            self._status, self._caller_headers(), self._body.take()
        )
        self._end()

    def _caller_headers(self) -> headers_lib.Headers:
        return headers_lib.end_to_end(self._headers)

    def _on_endpoint_failure(self) -> None:
        """Retries the request, or forwards the endpoint's failure."""
        refusal = self._retry(
            outcomes.may_have_run(
                outcomes.Reason.ENDPOINT_FAILED, f"answered {self._status}"
            )
        )
        if refusal is None:
            return
        if self._has_sent_head:
            self._refuse(refusal)
        else:
            self._send_complete_answer()

    def _on_not_run(self) -> None:
        if self._answer_kind is dialect_lib.AnswerKind.MISDIRECTED:
            record = self._endpoint_record
            if record is not None:
                self._context.directory.remove(record.endpoint.id)
        elif self._endpoint_record is not None:
            self._record_refusal(self._endpoint_record)
        detail = f"the endpoint refused: {self._status}"
        self._retry_or_refuse(
            outcomes.not_run(
                outcomes.Reason.OVERLOADED,
                detail,
                retry_after_s=self._context.scheduler.retry_after_refusal_s(
                    self._request.service, self._time_left_s()
                ),
            )
        )

    # Retries and the end of the request.

    def _retry(self, refusal: outcomes.Refusal) -> outcomes.Refusal | None:
        """Starts another attempt, or returns the refusal to end with."""
        self._release_endpoint()
        budget = self._context.budgets.budget_for(self._request.service)
        step = attempts_lib.decide_after_failure(
            refusal, self._failure_context(), budget
        )
        if refusal.verdict is not verdict_lib.Verdict.NOT_RUN:
            self._earlier_may_have_run = True
        if isinstance(step, attempts_lib.GiveUp):
            return step.refusal
        self._start_attempt()
        return None

    def _retry_or_refuse(self, refusal: outcomes.Refusal) -> None:
        final_refusal = self._retry(refusal)
        if final_refusal is not None:
            self._refuse(final_refusal)

    def _failure_context(self) -> attempts_lib.FailureContext:
        route = self._request.route
        return attempts_lib.FailureContext(
            is_repeatable=route.is_repeatable,
            has_idempotency_key=attempts_lib.HasIdempotencyKey.NO,
            has_answer_begun=self._has_sent_head
            and not (route.is_resumable and self._is_position_known),
            earlier_may_have_run=self._earlier_may_have_run,
            attempts=self._attempt_count,
            max_attempts=route.max_attempts,
            time_left_s=self._time_left_s(),
        )

    def _on_deadline(self) -> None:
        self._give_up(outcomes.Reason.DEADLINE, "no answer in time")

    def _give_up(self, reason: outcomes.Reason, detail: str) -> None:
        """Cancels the current attempt and refuses the request."""
        may_have_run = self._channel is not None or self._earlier_may_have_run
        self._cancel_attempt()
        make_refusal = (
            outcomes.may_have_run if may_have_run else outcomes.not_run
        )
        self._refuse(make_refusal(reason, detail))

    def _refuse(self, refusal: outcomes.Refusal) -> None:
        refusal = attempts_lib.include_earlier_attempts(
            refusal, self._earlier_may_have_run
        )
        self._context.log.info(
            "refused",
            request=self._request.headers.request_id_text,
            priority=self._request.params.priority,
            reason=refusal.reason.value,
            verdict=refusal.verdict.value,
            detail=refusal.detail,
            endpoint=self._last_endpoint_id,
            attempts=self._attempt_count,
            left_s=round(self._time_left_s(), 3),
        )
        if self._has_sent_head:
            self._caller.abort()
        else:
            refusals.send_refusal(
                self._caller,
                refusal,
                self._context.dialect.refusal_headers(
                    self._request.headers.request_id
                ),
            )
        self._end()

    def _fail_attempt(self, detail: str) -> None:
        record = self._endpoint_record
        if record is None:
            return
        record.stats.health.record_failure(self._context.reactor.seconds())
        self._record_refusal(record)
        self._context.log.info(
            "attempt_failed",
            request=self._request.headers.request_id_text,
            endpoint=record.endpoint.id,
            detail=detail,
            events=self._event_count,
            parts=self._request.headers.shared_parts,
        )
        self._release_endpoint()

    def _record_refusal(self, record: directory_lib.EndpointRecord) -> None:
        self._context.statement_sharing.on_failure(
            record.endpoint.id, self._times.sent_s
        )

    def _release_endpoint(self) -> None:
        record = self._endpoint_record
        self._endpoint_record = None
        self._channel = None
        self._context.part_guard.on_ended(self)
        if record is not None:
            self._context.scheduler.release(record)

    def _return_channel(self, channel: channel_lib.Channel) -> None:
        record = self._endpoint_record
        if record is None:
            return
        if self._context.directory.get(record.endpoint.id) is record:
            self._context.pool.release(record.endpoint.id, channel)
        else:
            channel.close()

    def _cancel_attempt(self) -> None:
        """Cancels the current attempt.

        Closing the connection makes the endpoint stop working on the request.
        """
        if self._is_waiting:
            self._is_waiting = False
            self._context.scheduler.withdraw(self)
        connecting = self._connecting
        self._connecting = None
        channel = self._channel
        self._release_endpoint()
        if connecting is not None:
            connecting.addErrback(lambda _: None)
            connecting.cancel()
        if channel is not None:
            channel.abort()

    def _end(self) -> None:
        if self._has_ended:
            return
        self._has_ended = True
        self._body.clear()
        self._on_end()
        self._release_endpoint()
        if self._deadline_timer is not None and self._deadline_timer.active():
            self._deadline_timer.cancel()

    def _time_left_s(self) -> float:
        return self._request.deadline_s - self._context.reactor.seconds()
