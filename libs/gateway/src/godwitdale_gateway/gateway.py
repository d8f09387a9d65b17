"""The gateway: an entry that calls endpoints directly."""

import functools
import random
import time
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from godwitdale_gateway import admission
from godwitdale_gateway import dialect as dialect_lib
from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import expert_balancer
from godwitdale_gateway import forwarding
from godwitdale_gateway import groups
from godwitdale_gateway import map_changer
from godwitdale_gateway import peers as peers_lib
from godwitdale_gateway import readiness
from godwitdale_gateway import refusals
from godwitdale_gateway import scheduler as scheduler_lib
from godwitdale_gateway import settings as settings_lib
from godwitdale_gateway import store_copies
from godwitdale_gateway import topic_follower
from godwitdale_http import callers
from godwitdale_http import pool as pool_lib
from godwitdale_observe import exposition
from godwitdale_observe import histograms as histograms_lib
from godwitdale_observe import logs
from godwitdale_process import lifecycle
from godwitdale_routing import choice
from godwitdale_routing import freshness as freshness_lib
from godwitdale_routing import peer_load
from godwitdale_routing import poll_schedule
from godwitdale_routing import retries
from godwitdale_routing import routes
from godwitdale_verdicts import exceptions
from godwitdale_verdicts import identifiers
from godwitdale_verdicts import outcomes

_TICK_S = 0.5
# The platform takes an instance out of rotation after two missed looks, one a
# second, so that new connections may come for that long.
_ROTATION_S = 2.6
# Kept of the time for a stop to close connections and exit.
_STOP_RESERVE_S = 0.6
# Share of the time in which a change has to be known after which one of the
# entries looks for it, should the store have woken none.
_STEP_SHARE = 0.5
# How often it is checked whether the configuration has to be confirmed.
_CONFIRM_S = 0.25
# Shares of the platform's retry budget that the entries use together; the rest
# is room for entries that do not hear of each other.
_RETRY_SHARE = 0.5
_RETRY_BURST_SHARE = 0.5
# Entries that are assumed before the store has told how many there are.
_ASSUMED_ENTRIES = 32
# Client accounts with histograms of their own; each takes some 80 kB.
_MOST_ACCOUNTS = 24
# Bounds of the pause after a failed announcement; nothing but the quality of
# choices depends on it.
_MEET_BASE_S = 0.5
_MEET_MOST_S = 5.0


