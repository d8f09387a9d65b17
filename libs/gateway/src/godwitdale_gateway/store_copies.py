"""What an entry knows of configuration and endpoints, from the store."""

from collections.abc import Callable
from typing import Any

from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import topic_follower
from godwitdale_observe import logs
from godwitdale_routing import freshness as freshness_lib
from godwitdale_routing import routes

# An endpoint that disappears this short a time after the store came back may
# only have lapsed meanwhile.
_SHAKEN_S = 3.0
# How long a poll may lag behind what another entry has read: they are all
# woken together, and their answers arrive about together.
_LAG_S = 0.05

DecodeConfiguration = Callable[[bytes], routes.Configuration | None]
DecodeEndpoint = Callable[[str, bytes], directory_lib.Endpoint | None]


class ConfigurationCopy:
    """The configuration in force here; it never goes back.

    Attributes:
        current: The newest configuration that was seen, or None.
        freshness: Until when it was certainly the newest.
    """

    def __init__(
        self,
        key: str,
        decode: DecodeConfiguration,
        freshness: freshness_lib.Freshness,
        changed: Callable[[routes.Configuration], None],
        clock: Any,
        log: logs.EventLog,
    ) -> None:
        """Starts without any.

        Args:
            key: Key of the record that holds it.
            decode: Returns a configuration, or None for what is none.
            freshness: Decides how long it may be trusted.
            changed: Called with each new configuration.
            clock: A Twisted ``IReactorTime``.
            log: The log of decisions.
        """
        self.current: routes.Configuration | None = None
        self.freshness = freshness
        self._key = key
        self._decode = decode
        self._on_change = changed
        self._clock = clock
        self._log = log

    def apply(self, page: topic_follower.Page) -> None:
        """Takes records; only the last configuration counts."""
        values = [
            item.value
            for item in page.records
            if item.key == self._key and item.value is not None
        ]
        for value in reversed(values):
            configuration = self._decode(value)
            if configuration is None:
                self._log.warning("configuration_unreadable", size=len(value))
                continue
            self._put(configuration)
            return

    def confirm(self, as_of_s: float) -> None:
        """Is told that it was the newest at a moment."""
        if self.current is not None:
            self.freshness.confirm(as_of_s)

    def _put(self, configuration: routes.Configuration) -> None:
        known = self.current
        if known is not None and configuration.version <= known.version:
            return
        self.current = configuration
        self._on_change(configuration)
        self._log.info("configuration_in_force", version=configuration.version)


class EndpointsCopy:
    """Feeds the directory from the records of endpoints."""

    def __init__(
        self,
        directory: directory_lib.Directory,
        decode: DecodeEndpoint,
        clock: Any,
        log: logs.EventLog,
    ) -> None:
        """Starts without any endpoint.

        Args:
            directory: Is kept up to date.
            decode: Returns an endpoint, or None for what names none to use.
            clock: A Twisted ``IReactorTime``.
            log: The log of decisions.
        """
        self.is_complete = False
        self.follower: topic_follower.TopicFollower | None = None
        self._directory = directory
        self._decode = decode
        self._clock = clock
        self._log = log

    def apply(self, page: topic_follower.Page) -> None:
        """Takes records of endpoints."""
        if page.is_snapshot:
            listed = {item.key for item in page.records}
            for endpoint_id in self._directory.ids() - listed:
                self._drop(endpoint_id)
            self.is_complete = True
        for item in page.records:
            self._take_item(item)

    def confirm(self, as_of_s: float) -> None:
        """Is told that the list was complete at a moment."""
        self._directory.expire(self._clock.seconds())

    def _take_item(self, item: topic_follower.Record) -> None:
        if item.value is None:
            self._drop(item.key)
            return
        endpoint = self._decode(item.key, item.value)
        if endpoint is None:
            self._log.info("endpoint_unusable", endpoint=item.key)
            self._directory.remove(item.key)
            return
        known = self._directory.get(endpoint.id)
        if known is None or known.endpoint.is_draining != endpoint.is_draining:
            self._log.info(
                "endpoint_listed",
                endpoint=endpoint.id,
                service=endpoint.service,
                draining=endpoint.is_draining,
            )
        self._directory.put(endpoint, self._clock.seconds())

    def _drop(self, endpoint_id: str) -> None:
        now_s = self._clock.seconds()
        follower = self.follower
        is_shaken = follower is not None and (
            not follower.is_reachable
            or now_s - follower.reachable_since_s < _SHAKEN_S
        )
        if self._directory.get(endpoint_id) is None:
            return
        self._log.info(
            "endpoint_gone", endpoint=endpoint_id, may_be_back=is_shaken
        )
        if is_shaken:
            self._directory.mark_lapsed(endpoint_id, now_s)
        else:
            self._directory.remove(endpoint_id)


class StoreCopies:
    """The copies that this entry keeps, as the other entries see them."""

    def __init__(
        self,
        configuration: ConfigurationCopy,
        followers: list[topic_follower.TopicFollower],
        reactor: Any,
    ) -> None:
        """Prepares.

        Args:
            configuration: The copy whose freshness counts.
            followers: That of the configuration first.
            reactor: The Twisted reactor.
        """
        self._configuration = configuration
        self._followers = {each.name: each for each in followers}
        self._configuration_topic = followers[0].name
        self._reactor = reactor

    def positions(self) -> dict[str, int]:
        """Returns how far each topic has been read."""
        return {
            name: follower.position
            for name, follower in self._followers.items()
            if follower.position is not None
        }

    def on_peer_positions(self, positions: dict[str, int]) -> None:
        """Is told how far another entry has read."""
        for name, position in positions.items():
            if self._is_behind(name, position):
                self._reactor.callLater(_LAG_S, self._catch_up, name, position)

    def age_s(self, topic: str) -> float:
        """Returns how long ago a copy was certainly complete."""
        if topic != self._configuration_topic:
            return float("inf")
        now_s = self._reactor.seconds()
        return self._configuration.freshness.age_s(now_s)

    def on_peer_confirmation(
        self, topic: str, position: int, as_of_s: float
    ) -> None:
        """Is told by another entry how far a topic went at a moment."""
        if topic != self._configuration_topic:
            return
        if self._is_behind(topic, position):
            self._catch_up(topic, position)
            return
        self._configuration.confirm(as_of_s)

    def _is_behind(self, name: str, position: int) -> bool:
        follower = self._followers.get(name)
        if follower is None or follower.position is None:
            return False
        return follower.position < position

    def _catch_up(self, name: str, position: int) -> None:
        if self._is_behind(name, position):
            self._followers[name].interrupt()
