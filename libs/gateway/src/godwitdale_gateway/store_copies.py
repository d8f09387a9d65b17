"""Copies of the configuration and the endpoints, read from the store."""

from collections.abc import Callable
from typing import Any

from twisted.python import failure

from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import topic_follower
from godwitdale_observe import logs
from godwitdale_routing import freshness as freshness_lib
from godwitdale_routing import routes

# Time after the store has become reachable again in which a record of an
# endpoint may be missing only because it expired during the outage.
_RECOVERY_WINDOW_S = 3.0
# Delay before the poll of this entry is interrupted because another entry has
# read further. A new record ends the polls of all entries together, so the
# answer to this entry's poll normally arrives at about the same time, without
# interruption.
_INTERRUPT_DELAY_S = 0.05

DecodeConfiguration = Callable[[bytes], routes.Configuration | None]
DecodeEndpoint = Callable[[str, bytes], directory_lib.Endpoint | None]


class ConfigurationCopy:
    """Copy of the configuration in force.

    A configuration is never replaced by one with a lower version.

    Attributes:
        current: The newest configuration that was read, or None.
        freshness: Tracks until when ``current`` was certainly the newest.
    """

    def __init__(
        self,
        key: str,
        decode: DecodeConfiguration,
        freshness: freshness_lib.Freshness,
        on_change: Callable[[routes.Configuration], None],
        clock: Any,
        log: logs.EventLog,
    ) -> None:
        """Creates a copy that holds no configuration yet.

        Args:
            key: Key of the record that holds the configuration.
            decode: Decodes a configuration; returns None for invalid data.
            freshness: Decides how long the configuration may be trusted.
            on_change: Called with each new configuration.
            clock: A Twisted ``IReactorTime``.
            log: The event log.
        """
        self.current: routes.Configuration | None = None
        self.freshness = freshness
        self._key = key
        self._decode = decode
        self._on_change = on_change
        self._clock = clock
        self._log = log

    def apply(self, page: topic_follower.Page) -> None:
        """Applies the last readable configuration among the records."""
        values = [
            record.value
            for record in page.records
            if record.key == self._key and record.value is not None
        ]
        for value in reversed(values):
            configuration = self._decode(value)
            if configuration is None:
                current = self.current
                self._log.warning(
                    "configuration_unreadable",
                    size=len(value),
                    version_in_force=current and current.version,
                )
                continue
            self._set_current(configuration)
            return

    def confirm(self, as_of_s: float) -> None:
        """Records that the current configuration was the newest at a time.

        Args:
            as_of_s: The time.
        """
        if self.current is not None:
            self.freshness.confirm(as_of_s)

    def _set_current(self, configuration: routes.Configuration) -> None:
        current = self.current
        if current is not None and configuration.version <= current.version:
            return
        self.current = configuration
        self._log.info("configuration_in_force", version=configuration.version)
        try:
            self._on_change(configuration)
        except Exception:
            # Routes and keys are in force; what a component could not use must
            # not end the following of the topic.
            self._log.warning(
                "configuration_not_applied",
                version=configuration.version,
                detail=failure.Failure().getTraceback(),
            )


