"""Refusing early what cannot meet its deadline."""

import dataclasses

from godwitdale_routing import queueing
from godwitdale_verdicts import outcomes

_EWMA_WEIGHT = 0.1
_LEAST_RETRY_AFTER_S = 0.1


class ServiceTime:
    """Smoothed time that a request occupies a slot of the endpoint.

    Attributes:
        mean_s: The estimate.
    """

    __slots__ = ("mean_s",)

    def __init__(self, initial_s: float) -> None:
        self.mean_s = initial_s

    def observe(self, took_s: float) -> None:
        """Takes one finished request into account."""
        self.mean_s += _EWMA_WEIGHT * (took_s - self.mean_s)


@dataclasses.dataclass(frozen=True, slots=True)
class SlotUsage:
    """How full the endpoint is.

    Attributes:
        running: Requests in the endpoint.
        total: Requests that it takes at once.
    """

    running: int
    total: int

    @property
    def free(self) -> int:
        """Slots that are not in use."""
        return max(0, self.total - self.running)


def predict_wait_s(
    cost_ahead: float, slots: SlotUsage, service_s: float
) -> float:
    """Estimates the time until a slot is free behind the cost ahead.

    Args:
        cost_ahead: Requests that go first.
        slots: How full the endpoint is.
        service_s: Time that one request occupies a slot.
    """
    if cost_ahead < slots.free:
        return 0.0
    turns = (cost_ahead - slots.free + 1) / max(1, slots.total)
    return turns * service_s


def check_deadline(
    queue: queueing.FairQueue[queueing.Item],
    params: queueing.SchedulingParams,
    slots: SlotUsage,
    service_s: float,
    now_s: float,
) -> outcomes.Refusal | None:
    """Tells whether a request may wait, or why not.

    Args:
        queue: The queue of the endpoint.
        params: The request.
        slots: How full the endpoint is.
        service_s: Time that one request occupies a slot.
        now_s: The current time on the clock of the deadline.

    Returns:
        None, or the refusal, which says when it is worth asking again.
    """
    left_s = params.deadline_at_s - now_s
    if left_s <= 0:
        return outcomes.not_run(
            outcomes.Reason.DEADLINE, "the deadline had passed on arrival"
        )
    wait_s = predict_wait_s(queue.cost_ahead_of(params), slots, service_s)
    if wait_s <= left_s:
        return None
    return outcomes.not_run(
        outcomes.Reason.OVERLOADED,
        f"the queue takes {wait_s:.1f} s, the deadline leaves {left_s:.1f} s",
        retry_after_s=max(_LEAST_RETRY_AFTER_S, wait_s - left_s),
    )
