"""What every owner of links does with declarations."""

from godwitdale import feed as feed_lib
from godwitdale_link import client
from godwitdale_link import messages


class DeclarationExchange:
    """Keeps a process and the agents that it talks to at one state.

    A base of the hosts of links; they tell which link leads to an endpoint.
    """

    def __init__(self, feed: feed_lib.DeclarationFeed) -> None:
        """Prepares.

        Args:
            feed: The declarations.
        """
        self._feed = feed

    def known_link(self, endpoint: str) -> client.AgentLink | None:
        """Returns the link to an endpoint's agent, if there is one."""
        raise NotImplementedError

    def position(self) -> messages.Position:
        """Returns how far the declarations are folded."""
        return self._feed.position()

    def on_agent_position(
        self, endpoint: str, position: messages.Position
    ) -> None:
        """Fetches declarations from an agent that knows more."""
        link = self.known_link(endpoint)
        if self._feed.on_peer_position(position) and link is not None:
            link.fetch_declarations(self._feed.position().next_offset)

    def declarations_from(self, next_offset: int) -> messages.Declarations:
        """Returns what an agent lacks."""
        return self._feed.declarations_from(next_offset)

    def on_declarations(self, message: messages.Declarations) -> None:
        """Takes what an agent knows."""
        self._feed.declarations_received(message)
