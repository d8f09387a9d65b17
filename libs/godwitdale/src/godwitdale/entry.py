"""The entry daemon, which creates and connects its components."""

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
    """An entry, which accepts requests of callers and sends them to agents."""

    ROLE = "entry"

    def __init__(
        self, settings: settings_lib.EntrySettings, reactor: Any
    ) -> None:
        """Creates the components without listening.

        Args:
            settings: Settings of the entry.
            reactor: The Twisted reactor.
        """
        super().__init__(settings, reactor, always_reads_log=True)
        self._settings = settings
        self._endpoint_pool = endpoint_pool_lib.EndpointPool(
            settings,
            self.incarnation,
            self._feed,
            self._membership,
            reactor,
            self._rng,
        )
        self._account_limits = account_limits.AccountLimits(
            reactor, self._membership, self._endpoint_pool
        )
        self._dependencies = self._create_dependencies()
        size_limits = callers.SizeLimits(
            settings.most_body_bytes,
            settings.most_backlog_bytes,
            settings.most_buffered_bytes,
        )
        self._caller_api = callers.CallerApi(
            self._dependencies, self._account_limits, size_limits
        )

    def protocol_factory(self) -> Any:
        """Returns the protocol factory for callers."""
        return self._caller_api.site()

    def tls_context(self) -> Any | None:
        """Returns the TLS context factory for callers, or None."""
        if self._settings.caller_tls is None:
            return None
        return tls.caller_context(self._settings.caller_tls)

    def on_tick(self) -> None:
        """Updates links, account limits and the retry budget."""
        self._dependencies.retry_budget.set_share(
            self._feed.view.policy.retry_share
        )
        self._endpoint_pool.open_links()
        self._account_limits.update_shares()

    def drain(self) -> None:
        """Refuses new requests. Requests in flight continue."""
        self._caller_api.is_draining = True

    def in_flight(self) -> int:
        """Returns the number of requests that have not ended."""
        return self._caller_api.in_flight

    def abort_requests(self) -> None:
        """Ends all requests in flight.

        Closing the links gives each request a truthful verdict.
        """
        self._endpoint_pool.close()

    def close(self) -> None:
        """Closes the sockets and links and stops the background tasks."""
        super().close()
        self._endpoint_pool.close()

    def is_ready(self) -> bool:
        """Returns whether the entry accepts new requests.

        An entry with stale declarations is not ready.
        """
        is_fresh = self._feed.is_initialized and not self._feed.is_stale
        return super().is_ready() and is_fresh

    def status(self) -> dict[str, Any]:
        """Returns the status document that ``godwitdale status`` shows."""
        return {
            **super().status(),
            "links": self._endpoint_pool.describe_links(),
        }

    def _create_dependencies(self) -> dispatch.Dependencies:
        return dispatch.Dependencies(
            reactor=self._reactor,
            endpoint_pool=self._endpoint_pool,
            feed=self._feed,
            sequence=itertools.count(1),
            incarnation=self.incarnation,
            zone=self._settings.zone,
            max_attempts=self._settings.most_attempts,
            retry_budget=dispatch.new_retry_budget(),
            histograms=self._histograms,
            metrics=self._metrics,
            events=logs.EventLog(),
        )
