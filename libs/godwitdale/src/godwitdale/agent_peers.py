"""Calls from one agent to other agents, over the same kind of link."""

from typing import Any

from twisted.internet import defer

from godwitdale import declaration_exchange
from godwitdale import feed as feed_lib
from godwitdale import membership as membership_lib
from godwitdale import tls
from godwitdale_link import client
from godwitdale_link import messages

# A leader may have links to some hundred agents, for a call now and then.
_TIMING = client.LinkTiming(idle_heartbeat_interval_s=20.0)


class AgentPeers(declaration_exchange.DeclarationExchange):
    """Keeps links to the agents that were called; a host of links."""

    def __init__(
        self,
        incarnation: str,
        feed: feed_lib.DeclarationFeed,
        members: membership_lib.Membership,
        dialer: tls.AgentDialer,
        clock: Any,
    ) -> None:
        """Starts without links.

        Args:
            incarnation: The calling agent's incarnation.
            feed: The declarations.
            members: The instance list.
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
        """Calls another agent.

        Args:
            endpoint: Name of its endpoint.
            kind: What is asked.
            body: The question.
            timeout_s: How long to wait.

        Returns:
            Fires with the answer, or fails where none comes in time.
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
        """Returns the link to an endpoint's agent, if there is one."""
        known = self._links.get(endpoint)
        return known[1] if known is not None else None

    def on_load_report(
        self,
        endpoint: str,
        load: messages.EndpointLoad,
        accounts: list[tuple[str, float]] | None,
    ) -> None:
        """Needs no load."""

    def on_agent_restart(self, endpoint: str) -> None:
        """Needs nothing: calls are repeated by the caller's loop."""

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
            _TIMING,
        )
        self._links[endpoint] = (address, link)
        return link
