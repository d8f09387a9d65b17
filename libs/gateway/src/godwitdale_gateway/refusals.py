"""Error responses that the gateway itself sends for refused requests."""

from godwitdale_http import callers
from godwitdale_http import headers as headers_lib
from godwitdale_verdicts import outcomes
from godwitdale_verdicts import verdict as verdict_lib

# Retry-After of a request whose endpoints could not be connected to.
UNREACHABLE_RETRY_S = 0.5
# Retry-After of a request that was refused because this entry has no confirmed
# configuration at present or is stopping; the caller should retry at another
# entry.
OTHER_ENTRY_RETRY_S = 0.05

_SERVER_ERROR = 500
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_BAD_GATEWAY = 502


def http_status(refusal: outcomes.Refusal) -> int:
    """Returns the HTTP status of a refusal.

    The status implies no more than the verdict allows: a 503 says that the
    request has not run, while 502 and 504 leave open whether it has run.

    Args:
        refusal: The refusal.
    """
    if refusal.status < _SERVER_ERROR:
        return refusal.status
    if refusal.verdict is verdict_lib.Verdict.NOT_RUN:
        return _UNAVAILABLE
    if refusal.reason is outcomes.Reason.DEADLINE:
        return _GATEWAY_TIMEOUT
    return _BAD_GATEWAY


def refuse_for_stop() -> outcomes.Refusal:
    """Returns the refusal of a request that a stopping entry does not begin."""
    return outcomes.not_run(
        outcomes.Reason.DRAINING,
        "this entry is stopping",
        retry_after_s=OTHER_ENTRY_RETRY_S,
    )


def send_refusal(
    channel: callers.CallerChannel,
    refusal: outcomes.Refusal,
    headers: headers_lib.Headers,
    is_closing: bool = False,
) -> None:
    """Answers a request with a refusal.

    Args:
        channel: The caller's connection.
        refusal: Verdict, reason and detail of the refusal.
        headers: Headers that the platform's dialect requires on refusals.
        is_closing: Whether the connection is closed after the answer, so that
            the caller retries on a new connection.
    """
    response_headers = [
        *headers,
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"godwitdale-verdict", refusal.verdict.value.encode()),
    ]
    if refusal.retry_after_s is not None:
        response_headers.append(
            (b"retry-after", b"%.3f" % refusal.retry_after_s)
        )
    if is_closing:
        response_headers.append((b"connection", b"close"))
    body = f"{refusal.reason.value}: {refusal.detail}\n".encode()
    channel.send_answer(http_status(refusal), response_headers, body)
