"""The callers' interface: HTTP requests become jobs."""

from collections.abc import Callable
import dataclasses
from typing import Any
import uuid

import klein
import msgspec
from twisted.web import server

from godwitdale import account_limits
from godwitdale import classification
from godwitdale import dispatch
from godwitdale import problems
from godwitdale import response_writer
from godwitdale_declarations import objects
from godwitdale_link import messages
from godwitdale_verdicts import outcomes

_MODELS_PATH = "/v1/models"
_LINGER_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Sizes that protect an entry from its callers.

    Attributes:
        body_bytes: Largest body of a request.
        backlog_bytes: Answer bytes kept for a slow caller.
        buffered_bytes: Largest answer that is kept until it is whole.
    """

    body_bytes: int
    backlog_bytes: int
    buffered_bytes: int


class BoundedRequest(server.Request):
    """A request whose body is refused as soon as it is too large."""

    most_body_bytes = 0
    reactor: Any = None
    content: Any
    channel: Any

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Is told the declared length before the body arrives."""
        super().gotLength(length)
        if length is not None and length > self.most_body_bytes:
            self._too_large()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Takes a part of the body."""
        super().handleContentChunk(data)
        if self.content.tell() > self.most_body_bytes:
            self._too_large()

    def _too_large(self) -> None:
        refusal = outcomes.not_run(
            outcomes.Reason.TOO_LARGE,
            f"the body may have {self.most_body_bytes} bytes",
        )
        body = problems.encode(refusal, "")
        self.channel.transport.write(
            b"HTTP/1.1 413 Content Too Large\r\nConnection: close\r\n"
            b"Content-Type: application/problem+json\r\n"
            b"Godwitdale-Verdict: not-run\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        )
        # Closing with unread bytes would reset the connection, and the caller
        # might never read the answer; so the rest is read and dropped.
        channel = self.channel
        channel.dataReceived = _drop
        channel.setTimeout(None)
        self.reactor.callLater(_LINGER_S, channel.loseConnection)


def _drop(data: bytes) -> None:
    """Reads and forgets."""


class CallerApi:
    """Serves callers.

    Attributes:
        in_flight: Requests that have not ended.
        is_draining: Whether new requests are refused.
    """

    app = klein.Klein()

    def __init__(
        self,
        tools: dispatch.Dependencies,
        limits: account_limits.AccountLimits,
        bounds: Bounds,
    ) -> None:
        """Prepares the interface.

        Args:
            tools: What all requests share.
            limits: Request limits of the accounts.
            bounds: Sizes.
        """
        self.in_flight = 0
        self.is_draining = False
        self._tools = tools
        self._limits = limits
        self._bounds = bounds

    def site(self) -> server.Site:
        """Returns the factory to listen with."""
        bound = self._bounds.body_bytes
        clock = self._tools.reactor

        class Request(BoundedRequest):
            most_body_bytes = bound
            reactor = clock

        site = server.Site(self.app.resource(), timeout=60)
        site.requestFactory = Request
        site.displayTracebacks = False
        return site

    @app.route("/", branch=True)
    def handle(self, request: Any) -> Any:
        """Handles any request."""
        trace = uuid.uuid4().hex
        try:
            self._check_open()
            account = self._authenticate(request)
            if request.path == _MODELS_PATH.encode():
                return self._models(request)
            last_event = request.getHeader("last-event-id")
            if last_event:
                return self._resume(request, trace, account, last_event)
            return self._run(request, trace, account)
        except classification.RefusedError as refused:
            problems.respond(request, refused.refusal, trace)
            return None

    def _check_open(self) -> None:
        if self.is_draining:
            raise classification.refusal_error(
                outcomes.Reason.DRAINING, "this entry is stopping", 1.0
            )
        feed = self._tools.feed
        if not feed.is_initialized or feed.is_stale:
            raise classification.refusal_error(
                outcomes.Reason.STALE,
                "this entry cannot reach the declarations",
                1.0,
            )

    def _authenticate(self, request: Any) -> objects.Account:
        scheme, _, key = (request.getHeader("authorization") or "").partition(
            " "
        )
        if scheme.lower() != "bearer" or not key:
            raise classification.refusal_error(
                outcomes.Reason.UNAUTHENTICATED,
                "send Authorization: Bearer with the key of an account",
            )
        account = self._tools.feed.view.authenticate(key.strip())
        if account is None:
            raise classification.refusal_error(
                outcomes.Reason.UNAUTHENTICATED, "this key is not in force"
            )
        return account

    def _models(self, request: Any) -> bytes:
        request.setHeader("Content-Type", "application/json")
        models = [
            {"id": name, "object": "model", "owned_by": "godwitdale"}
            for name in sorted(self._tools.feed.view.models)
        ]
        return msgspec.json.encode({"object": "list", "data": models})

    def _run(self, request: Any, trace: str, account: objects.Account) -> Any:
        wait_s = self._limits.take(account)
        if wait_s > 0:
            raise classification.refusal_error(
                outcomes.Reason.RATE_LIMITED,
                f"account {account.name} is over its limit",
                wait_s,
            )
        job = classification.classify(
            request,
            trace,
            account,
            self._limits.offered_per_admitted(account.name),
            self._tools.feed.view,
        )
        writer = self._writer(request, trace)
        execution = dispatch.RequestDispatcher(
            job, writer, self._tools, self._ended
        )
        finished = self._watch(request, writer, execution.abandon)
        writer.on_overflow = execution.abandon
        self.in_flight += 1
        execution.start()
        return finished

    def _resume(
        self,
        request: Any,
        trace: str,
        account: objects.Account,
        last_event: str,
    ) -> Any:
        try:
            after = response_writer.EventId.parse(last_event)
        except ValueError as error:
            raise classification.refusal_error(
                outcomes.Reason.BAD_REQUEST, "Last-Event-ID is not known here"
            ) from error
        link = self._tools.endpoint_pool.link(after.endpoint)
        if link is None:
            raise classification.RefusedError(
                outcomes.may_have_run(
                    outcomes.Reason.ANSWER_LOST, "the endpoint is gone"
                )
            )
        writer = self._writer(request, trace, after)
        replay = dispatch.AnswerReplay(writer, after.endpoint, self._ended)
        finished = self._watch(request, writer, lambda: None)
        self.in_flight += 1
        link.resume(messages.Resume(after.request_id, account.name, 0), replay)
        return finished

    def _writer(
        self,
        request: Any,
        trace: str,
        after: response_writer.EventId | None = None,
    ) -> response_writer.HttpResponseWriter:
        return response_writer.HttpResponseWriter(
            request,
            trace,
            self._bounds.backlog_bytes,
            self._bounds.buffered_bytes,
            after,
        )

    def _watch(
        self,
        request: Any,
        writer: response_writer.HttpResponseWriter,
        abandon: Callable[[], None],
    ) -> Any:
        """Returns a Deferred that fires when the request has finished."""

        def gone(_reason: Any) -> None:
            writer.on_caller_gone()
            abandon()

        return request.notifyFinish().addErrback(gone)

    def _ended(self) -> None:
        self.in_flight -= 1
