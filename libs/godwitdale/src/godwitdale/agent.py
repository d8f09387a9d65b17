"""The agent daemon: its composition root and its tasks."""

import random
import statistics
from typing import Any

from godwitdale_link import server as link_server
from godwitdale_observe import histograms
from godwitdale_observe import logs
from godwitdale_observe import metrics as metrics_lib
from godwitdale_platform import backend as backend_lib
from godwitdale_platform import instances as instances_lib
from godwitdale_platform import log as log_lib
from godwitdale_verdicts import identifiers
from twisted.internet import defer
from twisted.internet import task

from godwitdale import admin
from godwitdale import claiming
from godwitdale import execution
from godwitdale import feed as feed_lib
from godwitdale import lifecycle
from godwitdale import membership as membership_lib
from godwitdale import settings as settings_lib
from godwitdale import tls

_MOST_ACCOUNT_HISTOGRAMS = 32
_TICK_S = 0.25
_LOAD_TIMEOUT_S = 2.0


class AgentDaemon:
    """One agent. Construct it, ``start`` it, let its life cycle stop it.

    Attributes:
        incarnation: Random name of this life of the process.
        life: The life cycle; signals call its ``stop``.
        port: The entries' port, once started.
        admin_port: The admin port, once started.
    """

    def __init__(self, own: settings_lib.Agent, reactor: Any) -> None:
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
        self._feed = feed_lib.DeclarationFeed(
            log, reactor, rng, reads_always=False
        )
        self._members = membership_lib.Membership(
            instances_lib.HttpInstanceList(
                platform.instances_url, platform.timeout_s
            ),
            reactor,
            rng,
            platform.poll_s,
        )
        self._claims = claiming.ClaimKeeper(
            log,
            reactor,
            own.claim_interval_s,
            lambda: self._feed.view.policy.key_window_s,
        )
        self._backend = backend_lib.Backend(
            own.backend.url, reactor, own.backend.connect_s
        )
        self._histograms = histograms.Histograms(_MOST_ACCOUNT_HISTOGRAMS)
        self._executor = self._make_executor()
        self._server = link_server.LinkServer(
            self.incarnation,
            own.endpoint,
            self._executor,
            reactor,
            link_server.Keeping(
                linger_s=own.linger_s,
                orphan_s=own.orphan_s,
                coalesce_s=own.coalesce_s,
            ),
        )
        self._executor.attach(self._server)
        self._admin = admin.AdminApi(self._is_ready, self.status)
        self.life = lifecycle.LifeCycle(
            self, reactor, own.drain_limit_s, reactor.stop
        )
        self._ticker = task.LoopingCall(self._tick)
        self._ticker.clock = reactor
        self._is_stopping = False
        self._listening: list[Any] = []
        self.port = 0
        self.admin_port = 0

    def start(self) -> None:
        """Listens and starts the tasks."""
        own = self._own
        context = tls.agent_context(own.peer_tls) if own.peer_tls else None
        link_port = tls.listen(self._reactor, own.listen, self._server, context)
        admin_port = tls.listen(
            self._reactor, own.admin, self._admin.site(), None
        )
        self._listening = [link_port, admin_port]
        self.port = link_port.getHost().port
        self.admin_port = admin_port.getHost().port
        defer.ensureDeferred(self._feed.run())
        defer.ensureDeferred(self._members.run())
        if own.backend.kind == "engine":
            defer.ensureDeferred(self._watch_engine())
        self._ticker.start(_TICK_S)

    def drain(self) -> None:
        """Refuses new work; what is in flight goes on."""
        self._is_stopping = True
        self._executor.leave()

    def in_flight(self) -> int:
        """Returns requests, answers and log entries that have not ended."""
        return (
            self._executor.in_flight
            + self._claims.open_claims
            + self._server.undelivered
        )

    def cut(self) -> None:
        """Ends requests in flight with truthful verdicts."""
        self._executor.cut()

    def close(self) -> None:
        """Closes sockets and tasks."""
        self._ticker.stop()
        self._feed.stop()
        self._members.stop()
        for port in self._listening:
            port.stopListening()
        self._server.close()

    def status(self) -> dict[str, Any]:
        """Returns what ``godwitdale status`` shows."""
        return {
            "instance": self._own.name,
            "role": "agent",
            "zone": self._own.zone,
            "endpoint": self._own.endpoint,
            "incarnation": self.incarnation,
            "state": self.life.state,
            "in_flight": self._executor.in_flight,
            "log_appends": self._claims.appends,
            "declarations": {
                "next_offset": self._feed.position().next_offset,
                "age_s": round(self._feed.age_s, 3),
                "objects": len(self._feed.fold.state.objects),
            },
            "histograms": self._histograms.rows(),
        }

    def _make_executor(self) -> execution.Executor:
        own = self._own
        statsd = own.statsd
        parts = execution.Parts(
            reactor=self._reactor,
            feed=self._feed,
            claims=self._claims,
            backend=self._backend,
            histograms=self._histograms,
            metrics=metrics_lib.connect(
                statsd.host if statsd else None,
                statsd.port if statsd else 0,
                statsd.prefix if statsd else "",
            ),
            events=logs.EventLog(),
        )
        return execution.Executor(
            parts,
            self.incarnation,
            own.backend.slots,
            own.backend.service_s,
            own.catch_up_s,
        )

    def _is_ready(self) -> bool:
        is_taking = not self._executor.is_leaving
        return self.life.state == "ready" and is_taking

    def _tick(self) -> None:
        if self._feed.is_started:
            self.life.started()
        self._executor.expire()
        self._executor.pump()
        self._histograms.settle()
        is_leaving = self._members.is_leaving(self._own.name)
        is_drained = self._own.endpoint in self._feed.view.endpoints and (
            self._feed.view.is_leaving(self._own.endpoint)
        )
        if self._is_stopping or is_leaving or is_drained:
            self._executor.leave()
        else:
            self._executor.stay()

    def _take_load(self, load: dict[str, Any]) -> None:
        self._executor.step_s = float(load.get("step_s", 0.0))
        rank_step_s = load.get("rank_step_s")
        if rank_step_s:
            skew_s = max(rank_step_s) - statistics.fmean(rank_step_s)
            self._histograms.record(
                histograms.Metric.SKEW, "steps", self._own.endpoint, skew_s
            )

    async def _watch_engine(self) -> None:
        """Follows the step time that a lagging engine reports."""
        while not self._is_stopping:
            try:
                load = await self._backend.get_json("/load", _LOAD_TIMEOUT_S)
                self._take_load(load)
            except Exception as error:  # A lost report changes nothing.
                logs.EventLog().info("no load report", error=repr(error))
            await task.deferLater(
                self._reactor, self._own.backend.load_poll_s, lambda: None
            )
