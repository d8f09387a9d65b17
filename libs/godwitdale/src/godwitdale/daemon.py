"""Base of the entry and agent daemons: wiring, tasks, status, shutdown."""

import random
from typing import Any

from godwitdale import admin
from godwitdale import feed as feed_lib
from godwitdale import membership as membership_lib
from godwitdale import settings as settings_lib
from godwitdale import tls
from godwitdale_observe import histograms
from godwitdale_observe import logs
from godwitdale_observe import metrics as metrics_lib
from godwitdale_platform import instances as instances_lib
from godwitdale_platform import log as log_lib
from godwitdale_process import lifecycle
from godwitdale_process import supervision
from godwitdale_verdicts import identifiers


class Daemon:
    """Base class of a daemon process.

    Create the daemon and call ``start``. Its life cycle drains and closes it.
    Subclasses create their own components and implement the methods that
    raise ``NotImplementedError`` here.

    Attributes:
        incarnation: Random identifier of this run of the process.
        lifecycle: State machine that stops the daemon. The signal handlers
            call its ``stop``.
        port: Port that callers or entries connect to; 0 before ``start``.
        admin_port: Port of the admin interface; 0 before ``start``.
    """

    ROLE = ""
    TICK_INTERVAL_S = 0.5
    MAX_ACCOUNT_HISTOGRAMS = 64

    def __init__(
        self,
        settings: settings_lib.EntrySettings | settings_lib.AgentSettings,
        reactor: Any,
        always_reads_log: bool,
    ) -> None:
        """Creates the common components without listening.

        Args:
            settings: Settings of the daemon.
            reactor: The Twisted reactor.
            always_reads_log: Whether to read the log even while peers keep
                the declarations fresh.
        """
        self.incarnation = identifiers.new_incarnation()
        self.port = 0
        self.admin_port = 0
        self._rng = random.Random()
        self._common_settings = settings
        self._reactor = reactor
        platform = settings.platform
        self._log = log_lib.HttpLog(
            platform.log_url, reactor, platform.timeout_s
        )
        self._feed = feed_lib.DeclarationFeed(
            self._log, reactor, self._rng, always_reads_log
        )
        self._membership = membership_lib.Membership(
            instances_lib.HttpInstanceList(
                platform.instances_url, reactor, platform.timeout_s
            ),
            reactor,
            self._rng,
            platform.poll_s,
        )
        self._histograms = histograms.Histograms(self.MAX_ACCOUNT_HISTOGRAMS)
        self._metrics = _connect_metrics(settings.statsd)
        self._admin = admin.AdminApi(self.is_ready, self.status)
        self.lifecycle = lifecycle.LifeCycle(
            self, reactor, settings.drain_limit_s, reactor.stop
        )
        self._supervisor = supervision.Supervisor(
            reactor, self._rng, logs.EventLog()
        )
        self._listening_ports: list[Any] = []

    def start(self) -> None:
        """Listens on the ports and starts the background tasks."""
        settings = self._common_settings
        main_port = tls.listen(
            self._reactor,
            settings.listen,
            self.protocol_factory(),
            self.tls_context(),
        )
        admin_port = tls.listen(
            self._reactor, settings.admin, self._admin.site(), None
        )
        self._listening_ports = [main_port, admin_port]
        self.port = main_port.getHost().port
        self.admin_port = admin_port.getHost().port
        self._supervisor.run("follow declarations", self._feed.run)
        self._supervisor.run("follow instances", self._membership.run)
        self._supervisor.call_every(
            "periodic work", self.TICK_INTERVAL_S, self._run_periodic_work
        )

    def close(self) -> None:
        """Closes the sockets and stops the background tasks."""
        self._supervisor.stop()
        self._feed.stop()
        self._membership.stop()
        for port in self._listening_ports:
            port.stopListening()

    def protocol_factory(self) -> Any:
        """Returns the protocol factory of the main port."""
        raise NotImplementedError

    def tls_context(self) -> Any | None:
        """Returns the TLS context factory of the main port, or None."""
        raise NotImplementedError

    def on_tick(self) -> None:
        """Runs periodic work, every ``TICK_INTERVAL_S`` seconds."""
        raise NotImplementedError

    def drain(self) -> None:
        """Refuses new requests. Requests in flight continue."""
        raise NotImplementedError

    def in_flight(self) -> int:
        """Returns the number of requests that have not ended."""
        raise NotImplementedError

    def abort_requests(self) -> None:
        """Ends all requests in flight, each with a truthful verdict."""
        raise NotImplementedError

    def is_ready(self) -> bool:
        """Returns whether the daemon accepts new requests."""
        return self.lifecycle.state == "ready"

    def status(self) -> dict[str, Any]:
        """Returns the status document that ``godwitdale status`` shows."""
        return {
            "instance": self._common_settings.name,
            "role": self.ROLE,
            "zone": self._common_settings.zone,
            "incarnation": self.incarnation,
            "state": self.lifecycle.state,
            "in_flight": self.in_flight(),
            "declarations": {
                "next_offset": self._feed.position().next_offset,
                "age_s": round(self._feed.age_s, 3),
                "objects": len(self._feed.fold.state.objects),
            },
            "histograms": self._histograms.summaries(),
        }

    def _run_periodic_work(self) -> None:
        if self._feed.is_initialized:
            self.lifecycle.mark_ready()
        self._histograms.flush()
        self.on_tick()


def _connect_metrics(statsd: settings_lib.Statsd | None) -> metrics_lib.Metrics:
    if statsd is None:
        return metrics_lib.NullMetrics()
    return metrics_lib.connect(statsd.host, statsd.port, statsd.prefix)
