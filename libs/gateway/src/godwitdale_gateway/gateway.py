"""The gateway: an entry that sends requests to endpoints directly.

An entry is a process that callers connect to. A gateway calls the endpoints
without an agent in between.
"""

import functools
import random
import time
from typing import Any

from twisted.internet import task

from godwitdale_gateway import admission
from godwitdale_gateway import answer_buffer
from godwitdale_gateway import caller_rejections
from godwitdale_gateway import cold_endpoints
from godwitdale_gateway import dialect as dialect_lib
from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import evacuations
from godwitdale_gateway import expert_balancer
from godwitdale_gateway import explanation
from godwitdale_gateway import forwarding
from godwitdale_gateway import groups
from godwitdale_gateway import homes
from godwitdale_gateway import iteration_groups
from godwitdale_gateway import map_changer
from godwitdale_gateway import member_reader
from godwitdale_gateway import part_guard
from godwitdale_gateway import peers as peers_lib
from godwitdale_gateway import placement
from godwitdale_gateway import readiness
from godwitdale_gateway import recovering_endpoints
from godwitdale_gateway import refusals
from godwitdale_gateway import scheduler as scheduler_lib
from godwitdale_gateway import settings as settings_lib
from godwitdale_gateway import statement_sharing
from godwitdale_gateway import store_copies
from godwitdale_gateway import topic_follower
from godwitdale_http import callers
from godwitdale_http import connection_limit
from godwitdale_http import pool as pool_lib
from godwitdale_http import receive_budget
from godwitdale_http import unread_answers
from godwitdale_observe import exposition
from godwitdale_observe import histograms as histograms_lib
from godwitdale_observe import logs
from godwitdale_process import lifecycle
from godwitdale_process import loop_delay
from godwitdale_process import supervision
from godwitdale_routing import choice
from godwitdale_routing import freshness as freshness_lib
from godwitdale_routing import peer_load
from godwitdale_routing import poll_schedule
from godwitdale_routing import retries
from godwitdale_routing import routes
from godwitdale_routing import stop_budget
from godwitdale_verdicts import exceptions
from godwitdale_verdicts import identifiers
from godwitdale_verdicts import outcomes

_TICK_INTERVAL_S = 0.5
# Minimum duration of a drain. The platform takes an instance out of rotation
# after two failed readiness probes, one a second; new connections may arrive
# until then.
_MIN_DRAIN_S = 2.6
# Share of the time within which a change has to be known. The ends of the
# entries' polls are staggered so that the poll of one of the entries ends
# within this share. That poll finds the change even if the store does not end
# the polls when the change is written.
_POLL_INTERVAL_SHARE = 0.5
# Share of the largest age of the configuration within which the poll of one of
# the entries ends and confirms it. The others ask that entry before they are
# about to read the store themselves.
_CONFIRM_INTERVAL_SHARE = 0.2
# Interval of the checks whether the configuration has to be confirmed.
_FRESHNESS_CHECK_INTERVAL_S = 0.25
# Shares of the platform's retry budget that the entries use together. The rest
# is a reserve for entries that do not know of each other.
_RETRY_RATIO_SHARE = 0.5
_RETRY_BURST_SHARE = 0.5
# Number of entries that is assumed until the store has listed them.
_DEFAULT_ENTRY_COUNT = 32
# Maximum number of client accounts with their own histograms. It limits the
# memory: the histograms take about 80 kB for each account.
_MAX_ACCOUNT_HISTOGRAMS = 24
# Shares of the memory for requests of callers, with those that were sent ahead,
# and for answers that callers have not read.
_RECEIVED_MEMORY_SHARE = 1 / 8
_UNREAD_MEMORY_SHARE = 1 / 8
# Share of the sockets for connections of callers. The others are left for
# endpoints, the store and other entries.
_CALLER_SOCKET_SHARE = 0.75
# Bounds of the delay after a failed announcement. Until an announcement
# succeeds, this entry has not read the addresses of the other entries. It
# forwards requests all the same, but chooses endpoints less well and assumes
# _DEFAULT_ENTRY_COUNT entries when it limits its retries.
_ANNOUNCE_BACKOFF_BASE_S = 0.5
_ANNOUNCE_BACKOFF_MAX_S = 5.0


