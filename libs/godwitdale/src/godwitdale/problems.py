"""Problem documents (RFC 9457) that contain a verdict."""

import math
from typing import Any

import msgspec

from godwitdale_verdicts import outcomes

CONTENT_TYPE = "application/problem+json"
VERDICT_HEADER = "Godwitdale-Verdict"
_PROBLEM_TYPE_PREFIX = "urn:godwitdale:problem:"


class ProblemDocument(msgspec.Struct, frozen=True):
    """Problem document that describes a refusal.

    Attributes:
        type: URN of the problem type, which names the reason.
        title: The reason in words.
        status: HTTP status.
        detail: Explanation for the caller.
        verdict: Whether the request may have run.
        request_id: Identifier of the request in logs.
    """

    type: str
    title: str
    status: int
    detail: str
    verdict: str
    request_id: str


def encode(refusal: outcomes.Refusal, trace_id: str) -> bytes:
    """Returns the JSON encoding of a refusal's problem document.

    Args:
        refusal: The refusal.
        trace_id: Identifier of the request in logs.
    """
    reason = refusal.reason.value
    return msgspec.json.encode(
        ProblemDocument(
            type=_PROBLEM_TYPE_PREFIX + reason,
            title=reason.replace("-", " "),
            status=refusal.status,
            detail=refusal.detail,
            verdict=refusal.verdict.value,
            request_id=trace_id,
        )
    )


def respond(request: Any, refusal: outcomes.Refusal, trace_id: str) -> None:
    """Sends a refusal as the whole response.

    Args:
        request: A ``twisted.web`` request whose response was not begun.
        refusal: The refusal.
        trace_id: Identifier of the request in logs.
    """
    body = encode(refusal, trace_id)
    request.setResponseCode(refusal.status)
    request.setHeader("Content-Type", CONTENT_TYPE)
    request.setHeader(VERDICT_HEADER, refusal.verdict.value)
    request.setHeader("Content-Length", str(len(body)))
    if refusal.status == 401:
        request.setHeader("WWW-Authenticate", "Bearer")
    if refusal.retry_after_s is not None:
        seconds = max(1, math.ceil(refusal.retry_after_s))
        request.setHeader("Retry-After", str(seconds))
    request.write(body)
    request.finish()
