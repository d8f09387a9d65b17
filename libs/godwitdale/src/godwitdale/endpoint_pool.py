"""The endpoints as one entry sees them, and the links to their agents."""

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

_PREFIX_BLOCKS = 50_000
_PEERS = 3
_LEAST_SUBSET = 4


class EndpointPool(declaration_exchange.DeclarationExchange):
    """Chooses endpoints and owns one link to each agent in use.

    Attributes:
        prefix_index: Where prompts are likely cached.
    """

    def __init__(
        self,
        own: settings_lib.EntrySettings,
        incarnation: str,
        feed: feed_lib.DeclarationFeed,
        members: membership_lib.Membership,
        reactor: Any,
        rng: random.Random,
    ) -> None:
        """Starts without links.

        Args:
            own: Settings of the entry.
            incarnation: The entry's incarnation.
            feed: The declarations.
            members: The instance list.
            reactor: The Twisted reactor.
            rng: Source of random choices.
        """
        self.prefix_index = prefixes.PrefixIndex(_PREFIX_BLOCKS)
        self._rates: dict[str, dict[str, float]] = {}
        self._own = own
        self._incarnation = incarnation
        super().__init__(feed)
        self._members = members
        self._reactor = reactor
        self._dialer = tls.AgentDialer(reactor, own.peer_tls)
        self._chooser: choice.Chooser = choice.TwoChoices(rng)
        self._tracked: dict[str, choice.EndpointStats] = {}
        self._links: dict[str, client.AgentLink] = {}
        self._addresses: dict[str, tuple[str, int]] = {}
        beat = own.heartbeat
        self._is_closed = False
        self._subsets: dict[str, list[str]] = {}
        self._subsets_of: view_lib.View | None = None
        self._timing = client.LinkTiming(
            heartbeat_interval_s=beat.interval_s,
            idle_heartbeat_interval_s=beat.idle_s,
            heartbeat_timeout_s=beat.silence_s,
            connect_timeout_s=beat.connect_s,
            disconnect_grace_s=beat.give_up_s,
        )

    def candidates(
        self, selector: objects.Selector, tried: set[str]
    ) -> list[choice.EndpointStats]:
        """Returns the endpoints that may get a request now.

        Args:
            selector: The selector that binds the request.
            tried: Endpoints that have refused it already.
        """
        if self._is_closed:
            return []
        names = self._subset(selector)
        taking = [name for name in names if self._takes_work(name)]
        healths = {name: self.stats(name).health for name in taking}
        now_s = self._reactor.seconds()
        share = self._feed.view.policy.ejected_share
        usable = health_lib.usable_endpoints(healths, now_s, share)
        return [self._tracked[name] for name in usable if name not in tried]

    def choose(
        self,
        candidates: list[choice.EndpointStats],
        traits: choice.RequestTraits,
    ) -> choice.EndpointStats:
        """Returns the endpoint for a request."""
        return self._chooser.choose(candidates, traits, self._reactor.seconds())

    def link(self, endpoint: str) -> client.AgentLink | None:
        """Returns the link to an endpoint's agent, or None where it is gone."""
        instance = self._members.agents.get(endpoint)
        if instance is None:
            return None
        address = (instance.host, instance.port)
        if self._addresses.get(endpoint) != address:
            self._replace_link(endpoint, address)
        return self._links[endpoint]

    def open_links(self) -> None:
        """Opens links to the agents that requests are likely to need."""
        if self._is_closed:
            return
        for name in self._wanted():
            link = self.link(name)
            if link is not None:
                link.open()
        for name in list(self._links):
            if name not in self._members.agents and not self._busy(name):
                self._drop(name)

    def close(self) -> None:
        """Closes all links for good."""
        self._is_closed = True
        for name in list(self._links):
            self._drop(name)

    def outstanding(self) -> int:
        """Returns the attempts under way."""
        return sum(link.attempt_count for link in self._links.values())

    def describe_links(self) -> list[dict[str, Any]]:
        """Returns one row for each endpoint with a link, for the status."""
        rows = []
        for name, link in sorted(self._links.items()):
            tracked = self.stats(name)
            rows.append(
                {
                    "endpoint": name,
                    "open": link.is_open,
                    "outstanding": link.attempt_count,
                    "leaving": tracked.report.is_draining,
                    "queued": tracked.report.queued,
                    "running": tracked.report.running,
                    "replaced_connections": link.replaced_connections,
                    "dropped_frames": link.dropped_frames,
                }
            )
        return rows

    def known_link(self, endpoint: str) -> client.AgentLink | None:
        """Returns the link to an endpoint's agent, if there is one."""
        return self._links.get(endpoint)

    def on_load_report(
        self,
        endpoint: str,
        load: messages.EndpointLoad,
        accounts: list[tuple[str, float]] | None,
    ) -> None:
        """Takes a load report."""
        tracked = self.stats(endpoint)
        report = choice.LoadReport(
            running=load.running,
            queued=load.queued,
            slots=load.slots,
            service_s=load.service_s,
            step_s=load.step_s,
            prefill_tokens_per_s=load.prefill_tokens_per_s,
            is_draining=load.is_draining,
        )
        tracked.update_report(report, included_requests=tracked.in_flight)
        if accounts is not None:
            self._rates[endpoint] = dict(accounts)

    def offered_per_s(self, account: str) -> float:
        """Returns what callers offer of an account to all entries.

        Counted are the agents that this entry sends to, which is what its
        own traffic has to be compared with.

        Args:
            account: Name of the account.
        """
        return sum(rates.get(account, 0.0) for rates in self._rates.values())

    def on_agent_restart(self, endpoint: str) -> None:
        """Forgets what was known of an agent's former life."""
        self._tracked[endpoint] = self._new_tracked(endpoint)
        self.prefix_index.remove_endpoint(endpoint)

    def _wanted(self) -> set[str]:
        """Returns the endpoints to keep links to.

        While nothing is declared yet, as after a start during an outage of
        the log, a few agents serve as peers to learn the declarations from.
        """
        if not self._feed.is_initialized:
            agents = self._members.agents
            return set(subsets.select_subset(self._own.name, agents, _PEERS))
        return {
            name
            for selector in self._feed.view.selectors
            for name in self._subset(selector)
        }

    def _subset(self, selector: objects.Selector) -> list[str]:
        """Returns the endpoints of a selector that this entry uses.

        Computed once for each state of the declarations; requests only look
        it up.
        """
        view = self._feed.view
        if view is not self._subsets_of:
            self._subsets_of = view
            self._subsets = self._choose_subsets(view)
        return self._subsets.get(selector.name, [])

    def _choose_subsets(self, view: view_lib.View) -> dict[str, list[str]]:
        matching = {
            selector.name: tuple(
                endpoint.name
                for endpoint in view.endpoints.values()
                if selectors.endpoint_matches(selector, endpoint.labels)
            )
            for selector in view.selectors
        }
        sets = set(matching.values())
        share = self._own.link_budget // max(1, len(sets))
        size = max(_LEAST_SUBSET, share)
        chosen = {
            names: subsets.select_subset(self._own.name, names, size)
            for names in sets
        }
        return {name: chosen[names] for name, names in matching.items()}

    def _takes_work(self, endpoint: str) -> bool:
        instance = self._members.agents.get(endpoint)
        if instance is None or self._members.is_leaving(instance.name):
            return False
        if self._feed.view.is_leaving(endpoint):
            return False
        link = self._links.get(endpoint)
        if link is not None and link.has_failed:
            return False
        return not self.stats(endpoint).report.is_draining

    def _busy(self, endpoint: str) -> bool:
        link = self._links.get(endpoint)
        return link is not None and link.attempt_count > 0

    def stats(self, endpoint: str) -> choice.EndpointStats:
        """Returns what is known of an endpoint."""
        tracked = self._tracked.get(endpoint)
        if tracked is None:
            tracked = self._tracked[endpoint] = self._new_tracked(endpoint)
        return tracked

    def _new_tracked(self, endpoint: str) -> choice.EndpointStats:
        instance = self._members.agents.get(endpoint)
        zone = instance.zone if instance is not None else ""
        return choice.EndpointStats(endpoint, zone, self._reactor.seconds())

    def _replace_link(self, endpoint: str, address: tuple[str, int]) -> None:
        if endpoint in self._links:
            self._drop(endpoint)
        self._addresses[endpoint] = address
        self._links[endpoint] = client.AgentLink(
            endpoint,
            self._dialer.client_endpoint(*address),
            self._incarnation,
            self,
            self._reactor,
            self._timing,
        )

    def _drop(self, endpoint: str) -> None:
        self._links.pop(endpoint).close()
        self._addresses.pop(endpoint, None)
        self._tracked.pop(endpoint, None)
        self._rates.pop(endpoint, None)
