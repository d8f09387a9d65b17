"""Decides how to continue after a failed attempt at a request."""

import dataclasses
import enum

from godwitdale_routing import retries
from godwitdale_verdicts import outcomes
from godwitdale_verdicts import verdict as verdict_lib


class HasIdempotencyKey(enum.Enum):
    """Whether a request has an idempotency key.

    An agent claims the key in the platform's append-only log before it runs the
    request. The claim keeps the request from running twice.
    """

    YES = "yes"
    NO = "no"


@dataclasses.dataclass(frozen=True, slots=True)
class FailureContext:
    """Facts about a request whose last attempt failed.

    Attributes:
        is_repeatable: Whether it is harmless to run the request twice.
        has_idempotency_key: Whether the request has an idempotency key.
        has_answer_begun: Whether the caller has received part of an answer that
            another attempt cannot continue.
        earlier_may_have_run: Whether an earlier attempt may have run.
        attempts: Attempts made so far.
        max_attempts: Largest number of attempts.
        time_left_s: Time to the caller's deadline.
    """

    is_repeatable: bool
    has_idempotency_key: HasIdempotencyKey
    has_answer_begun: bool
    earlier_may_have_run: bool
    attempts: int
    max_attempts: int
    time_left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Send the request to another endpoint."""


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Return a refusal to the caller.

    Attributes:
        refusal: The refusal.
    """

    refusal: outcomes.Refusal


NextStep = Retry | GiveUp


def is_safe_to_repeat(
    refusal: outcomes.Refusal, context: FailureContext
) -> bool:
    """Returns whether another attempt is harmless.

    No attempt is harmless once an answer has begun. Before that, the verdict of
    the refusal decides, which tells whether the request may have run. A request
    that did not run can be retried, and one that ran cannot. A request that may
    have run can be retried if it is repeatable, or if it has an idempotency
    key: if it did run, the next agent finds the key already claimed and does
    not run the request.

    Args:
        refusal: Result of the last attempt.
        context: Facts about the request.
    """
    if context.has_answer_begun:
        return False
    if refusal.verdict is verdict_lib.Verdict.NOT_RUN:
        return True
    if refusal.verdict is verdict_lib.Verdict.RAN:
        return False
    return (
        context.is_repeatable
        or context.has_idempotency_key is HasIdempotencyKey.YES
    )


def decide_after_failure(
    refusal: outcomes.Refusal,
    context: FailureContext,
    budget: retries.RetryBudget,
) -> NextStep:
    """Decides whether to retry a request or to refuse it.

    Args:
        refusal: Result of the last attempt.
        context: Facts about the request.
        budget: Retry budget that applies to the request. Each retry takes one
            token from it.
    """
    may_retry = (
        refusal.may_succeed_elsewhere
        and is_safe_to_repeat(refusal, context)
        and context.attempts < context.max_attempts
        and context.time_left_s > 0
    )
    if may_retry and budget.try_take():
        return Retry()
    return GiveUp(
        include_earlier_attempts(refusal, context.earlier_may_have_run)
    )


def include_earlier_attempts(
    refusal: outcomes.Refusal, earlier_may_have_run: bool
) -> outcomes.Refusal:
    """Returns a refusal whose verdict covers all attempts at a request.

    A verdict tells whether the request was run. The verdict of the last attempt
    says nothing about earlier attempts. Therefore ``not-run`` becomes
    ``may-have-run`` if one of them may have run.

    Args:
        refusal: Result of the last attempt.
        earlier_may_have_run: Whether an earlier attempt may have run.
    """
    is_not_run = refusal.verdict is verdict_lib.Verdict.NOT_RUN
    if not (is_not_run and earlier_may_have_run):
        return refusal
    return dataclasses.replace(
        refusal, verdict=verdict_lib.Verdict.MAY_HAVE_RUN
    )
