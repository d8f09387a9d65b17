"""Exchange of declarations over the links to agents."""

from godwitdale import feed as feed_lib
from godwitdale_link import client
from godwitdale_link import messages


class DeclarationExchange:
    """Keeps the declarations of a process and its agents the same.

    This is the base class of the classes that own links to agents.
    """

    def __init__(self, feed: feed_lib.DeclarationFeed) -> None:
        """Creates an exchange.

        Args:
            feed: The declarations.
        """
        self._feed = feed

    def known_link(self, endpoint: str) -> client.AgentLink | None:
        """Returns the existing link to an endpoint's agent, or None."""
        raise NotImplementedError

    def position(self) -> messages.Position:
        """Returns the position of this process in the declaration log."""
        return self._feed.position()

    def on_agent_position(
        self, endpoint: str, position: messages.Position
    ) -> None:
        """Fetches declarations if an agent has more than this process."""
        link = self.known_link(endpoint)
        if self._feed.on_peer_position(position) and link is not None:
            link.fetch_declarations(self._feed.position().next_offset)

    def declarations_from(self, next_offset: int) -> messages.Declarations:
        """Returns the declarations from an offset on."""
        return self._feed.declarations_from(next_offset)

    def on_declarations(self, message: messages.Declarations) -> None:
        """Folds declarations that an agent has sent."""
        self._feed.on_declarations(message)