class Gateway:
    """One entry process.

    ``start`` starts it; signal handlers stop it through ``life_cycle.stop``.

    Attributes:
        life_cycle: Life cycle of the process.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        adapters: settings_lib.PlatformAdapters,
        reactor: Any,
    ) -> None:
        """Creates the components; ``start`` opens the ports.

        Args:
            settings: Settings of the gateway.
            adapters: Interfaces to the platform.
            reactor: The Twisted reactor.
        """
        self._settings = settings
        self._reactor = reactor
        self._log = logs.EventLog()
        self._rng = random.Random()
        self._dialect = adapters.dialect
        self._pool = pool_lib.Pool(reactor)
        self._stop_budget = stop_budget.StopBudget(settings.stop_timeout_s)
        self._directory = directory_lib.Directory(self._pool.remove)
        self._configuration = store_copies.ConfigurationCopy(
            adapters.configuration_key,
            adapters.decode_configuration,
            freshness_lib.Freshness(settings.max_configuration_age_s),
            self._on_configuration_change,
            reactor,
            self._log,
        )
        self._evacuations = evacuations.EvacuationsCopy(
            adapters.evacuated_zone,
            adapters.is_evacuation,
            self._directory,
            lambda: self._scheduler.on_zones_changed(),
            reactor,
            self._log,
        )
        self._endpoints = store_copies.EndpointsCopy(
            self._directory, adapters.decode_endpoint, reactor, self._log
        )
        self._followers = [
            topic_follower.TopicFollower(
                topic,
                copy,
                functools.partial(self._poll_timeout_s, interval_s),
                reactor,
                self._rng,
                self._log,
            )
            for topic, copy, interval_s in (
                (
                    adapters.configuration_topic,
                    # An entry with a configuration is ready: the evacuations
                    # come first.
                    topic_follower.TopicCopies(
                        self._evacuations, self._configuration
                    ),
                    min(
                        settings.configuration_apply_s * _POLL_INTERVAL_SHARE,
                        settings.max_configuration_age_s
                        * _CONFIRM_INTERVAL_SHARE,
                    ),
                ),
                (
                    adapters.endpoint_topic,
                    self._endpoints,
                    settings.endpoint_drain_s * _POLL_INTERVAL_SHARE,
                ),
            )
        ]
        self._endpoints.follower = self._followers[1]
        self._peer_loads = peer_load.PeerLoads()
        members = iteration_groups.GroupMembers()
        self._cold_endpoints = cold_endpoints.ColdEndpoints(
            self._directory,
            homes.Homes(self._directory, self._entry_position),
            lambda: self._peers.known_count,
            lambda: self._peers.live_count,
            lambda service: self._scheduler.service_times(service).total_s,
            _DEFAULT_ENTRY_COUNT,
            settings.cold_overage,
            settings.cold_slack,
            reactor,
            self._log,
        )
        self._recovering = recovering_endpoints.RecoveringEndpoints(
            self._directory, self._peer_loads.in_flight, reactor, self._log
        )
        self._statement_sharing = statement_sharing.StatementSharing(
            self._directory,
            self._cold_endpoints,
            self._recovering,
            lambda endpoint_ids: self._peers.report_statements(endpoint_ids),
            lambda service: self._scheduler.assign_waiting(service),
            reactor,
            self._log,
        )
        self._scheduler = scheduler_lib.Scheduler(
            self._directory,
            members,
            self._statement_sharing,
            self._peer_loads,
            choice.LeastLoaded(self._rng),
            self._pool.has_idle,
            reactor,
            self._rng,
            self._log,
            self._on_load_change,
            self._entry_position,
        )
        self._part_guard = part_guard.PartGuard(
            self._pool,
            lambda: self._peers.index == 0,
            lambda: self._peers.broadcast(),
            reactor,
            self._log,
        )
        self._peers = peers_lib.Peers(
            identifiers.new_sortable_incarnation(time.time()),
            self._peer_loads,
            self._scheduler.own_load,
            store_copies.StoreCopies(
                self._configuration, self._followers, reactor
            ),
            self._part_guard,
            members,
            self._statement_sharing,
            self._scheduler.assign_all_waiting,
            self._scheduler.groups.on_map_change,
            reactor,
            self._log,
        )
        self._registry = adapters.registry
        group_reader = groups.GroupReader(
            adapters.rank_client, self._directory, self._log
        )
        self._member_reader = member_reader.MemberReader(
            adapters.rank_client,
            self._directory,
            members,
            self._peers,
            reactor,
            self._log,
        )
        changer = map_changer.MapChanger(
            settings.name,
            adapters.rank_client,
            group_reader,
            self._peers,
            adapters.registry,
            reactor,
            self._log,
        )
        self._expert_balancer = expert_balancer.ExpertBalancer(
            adapters.rank_client,
            group_reader,
            changer,
            self._peers,
            self._scheduler.groups,
            reactor,
            self._rng,
            self._log,
        )
        self._budgets = retries.BudgetsByService(
            settings.retry_ratio * _RETRY_RATIO_SHARE, self._own_retry_burst()
        )
        self._histograms = histograms_lib.Histograms(_MAX_ACCOUNT_HISTOGRAMS)
        self._forwarding_context = forwarding.ForwardingContext(
            reactor=reactor,
            dialect=adapters.dialect,
            directory=self._directory,
            pool=self._pool,
            scheduler=self._scheduler,
            budgets=self._budgets,
            part_guard=self._part_guard,
            statement_sharing=self._statement_sharing,
            stop_budget=self._stop_budget,
            buffer_usage=answer_buffer.BufferUsage(),
            zone=settings.zone,
            log=self._log,
            histograms=self._histograms,
        )
        self._admission = admission.Admission(
            self._configuration,
            self._endpoints,
            self._stop_budget,
            reactor,
            self._rng,
        )
        self._caller_memory = callers.CallerMemory(
            receive_budget.ReceiveBudget(
                int(settings.memory_bytes * _RECEIVED_MEMORY_SHARE)
            ),
            unread_answers.UnreadAnswers(
                int(settings.memory_bytes * _UNREAD_MEMORY_SHARE)
            ),
        )
        self._rejections = caller_rejections.CallerRejections(self._log)
        max_sockets = settings.max_sockets
        self._channels: connection_limit.Connections[callers.CallerChannel] = (
            connection_limit.Connections(
                None
                if max_sockets is None
                else max(1, int(max_sockets * _CALLER_SOCKET_SHARE))
            )
        )
        self._forwarders: set[forwarding.RequestForwarder] = set()
        self._ports: list[Any] = []
        self._loop_delay = loop_delay.LoopDelay(reactor, self._log)
        self._supervisor = supervision.Supervisor(reactor, self._rng, self._log)
        self.life_cycle = lifecycle.LifeCycle(
            self,
            reactor,
            self._stop_budget.drain_s,
            reactor.stop,
            min_drain_s=_MIN_DRAIN_S,
        )

    def start(self) -> None:
        """Opens the ports and starts to read the store."""
        settings = self._settings
        for address, handler in (
            (settings.frontend_address, self),
            (settings.readiness_address, readiness.ReadinessHandler(self)),
        ):
            factory = callers.CallerFactory(
                handler, self._reactor, self._caller_memory
            )
            port = self._reactor.listenTCP(
                address.port, factory, backlog=1024, interface=address.host
            )
            self._ports.append(port)
        self._ports.append(
            self._reactor.listenUDP(
                settings.peer_address.port,
                self._peers,
                interface=settings.peer_address.host,
            )
        )
        run = self._supervisor.run
        for follower in self._followers:
            run(f"follow {follower.name}", follower.run)
        run("register", self._register_with_peers)
        run("read members", self._member_reader.run)
        run("balance experts", self._expert_balancer.run)
        run("watch groups", self._expert_balancer.watch)
        call_every = self._supervisor.call_every
        call_every("tick", _TICK_INTERVAL_S, self._tick)
        call_every(
            "check freshness",
            _FRESHNESS_CHECK_INTERVAL_S,
            self._check_freshness,
        )
        self._loop_delay.start()
        self._log.info("started", zone=settings.zone)

    # Methods of lifecycle.Daemon.

    def drain(self) -> None:
        """Starts to close each connection after its next answer."""
        now_s = self._reactor.seconds()
        self._stop_budget.start(now_s)
        self._refuse_late_requests()
        self._reactor.callLater(
            self._stop_budget.stream_window_left_s(now_s),
            self._refuse_late_requests,
        )
        self._expert_balancer.stop()
        self._peers.announce_drain()

    def in_flight(self) -> int:
        """Returns the number of requests in flight."""
        return len(self._forwarders)

    def abort_requests(self) -> None:
        """Ends all requests in flight, each with a truthful verdict.

        The connection of an answer that has begun is reset.
        """
        self._log.warning("cut", in_work=len(self._forwarders))
        # Nothing begins any more: the end of a request would free its slot for
        # a waiting one.
        self._stop_budget.close()
        self._refuse_late_requests()
        for forwarder in list(self._forwarders):
            forwarder.stop()

    def close(self) -> None:
        """Closes ports and idle connections, and stops tasks."""
        self._stop_budget.close()
        self._supervisor.stop()
        self._loop_delay.stop()
        self._peers.announce_stop()
        for port in self._ports:
            port.stopListening()
        for channel in list(self._channels):
            channel.close_if_idle()
        for follower in self._followers:
            follower.stop()
        self._pool.close()

    # Methods of callers.RequestHandler.

    def limits(self) -> callers.RequestLimits:
        """Returns the limits for requests that are in force."""
        configuration = self._configuration.current
        return configuration.limits if configuration else _DEFAULT_LIMITS

    def is_draining(self) -> bool:
        """Tells whether connections close after their next answer."""
        return self._stop_budget.is_stopping

    def on_connect(self, channel: callers.CallerChannel) -> None:
        """Registers the connection of a caller."""
        excess = self._channels.add(channel)
        if excess is not None:
            excess.abort_for_room()

    def on_disconnect(self, channel: callers.CallerChannel) -> None:
        """Removes the connection of a caller."""
        self._channels.discard(channel)

    def on_reject(self, reason: str) -> None:
        """Counts a caller that was refused or cut for its behaviour."""
        self._rejections.record(reason, self._reactor.seconds())

    def handle(
        self, incoming: callers.IncomingRequest, channel: callers.CallerChannel
    ) -> callers.ActiveRequest:
        """Forwards or refuses a request."""
        self._channels.on_request(channel)
        headers = self._dialect.decode_request(incoming.headers)
        admission_result = self._admission.admit(incoming, headers)
        if isinstance(admission_result, outcomes.Refusal):
            self._refuse(headers, admission_result, channel)
            return callers.NO_ACTIVE_REQUEST
        forwarder = forwarding.RequestForwarder(
            admission_result,
            channel,
            self._forwarding_context,
            lambda: self._forwarders.discard(forwarder),
        )
        self._forwarders.add(forwarder)
        forwarder.start()
        return forwarder

    def is_ready(self) -> bool:
        """Tells whether this entry accepts new connections."""
        now_s = self._reactor.seconds()
        return (
            not self._stop_budget.is_stopping
            and self._endpoints.is_complete
            and self._configuration.current is not None
            and self._configuration.freshness.is_ready(now_s)
        )

    def metrics(self) -> str:
        """Returns counters, gauges and histograms in Prometheus text format."""
        now_s = self._reactor.seconds()
        configuration = self._configuration.current
        gauges = {
            "requests_in_work": float(len(self._forwarders)),
            "caller_connections": float(len(self._channels)),
            "received_bytes": float(self._caller_memory.received.held_bytes),
            "unread_bytes": float(self._caller_memory.unread.total_bytes),
            "endpoints": float(len(self._directory)),
            "cold_endpoints": float(self._cold_endpoints.cold_count),
            "paced_endpoints": float(len(self._recovering)),
            "evacuated_zones": float(len(self._evacuations.since_s)),
            "requests_in_evacuated_zones": float(
                self._evacuations.running_count()
            ),
            "entries_heard": float(self._peers.live_count),
            "loop_delay_seconds": self._loop_delay.take_highest_s(),
            "suspected_parts": float(self._part_guard.suspected_count),
            "configuration_version": float(
                configuration.version if configuration else -1
            ),
            "configuration_age_seconds": (
                self._configuration.freshness.age_s(now_s)
            ),
        }
        summaries = self._histograms.summaries()
        return exposition.render(self._log.counts, gauges, summaries)

    def explain(self, target: bytes) -> bytes:
        """Returns as JSON where a request would go now, without sending it.

        Args:
            target: Target whose query describes the request.
        """
        question = explanation.Question.parse(target)
        configuration = self._configuration.current
        route = None
        if configuration is not None:
            route = configuration.route_table.find(question.host, question.path)
        if configuration is None or route is None:
            return explanation.encode(None, [])
        now_s = self._reactor.seconds()
        params = admission.scheduling_params(
            now_s, route, question.find_account(configuration), route.timeout_s
        )
        traits = choice.RequestTraits(
            prompt_tokens=question.prompt_tokens, zone=self._settings.zone
        )
        return explanation.encode(
            route,
            [
                self._scheduler.explain(
                    placement.PlacementRequest(
                        weighted.service,
                        params,
                        traits,
                        deadline_s=now_s + route.timeout_s,
                        account=question.account or "",
                    )
                )
                for weighted in route.weighted_services
            ],
        )

    def _refuse(
        self,
        headers: dialect_lib.RequestHeaders,
        refusal: outcomes.Refusal,
        channel: callers.CallerChannel,
    ) -> None:
        configuration = self._configuration.current
        self._log.info(
            "refused",
            request=headers.request_id_text,
            reason=refusal.reason.value,
            detail=refusal.detail,
            version=configuration.version if configuration else None,
        )
        refusals.send_refusal(
            channel,
            refusal,
            self._dialect.refusal_headers(headers.request_id),
            is_closing=refusal.reason is outcomes.Reason.STALE,
        )

    def _tick(self) -> None:
        if self.is_ready():
            self.life_cycle.mark_ready()
        self._directory.expire(self._reactor.seconds())
        self._pool.close_expired()
        self._peers.tick()
        self._statement_sharing.tick()
        self._scheduler.assign_all_waiting()
        self._scheduler.groups.remove_old()
        self._scheduler.log_load()

    def _poll_timeout_s(self, interval_s: float, ended_early: bool) -> float:
        return poll_schedule.poll_timeout_s(
            interval_s, self._peers.index, self._peers.live_count, ended_early
        )

    def _check_freshness(self) -> None:
        """Asks whether the configuration is still the newest, if that is due.

        Other entries are asked first, which is cheaper than to read the store.
        """
        freshness = self._configuration.freshness
        now_s = self._reactor.seconds()
        if self._configuration.current is None:
            return
        if freshness.should_ask_peer(now_s):
            self._peers.query_freshness(self._followers[0].name)
        if freshness.should_read_store(now_s, self._peers.index):
            self._followers[0].interrupt()

    def _own_retry_burst(self) -> float:
        """Returns this entry's share of the retry burst."""
        entries = self._peers.known_count or _DEFAULT_ENTRY_COUNT
        return self._settings.retry_burst * _RETRY_BURST_SHARE / entries

    def _on_configuration_change(
        self, configuration: routes.Configuration
    ) -> None:
        self._cold_endpoints.configure(configuration.cold_rates)
        self._recovering.configure(configuration.paced_services())
        self._scheduler.configure(configuration.engines)
        self._scheduler.set_priorities(configuration.priorities())
        self._expert_balancer.configure(configuration.engines)
        self._member_reader.configure(configuration.engines)

    def _entry_position(self) -> tuple[int, int]:
        return self._peers.index, self._peers.live_count

    def _on_load_change(self) -> None:
        self._peers.schedule_broadcast()

    async def _register_with_peers(self) -> None:
        """Announces this entry and reads the addresses of the others."""
        own_address = self._settings.peer_address
        failure_count = 0
        while True:
            try:
                await self._registry.announce(self._settings.name, own_address)
                addresses = await self._registry.member_addresses()
                break
            except exceptions.PlatformUnavailableError as error:
                failure_count += 1
                self._log.info("announce_failed", detail=str(error))
                delay_s = retries.backoff_s(
                    failure_count,
                    _ANNOUNCE_BACKOFF_BASE_S,
                    _ANNOUNCE_BACKOFF_MAX_S,
                    self._rng,
                )
                await task.deferLater(self._reactor, delay_s)
        self._peers.add_addresses(addresses - {own_address})
        self._budgets.set_max_tokens(self._own_retry_burst())

    def _refuse_late_requests(self) -> None:
        """Refuses the waiting requests that may not begin any more."""
        for forwarder in list(self._forwarders):
            forwarder.refuse_if_too_late()


_DEFAULT_LIMITS = routes.CallerLimits()
