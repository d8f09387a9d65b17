"""The callers' interface: HTTP requests become jobs."""

from collections.abc import Callable
import dataclasses
import time
from typing import Any
import uuid

from godwitdale_claims import records as claim_records
from godwitdale_declarations import objects
from godwitdale_declarations import selectors
from godwitdale_declarations import view as view_lib
from godwitdale_link import messages
from godwitdale_platform import backend
from godwitdale_routing import prefixes
from godwitdale_verdicts import outcomes
import klein
import msgspec
from twisted.web import server
import uuid_utils

from godwitdale import dispatch
from godwitdale import limiting
from godwitdale import problems
from godwitdale import streaming

_CHAT_PATH = "/v1/chat/completions"
_MODELS_PATH = "/v1/models"
_MOST_KEY_CHARS = 200
_MINUTES_PER_DAY = 1440
_SECONDS_PER_MINUTE = 60
_MS_PER_S = 1000
_FUTURE_KEY_S = 60.0
_LINGER_S = 2.0
_ACCOUNT_HEADER = "godwitdale-account"
_STRIPPED = backend.HOP_BY_HOP | {
    "authorization",
    "idempotency-key",
    "last-event-id",
    _ACCOUNT_HEADER,
}


class _ChatMessage(msgspec.Struct):
    role: str
    content: Any = None


class _Chat(msgspec.Struct):
    model: str
    messages: list[_ChatMessage]
    stream: bool = False


_chat_decoder = msgspec.json.Decoder(_Chat)


