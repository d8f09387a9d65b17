"""Waiting requests of one service, and the permits that they count on."""

from collections.abc import Collection
import dataclasses

from godwitdale_gateway import placement as placement_lib
from godwitdale_gateway import wait_refusals
from godwitdale_routing import peer_load
from godwitdale_routing import urgency_room
from godwitdale_routing import wait_queue
from godwitdale_verdicts import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class _Prospect:
    """What a request that waits can expect.

    Attributes:
        line: The requests before it.
        standing: The permits that it can count on.
        may_wait: Whether it gets one of them in time.
    """

    line: wait_refusals.Line
    standing: urgency_room.Standing
    may_wait: bool


class ServiceQueue:
    """Decides which requests of one service take a permit, wait or end.

    Attributes:
        waiting: The waiting requests of this entry.
    """

    __slots__ = (
        "waiting",
        "_service",
        "_times",
        "_peer_loads",
        "_refusals",
        "_room",
        "_returns",
        "_spare_capacity_s",
    )

    def __init__(
        self,
        service: str,
        times: wait_queue.ServiceTimes,
        peer_loads: peer_load.PeerLoads,
        refusals: wait_refusals.WaitRefusals,
    ) -> None:
        """Creates an empty queue for requests of one priority.

        Args:
            service: Name of the service.
            times: Times of the service.
            peer_loads: The load of the other entries.
            refusals: Decides on refusals.
        """
        self.waiting: wait_queue.WaitQueue[placement_lib.PendingRequest] = (
            wait_queue.WaitQueue()
        )
        self._service = service
        self._times = times
        self._peer_loads = peer_loads
        self._refusals = refusals
        self._room: urgency_room.UrgencyRoom | None = None
        self._returns = wait_refusals.ReturnTimes()
        # When more permits were last free than are reserved.
        self._spare_capacity_s = 0.0

    @property
    def has_priorities(self) -> bool:
        """Whether routes with different priorities lead to the service."""
        return self._room is not None

    def set_priorities(self, priorities: Collection[int]) -> None:
        """Applies the declared priorities of the requests."""
        if len(priorities) < 2:
            self._room = None
        elif self._room is None:
            self._room = urgency_room.UrgencyRoom()

    def on_arrival(
        self, request: placement_lib.PendingRequest, now_s: float
    ) -> wait_queue.SchedulingParams:
        """Returns the parameters with which a request competes.

        Args:
            request: The request; it counts as an arrival only if it was not
                sent to an endpoint yet.
            now_s: The current time.
        """
        params = request.placement.params
        if self._room is None:
            return params
        if not request.tried_endpoints:
            latest_s = wait_queue.latest_start_s(params, self._times)
            self._room.on_arrival(
                params.level,
                request.placement.account,
                latest_s - now_s,
                now_s,
            )
        account = request.placement.account
        crowding = self._room.crowding(params.level, account, now_s)
        return dataclasses.replace(
            params,
            priority=self._room.effective_priority(params.level),
            is_crowded=crowding > 1.0,
        )

    def on_assigned(
        self, placement: placement_lib.PlacementRequest, now_s: float
    ) -> None:
        """Records that a request got a permit."""
        if self._room is not None:
            self._room.on_served(
                placement.params.level, placement.account, now_s
            )

    def in_order(
        self, now_s: float
    ) -> list[tuple[wait_queue.Urgency, placement_lib.PendingRequest]]:
        """Returns the waiting requests, the most urgent first."""
        return self.waiting.sorted_by_urgency(self._times, now_s)

    def heads(self, now_s: float) -> list[wait_queue.Urgency]:
        """Returns the most urgent requests, as reported to other entries.

        Crowded requests are left out, because those of other entries do not
        wait behind them.
        """
        heads = [
            urgency
            for urgency, _ in self.in_order(now_s)
            if not urgency.is_crowded
        ]
        return heads[: peer_load.MAX_QUEUE_HEADS]

    def own_rates_per_s(self, now_s: float) -> dict[int, float]:
        """Returns the accepted arrivals per second at this entry."""
        return {} if self._room is None else self._room.own_rates_per_s(now_s)

    def may_take_permit(
        self,
        urgency: wait_queue.Urgency,
        free_permits: int,
        limit: float,
        now_s: float,
    ) -> bool:
        """Returns whether a request of this entry may take a free permit.

        Args:
            urgency: Its urgency.
            free_permits: Permits that are free, as far as this entry knows.
            limit: Concurrency limit of the service.
            now_s: The current time.
        """
        reserved = wait_queue.reserved_permits(limit)
        if free_permits > reserved:
            self._spare_capacity_s = now_s
        held_back = 0
        if self._room is not None and free_permits > 0:
            held_back = self._room.held_back(
                urgency,
                self._rates_per_s(now_s),
                limit,
                self._times.permit_interval_s(limit),
            )
        heads = self._peer_loads.queue_heads(self._service, now_s)
        return wait_queue.may_take_permit(
            urgency, heads, free_permits, reserved, held_back
        )

    def wait_refusal(
        self,
        request: placement_lib.PendingRequest,
        urgency: wait_queue.Urgency,
        limit: float,
        now_s: float,
    ) -> outcomes.Refusal | None:
        """Returns a refusal if a request cannot expect a permit, else None.

        Args:
            request: The request, which may already wait.
            urgency: Its urgency.
            limit: Concurrency limit of the service.
            now_s: The current time.
        """
        prospect = self._prospect(request, urgency, limit, now_s)
        if prospect.may_wait:
            return None
        placement = request.placement
        if self._room is not None:
            self._room.on_refused(placement.params.level, now_s)
        if not prospect.standing.is_contested:
            return self._refusals.queue_full(prospect.line)
        return self._refusals.no_room(
            prospect.line,
            self._returns,
            placement.params.level,
            prospect.standing.own_interval_s,
            placement.deadline_s - now_s,
            now_s,
        )

    def may_wait(
        self,
        request: placement_lib.PendingRequest,
        urgency: wait_queue.Urgency,
        limit: float,
        now_s: float,
    ) -> bool:
        """Returns whether a request can expect a permit; changes nothing.

        Args:
            request: The request.
            urgency: Its urgency.
            limit: Concurrency limit of the service.
            now_s: The current time.
        """
        return self._prospect(request, urgency, limit, now_s).may_wait

    def _prospect(
        self,
        request: placement_lib.PendingRequest,
        urgency: wait_queue.Urgency,
        limit: float,
        now_s: float,
    ) -> _Prospect:
        others = self._peer_loads.queue_heads(self._service, now_s)
        others += [
            each for each, other in self.in_order(now_s) if other is not request
        ]
        line = wait_refusals.Line(
            len(others),
            self._times.permit_interval_s(limit),
            self._times.total_s,
        )
        standing = self._standing(request.placement, urgency, line, now_s)
        may_wait = wait_queue.may_wait(
            urgency,
            others,
            standing.interval_s,
            now_s - self._spare_capacity_s,
            now_s,
        )
        return _Prospect(line, standing, may_wait)

    def _standing(
        self,
        placement: placement_lib.PlacementRequest,
        urgency: wait_queue.Urgency,
        line: wait_refusals.Line,
        now_s: float,
    ) -> urgency_room.Standing:
        interval_s = line.permit_interval_s
        if self._room is None:
            return urgency_room.Standing(False, interval_s, interval_s)
        return self._room.standing(
            placement.params.level,
            urgency,
            placement.account,
            self._rates_per_s(now_s),
            interval_s,
            now_s,
        )

    def _rates_per_s(self, now_s: float) -> dict[int, float]:
        """Returns the accepted arrivals per second at all entries."""
        return urgency_room.add_rates(
            self.own_rates_per_s(now_s),
            self._peer_loads.arrival_rates(self._service),
        )
