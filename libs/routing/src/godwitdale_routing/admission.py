"""Early refusal of requests that cannot meet their deadline."""

import dataclasses

from godwitdale_routing import queueing
from godwitdale_verdicts import outcomes

_EWMA_WEIGHT = 0.1
_MIN_RETRY_AFTER_S = 0.1


class ServiceTime:
    """Moving average of the time that a request occupies a slot.

    Attributes:
        mean_s: The estimate.
    """

    __slots__ = ("mean_s",)

    def __init__(self, initial_s: float) -> None:
        self.mean_s = initial_s

    def observe(self, took_s: float) -> None:
        """Updates the estimate with the time of a finished request."""
        self.mean_s += _EWMA_WEIGHT * (took_s - self.mean_s)


@dataclasses.dataclass(frozen=True, slots=True)
class SlotUsage:
    """Slots of an endpoint and how many are in use.

    Attributes:
        running: Requests that the endpoint is running.
        total: Requests that the endpoint can run at once.
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
    """Estimates the time until a slot is free for a new request.

    Args:
        cost_ahead: Cost of the requests that start earlier, where 1.0 is the
            cost of a mean request.
        slots: Slots of the endpoint.
        service_s: Mean time that a request occupies a slot.
    """
    if cost_ahead < slots.free:
        return 0.0
    rounds = (cost_ahead - slots.free + 1) / max(1, slots.total)
    return rounds * service_s


def check_deadline(
    queue: queueing.FairQueue[queueing.Item],
    params: queueing.SchedulingParams,
    slots: SlotUsage,
    service_s: float,
    now_s: float,
) -> outcomes.Refusal | None:
    """Checks whether a request can wait and still meet its deadline.

    Args:
        queue: The queue of the endpoint.
        params: Scheduling parameters of the request, and of those in the
            queue: a cost of 1.0 has to be that of a mean request.
        slots: Slots of the endpoint.
        service_s: Mean time that a request occupies a slot.
        now_s: The current time, on the clock of the deadline.

    Returns:
        None if the request can wait, else a refusal. The refusal says when the
        caller should retry, unless the deadline has already passed.
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
        retry_after_s=max(_MIN_RETRY_AFTER_S, wait_s - left_s),
    )
