"""The agent daemon: its composition root."""

import statistics
import time
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from godwitdale import agent_peers
from godwitdale import claim_store
from godwitdale import daemon
from godwitdale import execution
from godwitdale import group_member
from godwitdale import settings as settings_lib
from godwitdale import tls
from godwitdale_link import server as link_server
from godwitdale_observe import histograms
from godwitdale_observe import logs
from godwitdale_platform import endpoint_client

_LOAD_TIMEOUT_S = 2.0
_STEPS_CLASS = "steps"


class AgentDaemon(daemon.Daemon):
    """One agent: the only door to its endpoint."""

    ROLE = "agent"
    TICK_S = 0.25
    MAX_ACCOUNT_HISTOGRAMS = 32

    def __init__(self, own: settings_lib.AgentSettings, reactor: Any) -> None:
        """Wires the parts; nothing listens yet.

        Args:
            own: The settings.
            reactor: The Twisted reactor.
        """
        super().__init__(own, reactor, always_reads_log=False)
        self._own = own
        self._is_stopping = False
        self._claims = claim_store.ClaimStore(
            self._log,
            reactor,
            own.claim_interval_s,
            lambda: self._feed.view.policy.key_window_s,
        )
        self._backend = endpoint_client.EndpointClient(
            own.backend.url, reactor, own.backend.connect_s
        )
        self._executor = self._make_executor()
        self._server = self._make_server()
        self._executor.attach(self._server)
        self._peers = agent_peers.AgentPeers(
            self.incarnation,
            self._feed,
            self._members,
            tls.AgentDialer(reactor, own.peer_tls),
            reactor,
        )
        self._keeper = self._make_keeper()
        self._executor.answer_calls(
            group_member.PREPARE_CALL, self._keeper.prepare
        )
        self._executor.answer_calls(
            group_member.NOTICE_CALL, self._keeper.on_notice
        )

    def protocol_factory(self) -> Any:
        """Returns what makes protocols for entries."""
        return self._server

    def tls_context(self) -> Any | None:
        """Returns the TLS context that entries meet, or None."""
        if self._own.peer_tls is None:
            return None
        return tls.agent_context(self._own.peer_tls)

    def start(self) -> None:
        """Listens and starts the tasks."""
        super().start()
        defer.ensureDeferred(self._keeper.run())
        if self._own.backend.kind == "engine":
            defer.ensureDeferred(self._watch_engine())

    def on_tick(self) -> None:
        """Refuses what is late, starts what fits, and notices leave notices."""
        self._executor.expire()
        self._executor.pump()
        if self._is_stopping or self._is_told_to_leave():
            self._executor.leave()
        else:
            self._executor.stay()

    def drain(self) -> None:
        """Refuses new work; what is in flight goes on."""
        self._is_stopping = True
        self._executor.leave()

    def in_flight(self) -> int:
        """Returns requests, answers and log entries that have not ended."""
        return (
            self._executor.in_flight
            + self._claims.unsettled_claims
            + self._server.unconfirmed_answers
        )

    def abort_requests(self) -> None:
        """Ends requests in flight with truthful verdicts."""
        self._executor.cut()

    def close(self) -> None:
        """Closes sockets and tasks."""
        super().close()
        self._keeper.stop()
        self._peers.close()
        self._server.close()

    def is_ready(self) -> bool:
        """Tells whether new work is taken."""
        return super().is_ready() and not self._executor.is_leaving

    def status(self) -> dict[str, Any]:
        """Returns what ``godwitdale status`` shows."""
        return {
            **super().status(),
            "endpoint": self._own.endpoint,
            "in_flight": self._executor.in_flight,
            "log_appends": self._claims.appends,
            "is_leading_group": self._keeper.is_leading,
        }

    def _is_told_to_leave(self) -> bool:
        if self._members.is_leaving(self._own.name):
            return True
        view = self._feed.view
        is_declared = self._own.endpoint in view.endpoints
        return is_declared and view.is_leaving(self._own.endpoint)

    def _make_executor(self) -> execution.Executor:
        parts = execution.Dependencies(
            reactor=self._reactor,
            feed=self._feed,
            claims=self._claims,
            backend=self._backend,
            histograms=self._histograms,
            metrics=self._metrics,
            events=logs.EventLog(),
        )
        return execution.Executor(
            parts,
            self.incarnation,
            self._own.backend.slots,
            self._own.backend.service_s,
            self._own.catch_up_s,
        )

    def _make_server(self) -> link_server.LinkServer:
        keeping = link_server.RetentionPolicy(
            answer_retention_s=self._own.linger_s,
            orphan_timeout_s=self._own.orphan_s,
            coalesce_delay_s=self._own.coalesce_s,
        )
        return link_server.LinkServer(
            self.incarnation,
            self._own.endpoint,
            self._executor,
            self._reactor,
            keeping,
        )

    def _make_keeper(self) -> group_member.GroupMember:
        return group_member.GroupMember(
            self._own.endpoint,
            self.incarnation,
            self._feed,
            self._log,
            self._backend,
            self._peers,
            self._reactor,
            time.time,
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

    def _take_load(self, load: dict[str, Any]) -> None:
        self._executor.step_s = float(load.get("step_s", 0.0))
        rank_step_s = load.get("rank_step_s")
        if rank_step_s:
            skew_s = max(rank_step_s) - statistics.fmean(rank_step_s)
            self._histograms.record(
                histograms.Metric.STEP_SKEW,
                _STEPS_CLASS,
                self._own.endpoint,
                skew_s,
            )
