"""Which requests an entry takes: configuration, keys, and its own stop."""

import random
from typing import Any

from godwitdale_gateway import dialect as dialect_lib
from godwitdale_gateway import forwarding
from godwitdale_gateway import refusals
from godwitdale_gateway import store_copies
from godwitdale_http import callers
from godwitdale_routing import routes
from godwitdale_routing import wait_queue
from godwitdale_verdicts import outcomes

# Streams that come later than this after the start of a drain could be cut by
# its end; their callers are better off at another entry.
_DRAIN_STREAMS_S = 2.5


class Admission:
    """Decides whether a request is forwarded, and where to.

    Attributes:
        drain_started_s: When this entry began to stop, or None.
    """

    def __init__(
        self,
        configuration: store_copies.ConfigurationCopy,
        endpoints: store_copies.EndpointsCopy,
        stop_s: float,
        clock: Any,
        rng: random.Random,
    ) -> None:
        """Prepares.

        Args:
            configuration: The configuration in force here.
            endpoints: The endpoints that are known.
            stop_s: Time from the request to stop until the process is killed.
            clock: A Twisted ``IReactorTime``.
            rng: Draws one of the services of a route.
        """
        self.drain_started_s: float | None = None
        self._configuration = configuration
        self._endpoints = endpoints
        self._stop_s = stop_s
        self._clock = clock
        self._rng = rng

    def admit(
        self,
        incoming: callers.IncomingRequest,
        headers: dialect_lib.RequestHeaders,
    ) -> forwarding.AdmittedRequest | outcomes.Refusal:
        """Returns what to forward, or why it is refused.

        Args:
            incoming: The request.
            headers: What its headers say.
        """
        now_s = self._clock.seconds()
        configuration = self._configuration.current
        if configuration is None or not self._endpoints.is_complete:
            return _unconfirmed("no configuration has been read yet")
        freshness = self._configuration.freshness
        is_fresh = freshness.is_fresh(now_s)
        path = incoming.target.partition(b"?")[0].decode("latin-1")
        route = configuration.route_table.find(headers.host, path)
        if route is None:
            if not is_fresh:
                return _unconfirmed("the configuration may have changed")
            return outcomes.not_run(outcomes.Reason.NOT_FOUND, "no such route")
        account = None
        if configuration.accounts is not None and not route.is_public:
            if not is_fresh:
                return _unconfirmed("keys cannot be confirmed at present")
            account = configuration.accounts.get(headers.api_key or "")
            if account is None:
                return outcomes.not_run(
                    outcomes.Reason.UNAUTHENTICATED, "this key is not in force"
                )
        if self._is_too_late(route):
            return outcomes.not_run(
                outcomes.Reason.DRAINING,
                "this entry is stopping",
                retry_after_s=refusals.UNCONFIRMED_RETRY_S,
            )
        limit_s = route.timeout_s
        if headers.time_left_s is not None:
            limit_s = min(limit_s, headers.time_left_s)
        return forwarding.AdmittedRequest(
            incoming=incoming,
            headers=headers,
            params=_ticket(incoming, route, account, limit_s),
            route=route,
            service=route.pick_service(self._rng),
            account=account.name if account else None,
            deadline_s=incoming.received_s + limit_s,
        )

    def _is_too_late(self, route: routes.Route) -> bool:
        if self.drain_started_s is None:
            return False
        since_s = self._clock.seconds() - self.drain_started_s
        if route.kind is routes.Kind.STREAM:
            return since_s > _DRAIN_STREAMS_S
        return since_s + route.timeout_s > self._stop_s


def _ticket(
    incoming: callers.IncomingRequest,
    route: routes.Route,
    account: routes.ClientAccount | None,
    limit_s: float,
) -> wait_queue.SchedulingParams:
    patience_s = limit_s
    if route.start_timeout_s is not None:
        patience_s = min(limit_s, route.start_timeout_s)
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    return wait_queue.SchedulingParams(
        priority=priority,
        objective_deadline_s=incoming.received_s + route.objective_s,
        start_deadline_s=incoming.received_s + patience_s,
    )


def _unconfirmed(detail: str) -> outcomes.Refusal:
    return outcomes.not_run(
        outcomes.Reason.STALE,
        detail,
        retry_after_s=refusals.UNCONFIRMED_RETRY_S,
    )
