"""Admission of requests by configuration, API key and drain state."""

import random
from typing import Any

from godwitdale_gateway import dialect as dialect_lib
from godwitdale_gateway import placement
from godwitdale_gateway import refusals
from godwitdale_gateway import store_copies
from godwitdale_http import callers
from godwitdale_routing import routes
from godwitdale_routing import stop_budget as stop_budget_lib
from godwitdale_routing import wait_queue
from godwitdale_verdicts import outcomes


class Admission:
    """Decides whether a request is forwarded and to which service."""

    def __init__(
        self,
        configuration: store_copies.ConfigurationCopy,
        endpoints: store_copies.EndpointsCopy,
        stop_budget: stop_budget_lib.StopBudget,
        clock: Any,
        rng: random.Random,
    ) -> None:
        """Creates the admission check.

        Args:
            configuration: Copy of the configuration in force.
            endpoints: Copy of the list of endpoints.
            stop_budget: Time that is left once the entry stops.
            clock: A Twisted ``IReactorTime``.
            rng: Draws one of the services of a route.
        """
        self._configuration = configuration
        self._endpoints = endpoints
        self._stop_budget = stop_budget
        self._clock = clock
        self._rng = rng

    def admit(
        self,
        incoming: callers.IncomingRequest,
        headers: dialect_lib.RequestHeaders,
    ) -> placement.AdmittedRequest | outcomes.Refusal:
        """Returns the admitted request, or the refusal of the request.

        Args:
            incoming: The request as received.
            headers: The decoded headers of the request.
        """
        now_s = self._clock.seconds()
        configuration = self._configuration.current
        if configuration is None or not self._endpoints.is_complete:
            return _refuse_as_stale("no configuration has been read yet")
        freshness = self._configuration.freshness
        is_fresh = freshness.is_fresh(now_s)
        path = incoming.target.partition(b"?")[0].decode("latin-1")
        route = configuration.route_table.find(headers.host, path)
        if route is None:
            if not is_fresh:
                return _refuse_as_stale("the configuration may have changed")
            return outcomes.not_run(outcomes.Reason.NOT_FOUND, "no such route")
        account = None
        if configuration.accounts is not None and not route.is_public:
            if not is_fresh:
                return _refuse_as_stale("keys cannot be confirmed at present")
            account = configuration.accounts.get(headers.api_key or "")
            if account is None:
                return outcomes.not_run(
                    outcomes.Reason.UNAUTHENTICATED, "this key is not in force"
                )
        timeout_s = route.timeout_s
        if headers.time_left_s is not None:
            timeout_s = min(timeout_s, headers.time_left_s)
        deadline_s = incoming.received_s + timeout_s
        if not self._stop_budget.may_begin(route.is_stream, deadline_s, now_s):
            return refusals.refuse_for_stop()
        return placement.AdmittedRequest(
            incoming=incoming,
            headers=headers,
            params=scheduling_params(
                incoming.received_s, route, account, timeout_s
            ),
            route=route,
            service=route.pick_service(self._rng),
            account=account.name if account else None,
            deadline_s=deadline_s,
        )


def scheduling_params(
    received_s: float,
    route: routes.Route,
    account: routes.ClientAccount | None,
    timeout_s: float,
) -> wait_queue.SchedulingParams:
    """Returns the parameters with which a request is scheduled.

    Args:
        received_s: When the request was received.
        route: Its route.
        account: Its client account, or None.
        timeout_s: Time after which its caller needs no answer any more.
    """
    start_timeout_s = timeout_s
    if route.start_timeout_s is not None:
        start_timeout_s = min(timeout_s, route.start_timeout_s)
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    return wait_queue.SchedulingParams(
        priority=priority,
        objective_deadline_s=received_s + route.objective_s,
        start_deadline_s=received_s + start_timeout_s,
        route_priority=route.priority,
    )


def _refuse_as_stale(detail: str) -> outcomes.Refusal:
    return outcomes.not_run(
        outcomes.Reason.STALE,
        detail,
        retry_after_s=refusals.OTHER_ENTRY_RETRY_S,
    )
