"""The entry daemon: its composition root and its tasks."""

import itertools
import random
from typing import Any

from godwitdale_observe import histograms
from godwitdale_observe import logs
from godwitdale_observe import metrics as metrics_lib
from godwitdale_platform import instances as instances_lib
from godwitdale_platform import log as log_lib
from godwitdale_verdicts import identifiers
from twisted.internet import defer
from twisted.internet import task

from godwitdale import admin
from godwitdale import callers
from godwitdale import dispatch
from godwitdale import feed as feed_lib
from godwitdale import fleet as fleet_lib
from godwitdale import lifecycle
from godwitdale import limiting
from godwitdale import membership as membership_lib
from godwitdale import settings as settings_lib
from godwitdale import tls

_MOST_ACCOUNT_HISTOGRAMS = 64
_TICK_S = 0.5


class EntryDaemon:
    """One entry. Construct it, ``start`` it, let its life cycle stop it.

    Attributes:
        incarnation: Random name of this life of the process.
        life: The life cycle; signals call its ``stop``.
        port: The callers' port, once started.
        admin_port: The admin port, once started.
    """

    def __init__(self, own: settings_lib.Entry, reactor: Any) -> None:
        """Wires the parts; nothing listens yet.

        Args:
            own: The settings.
            reactor: The Twisted reactor.
        """
        rng = random.Random()
        self.incarnation = identifiers.new_incarnation()
        self._own = own
        self._reactor = reactor
        platform = own.platform
        log = log_lib.HttpLog(platform.log_url, reactor, platform.timeout_s)
        source = instances_lib.HttpInstanceList(
            platform.instances_url, platform.timeout_s
        )
        self._feed = feed_lib.DeclarationFeed(
            log, reactor, rng, reads_always=True
        )
        self._members = membership_lib.Membership(
            source, reactor, rng, platform.poll_s
        )
        self._fleet = fleet_lib.Fleet(
            own, self.incarnation, self._feed, self._members, reactor, rng
        )
        self._limits = limiting.AccountLimits(
            reactor, self._members, self._fleet
        )
        self._histograms = histograms.Histograms(_MOST_ACCOUNT_HISTOGRAMS)
        self._tools = self._make_tools()
        self._api = callers.CallerApi(
            self._tools,
            self._limits,
            callers.Bounds(
                own.most_body_bytes,
                own.most_backlog_bytes,
                own.most_buffered_bytes,
            ),
        )
        self._admin = admin.AdminApi(self._is_ready, self.status)
        self.life = lifecycle.LifeCycle(
            self, reactor, own.drain_limit_s, reactor.stop
        )
        self._ticker = task.LoopingCall(self._tick)
        self._ticker.clock = reactor
        self._listening: list[Any] = []
        self.port = 0
        self.admin_port = 0

    def start(self) -> None:
        """Listens and starts the tasks."""
        own = self._own
        context = tls.caller_context(own.caller_tls) if own.caller_tls else None
        callers_port = tls.listen(
            self._reactor, own.listen, self._api.site(), context
        )
        admin_port = tls.listen(
            self._reactor, own.admin, self._admin.site(), None
        )
        self._listening = [callers_port, admin_port]
        self.port = callers_port.getHost().port
        self.admin_port = admin_port.getHost().port
        defer.ensureDeferred(self._feed.run())
        defer.ensureDeferred(self._members.run())
        self._ticker.start(_TICK_S)

    def drain(self) -> None:
        """Refuses new work; what is in flight goes on."""
        self._api.is_draining = True

    def in_flight(self) -> int:
        """Returns the number of requests that have not ended."""
        return self._api.in_flight

    def cut(self) -> None:
        """Ends requests in flight: closing the links gives true verdicts."""
        self._fleet.close()

    def close(self) -> None:
        """Closes sockets and tasks."""
        self._ticker.stop()
        self._feed.stop()
        self._members.stop()
        self._fleet.close()
        for port in self._listening:
            port.stopListening()

    def status(self) -> dict[str, Any]:
        """Returns what ``godwitdale status`` shows."""
        return {
            "instance": self._own.name,
            "role": "entry",
            "zone": self._own.zone,
            "incarnation": self.incarnation,
            "state": self.life.state,
            "in_flight": self._api.in_flight,
            "declarations": {
                "next_offset": self._feed.position().next_offset,
                "age_s": round(self._feed.age_s, 3),
                "objects": len(self._feed.fold.state.objects),
            },
            "links": self._fleet.describe(),
            "histograms": self._histograms.rows(),
        }

    def _make_tools(self) -> dispatch.Tools:
        own = self._own
        statsd = own.statsd
        return dispatch.Tools(
            reactor=self._reactor,
            fleet=self._fleet,
            feed=self._feed,
            sequence=itertools.count(1),
            incarnation=self.incarnation,
            zone=own.zone,
            most_attempts=own.most_attempts,
            budget=dispatch.new_budget(),
            histograms=self._histograms,
            metrics=metrics_lib.connect(
                statsd.host if statsd else None,
                statsd.port if statsd else 0,
                statsd.prefix if statsd else "",
            ),
            events=logs.EventLog(),
        )

    def _is_ready(self) -> bool:
        is_fresh = self._feed.is_started and not self._feed.is_stale
        return self.life.state == "ready" and is_fresh

    def _tick(self) -> None:
        if self._feed.is_started:
            self.life.started()
        self._tools.budget.set_share(self._feed.view.policy.retry_share)
        self._fleet.open_links()
        self._limits.correct()
        self._histograms.settle()
