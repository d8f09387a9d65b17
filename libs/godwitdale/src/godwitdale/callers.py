"""HTTP interface for callers of an entry."""

from collections.abc import Callable
import dataclasses
from typing import Any
import uuid

import klein
import msgspec
from twisted.web import server

from godwitdale import account_limits as account_limits_lib
from godwitdale import classification
from godwitdale import dispatch
from godwitdale import problems
from godwitdale import response_writer
from godwitdale_declarations import objects
from godwitdale_link import messages
from godwitdale_verdicts import outcomes

_MODELS_PATH = "/v1/models"
# How long the rest of a refused body is read before the connection closes.
_REFUSED_BODY_READ_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class SizeLimits:
    """Limits on the data that an entry buffers for one caller.

    Attributes:
        max_body_bytes: Maximum size of a request body.
        max_backlog_bytes: Maximum size of the answer data buffered for a
            caller that reads slowly.
        max_buffered_bytes: Maximum size up to which an answer is buffered
            until it is complete.
    """

    max_body_bytes: int
    max_backlog_bytes: int
    max_buffered_bytes: int


class BoundedRequest(server.Request):
    """An HTTP request that is refused as soon as its body is too large."""

    max_body_bytes = 0
    reactor: Any = None
    content: Any
    channel: Any

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Handles the declared length before the body arrives."""
        super().gotLength(length)
        if length is not None and length > self.max_body_bytes:
            self._refuse_too_large()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Handles a part of the body."""
        super().handleContentChunk(data)
        if self.content.tell() > self.max_body_bytes:
            self._refuse_too_large()

    def _refuse_too_large(self) -> None:
        refusal = outcomes.not_run(
            outcomes.Reason.TOO_LARGE,
            f"the body may have {self.max_body_bytes} bytes",
        )
        body = problems.encode(refusal, "")
        self.channel.transport.write(
            b"HTTP/1.1 413 Content Too Large\r\nConnection: close\r\n"
            b"Content-Type: application/problem+json\r\n"
            b"Godwitdale-Verdict: not-run\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        )
        # Closing a connection with unread data would reset it, and the caller
        # might never read the answer. So the rest of the body is read and
        # discarded.
        channel = self.channel
        channel.dataReceived = _discard
        channel.setTimeout(None)
        self.reactor.callLater(_REFUSED_BODY_READ_S, channel.loseConnection)


def _discard(data: bytes) -> None:
    """Ignores received data."""


class CallerApi:
    """Handles the HTTP requests of callers.

    Attributes:
        in_flight: Number of requests that have not ended.
        is_draining: Whether new requests are refused.
    """

    app = klein.Klein()

    def __init__(
        self,
        dependencies: dispatch.Dependencies,
        account_limits: account_limits_lib.AccountLimits,
        size_limits: SizeLimits,
    ) -> None:
        """Creates the interface without listening.

        Args:
            dependencies: Components that all requests share.
            account_limits: Rate limits of the client accounts.
            size_limits: Limits on the data buffered for one caller.
        """
        self.in_flight = 0
        self.is_draining = False
        self._dependencies = dependencies
        self._account_limits = account_limits
        self._size_limits = size_limits

    def site(self) -> server.Site:
        """Returns the protocol factory of the HTTP server."""
        max_bytes = self._size_limits.max_body_bytes
        clock = self._dependencies.reactor

        class Request(BoundedRequest):
            max_body_bytes = max_bytes
            reactor = clock

        site = server.Site(self.app.resource(), timeout=60)
        site.requestFactory = Request
        site.displayTracebacks = False
        return site

    @app.route("/", branch=True)
    def handle(self, request: Any) -> Any:
        """Handles a request on any path."""
        request_id = uuid.uuid4().hex
        try:
            self._check_accepting()
            account = self._authenticate(request)
            if request.path == _MODELS_PATH.encode():
                return self._list_models(request)
            last_event_id = request.getHeader("last-event-id")
            if last_event_id:
                return self._resume(request, request_id, account, last_event_id)
            return self._execute(request, request_id, account)
        except classification.RefusedError as error:
            problems.respond(request, error.refusal, request_id)
            return None

    def _check_accepting(self) -> None:
        if self.is_draining:
            raise classification.refusal_error(
                outcomes.Reason.DRAINING, "this entry is stopping", 1.0
            )
        feed = self._dependencies.feed
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
        account = self._dependencies.feed.view.authenticate(key.strip())
        if account is None:
            raise classification.refusal_error(
                outcomes.Reason.UNAUTHENTICATED, "this key is not in force"
            )
        return account

    def _list_models(self, request: Any) -> bytes:
        request.setHeader("Content-Type", "application/json")
        models = [
            {"id": name, "object": "model", "owned_by": "godwitdale"}
            for name in sorted(self._dependencies.feed.view.models)
        ]
        return msgspec.json.encode({"object": "list", "data": models})

    def _execute(
        self, request: Any, request_id: str, account: objects.Account
    ) -> Any:
        wait_s = self._account_limits.take(account)
        if wait_s > 0:
            raise classification.refusal_error(
                outcomes.Reason.RATE_LIMITED,
                f"account {account.name} is over its limit",
                wait_s,
            )
        admitted_request = classification.classify(
            request,
            request_id,
            account,
            self._account_limits.offered_per_admitted(account.name),
            self._dependencies.feed.view,
        )
        writer = self._create_writer(request, request_id)
        dispatcher = dispatch.RequestDispatcher(
            admitted_request, writer, self._dependencies, self._on_request_end
        )
        finished = self._watch_disconnect(request, writer, dispatcher.abandon)
        writer.on_overflow = dispatcher.abandon
        self.in_flight += 1
        dispatcher.start()
        return finished

    def _resume(
        self,
        request: Any,
        request_id: str,
        account: objects.Account,
        last_event_id: str,
    ) -> Any:
        try:
            after = response_writer.EventId.parse(last_event_id)
        except ValueError as error:
            raise classification.refusal_error(
                outcomes.Reason.BAD_REQUEST, "Last-Event-ID is not known here"
            ) from error
        link = self._dependencies.endpoint_pool.link(after.endpoint)
        if link is None:
            raise classification.RefusedError(
                outcomes.may_have_run(
                    outcomes.Reason.ANSWER_LOST, "the endpoint is gone"
                )
            )
        writer = self._create_writer(request, request_id, after)
        replay = dispatch.AnswerReplay(
            writer, after.endpoint, self._on_request_end
        )
        finished = self._watch_disconnect(request, writer, lambda: None)
        self.in_flight += 1
        link.resume(messages.Resume(after.request_id, account.name, 0), replay)
        return finished

    def _create_writer(
        self,
        request: Any,
        request_id: str,
        after: response_writer.EventId | None = None,
    ) -> response_writer.HttpResponseWriter:
        return response_writer.HttpResponseWriter(
            request,
            request_id,
            self._size_limits.max_backlog_bytes,
            self._size_limits.max_buffered_bytes,
            after,
        )

    def _watch_disconnect(
        self,
        request: Any,
        writer: response_writer.HttpResponseWriter,
        abandon: Callable[[], None],
    ) -> Any:
        """Returns a Deferred that fires when the HTTP request has finished.

        If the caller disconnects first, the request is abandoned.
        """

        def on_disconnect(_reason: Any) -> None:
            writer.on_caller_gone()
            abandon()

        return request.notifyFinish().addErrback(on_disconnect)

    def _on_request_end(self) -> None:
        self.in_flight -= 1
