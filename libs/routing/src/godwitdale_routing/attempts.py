"""What to do when an attempt at a request has ended without an answer."""

import dataclasses
import enum

from godwitdale_routing import retries
from godwitdale_verdicts import outcomes
from godwitdale_verdicts import verdict as verdict_lib


class Keyed(enum.Enum):
    """Whether claims in the log guard the request against a second run."""

    YES = "yes"
    NO = "no"


@dataclasses.dataclass(frozen=True, slots=True)
class FailureContext:
    """What is known when an attempt has failed.

    Attributes:
        is_repeatable: Whether a second run does no harm.
        keyed: Whether claims guard the request.
        has_answer_begun: Whether the caller has seen part of an answer.
        earlier_may_have_run: Whether an earlier attempt may have run.
        attempts: Attempts made so far.
        max_attempts: Attempts that may be made.
        time_left_s: Time to the caller's deadline.
    """

    is_repeatable: bool
    keyed: Keyed
    has_answer_begun: bool
    earlier_may_have_run: bool
    attempts: int
    max_attempts: int
    time_left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Hand the request to another endpoint."""


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Tell the caller.

    Attributes:
        refusal: What to say.
    """

    refusal: outcomes.Refusal


NextStep = Retry | GiveUp


def is_safe_to_repeat(
    refusal: outcomes.Refusal, situation: FailureContext
) -> bool:
    """Tells whether another attempt can do no harm.

    Work that did not run may always be tried again. Work that may have run
    may be tried again where it is repeatable, and also where it carries a
    key: the next agent's claim loses to the one that may have run.

    Args:
        refusal: How the last attempt ended.
        situation: What is known of the request.
    """
    if situation.has_answer_begun:
        return False
    if refusal.verdict is verdict_lib.Verdict.NOT_RUN:
        return True
    if refusal.verdict is verdict_lib.Verdict.RAN:
        return False
    return situation.is_repeatable or situation.keyed is Keyed.YES


def decide_after_failure(
    refusal: outcomes.Refusal,
    situation: FailureContext,
    budget: retries.RetryBudget,
) -> NextStep:
    """Decides between another attempt and an answer to the caller.

    Args:
        refusal: How the last attempt ended.
        situation: What is known of the request.
        budget: Retry budget of the entry; it pays for every new attempt.
    """
    may_retry = (
        refusal.may_succeed_elsewhere
        and is_safe_to_repeat(refusal, situation)
        and situation.attempts < situation.max_attempts
        and situation.time_left_s > 0
    )
    if may_retry and budget.try_take():
        return Retry()
    return GiveUp(
        include_earlier_attempts(refusal, situation.earlier_may_have_run)
    )


def include_earlier_attempts(
    refusal: outcomes.Refusal, earlier_may_have_run: bool
) -> outcomes.Refusal:
    """Keeps an earlier doubt: the last attempt speaks only for itself.

    Args:
        refusal: How the last attempt ended.
        earlier_may_have_run: Whether an earlier attempt may have run.
    """
    is_not_run = refusal.verdict is verdict_lib.Verdict.NOT_RUN
    if not (is_not_run and earlier_may_have_run):
        return refusal
    return dataclasses.replace(
        refusal, verdict=verdict_lib.Verdict.MAY_HAVE_RUN
    )