class EndpointsCopy:
    """Updates the directory from the store's records of endpoints.

    Attributes:
        is_complete: Whether all listed endpoints have been read once.
        follower: The follower that feeds this copy, or None until it is set.
    """

    def __init__(
        self,
        directory: directory_lib.Directory,
        decode: DecodeEndpoint,
        clock: Any,
        log: logs.EventLog,
    ) -> None:
        """Creates a copy that has read no records yet.

        Args:
            directory: The directory to keep up to date.
            decode: Decodes an endpoint; returns None for a record that does
                not describe a usable endpoint.
            clock: A Twisted ``IReactorTime``.
            log: The event log.
        """
        self.is_complete = False
        self.follower: topic_follower.TopicFollower | None = None
        self._directory = directory
        self._decode = decode
        self._clock = clock
        self._log = log

    def apply(self, page: topic_follower.Page) -> None:
        """Applies records of endpoints to the directory."""
        if page.is_snapshot:
            listed = {record.key for record in page.records}
            for endpoint_id in self._directory.ids() - listed:
                self._remove_or_lapse(endpoint_id)
            self.is_complete = True
        for record in page.records:
            try:
                self._apply_record(record)
            except Exception:
                # One record must not keep the others from being applied.
                self._log.warning(
                    "endpoint_not_applied",
                    endpoint=record.key,
                    detail=failure.Failure().getTraceback(),
                )

    def confirm(self, as_of_s: float) -> None:
        """Removes lapsed endpoints whose grace period is over.

        Args:
            as_of_s: When the copy was up to date; not used.
        """
        self._directory.expire(self._clock.seconds())

    def _apply_record(self, record: topic_follower.Record) -> None:
        if record.value is None:
            self._remove_or_lapse(record.key)
            return
        endpoint = self._decode(record.key, record.value)
        if endpoint is None:
            self._log.info("endpoint_unusable", endpoint=record.key)
            self._directory.remove(record.key)
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

    def _remove_or_lapse(self, endpoint_id: str) -> None:
        now_s = self._clock.seconds()
        follower = self.follower
        may_have_lapsed = follower is not None and (
            not follower.is_reachable
            or now_s - follower.reachable_since_s < _RECOVERY_WINDOW_S
        )
        if self._directory.get(endpoint_id) is None:
            return
        self._log.info(
            "endpoint_gone", endpoint=endpoint_id, may_be_back=may_have_lapsed
        )
        if may_have_lapsed:
            self._directory.mark_lapsed(endpoint_id, now_s)
        else:
            self._directory.remove(endpoint_id)


class StoreCopies:
    """Shares the state of this entry's copies with the other entries."""

    def __init__(
        self,
        configuration: ConfigurationCopy,
        followers: list[topic_follower.TopicFollower],
        reactor: Any,
    ) -> None:
        """Wraps the copies.

        Args:
            configuration: The copy whose freshness is shared.
            followers: The followers of all topics, with the follower of the
                configuration first.
            reactor: The Twisted reactor.
        """
        self._configuration = configuration
        self._followers = {each.name: each for each in followers}
        self._configuration_topic = followers[0].name
        self._reactor = reactor

    def positions(self) -> dict[str, int]:
        """Returns the position up to which each topic has been read."""
        return {
            topic: follower.position
            for topic, follower in self._followers.items()
            if follower.position is not None
        }

    def on_peer_positions(self, positions: dict[str, int]) -> None:
        """Catches up with topics that another entry has read further.

        Args:
            positions: Positions of the other entry by topic.
        """
        for topic, position in positions.items():
            follower = self._followers.get(topic)
            if follower is None:
                continue
            follower.record_end(position)
            if not follower.is_up_to_date:
                self._reactor.callLater(
                    _INTERRUPT_DELAY_S, self._catch_up, topic
                )

    def age_s(self, topic: str) -> float:
        """Returns the time since the copy of a topic was certainly up to date.

        Args:
            topic: Name of the topic. The age of any topic other than the
                configuration is infinite.
        """
        if topic != self._configuration_topic:
            return float("inf")
        now_s = self._reactor.seconds()
        return self._configuration.freshness.age_s(now_s)

    def on_peer_confirmation(
        self, topic: str, position: int, as_of_s: float
    ) -> None:
        """Confirms the configuration, or catches up with its topic.

        Another entry has seen where the topic ends. If this entry has read the
        topic up to there, its configuration was the newest at that time.

        Args:
            topic: Name of the topic.
            position: Position of the end of the topic.
            as_of_s: When the topic ended there.
        """
        if topic != self._configuration_topic:
            return
        follower = self._followers[topic]
        follower.record_end(position)
        if follower.is_up_to_date:
            self._configuration.confirm(as_of_s)
        else:
            follower.interrupt()

    def _catch_up(self, topic: str) -> None:
        follower = self._followers[topic]
        if not follower.is_up_to_date:
            follower.interrupt()
