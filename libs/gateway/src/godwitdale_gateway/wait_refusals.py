"""Refusals of requests that may not wait, and when their callers return."""

from collections.abc import Iterable
import dataclasses
import random

from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import statement_sharing as statement_sharing_lib
from godwitdale_verdicts import outcomes

# A request is refused at once if at the current iteration time its answer would
# take more than this many times the time left. A lower ratio does not prove
# that the answer comes too late, because slow ranks recover.
_MAX_DURATION_RATIO = 1.5
# Consecutive refusals double the retry delay at most this many times.
_MAX_RETRY_DOUBLINGS = 6
# Largest share of the time left that is used as a retry delay. Callers wait for
# at most a third of the time left. Including its random extra, the delay stays
# below that third, except that the shortest retry delay may be longer if less
# than 2 s are left. After a refusal because of the wait queue, the retry delay
# does not depend on the time left.
_RETRY_TIME_SHARE = 0.15
# Retry delay for a service without endpoints: about one interval in which the
# store learns of a new endpoint.
_NO_ENDPOINT_RETRY_S = 0.5
# Largest random extra of a retry delay, as a share of the delay. It spreads the
# retries, so that callers that were refused together do not all return at the
# same time.
_RETRY_JITTER = 1.0
# Shortest retry delay. It spans several iterations, in which some slots become
# free.
_MIN_RETRY_S = 0.3
# Callers wait at most for this share of their time left.
_MAX_CALLER_WAIT_SHARE = 1 / 3
# Booked returns come earlier by up to this share of the delay, at random.
_BOOKING_JITTER = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """The requests that wait for permits of a service.

    Attributes:
        waiting: Their number at all entries, as far as this entry knows.
        permit_interval_s: Mean time between two permits that become free.
        total_s: Mean time for which a request keeps a permit.
    """

    waiting: int
    permit_interval_s: float
    total_s: float

    @property
    def return_delay_s(self) -> float:
        """Time after which a refused caller finds the line shorter."""
        base_delay_s = max(_MIN_RETRY_S, self.total_s / 2)
        return base_delay_s + (self.waiting + 1) * self.permit_interval_s


class ReturnTimes:
    """Times at which refused callers of one service return, by priority.

    Each refusal books the next time at which a permit is left for its priority,
    so that returning callers do not compete with each other.
    """

    __slots__ = ("_booked_s",)

    def __init__(self) -> None:
        """Creates times without a booking."""
        self._booked_s: dict[int, float] = {}

    def book(
        self,
        priority: int,
        earliest_s: float,
        interval_s: float,
        latest_s: float,
    ) -> float:
        """Returns when a caller should return.

        Args:
            priority: Priority of its request.
            earliest_s: Earliest time.
            interval_s: Time between two permits that the priority gets from
                this entry; may be infinite.
            latest_s: Latest time to which the caller waits.
        """
        after_s = self._booked_s.get(priority, 0.0) + interval_s
        booked_s = min(latest_s, max(earliest_s, after_s))
        self._booked_s[priority] = booked_s
        return booked_s


class WaitRefusals:
    """Decides on refusals of requests that cannot start soon."""

    __slots__ = ("_statement_sharing", "_rng")

    def __init__(
        self,
        statement_sharing: statement_sharing_lib.StatementSharing,
        rng: random.Random,
    ) -> None:
        """Creates the decisions.

        Args:
            statement_sharing: Pauses of the endpoints.
            rng: Source of jitter.
        """
        self._statement_sharing = statement_sharing
        self._rng = rng

    def unavailable(
        self,
        records: Iterable[directory_lib.EndpointRecord],
        tried_endpoints: set[str],
        now_s: float,
    ) -> outcomes.Refusal | None:
        """Returns a refusal if no endpoint takes a request, else None.

        Args:
            records: Endpoints of the service.
            tried_endpoints: Ids of those that the request was sent to.
            now_s: The current time.
        """
        ids = [record.endpoint.id for record in records]
        if tried_endpoints.issuperset(ids):
            return outcomes.not_run(
                outcomes.Reason.NO_ENDPOINT,
                "no endpoint takes work",
                retry_after_s=self._with_jitter(_NO_ENDPOINT_RETRY_S),
            )
        pauses = self._statement_sharing.pauses
        pause_left_s = min(pauses.wait_s(each, now_s) for each in ids)
        if pause_left_s <= 0:
            return None
        return outcomes.not_run(
            outcomes.Reason.OVERLOADED,
            f"all endpoints ask for a pause, of {pause_left_s:.3f} s at least",
            retry_after_s=pause_left_s + self._with_jitter(_MIN_RETRY_S),
        )

    def too_long(
        self, total_s: float, left_s: float
    ) -> outcomes.Refusal | None:
        """Returns a refusal if an answer would end far too late, else None.

        Args:
            total_s: Expected time of the answer.
            left_s: Time left to the caller.
        """
        if total_s <= left_s * _MAX_DURATION_RATIO:
            return None
        return outcomes.not_run(
            outcomes.Reason.OVERLOADED,
            f"the answer would take {total_s:.1f} s, {left_s:.1f} s are left",
            retry_after_s=self._with_jitter(left_s * _RETRY_TIME_SHARE),
        )

    def queue_full(self, line: Line) -> outcomes.Refusal:
        """Returns the refusal of a request that has too many ahead of it."""
        return _queue_refusal(line, self._with_jitter(line.return_delay_s))

    def no_room(
        self,
        line: Line,
        returns: ReturnTimes,
        priority: int,
        own_interval_s: float,
        left_s: float,
        now_s: float,
    ) -> outcomes.Refusal:
        """Returns the refusal of a request that more urgent ones leave no room.

        Args:
            line: The waiting requests.
            returns: Times at which other callers return.
            priority: Priority of the request.
            own_interval_s: Mean time between two permits that the priority gets
                from this entry; may be infinite.
            left_s: Time left to the caller.
            now_s: The current time.
        """
        booked_s = returns.book(
            priority,
            now_s + line.return_delay_s,
            own_interval_s,
            now_s + left_s * _MAX_CALLER_WAIT_SHARE,
        )
        jitter = 1 - _BOOKING_JITTER * self._rng.random()
        delay_s = max(_MIN_RETRY_S, (booked_s - now_s) * jitter)
        return _queue_refusal(line, delay_s)

    def retry_delay_s(self, refusals: int, left_s: float) -> float:
        """Returns the retry delay for a request that an endpoint refused.

        Args:
            refusals: Consecutive refusals by endpoints before this one.
            left_s: How long the caller will still wait.
        """
        delay_s = _MIN_RETRY_S * 2 ** min(refusals, _MAX_RETRY_DOUBLINGS)
        max_delay_s = max(_MIN_RETRY_S, left_s * _RETRY_TIME_SHARE)
        return self._with_jitter(min(delay_s, max_delay_s))

    def _with_jitter(self, delay_s: float) -> float:
        return delay_s * (1 + _RETRY_JITTER * self._rng.random())


def _queue_refusal(line: Line, retry_after_s: float) -> outcomes.Refusal:
    return outcomes.not_run(
        outcomes.Reason.OVERLOADED,
        f"{line.waiting} requests wait, "
        f"a place takes {line.permit_interval_s:.3f} s",
        retry_after_s=retry_after_s,
    )