class RefusedError(Exception):
    """Ends the handling of a request with a refusal.

    Attributes:
        refusal: What to tell the caller.
    """

    def __init__(self, refusal: outcomes.Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


def _refuse(
    reason: outcomes.Reason, detail: str, retry_after_s: float | None = None
) -> RefusedError:
    return RefusedError(outcomes.not_run(reason, detail, retry_after_s))


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
        body = problems.of(refusal, "")
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
        tools: dispatch.Tools,
        limits: limiting.AccountLimits,
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
        except RefusedError as refused:
            problems.respond(request, refused.refusal, trace)
            return None

    def _check_open(self) -> None:
        if self.is_draining:
            raise _refuse(
                outcomes.Reason.DRAINING, "this entry is stopping", 1.0
            )
        feed = self._tools.feed
        if not feed.is_started or feed.is_stale:
            raise _refuse(
                outcomes.Reason.STALE,
                "this entry cannot reach the declarations",
                1.0,
            )

    def _authenticate(self, request: Any) -> objects.Account:
        scheme, _, key = (request.getHeader("authorization") or "").partition(
            " "
        )
        if scheme.lower() != "bearer" or not key:
            raise _refuse(
                outcomes.Reason.UNAUTHENTICATED,
                "send Authorization: Bearer with the key of an account",
            )
        account = self._tools.feed.view.authenticate(key.strip())
        if account is None:
            raise _refuse(
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
            raise _refuse(
                outcomes.Reason.RATE_LIMITED,
                f"account {account.name} is over its limit",
                wait_s,
            )
        job = self._job(request, trace, account)
        writer = self._writer(request, trace)
        execution = dispatch.Execution(job, writer, self._tools, self._ended)
        finished = self._watch(request, writer, execution.abandon)
        writer.overflowed = execution.abandon
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
            after = streaming.EventId.parse(last_event)
        except ValueError as error:
            raise _refuse(
                outcomes.Reason.BAD_REQUEST, "Last-Event-ID is not known here"
            ) from error
        link = self._tools.fleet.link(after.endpoint)
        if link is None:
            raise RefusedError(
                outcomes.may_have_run(
                    outcomes.Reason.ANSWER_LOST, "the endpoint is gone"
                )
            )
        writer = self._writer(request, trace, after)
        replay = dispatch.Replay(writer, after.endpoint, self._ended)
        finished = self._watch(request, writer, lambda: None)
        self.in_flight += 1
        link.resume(messages.Resume(after.request_id, account.name, 0), replay)
        return finished

    def _writer(
        self,
        request: Any,
        trace: str,
        after: streaming.EventId | None = None,
    ) -> streaming.CallerWriter:
        return streaming.CallerWriter(
            request,
            trace,
            self._bounds.backlog_bytes,
            self._bounds.buffered_bytes,
            after,
        )

    def _watch(
        self,
        request: Any,
        writer: streaming.CallerWriter,
        abandon: Callable[[], None],
    ) -> Any:
        """Returns a Deferred that fires when the request has finished."""

        def gone(_reason: Any) -> None:
            writer.gone()
            abandon()

        return request.notifyFinish().addErrback(gone)

    def _ended(self) -> None:
        self.in_flight -= 1

    def _job(
        self, request: Any, trace: str, account: objects.Account
    ) -> dispatch.Job:
        body = request.content.read()
        path = request.path.decode("latin-1")
        model = None
        blocks: list[int] = []
        if path == _CHAT_PATH:
            model, blocks = self._read_chat(request, body)
        headers = _headers_of(request)
        view = self._tools.feed.view
        selector = selectors.bind(
            view.selectors,
            selectors.Request(
                account=account.name,
                account_labels=account.labels,
                method=request.method.decode("latin-1"),
                path=path,
                model=model,
                headers=dict(headers),
                minute_of_day=_minute_of_day(),
            ),
        )
        work = view.works.get(selector.work) if selector else None
        if selector is None or work is None:
            raise _refuse(
                outcomes.Reason.NOT_FOUND,
                f"no selector binds {path}"
                + (f" with model {model}" if model else ""),
            )
        return dispatch.Job(
            trace=trace,
            account=account,
            offered=self._limits.offered_per_admitted(account.name),
            work=work,
            selector=selector,
            key=_key_of(request, account, work, view),
            method=request.method.decode("latin-1"),
            path=request.uri.decode("latin-1"),
            headers=[*headers, (_ACCOUNT_HEADER, account.name)],
            body=body,
            prompt_tokens=len(body) // prefixes.BYTES_PER_TOKEN,
            blocks=blocks,
        )

    def _read_chat(self, request: Any, body: bytes) -> tuple[str, list[int]]:
        if request.method != b"POST":
            raise _refuse(outcomes.Reason.BAD_REQUEST, "use POST")
        try:
            chat = _chat_decoder.decode(body)
        except msgspec.MsgspecError as error:
            raise _refuse(
                outcomes.Reason.BAD_REQUEST, f"the body is not a chat: {error}"
            ) from error
        if not chat.messages:
            raise _refuse(outcomes.Reason.BAD_REQUEST, "messages is empty")
        prompt = msgspec.json.encode(chat.messages)
        if chat.model not in self._tools.feed.view.models:
            raise _refuse(
                outcomes.Reason.NOT_FOUND, f"there is no model {chat.model!r}"
            )
        return chat.model, prefixes.blocks_of(prompt)


def _headers_of(request: Any) -> messages.Headers:
    named_by_connection = {
        name.strip().lower()
        for name in (request.getHeader("connection") or "").split(",")
    }
    found = []
    for raw_name, values in request.requestHeaders.getAllRawHeaders():
        name = raw_name.decode("latin-1").lower()
        if name not in _STRIPPED and name not in named_by_connection:
            found += [(name, value.decode("latin-1")) for value in values]
    return found


def _minute_of_day() -> int:
    return int(time.time() // _SECONDS_PER_MINUTE) % _MINUTES_PER_DAY


def _key_of(
    request: Any,
    account: objects.Account,
    work: objects.Work,
    view: view_lib.View,
) -> str | None:
    """Returns the digest of the idempotency key, or None without one."""
    if work.repeatable or work.keys == "ignored":
        return None
    text = (request.getHeader("idempotency-key") or "").strip().strip('"')
    if not text:
        if work.keys == "optional":
            return None
        raise _refuse(
            outcomes.Reason.KEY_INVALID,
            f"work of kind {work.name} needs an Idempotency-Key",
        )
    if len(text) > _MOST_KEY_CHARS:
        raise _refuse(
            outcomes.Reason.KEY_INVALID,
            f"an Idempotency-Key has at most {_MOST_KEY_CHARS} characters",
        )
    if work.keys == "time-ordered":
        _check_age(text, view.policy.key_window_s)
    return claim_records.key_digest(account.name, text)


def _check_age(text: str, window_s: float) -> None:
    try:
        key = uuid_utils.UUID(text)
        if key.version != 7:
            raise ValueError("not version 7")
    except ValueError as error:
        raise _refuse(
            outcomes.Reason.KEY_INVALID,
            "this work needs an Idempotency-Key that is a UUID of version 7",
        ) from error
    age_s = time.time() - key.timestamp / _MS_PER_S
    if age_s < -_FUTURE_KEY_S:
        raise _refuse(outcomes.Reason.KEY_INVALID, "the key is from the future")
    if age_s > window_s:
        raise RefusedError(
            outcomes.may_have_run(
                outcomes.Reason.KEY_EXPIRED,
                f"the key is older than {window_s:.0f} s; what ran under it "
                "is not known any more",
            )
        )