class Gateway:
    """One entry process. Construct it, ``start`` it; signals call ``stop``.

    Attributes:
        life_cycle: The life cycle.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        adapters: settings_lib.PlatformAdapters,
        reactor: Any,
    ) -> None:
        """Wires the parts; nothing listens yet.

        Args:
            settings: The settings.
            adapters: What the platform provides.
            reactor: The Twisted reactor.
        """
        self._settings = settings
        self._reactor = reactor
        self._log = logs.EventLog()
        self._rng = random.Random()
        self._dialect = adapters.dialect
        self._pool = pool_lib.Pool(reactor)
        self._directory = directory_lib.Directory(self._pool.remove)
        self._configuration = store_copies.ConfigurationCopy(
            adapters.configuration_key,
            adapters.decode_configuration,
            freshness_lib.Freshness(settings.max_configuration_age_s),
            self._configuration_changed,
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
                functools.partial(self._poll_s, bound_s * _STEP_SHARE),
                reactor,
                self._rng,
                self._log,
            )
            for topic, copy, bound_s in (
                (
                    adapters.configuration_topic,
                    self._configuration,
                    settings.configuration_apply_s,
                ),
                (
                    adapters.endpoint_topic,
                    self._endpoints,
                    settings.endpoint_drain_s,
                ),
            )
        ]
        self._endpoints.follower = self._followers[1]
        self._board = peer_load.PeerLoads()
        self._placer = scheduler_lib.Scheduler(
            self._directory,
            self._board,
            choice.LeastLoaded(self._rng),
            self._pool.has_idle,
            reactor,
            self._rng,
            self._log,
            self._load_changed,
        )
        self._peers = peers_lib.Peers(
            identifiers.new_sortable_incarnation(time.time()),
            self._board,
            self._placer.own_load,
            store_copies.StoreCopies(
                self._configuration, self._followers, reactor
            ),
            self._placer.assign_all_waiting,
            self._placer.on_map_change,
            reactor,
            self._log,
        )
        self._registry = adapters.registry
        group_reader = groups.GroupReader(
            adapters.rank_client, self._directory, self._log
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
            self._placer,
            reactor,
            self._rng,
            self._log,
        )
        self._budgets = retries.BudgetsByService(
            settings.retry_ratio * _RETRY_SHARE, self._retry_burst()
        )
        self._histograms = histograms_lib.Histograms(_MOST_ACCOUNTS)
        self._forwarding_context = forwarding.ForwardingContext(
            reactor=reactor,
            dialect=adapters.dialect,
            directory=self._directory,
            pool=self._pool,
            scheduler=self._placer,
            budgets=self._budgets,
            zone=settings.zone,
            log=self._log,
            histograms=self._histograms,
        )
        self._admission = admission.Admission(
            self._configuration,
            self._endpoints,
            settings.stop_timeout_s,
            reactor,
            self._rng,
        )
        self._channels: set[callers.CallerChannel] = set()
        self._in_work = 0
        self._listening: list[Any] = []
        self._confirming = task.LoopingCall(self._confirm)
        self._confirming.clock = reactor
        self._ticker = task.LoopingCall(self._tick)
        self._ticker.clock = reactor
        self.life_cycle = lifecycle.LifeCycle(
            self,
            reactor,
            max(0.0, settings.stop_timeout_s - _STOP_RESERVE_S),
            reactor.stop,
            min_drain_s=_ROTATION_S,
        )

    def start(self) -> None:
        """Listens and begins to read the store."""
        settings = self._settings
        for address, handler in (
            (settings.frontend_address, self),
            (settings.readiness_address, readiness.ReadinessHandler(self)),
        ):
            factory = callers.CallerFactory(handler, self._reactor)
            port = self._reactor.listenTCP(
                address.port, factory, backlog=1024, interface=address.host
            )
            self._listening.append(port)
        self._listening.append(
            self._reactor.listenUDP(
                settings.peer_address.port,
                self._peers,
                interface=settings.peer_address.host,
                maxPacketSize=peers_lib.MAX_DATAGRAM_BYTES,
            )
        )
        for follower in self._followers:
            self._run(follower.run())
        self._run(self._meet_peers())
        self._run(self._expert_balancer.run())
        self._run(self._expert_balancer.watch())
        self._ticker.start(_TICK_S, now=False)
        self._confirming.start(_CONFIRM_S, now=False)
        self._log.info("started", zone=settings.zone)

    # Service of the life cycle.

    def drain(self) -> None:
        """Closes connections after their next answer."""
        self._admission.drain_started_s = self._reactor.seconds()
        self._expert_balancer.stop()
        self._peers.announce_drain()

    def in_flight(self) -> int:
        """Returns the number of requests that have not ended."""
        return self._in_work

    def abort_requests(self) -> None:
        """Breaks off what is still in work."""
        self._log.warning("cut", in_work=self._in_work)
        for channel in list(self._channels):
            channel.abort()

    def close(self) -> None:
        """Closes sockets and tasks."""
        self._peers.announce_stop()
        for port in self._listening:
            port.stopListening()
        for channel in list(self._channels):
            channel.close_if_idle()
        for follower in self._followers:
            follower.stop()
        for repeating in (self._ticker, self._confirming):
            if repeating.running:
                repeating.stop()
        self._pool.close()

    # Handler of callers' requests.

    def limits(self) -> callers.RequestLimits:
        """Returns the bounds in force."""
        configuration = self._configuration.current
        return configuration.limits if configuration else _DEFAULT_LIMITS

    def is_draining(self) -> bool:
        """Tells whether connections are closed after their next answer."""
        return self._admission.drain_started_s is not None

    def on_connect(self, channel: callers.CallerChannel) -> None:
        """A caller has connected."""
        self._channels.add(channel)

    def on_disconnect(self, channel: callers.CallerChannel) -> None:
        """A connection is gone."""
        self._channels.discard(channel)

    def handle(
        self, incoming: callers.IncomingRequest, answer: callers.CallerChannel
    ) -> callers.ActiveRequest:
        """Forwards a request, or refuses it."""
        headers = self._dialect.decode_request(incoming.headers)
        allowed = self._admission.admit(incoming, headers)
        if isinstance(allowed, outcomes.Refusal):
            self._refuse(headers, allowed, answer)
            return callers.NO_ACTIVE_REQUEST
        self._in_work += 1
        work = forwarding.RequestForwarder(
            allowed, answer, self._forwarding_context, self._ended
        )
        work.start()
        return work

    def is_ready(self) -> bool:
        """Tells whether new connections are welcome."""
        now_s = self._reactor.seconds()
        return (
            self._admission.drain_started_s is None
            and self._endpoints.is_complete
            and self._configuration.current is not None
            and self._configuration.freshness.is_ready(now_s)
        )

    def metrics(self) -> str:
        """Returns counters, present values and histograms as text."""
        now_s = self._reactor.seconds()
        configuration = self._configuration.current
        gauges = {
            "requests_in_work": float(self._in_work),
            "caller_connections": float(len(self._channels)),
            "endpoints": float(len(self._directory)),
            "entries_heard": float(self._peers.live_count),
            "configuration_version": float(
                configuration.version if configuration else -1
            ),
            "configuration_age_seconds": (
                self._configuration.freshness.age_s(now_s)
            ),
        }
        rows = self._histograms.summaries()
        return exposition.render(self._log.counts, gauges, rows)

    def _refuse(
        self,
        headers: dialect_lib.RequestHeaders,
        refusal: outcomes.Refusal,
        answer: callers.CallerChannel,
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
            answer,
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
        self._placer.assign_all_waiting()
        self._placer.log_load()

    def _poll_s(self, step_s: float, is_woken: bool) -> float:
        return poll_schedule.poll_timeout_s(
            step_s, self._peers.index, self._peers.live_count, is_woken
        )

    def _confirm(self) -> None:
        """Keeps the configuration confirmed, by the cheapest way first."""
        freshness = self._configuration.freshness
        now_s = self._reactor.seconds()
        if self._configuration.current is None:
            return
        if freshness.should_ask_peer(now_s):
            self._peers.query_freshness(self._followers[0].name)
        if freshness.should_read_store(now_s):
            self._followers[0].interrupt()

    def _retry_burst(self) -> float:
        entries = self._peers.known_count or _ASSUMED_ENTRIES
        return self._settings.retry_burst * _RETRY_BURST_SHARE / entries

    def _configuration_changed(
        self, configuration: routes.Configuration
    ) -> None:
        self._placer.configure(configuration.engines)
        self._expert_balancer.configure(configuration.engines)

    def _load_changed(self) -> None:
        self._peers.schedule_broadcast()

    async def _meet_peers(self) -> None:
        """Announces this entry, and learns of the others."""
        own = self._settings.peer_address
        failures = 0
        while True:
            try:
                await self._registry.announce(self._settings.name, own)
                members = await self._registry.member_addresses()
                break
            except exceptions.PlatformUnavailableError as failed:
                failures += 1
                self._log.info("announce_failed", detail=str(failed))
                delay_s = retries.backoff_s(
                    failures, _MEET_BASE_S, _MEET_MOST_S, self._rng
                )
                await task.deferLater(self._reactor, delay_s)
        self._peers.add_addresses(members - {own})
        self._budgets.set_max_tokens(self._retry_burst())

    def _run(self, running: Any) -> None:
        defer.ensureDeferred(running).addErrback(self._task_failed)

    def _task_failed(self, reason: Any) -> None:
        self._log.warning("task_failed", detail=reason.getTraceback())
        self._reactor.stop()

    def _ended(self) -> None:
        self._in_work -= 1


_DEFAULT_LIMITS = routes.CallerLimits()
