"""Outcomes of requests that did not get the requested answer."""

import dataclasses
import enum

from godwitdale_verdicts import verdict as verdict_lib


class Reason(enum.Enum):
    """Why a request was refused or failed.

    Each value is the last part of the problem type that a caller sees.
    """

    BAD_REQUEST = "bad-request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not-found"
    TOO_LARGE = "too-large"
    KEY_REUSED = "idempotency-key-reused"
    KEY_INVALID = "idempotency-key-invalid"
    KEY_EXPIRED = "idempotency-key-expired"
    KEY_IN_USE = "idempotency-key-in-use"
    RATE_LIMITED = "rate-limited"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    DRAINING = "draining"
    STALE = "stale-declarations"
    LOG_UNAVAILABLE = "log-unavailable"
    NO_ENDPOINT = "no-endpoint"
    REVOKED = "revoked"
    ENDPOINT_LOST = "endpoint-lost"
    ENDPOINT_FAILED = "endpoint-failed"
    ANSWER_LOST = "answer-lost"
    CANCELLED = "cancelled"
    QUARANTINED = "quarantined"


_STATUS: dict[Reason, int] = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.NOT_FOUND: 404,
    Reason.TOO_LARGE: 413,
    Reason.KEY_REUSED: 422,
    Reason.KEY_INVALID: 400,
    Reason.KEY_EXPIRED: 410,
    Reason.KEY_IN_USE: 409,
    Reason.RATE_LIMITED: 429,
    Reason.OVERLOADED: 503,
    Reason.DEADLINE: 504,
    Reason.DRAINING: 503,
    Reason.STALE: 503,
    Reason.LOG_UNAVAILABLE: 503,
    Reason.NO_ENDPOINT: 503,
    Reason.REVOKED: 503,
    Reason.ENDPOINT_LOST: 502,
    Reason.ENDPOINT_FAILED: 502,
    Reason.ANSWER_LOST: 502,
    Reason.CANCELLED: 499,
    Reason.QUARANTINED: 503,
}

# Reasons that concern only the endpoint or the instance that refused, so that
# another endpoint may accept the same request.
_ENDPOINT_REASONS = frozenset(
    {
        Reason.OVERLOADED,
        Reason.DRAINING,
        Reason.STALE,
        Reason.REVOKED,
        Reason.ENDPOINT_LOST,
        Reason.ENDPOINT_FAILED,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The result of a request that ended without the requested answer.

    Attributes:
        reason: Why the request was refused or failed.
        detail: Explanation for the caller.
        verdict: Whether the request may have run.
        retry_after_s: Time after which the caller should retry, or None.
    """

    reason: Reason
    detail: str
    verdict: verdict_lib.Verdict
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """The HTTP status for the reason."""
        return _STATUS[self.reason]

    @property
    def may_succeed_elsewhere(self) -> bool:
        """Whether another endpoint may accept the same request."""
        return self.reason in _ENDPOINT_REASONS


def not_run(
    reason: Reason, detail: str, retry_after_s: float | None = None
) -> Refusal:
    """Returns a refusal of a request that did not run."""
    return Refusal(reason, detail, verdict_lib.Verdict.NOT_RUN, retry_after_s)


def may_have_run(reason: Reason, detail: str) -> Refusal:
    """Returns a refusal of a request that may have run."""
    return Refusal(reason, detail, verdict_lib.Verdict.MAY_HAVE_RUN)


def ran(reason: Reason, detail: str) -> Refusal:
    """Returns a refusal of a request that ran but whose answer is lost."""
    return Refusal(reason, detail, verdict_lib.Verdict.RAN)
