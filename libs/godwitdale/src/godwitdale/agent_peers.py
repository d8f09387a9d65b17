"""Calls from an agent to other agents, over links like those of entries."""

from typing import Any

from twisted.internet import defer

from godwitdale import declaration_exchange
from godwitdale import feed as feed_lib
from godwitdale import membership as membership_lib
from godwitdale import tls
from godwitdale_link import client
from godwitdale_link import messages

# A leader may keep links to some hundred agents that it calls rarely.
_LINK_TIMING = client.LinkTiming(idle_heartbeat_interval_s=20.0)


class AgentPeers(declaration_exchange.DeclarationExchange):
    """Owns links to the agents that this agent has called."""

    def __init__(
        self,
        incarnation: str,
        feed: feed_lib.DeclarationFeed,
        members: membership_lib.Membership,
        dialer: tls.AgentDialer,
        clock: Any,
    ) -> None:
        """Creates an object without links.

        Args:
            incarnation: The calling agent's incarnation.
            feed: The declarations.
            members: The instances that the platform lists.
            dialer: Opens connections.
            clock: A Twisted ``IReactorTime``.
        """
        self._incarnation = incarnation
        super().__init__(feed)
        self._members = members
        self._dialer = dialer
        self._clock = clock
        self._links: dict[str, tuple[tuple[str, int], client.AgentLink]] = {}

    def call(
        self, endpoint: str, kind: str, body: bytes, timeout_s: float
    ) -> "defer.Deferred[bytes]":
        """Calls an operation of another agent.

        Args:
            endpoint: Name of the agent's endpoint.
            kind: Name of the operation.
            body: Encoded argument of the operation.
            timeout_s: Maximum time until the result.

        Returns:
            A Deferred that fires with the encoded result. It fails if the
            endpoint is not listed or if there is no result in time.
        """
        link = self._link(endpoint)
        if link is None:
            return defer.fail(ConnectionError(f"{endpoint} is not listed"))
        return link.call(kind, body).addTimeout(timeout_s, self._clock)

    def close(self) -> None:
        """Closes all links."""
        for _, link in self._links.values():
            link.close()
        self._links.clear()

    def known_link(self, endpoint: str) -> client.AgentLink | None:
        """Returns the existing link to an endpoint's agent, or None."""
        known = self._links.get(endpoint)
        return known[1] if known is not None else None

    def on_load_report(
        self,
        endpoint: str,
        load: messages.EndpointLoad,
        accounts: list[tuple[str, float]] | None,
    ) -> None:
        """Does nothing, because calls do not depend on the load."""

    def on_agent_restart(self, endpoint: str) -> None:
        """Does nothing, because the loop of the caller repeats its calls."""

    def _link(self, endpoint: str) -> client.AgentLink | None:
        instance = self._members.agents.get(endpoint)
        if instance is None:
            return None
        address = (instance.host, instance.port)
        known = self._links.get(endpoint)
        if known is not None and known[0] == address:
            return known[1]
        if known is not None:
            known[1].close()
        link = client.AgentLink(
            endpoint,
            self._dialer.client_endpoint(*address),
            self._incarnation,
            self,
            self._clock,
            _LINK_TIMING,
        )
        self._links[endpoint] = (address, link)
        return link
