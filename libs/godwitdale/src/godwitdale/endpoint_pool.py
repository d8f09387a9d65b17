"""Endpoints that an entry sends requests to, and links to their agents."""

import random
from typing import Any

from godwitdale import declaration_exchange
from godwitdale import feed as feed_lib
from godwitdale import membership as membership_lib
from godwitdale import settings as settings_lib
from godwitdale import tls
from godwitdale_declarations import objects
from godwitdale_declarations import selectors
from godwitdale_declarations import view as view_lib
from godwitdale_link import client
from godwitdale_link import messages
from godwitdale_routing import choice
from godwitdale_routing import health as health_lib
from godwitdale_routing import prefixes
from godwitdale_routing import subsets

_MAX_PREFIX_BLOCKS = 50_000
_BOOTSTRAP_PEERS = 3
_MIN_SUBSET_SIZE = 4


class EndpointPool(declaration_exchange.DeclarationExchange):
    """Chooses endpoints and owns a link to the agent of each used endpoint.

    Attributes:
        prefixes: Index of the endpoints that likely cache a prompt prefix.
    """

    def __init__(
        self,
        settings: settings_lib.EntrySettings,
        incarnation: str,
        feed: feed_lib.DeclarationFeed,
        members: membership_lib.Membership,
        reactor: Any,
        rng: random.Random,
    ) -> None:
        """Creates a pool without links.

        Args:
            settings: Settings of the entry.
            incarnation: The entry's incarnation.
            feed: The declarations.
            members: The instances that the platform lists.
            reactor: The Twisted reactor.
            rng: Source of randomness for the choice of endpoints.
        """
        self.prefixes = prefixes.PrefixIndex(_MAX_PREFIX_BLOCKS)
        self._account_rates: dict[str, dict[str, float]] = {}
        self._settings = settings
        self._incarnation = incarnation
        super().__init__(feed)
        self._members = members
        self._reactor = reactor
        self._dialer = tls.AgentDialer(reactor, settings.peer_tls)
        self._chooser: choice.Chooser = choice.TwoChoices(rng)
        self._stats: dict[str, choice.EndpointStats] = {}
        self._links: dict[str, client.AgentLink] = {}
        self._addresses: dict[str, tuple[str, int]] = {}
        heartbeat = settings.heartbeat
        self._is_closed = False
        self._subsets: dict[str, list[str]] = {}
        self._subsets_view: view_lib.View | None = None
        self._link_timing = client.LinkTiming(
            heartbeat_interval_s=heartbeat.interval_s,
            idle_heartbeat_interval_s=heartbeat.idle_s,
            heartbeat_timeout_s=heartbeat.silence_s,
            connect_timeout_s=heartbeat.connect_s,
            disconnect_grace_s=heartbeat.give_up_s,
        )

    def candidates(
        self, selector: objects.Selector, tried_endpoints: set[str]
    ) -> list[choice.EndpointStats]:
        """Returns the endpoints that a request may be sent to now.

        Args:
            selector: Selector that binds the request.
            tried_endpoints: Endpoints that were already tried for the request.
        """
        if self._is_closed:
            return []
        names = self._subset(selector)
        accepting = [name for name in names if self._accepts_requests(name)]
        healths = {name: self.stats(name).health for name in accepting}
        now_s = self._reactor.seconds()
        share = self._feed.view.policy.ejected_share
        usable = health_lib.usable_endpoints(healths, now_s, share)
        return [
            self._stats[name] for name in usable if name not in tried_endpoints
        ]

    def choose(
        self,
        candidates: list[choice.EndpointStats],
        traits: choice.RequestTraits,
    ) -> choice.EndpointStats:
        """Returns the candidate that is best for a request."""
        return self._chooser.choose(candidates, traits, self._reactor.seconds())

    def link(self, endpoint: str) -> client.AgentLink | None:
        """Returns the link to a listed endpoint's agent, or None."""
        instance = self._members.agents.get(endpoint)
        if instance is None:
            return None
        address = (instance.host, instance.port)
        if self._addresses.get(endpoint) != address:
            self._replace_link(endpoint, address)
        return self._links[endpoint]

    def open_links(self) -> None:
        """Opens links to the agents that requests may use and drops others.

        The links to agents that are no longer listed are dropped once they
        have no attempts in progress.
        """
        if self._is_closed:
            return
        for name in self._endpoints_to_connect():
            link = self.link(name)
            if link is not None:
                link.open()
        for name in list(self._links):
            if name not in self._members.agents and not self._has_attempts(
                name
            ):
                self._drop_link(name)

    def close(self) -> None:
        """Closes all links and accepts no more requests."""
        self._is_closed = True
        for name in list(self._links):
            self._drop_link(name)

    def outstanding(self) -> int:
        """Returns the number of attempts in progress."""
        return sum(link.attempt_count for link in self._links.values())

    def describe_links(self) -> list[dict[str, Any]]:
        """Returns the state of each link, as shown in the status."""
        rows = []
        for name, link in sorted(self._links.items()):
            stats = self.stats(name)
            rows.append(
                {
                    "endpoint": name,
                    "open": link.is_open,
                    "outstanding": link.attempt_count,
                    "leaving": stats.report.is_draining,
                    "queued": stats.report.queued,
                    "running": stats.report.running,
                    "replaced_connections": link.replaced_connections,
                    "dropped_frames": link.dropped_frames,
                }
            )
        return rows

    def known_link(self, endpoint: str) -> client.AgentLink | None:
        """Returns the existing link to an endpoint's agent, or None."""
        return self._links.get(endpoint)

    def on_load_report(
        self,
        endpoint: str,
        load: messages.EndpointLoad,
        accounts: list[tuple[str, float]] | None,
    ) -> None:
        """Records an endpoint's load and the request rates of its accounts."""
        stats = self.stats(endpoint)
        report = choice.LoadReport(
            running=load.running,
            queued=load.queued,
            slots=load.slots,
            service_s=load.service_s,
            step_s=load.step_s,
            prefill_tokens_per_s=load.prefill_tokens_per_s,
            is_draining=load.is_draining,
        )
        stats.update_report(report, included_requests=stats.in_flight)
        if accounts is not None:
            self._account_rates[endpoint] = dict(accounts)

    def offered_per_s(self, account: str) -> float:
        """Returns the requests per second of an account over all entries.

        The sum covers the agents that this entry sends requests to, because
        the result is compared with this entry's own traffic.

        Args:
            account: Name of the account.
        """
        return sum(
            rates.get(account, 0.0) for rates in self._account_rates.values()
        )

    def on_agent_restart(self, endpoint: str) -> None:
        """Discards the statistics of an agent's previous incarnation."""
        self._stats[endpoint] = self._new_stats(endpoint)
        self.prefixes.remove_endpoint(endpoint)

    def _endpoints_to_connect(self) -> set[str]:
        """Returns the endpoints to whose agents links are kept open.

        Before the first declarations are known, for example after a start
        during an outage of the log, these are a few agents from which the
        entry can fetch the declarations.
        """
        if not self._feed.is_initialized:
            agents = self._members.agents
            return set(
                subsets.select_subset(
                    self._settings.name, agents, _BOOTSTRAP_PEERS
                )
            )
        return {
            name
            for selector in self._feed.view.selectors
            for name in self._subset(selector)
        }

    def _subset(self, selector: objects.Selector) -> list[str]:
        """Returns the endpoints of a selector that this entry uses.

        The subsets of all selectors are computed once for each state of the
        declarations, so that a request only needs a lookup.
        """
        view = self._feed.view
        if view is not self._subsets_view:
            self._subsets_view = view
            self._subsets = self._compute_subsets(view)
        return self._subsets.get(selector.name, [])

    def _compute_subsets(self, view: view_lib.View) -> dict[str, list[str]]:
        matching = {
            selector.name: tuple(
                endpoint.name
                for endpoint in view.endpoints.values()
                if selectors.endpoint_matches(selector, endpoint.labels)
                and not self._is_evacuated(endpoint.name)
            )
            for selector in view.selectors
        }
        sets = set(matching.values())
        share = self._settings.link_budget // max(1, len(sets))
        size = max(_MIN_SUBSET_SIZE, share)
        subset_of = {
            names: subsets.select_subset(self._settings.name, names, size)
            for names in sets
        }
        return {name: subset_of[names] for name, names in matching.items()}

    def _accepts_requests(self, endpoint: str) -> bool:
        instance = self._members.agents.get(endpoint)
        if instance is None or self._members.is_leaving(instance.name):
            return False
        if self._feed.view.is_leaving(endpoint):
            return False
        if self._is_evacuated(endpoint):
            return False
        link = self._links.get(endpoint)
        if link is not None and link.has_failed:
            return False
        return not self.stats(endpoint).report.is_draining

    def _is_evacuated(self, endpoint: str) -> bool:
        instance = self._members.agents.get(endpoint)
        zones = self._feed.view.evacuated_zones
        return instance is not None and instance.zone in zones

    def _has_attempts(self, endpoint: str) -> bool:
        link = self._links.get(endpoint)
        return link is not None and link.attempt_count > 0

    def stats(self, endpoint: str) -> choice.EndpointStats:
        """Returns the load and health of an endpoint."""
        stats = self._stats.get(endpoint)
        if stats is None:
            stats = self._stats[endpoint] = self._new_stats(endpoint)
        return stats

    def _new_stats(self, endpoint: str) -> choice.EndpointStats:
        instance = self._members.agents.get(endpoint)
        zone = instance.zone if instance is not None else ""
        return choice.EndpointStats(endpoint, zone, self._reactor.seconds())

    def _replace_link(self, endpoint: str, address: tuple[str, int]) -> None:
        if endpoint in self._links:
            self._drop_link(endpoint)
        self._addresses[endpoint] = address
        self._links[endpoint] = client.AgentLink(
            endpoint,
            self._dialer.client_endpoint(*address),
            self._incarnation,
            self,
            self._reactor,
            self._link_timing,
        )

    def _drop_link(self, endpoint: str) -> None:
        self._links.pop(endpoint).close()
        self._addresses.pop(endpoint, None)
        self._stats.pop(endpoint, None)
        self._account_rates.pop(endpoint, None)
