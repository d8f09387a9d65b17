"""The gateway: an entry that calls endpoints directly."""

import dataclasses
import functools
import random
from typing import Any
from typing import Protocol

from twisted.internet import defer
from twisted.internet import task

from godwitdale_gateway import dialect as dialect_lib
from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import following
from godwitdale_gateway import forwarding
from godwitdale_gateway import knowledge
from godwitdale_gateway import peers as peers_lib
from godwitdale_gateway import placing
from godwitdale_gateway import refusing
from godwitdale_http import callers
from godwitdale_http import pool as pool_lib
from godwitdale_observe import exposition
from godwitdale_observe import histograms as histograms_lib
from godwitdale_observe import logs
from godwitdale_process import lifecycle
from godwitdale_routing import choice
from godwitdale_routing import freshness as freshness_lib
from godwitdale_routing import retries
from godwitdale_routing import routes
from godwitdale_routing import sharing
from godwitdale_routing import turns
from godwitdale_routing import waiting
from godwitdale_verdicts import exceptions
from godwitdale_verdicts import identifiers
from godwitdale_verdicts import outcomes

_TICK_S = 0.5
# The platform takes an instance out of rotation after two missed looks, one a
# second, so that new connections may come for that long.
_ROTATION_S = 2.6
# Streams that come later than this after the start of a drain could be cut by
# its end; their callers are better off at another entry.
_DRAIN_STREAMS_S = 2.5
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


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a gateway.

    Attributes:
        name: Name of the instance.
        zone: Its availability zone.
        frontend: Where callers connect.
        readiness: Where the platform asks for readiness.
        peers: Where other entries reach this one, over UDP.
        stop_s: Time from the request to stop until the process is killed.
        key_bound_s: Oldest configuration by which a key may be accepted.
        apply_s: Time within which a change has to be in force.
        leaving_s: Time in which a leaving endpoint stops getting work.
        retry_share: Retries allowed for each request to a service.
        retry_burst: Retries beyond that, over all entries.
    """

    name: str
    zone: str
    frontend: pool_lib.Address
    readiness: pool_lib.Address
    peers: pool_lib.Address
    stop_s: float
    key_bound_s: float
    apply_s: float
    leaving_s: float
    retry_share: float
    retry_burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """What the platform provides.

    Attributes:
        dialect: Reads and writes headers.
        configuration: The topic that holds the configuration.
        configuration_key: Its key there.
        decode_configuration: Decodes it.
        endpoints: The topic that lists the endpoints.
        decode_endpoint: Decodes one of them.
        registry: Where the entries find each other.
    """

    dialect: dialect_lib.Dialect
    configuration: following.Topic
    configuration_key: str
    decode_configuration: knowledge.DecodeConfiguration
    endpoints: following.Topic
    decode_endpoint: knowledge.DecodeEndpoint
    registry: "Registry"


class Registry(Protocol):
    """Where the entries find each other.

    Both calls raise ``exceptions.PlatformUnavailableError``.
    """

    async def announce(self, name: str, address: pool_lib.Address) -> None:
        """Writes where an entry can be reached."""

    async def members(self) -> set[pool_lib.Address]:
        """Returns where entries may be reached."""


class Gateway:
    """One entry process. Construct it, ``start`` it; signals call ``stop``.

    Attributes:
        life: The life cycle.
    """

    def __init__(
        self, settings: Settings, sources: Sources, reactor: Any
    ) -> None:
        """Wires the parts; nothing listens yet.

        Args:
            settings: The settings.
            sources: What the platform provides.
            reactor: The Twisted reactor.
        """
        self._settings = settings
        self._reactor = reactor
        self._log = logs.EventLog()
        self._rng = random.Random()
        self._dialect = sources.dialect
        self._pool = pool_lib.Pool(reactor)
        self._directory = directory_lib.Directory(self._pool.drop)
        self._configuration = knowledge.ConfigurationCopy(
            sources.configuration_key,
            sources.decode_configuration,
            freshness_lib.Freshness(settings.key_bound_s),
            self._configuration_changed,
            reactor,
            self._log,
        )
        self._endpoints = knowledge.EndpointsCopy(
            self._directory, sources.decode_endpoint, reactor, self._log
        )
        self._followers = [
            following.Follower(
                topic,
                copy,
                functools.partial(self._poll_s, bound_s * _STEP_SHARE),
                reactor,
                self._rng,
                self._log,
            )
            for topic, copy, bound_s in (
                (sources.configuration, self._configuration, settings.apply_s),
                (sources.endpoints, self._endpoints, settings.leaving_s),
            )
        ]
        self._endpoints.follower = self._followers[1]
        self._board = sharing.LoadBoard()
        self._placer = placing.Placer(
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
            identifiers.new_incarnation(),
            self._board,
            self._placer.load,
            knowledge.Copies(self._configuration, self._followers, reactor),
            self._placer.fill_all,
            reactor,
            self._log,
        )
        self._registry = sources.registry
        self._budgets = retries.BudgetsByService(
            settings.retry_share * _RETRY_SHARE, self._retry_burst()
        )
        self._histograms = histograms_lib.Histograms(_MOST_ACCOUNTS)
        self._tools = forwarding.Tools(
            reactor=reactor,
            dialect=sources.dialect,
            directory=self._directory,
            pool=self._pool,
            placer=self._placer,
            budgets=self._budgets,
            zone=settings.zone,
            log=self._log,
            histograms=self._histograms,
        )
        self._channels: set[callers.CallerChannel] = set()
        self._in_work = 0
        self._drain_s: float | None = None
        self._listening: list[Any] = []
        self._confirming = task.LoopingCall(self._confirm)
        self._confirming.clock = reactor
        self._ticker = task.LoopingCall(self._tick)
        self._ticker.clock = reactor
        self.life = lifecycle.LifeCycle(
            self,
            reactor,
            max(0.0, settings.stop_s - _STOP_RESERVE_S),
            reactor.stop,
            least_drain_s=_ROTATION_S,
        )

    def start(self) -> None:
        """Listens and begins to read the store."""
        settings = self._settings
        for address, handler in (
            (settings.frontend, self),
            (settings.readiness, ReadinessHandler(self)),
        ):
            factory = callers.CallerFactory(handler, self._reactor)
            port = self._reactor.listenTCP(
                address.port, factory, backlog=1024, interface=address.host
            )
            self._listening.append(port)
        self._listening.append(
            self._reactor.listenUDP(
                settings.peers.port,
                self._peers,
                interface=settings.peers.host,
                maxPacketSize=peers_lib.MOST_BYTES,
            )
        )
        for follower in self._followers:
            self._run(follower.run())
        self._run(self._meet_peers())
        self._ticker.start(_TICK_S, now=False)
        self._confirming.start(_CONFIRM_S, now=False)
        self._log.info("started", zone=settings.zone)

    # Service of the life cycle.

    def drain(self) -> None:
        """Closes connections after their next answer."""
        self._drain_s = self._reactor.seconds()

    def in_flight(self) -> int:
        """Returns the number of requests that have not ended."""
        return self._in_work

    def cut(self) -> None:
        """Breaks off what is still in work."""
        self._log.warning("cut", in_work=self._in_work)
        for channel in list(self._channels):
            channel.cut()

    def close(self) -> None:
        """Closes sockets and tasks."""
        self._peers.leave()
        for port in self._listening:
            port.stopListening()
        for channel in list(self._channels):
            channel.close_idle()
        for follower in self._followers:
            follower.stop()
        for repeating in (self._ticker, self._confirming):
            if repeating.running:
                repeating.stop()
        self._pool.close()

    # Handler of callers' requests.

    def bounds(self) -> callers.Bounds:
        """Returns the bounds in force."""
        limits = self._limits()
        return callers.Bounds(
            limits.head_bytes,
            limits.body_bytes,
            limits.head_timeout_s,
            limits.idle_timeout_s,
        )

    def is_draining(self) -> bool:
        """Tells whether connections are closed after their next answer."""
        return self._drain_s is not None

    def opened(self, channel: callers.CallerChannel) -> None:
        """A caller has connected."""
        self._channels.add(channel)

    def closed(self, channel: callers.CallerChannel) -> None:
        """A connection is gone."""
        self._channels.discard(channel)

    def handle(
        self, incoming: callers.Incoming, answer: callers.CallerChannel
    ) -> callers.Work:
        """Forwards a request, or refuses it."""
        ask = self._dialect.read(incoming.headers)
        allowed = self._allow(incoming, ask)
        if isinstance(allowed, outcomes.Refusal):
            self._refuse(ask, allowed, answer)
            return _NO_WORK
        self._in_work += 1
        work = forwarding.Forwarding(allowed, answer, self._tools, self._ended)
        work.start()
        return work

    def is_ready(self) -> bool:
        """Tells whether new connections are welcome."""
        now_s = self._reactor.seconds()
        return (
            self._drain_s is None
            and self._endpoints.is_complete
            and self._configuration.current is not None
            and self._configuration.freshness.is_confirmed(now_s)
        )

    def metrics(self) -> str:
        """Returns counters, present values and histograms as text."""
        now_s = self._reactor.seconds()
        configuration = self._configuration.current
        gauges = {
            "requests_in_work": float(self._in_work),
            "caller_connections": float(len(self._channels)),
            "endpoints": float(len(self._directory)),
            "entries_heard": float(self._peers.count),
            "configuration_version": float(
                configuration.version if configuration else -1
            ),
            "configuration_age_seconds": (
                self._configuration.freshness.age_s(now_s)
            ),
        }
        rows = self._histograms.rows()
        return exposition.render(self._log.counts, gauges, rows)

    def _allow(
        self, incoming: callers.Incoming, ask: dialect_lib.Ask
    ) -> forwarding.Job | outcomes.Refusal:
        now_s = self._reactor.seconds()
        configuration = self._configuration.current
        if configuration is None or not self._endpoints.is_complete:
            return _unconfirmed("no configuration has been read yet")
        freshness = self._configuration.freshness
        is_fresh = freshness.is_fresh(now_s)
        path = incoming.target.partition(b"?")[0].decode("latin-1")
        route = configuration.table.find(ask.host, path)
        if route is None:
            if not is_fresh:
                return _unconfirmed("the configuration may have changed")
            return outcomes.not_run(outcomes.Reason.NOT_FOUND, "no such route")
        account = None
        if configuration.accounts is not None and not route.is_public:
            if not is_fresh:
                return _unconfirmed("keys cannot be confirmed at present")
            account = configuration.accounts.get(ask.key or "")
            if account is None:
                return outcomes.not_run(
                    outcomes.Reason.UNAUTHENTICATED, "this key is not in force"
                )
        if self._is_too_late(route):
            return outcomes.not_run(
                outcomes.Reason.DRAINING,
                "this entry is stopping",
                retry_after_s=refusing.UNCONFIRMED_RETRY_S,
            )
        limit_s = route.timeout_s
        if ask.time_left_s is not None:
            limit_s = min(limit_s, ask.time_left_s)
        return forwarding.Job(
            incoming=incoming,
            ask=ask,
            ticket=self._ticket(incoming, route, limit_s),
            route=route,
            service=route.pick(self._rng),
            account=account.name if account else None,
            deadline_s=incoming.received_s + limit_s,
        )

    def _ticket(
        self,
        incoming: callers.Incoming,
        route: routes.Route,
        limit_s: float,
    ) -> waiting.Ticket:
        received_s = incoming.received_s
        patience_s = limit_s
        if route.patience_s is not None:
            patience_s = min(limit_s, route.patience_s)
        return waiting.Ticket(
            priority=route.priority,
            objective_at_s=received_s + route.objective_s,
            patience_at_s=received_s + patience_s,
        )

    def _is_too_late(self, route: routes.Route) -> bool:
        if self._drain_s is None:
            return False
        since_s = self._reactor.seconds() - self._drain_s
        if route.kind is routes.Kind.STREAM:
            return since_s > _DRAIN_STREAMS_S
        return since_s + route.timeout_s > self._settings.stop_s

    def _refuse(
        self,
        ask: dialect_lib.Ask,
        refusal: outcomes.Refusal,
        answer: callers.CallerChannel,
    ) -> None:
        configuration = self._configuration.current
        self._log.info(
            "refused",
            request=ask.request_id.decode("latin-1"),
            reason=refusal.reason.value,
            detail=refusal.detail,
            version=configuration.version if configuration else None,
        )
        refusing.refuse(
            answer,
            refusal,
            self._dialect.refusal(ask.request_id),
            is_closing=refusal.reason is outcomes.Reason.STALE,
        )

    def _limits(self) -> routes.CallerLimits:
        configuration = self._configuration.current
        return configuration.limits if configuration else _DEFAULT_LIMITS

    def _tick(self) -> None:
        if self.is_ready():
            self.life.started()
        self._directory.expire(self._reactor.seconds())
        self._pool.sweep()
        self._peers.tick()
        self._placer.fill_all()
        self._placer.describe()

    def _poll_s(self, step_s: float, is_woken: bool) -> float:
        return turns.wait_s(
            step_s, self._peers.rank, self._peers.count, is_woken
        )

    def _confirm(self) -> None:
        """Keeps the configuration confirmed, by the cheapest way first."""
        freshness = self._configuration.freshness
        now_s = self._reactor.seconds()
        if self._configuration.current is None:
            return
        if freshness.should_ask(now_s):
            self._peers.ask(self._followers[0].name)
        if freshness.should_read(now_s):
            self._followers[0].hurry()

    def _retry_burst(self) -> float:
        entries = self._peers.known_count or _ASSUMED_ENTRIES
        return self._settings.retry_burst * _RETRY_BURST_SHARE / entries

    def _configuration_changed(
        self, configuration: routes.Configuration
    ) -> None:
        self._placer.configure(configuration.engines)

    def _load_changed(self) -> None:
        self._peers.changed()

    async def _meet_peers(self) -> None:
        """Announces this entry, and learns of the others."""
        own = self._settings.peers
        failures = 0
        while True:
            try:
                await self._registry.announce(self._settings.name, own)
                members = await self._registry.members()
                break
            except exceptions.PlatformUnavailableError as failed:
                failures += 1
                self._log.info("announce_failed", detail=str(failed))
                delay_s = retries.backoff_s(
                    failures, _MEET_BASE_S, _MEET_MOST_S, self._rng
                )
                await task.deferLater(self._reactor, delay_s)
        self._peers.introduce(members - {own})
        self._budgets.set_burst(self._retry_burst())

    def _run(self, running: Any) -> None:
        defer.ensureDeferred(running).addErrback(self._task_failed)

    def _task_failed(self, reason: Any) -> None:
        self._log.warning("task_failed", detail=reason.getTraceback())
        self._reactor.stop()

    def _ended(self) -> None:
        self._in_work -= 1


class ReadinessHandler:
    """Answers the platform's looks at readiness."""

    def __init__(self, gateway: Gateway) -> None:
        """Serves the readiness of a gateway."""
        self._gateway = gateway

    def bounds(self) -> callers.Bounds:
        """Returns bounds for the platform's requests."""
        return callers.Bounds(
            _DEFAULT_LIMITS.head_bytes,
            0,
            _DEFAULT_LIMITS.head_timeout_s,
            _DEFAULT_LIMITS.idle_timeout_s,
        )

    def is_draining(self) -> bool:
        """Keeps the connections of the platform."""
        return False

    def opened(self, channel: callers.CallerChannel) -> None:
        """Does not count connections."""

    def closed(self, channel: callers.CallerChannel) -> None:
        """Does not count connections."""

    def handle(
        self, incoming: callers.Incoming, answer: callers.CallerChannel
    ) -> callers.Work:
        """Answers 200 while new connections are welcome."""
        if incoming.target == _METRICS_TARGET:
            kind = (b"content-type", b"text/plain; version=0.0.4")
            answer.whole(200, [kind], self._gateway.metrics().encode())
            return _NO_WORK
        status = 200 if self._gateway.is_ready() else 503
        answer.whole(status, [], b"")
        return _NO_WORK


class _NoWork:
    """Work that was done at once."""

    def abandon(self) -> None:
        """Has nothing to give up."""


def _unconfirmed(detail: str) -> outcomes.Refusal:
    return outcomes.not_run(
        outcomes.Reason.STALE,
        detail,
        retry_after_s=refusing.UNCONFIRMED_RETRY_S,
    )


_METRICS_TARGET = b"/metrics"
_NO_WORK = _NoWork()
_DEFAULT_LIMITS = routes.CallerLimits()
