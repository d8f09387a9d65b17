"""Answers of our own, in place of an endpoint's."""

from godwitdale_http import callers
from godwitdale_http import headers as headers_lib
from godwitdale_verdicts import outcomes
from godwitdale_verdicts import verdict as verdict_lib

# When endpoints that could not be reached are worth another try.
UNREACHABLE_RETRY_S = 0.5
# When an entry that cannot confirm keys is worth another try elsewhere.
UNCONFIRMED_RETRY_S = 0.05

_SERVER_ERROR = 500
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_BAD_GATEWAY = 502


def http_status(refusal: outcomes.Refusal) -> int:
    """Returns a status that promises no more than the verdict allows.

    A 503 tells that the request has not run; 502 and 504 tell nothing.

    Args:
        refusal: What is known.
    """
    if refusal.status < _SERVER_ERROR:
        return refusal.status
    if refusal.verdict is verdict_lib.Verdict.NOT_RUN:
        return _UNAVAILABLE
    if refusal.reason is outcomes.Reason.DEADLINE:
        return _GATEWAY_TIMEOUT
    return _BAD_GATEWAY


def send_refusal(
    answer: callers.CallerChannel,
    refusal: outcomes.Refusal,
    headers: headers_lib.Headers,
    is_closing: bool = False,
) -> None:
    """Writes a refusal.

    Args:
        answer: Where it goes.
        refusal: What is refused, and why.
        headers: Headers of the platform.
        is_closing: Whether the caller should come back on a new connection.
    """
    own = [
        *headers,
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"godwitdale-verdict", refusal.verdict.value.encode()),
    ]
    if refusal.retry_after_s is not None:
        own.append((b"retry-after", b"%.3f" % refusal.retry_after_s))
    if is_closing:
        own.append((b"connection", b"close"))
    body = f"{refusal.reason.value}: {refusal.detail}\n".encode()
    answer.send_answer(http_status(refusal), own, body)
