"""Problem documents (RFC 9457) that carry a verdict."""

import math
from typing import Any

import msgspec

from godwitdale_verdicts import outcomes

CONTENT_TYPE = "application/problem+json"
VERDICT_HEADER = "Godwitdale-Verdict"
_TYPE_PREFIX = "urn:godwitdale:problem:"


class ProblemDocument(msgspec.Struct, frozen=True):
    """The document.

    Attributes:
        type: Names the reason.
        title: The reason in words.
        status: The HTTP status.
        detail: A sentence about this occurrence.
        verdict: Whether the request may have run.
        request_id: Names the request in logs.
    """

    type: str
    title: str
    status: int
    detail: str
    verdict: str
    request_id: str


def encode(refusal: outcomes.Refusal, trace: str) -> bytes:
    """Returns the document for a refusal, encoded.

    Args:
        refusal: The refusal.
        trace: Names the request in logs.
    """
    reason = refusal.reason.value
    return msgspec.json.encode(
        ProblemDocument(
            type=_TYPE_PREFIX + reason,
            title=reason.replace("-", " "),
            status=refusal.status,
            detail=refusal.detail,
            verdict=refusal.verdict.value,
            request_id=trace,
        )
    )


def respond(request: Any, refusal: outcomes.Refusal, trace: str) -> None:
    """Sends a refusal as the whole response.

    Args:
        request: A ``twisted.web`` request with nothing written yet.
        refusal: The refusal.
        trace: Names the request in logs.
    """
    body = encode(refusal, trace)
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
