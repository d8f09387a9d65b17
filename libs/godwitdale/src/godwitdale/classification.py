"""Validates callers' requests and binds them to work and endpoints."""

import time
from typing import Any

import msgspec
import uuid_utils

from godwitdale import dispatch
from godwitdale_claims import records as claim_records
from godwitdale_declarations import objects
from godwitdale_declarations import selectors
from godwitdale_declarations import view as view_lib
from godwitdale_link import messages
from godwitdale_platform import endpoint_client
from godwitdale_routing import prefixes
from godwitdale_verdicts import decoding
from godwitdale_verdicts import outcomes

CHAT_PATH = "/v1/chat/completions"
_MAX_KEY_CHARS = 200
_MINUTES_PER_DAY = 1440
_SECONDS_PER_MINUTE = 60
_MS_PER_S = 1000
_MAX_KEY_CLOCK_SKEW_S = 60.0
_ACCOUNT_HEADER = "godwitdale-account"
_REMOVED_HEADERS = endpoint_client.HOP_BY_HOP_HEADERS | {
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


_chat_decoder = decoding.json_decoder(_Chat)


class RefusedError(Exception):
    """Raised to refuse a request.

    Attributes:
        refusal: Refusal to send to the caller.
    """

    def __init__(self, refusal: outcomes.Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


def refusal_error(
    reason: outcomes.Reason, detail: str, retry_after_s: float | None = None
) -> RefusedError:
    """Returns an error that refuses a request that did not run."""
    return RefusedError(outcomes.not_run(reason, detail, retry_after_s))


def classify(
    request: Any,
    trace_id: str,
    account: objects.Account,
    offered_per_admitted: float,
    view: view_lib.View,
) -> dispatch.AdmittedRequest:
    """Validates a request and binds it to a kind of work and a selector.

    Args:
        request: The ``twisted.web`` request.
        trace_id: Identifier of the request in logs.
        account: Client account of the request.
        offered_per_admitted: Number of requests that callers sent for each
            admitted one.
        view: The current declarations.

    Raises:
        RefusedError: The request cannot be served; it did not run.
    """
    body = request.content.read()
    path = request.path.decode("latin-1")
    model = None
    prefix_blocks: list[int] = []
    if path == CHAT_PATH:
        model, prefix_blocks = _read_chat(request, body, view)
    headers = _forwarded_headers(request)
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
        raise refusal_error(
            outcomes.Reason.NOT_FOUND,
            f"no selector binds {path}"
            + (f" with model {model}" if model else ""),
        )
    return dispatch.AdmittedRequest(
        trace_id=trace_id,
        account=account,
        offered_per_admitted=offered_per_admitted,
        work=work,
        selector=selector,
        key_digest=_key_digest(request, account, work, view),
        method=request.method.decode("latin-1"),
        path=request.uri.decode("latin-1"),
        headers=[*headers, (_ACCOUNT_HEADER, account.name)],
        body=body,
        prompt_tokens=len(body) // prefixes.BYTES_PER_TOKEN,
        prefix_blocks=prefix_blocks,
    )


def _read_chat(
    request: Any, body: bytes, view: view_lib.View
) -> tuple[str, list[int]]:
    if request.method != b"POST":
        raise refusal_error(outcomes.Reason.BAD_REQUEST, "use POST")
    try:
        chat = _chat_decoder.decode(body)
    except decoding.InvalidDataError as error:
        raise refusal_error(
            outcomes.Reason.BAD_REQUEST, f"the body is not a chat: {error}"
        ) from error
    if not chat.messages:
        raise refusal_error(outcomes.Reason.BAD_REQUEST, "messages is empty")
    prompt = msgspec.json.encode(chat.messages)
    if chat.model not in view.models:
        raise refusal_error(
            outcomes.Reason.NOT_FOUND, f"there is no model {chat.model!r}"
        )
    return chat.model, prefixes.hash_blocks(prompt)


def _forwarded_headers(request: Any) -> messages.Headers:
    connection_headers = {
        name.strip().lower()
        for name in (request.getHeader("connection") or "").split(",")
    }
    forwarded = []
    for raw_name, values in request.requestHeaders.getAllRawHeaders():
        name = raw_name.decode("latin-1").lower()
        if name not in _REMOVED_HEADERS and name not in connection_headers:
            forwarded += [(name, value.decode("latin-1")) for value in values]
    return forwarded


def _minute_of_day() -> int:
    return int(time.time() // _SECONDS_PER_MINUTE) % _MINUTES_PER_DAY


def _key_digest(
    request: Any,
    account: objects.Account,
    work: objects.Work,
    view: view_lib.View,
) -> str | None:
    """Returns the digest of a request's idempotency key, or None."""
    if work.repeatable or work.keys == "ignored":
        return None
    key_text = (request.getHeader("idempotency-key") or "").strip().strip('"')
    if not key_text:
        if work.keys == "optional":
            return None
        raise refusal_error(
            outcomes.Reason.KEY_INVALID,
            f"work of kind {work.name} needs an Idempotency-Key",
        )
    if len(key_text) > _MAX_KEY_CHARS:
        raise refusal_error(
            outcomes.Reason.KEY_INVALID,
            f"an Idempotency-Key has at most {_MAX_KEY_CHARS} characters",
        )
    if work.keys == "time-ordered":
        _check_key_age(key_text, view.policy.key_window_s)
    return claim_records.key_digest(account.name, key_text)


def _check_key_age(key_text: str, window_s: float) -> None:
    try:
        key = uuid_utils.UUID(key_text)
        if key.version != 7:
            raise ValueError("not version 7")
    except ValueError as error:
        raise refusal_error(
            outcomes.Reason.KEY_INVALID,
            "this work needs an Idempotency-Key that is a UUID of version 7",
        ) from error
    age_s = time.time() - key.timestamp / _MS_PER_S
    if age_s < -_MAX_KEY_CLOCK_SKEW_S:
        raise refusal_error(
            outcomes.Reason.KEY_INVALID, "the key is from the future"
        )
    if age_s > window_s:
        raise RefusedError(
            outcomes.may_have_run(
                outcomes.Reason.KEY_EXPIRED,
                f"the key is older than {window_s:.0f} s; what ran under it "
                "is not known any more",
            )
        )
