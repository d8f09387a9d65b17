"""The agent daemon, which creates and connects its components."""

import statistics
import time
from typing import Any

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
# Service class under which the histograms list the step time skew.
_STEP_SKEW_CLASS = "steps"


class AgentDaemon(daemon.Daemon):
    """An agent, through which all requests to its endpoint pass."""

    ROLE = "agent"
    TICK_INTERVAL_S = 0.25
    MAX_ACCOUNT_HISTOGRAMS = 32

    def __init__(
        self, settings: settings_lib.AgentSettings, reactor: Any
    ) -> None:
        """Creates the components without listening.

        Args:
            settings: Settings of the agent.
            reactor: The Twisted reactor.
        """
        super().__init__(settings, reactor, always_reads_log=False)
        self._settings = settings
        self._is_stopping = False
        self._claim_store = claim_store.ClaimStore(
            self._log,
            reactor,
            settings.claim_interval_s,
            lambda: self._feed.view.policy.key_window_s,
        )
        self._backend = endpoint_client.EndpointClient(
            settings.backend.url, reactor, settings.backend.connect_s
        )
        self._executor = self._create_executor()
        self._server = self._create_server()
        self._executor.attach_server(self._server)
        self._peers = agent_peers.AgentPeers(
            self.incarnation,
            self._feed,
            self._membership,
            tls.AgentDialer(reactor, settings.peer_tls),
            reactor,
        )
        self._group_member = self._create_group_member()
        self._executor.register_call_handler(
            group_member.PREPARE_CALL, self._group_member.prepare
        )
        self._executor.register_call_handler(
            group_member.NOTICE_CALL, self._group_member.on_notice
        )

    def protocol_factory(self) -> Any:
        """Returns the protocol factory for entries and other agents."""
        return self._server

    def tls_context(self) -> Any | None:
        """Returns the TLS context factory for entries and agents, or None."""
        if self._settings.peer_tls is None:
            return None
        return tls.agent_context(self._settings.peer_tls)

    def start(self) -> None:
        """Listens on the ports and starts the background tasks."""
        super().start()
        self._supervisor.run("lead group", self._group_member.run)
        if self._settings.backend.kind == "engine":
            self._supervisor.run("poll engine", self._poll_engine_load)

    def on_tick(self) -> None:
        """Refuses expired requests, starts queued ones, checks leave notices.

        A withdrawn leave notice makes the agent accept requests again.
        """
        self._executor.refuse_expired()
        self._executor.start_queued()
        if self._is_stopping or self._has_leave_notice():
            self._executor.start_draining()
        else:
            self._executor.stop_draining()

    def drain(self) -> None:
        """Refuses new requests. Requests in flight continue."""
        self._is_stopping = True
        self._executor.start_draining()

    def in_flight(self) -> int:
        """Returns the number of requests, answers and claims still open."""
        return (
            self._executor.in_flight
            + self._claim_store.unsettled_claims
            + self._server.unconfirmed_answers
        )

    def abort_requests(self) -> None:
        """Ends all requests in flight, each with a truthful verdict."""
        self._executor.abort_all()

    def close(self) -> None:
        """Closes the sockets and links and stops the background tasks."""
        super().close()
        self._group_member.stop()
        self._peers.close()
        self._server.close()

    def is_ready(self) -> bool:
        """Returns whether the agent accepts new requests."""
        return super().is_ready() and not self._executor.is_draining

    def status(self) -> dict[str, Any]:
        """Returns the status document that ``godwitdale status`` shows."""
        return {
            **super().status(),
            "endpoint": self._settings.endpoint,
            "in_flight": self._executor.in_flight,
            "log_appends": self._claim_store.appends,
            "is_leading_group": self._group_member.is_leading,
        }

    def _has_leave_notice(self) -> bool:
        if self._membership.is_leaving(self._settings.name):
            return True
        view = self._feed.view
        is_declared = self._settings.endpoint in view.endpoints
        return is_declared and view.is_leaving(self._settings.endpoint)

    def _create_executor(self) -> execution.Executor:
        dependencies = execution.Dependencies(
            reactor=self._reactor,
            feed=self._feed,
            claims=self._claim_store,
            backend=self._backend,
            histograms=self._histograms,
            metrics=self._metrics,
            events=logs.EventLog(),
        )
        return execution.Executor(
            dependencies,
            self.incarnation,
            self._settings.backend.slots,
            self._settings.backend.service_s,
            self._settings.catch_up_s,
        )

    def _create_server(self) -> link_server.LinkServer:
        retention = link_server.RetentionPolicy(
            answer_retention_s=self._settings.linger_s,
            orphan_timeout_s=self._settings.orphan_s,
            coalesce_delay_s=self._settings.coalesce_s,
        )
        return link_server.LinkServer(
            self.incarnation,
            self._settings.endpoint,
            self._executor,
            self._reactor,
            retention,
        )

    def _create_group_member(self) -> group_member.GroupMember:
        return group_member.GroupMember(
            self._settings.endpoint,
            self.incarnation,
            self._feed,
            self._log,
            self._backend,
            self._peers,
            self._reactor,
            time.time,
        )

    async def _poll_engine_load(self) -> None:
        """Polls the load of the engine, which reports it with a delay."""
        while not self._is_stopping:
            try:
                load = await self._backend.get_json("/load", _LOAD_TIMEOUT_S)
                self._record_load(load)
            except Exception as error:  # The previous report stays in use.
                logs.EventLog().info("no load report", error=repr(error))
            await task.deferLater(
                self._reactor, self._settings.backend.load_poll_s, lambda: None
            )

    def _record_load(self, load: dict[str, Any]) -> None:
        self._executor.step_s = float(load.get("step_s", 0.0))
        rank_step_s = load.get("rank_step_s")
        if rank_step_s:
            skew_s = max(rank_step_s) - statistics.fmean(rank_step_s)
            self._histograms.record(
                histograms.Metric.STEP_SKEW,
                _STEP_SKEW_CLASS,
                self._settings.endpoint,
                skew_s,
            )
