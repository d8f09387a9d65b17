"""What entries and agents have in common: wiring, tasks, status, stops."""

import random
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from godwitdale import admin
from godwitdale import feed as feed_lib
from godwitdale import membership as membership_lib
from godwitdale import settings as settings_lib
from godwitdale import tls
from godwitdale_observe import histograms
from godwitdale_observe import metrics as metrics_lib
from godwitdale_platform import instances as instances_lib
from godwitdale_platform import log as log_lib
from godwitdale_process import lifecycle
from godwitdale_verdicts import identifiers


class Daemon:
    """One process of the system, a service of its life cycle.

    Construct it, ``start`` it, and let the life cycle stop it. Subclasses wire
    what is theirs and implement the methods that raise here.

    Attributes:
        incarnation: Random name of this life of the process.
        lifecycle: The life cycle; signals call its ``stop``.
        port: The main port, once started.
        admin_port: The admin port, once started.
    """

    ROLE = ""
    TICK_S = 0.5
    MAX_ACCOUNT_HISTOGRAMS = 64

    def __init__(
        self,
        own: settings_lib.EntrySettings | settings_lib.AgentSettings,
        reactor: Any,
        always_reads_log: bool,
    ) -> None:
        """Wires the common parts; nothing listens yet.

        Args:
            own: The settings.
            reactor: The Twisted reactor.
            always_reads_log: Whether the log is read also while peers keep the
                declarations fresh.
        """
        self.incarnation = identifiers.new_incarnation()
        self.port = 0
        self.admin_port = 0
        self._rng = random.Random()
        self._common = own
        self._reactor = reactor
        platform = own.platform
        self._log = log_lib.HttpLog(
            platform.log_url, reactor, platform.timeout_s
        )
        self._feed = feed_lib.DeclarationFeed(
            self._log, reactor, self._rng, always_reads_log
        )
        self._members = membership_lib.Membership(
            instances_lib.HttpInstanceList(
                platform.instances_url, platform.timeout_s
            ),
            reactor,
            self._rng,
            platform.poll_s,
        )
        self._histograms = histograms.Histograms(self.MAX_ACCOUNT_HISTOGRAMS)
        self._metrics = _metrics_of(own.statsd)
        self._admin = admin.AdminApi(self.is_ready, self.status)
        self.lifecycle = lifecycle.LifeCycle(
            self, reactor, own.drain_limit_s, reactor.stop
        )
        self._ticker = task.LoopingCall(self._tick)
        self._ticker.clock = reactor
        self._listening: list[Any] = []

    def start(self) -> None:
        """Listens and starts the tasks."""
        own = self._common
        main_port = tls.listen(
            self._reactor,
            own.listen,
            self.protocol_factory(),
            self.tls_context(),
        )
        admin_port = tls.listen(
            self._reactor, own.admin, self._admin.site(), None
        )
        self._listening = [main_port, admin_port]
        self.port = main_port.getHost().port
        self.admin_port = admin_port.getHost().port
        defer.ensureDeferred(self._feed.run())
        defer.ensureDeferred(self._members.run())
        self._ticker.start(self.TICK_S)

    def close(self) -> None:
        """Closes sockets and tasks."""
        self._ticker.stop()
        self._feed.stop()
        self._members.stop()
        for port in self._listening:
            port.stopListening()

    def protocol_factory(self) -> Any:
        """Returns what makes protocols on the main port."""
        raise NotImplementedError

    def tls_context(self) -> Any | None:
        """Returns the TLS context of the main port, or None."""
        raise NotImplementedError

    def on_tick(self) -> None:
        """Does what has to be done regularly."""
        raise NotImplementedError

    def drain(self) -> None:
        """Refuses new work; what is in flight goes on."""
        raise NotImplementedError

    def in_flight(self) -> int:
        """Returns the number of requests that have not ended."""
        raise NotImplementedError

    def abort_requests(self) -> None:
        """Ends requests in flight with truthful verdicts."""
        raise NotImplementedError

    def is_ready(self) -> bool:
        """Tells whether new work is taken."""
        return self.lifecycle.state == "ready"

    def status(self) -> dict[str, Any]:
        """Returns what ``godwitdale status`` shows."""
        return {
            "instance": self._common.name,
            "role": self.ROLE,
            "zone": self._common.zone,
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

    def _tick(self) -> None:
        if self._feed.is_initialized:
            self.lifecycle.mark_ready()
        self._histograms.flush()
        self.on_tick()


def _metrics_of(statsd: settings_lib.Statsd | None) -> metrics_lib.Metrics:
    if statsd is None:
        return metrics_lib.NullMetrics()
    return metrics_lib.connect(statsd.host, statsd.port, statsd.prefix)
