"""The entry daemon: its composition root."""

import itertools
from typing import Any

from godwitdale import account_limits
from godwitdale import callers
from godwitdale import daemon
from godwitdale import dispatch
from godwitdale import endpoint_pool as endpoint_pool_lib
from godwitdale import settings as settings_lib
from godwitdale import tls
from godwitdale_observe import logs


class EntryDaemon(daemon.Daemon):
    """One entry: callers connect here."""

    ROLE = "entry"

    def __init__(self, own: settings_lib.EntrySettings, reactor: Any) -> None:
        """Wires the parts; nothing listens yet.

        Args:
            own: The settings.
            reactor: The Twisted reactor.
        """
        super().__init__(own, reactor, always_reads_log=True)
        self._own = own
        self._endpoint_pool = endpoint_pool_lib.EndpointPool(
            own,
            self.incarnation,
            self._feed,
            self._members,
            reactor,
            self._rng,
        )
        self._limits = account_limits.AccountLimits(
            reactor, self._members, self._endpoint_pool
        )
        self._tools = self._make_tools()
        bounds = callers.Bounds(
            own.most_body_bytes, own.most_backlog_bytes, own.most_buffered_bytes
        )
        self._api = callers.CallerApi(self._tools, self._limits, bounds)

    def protocol_factory(self) -> Any:
        """Returns what makes protocols for callers."""
        return self._api.site()

    def tls_context(self) -> Any | None:
        """Returns the TLS context that callers meet, or None."""
        if self._own.caller_tls is None:
            return None
        return tls.caller_context(self._own.caller_tls)

    def on_tick(self) -> None:
        """Keeps links, limits and the retry budget up to date."""
        self._tools.retry_budget.set_share(self._feed.view.policy.retry_share)
        self._endpoint_pool.open_links()
        self._limits.update_shares()

    def drain(self) -> None:
        """Refuses new work; what is in flight goes on."""
        self._api.is_draining = True

    def in_flight(self) -> int:
        """Returns the number of requests that have not ended."""
        return self._api.in_flight

    def abort_requests(self) -> None:
        """Ends requests in flight: closing the links gives true verdicts."""
        self._endpoint_pool.close()

    def close(self) -> None:
        """Closes sockets and tasks."""
        super().close()
        self._endpoint_pool.close()

    def is_ready(self) -> bool:
        """Tells whether new work is taken."""
        is_fresh = self._feed.is_initialized and not self._feed.is_stale
        return super().is_ready() and is_fresh

    def status(self) -> dict[str, Any]:
        """Returns what ``godwitdale status`` shows."""
        return {
            **super().status(),
            "links": self._endpoint_pool.describe_links(),
        }

    def _make_tools(self) -> dispatch.Dependencies:
        return dispatch.Dependencies(
            reactor=self._reactor,
            endpoint_pool=self._endpoint_pool,
            feed=self._feed,
            sequence=itertools.count(1),
            incarnation=self.incarnation,
            zone=self._own.zone,
            max_attempts=self._own.most_attempts,
            retry_budget=dispatch.new_retry_budget(),
            histograms=self._histograms,
            metrics=self._metrics,
            events=logs.EventLog(),
        )
