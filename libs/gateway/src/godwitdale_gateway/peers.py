"""Exchange of state between entries over UDP.

The entries send each other their load, and the position up to which they have
read each topic of the platform's store.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import Any
from typing import Protocol

import msgspec
from twisted.internet import protocol

from godwitdale_gateway import iteration_groups
from godwitdale_gateway import peer_messages
from godwitdale_gateway import statement_sharing
from godwitdale_http import pool as pool_lib
from godwitdale_observe import logs
from godwitdale_routing import peer_load
from godwitdale_routing import wait_queue
from godwitdale_verdicts import decoding

# Changes of the load are collected for this long before they are broadcast.
_BROADCAST_DELAY_S = 0.005
# Longest time between two broadcasts. An entry whose load does not change
# shows with them that it still runs; see ``peer_load.PEER_TIMEOUT_S``.
_HEARTBEAT_S = 1.0
# Bandwidth that one entry may use for scheduled broadcasts of its load, and how
# many seconds of that bandwidth it may use in one burst. ``broadcast`` and
# ``announce_stop`` send at once, even if no bandwidth is left. They delay the
# next scheduled broadcast by at most the longest delay, so that other entries
# do not take this one for silent.
_BROADCAST_BYTES_PER_S = 20_000.0
_BROADCAST_BURST_S = 1.0
_MAX_URGENT_DELAY_S = 0.5
# Number of entries that one freshness query is sent to.
_QUERIED_PEERS = 2
# Number of most recent queries whose replies are still accepted.
_MAX_OPEN_QUERIES = 8
# Copies older than this are not confirmed to other entries, which could not
# use them.
_MAX_AGE_S = 60.0
# Largest age in messages. It also stands for larger and for unknown ages.
_MAX_AGE_MS = 60_000
# Number of ended map changes whose versions are remembered. Announcements of
# these versions are ignored.
_MAX_ENDED_CHANGES = 16
# Largest number of endpoints in one query for their groups, so that the reply
# fits into a datagram, and of such queries that are sent at once.
_MAX_QUERIED_MEMBERS = 32
_MAX_MEMBER_QUERIES = 8
# Number of messages that are sent to an address that has not answered yet.
_MAX_INTRODUCTIONS = 5


class TopicCopies(Protocol):
    """The copies of the store's topics that this entry keeps."""

    def positions(self) -> dict[str, int]:
        """Returns the position up to which each topic has been read."""

    def on_peer_positions(self, positions: dict[str, int]) -> None:
        """Takes the positions up to which another entry has read."""

    def age_s(self, topic: str) -> float:
        """Returns the time since a copy was certainly up to date."""

    def on_peer_confirmation(
        self, topic: str, position: int, as_of_s: float
    ) -> None:
        """Takes another entry's statement of where a topic ended at a time."""


class StatementReports(Protocol):
    """What this entry knows of the statements of endpoints."""

    def report(
        self, endpoint_ids: Sequence[str]
    ) -> dict[str, peer_messages.LimitReport]:
        """Returns the limits of some endpoints for the other entries."""

    def on_report(
        self, peer: str, reports: dict[str, peer_messages.LimitReport]
    ) -> None:
        """Takes the limits that another entry reports."""

    def leaving_report(self, endpoint_ids: Sequence[str]) -> dict[str, int]:
        """Returns which endpoints leave, for the other entries."""

    def on_leaving_report(self, peer: str, ages_ms: dict[str, int]) -> None:
        """Takes the endpoints that leave from another entry."""

    def pace_report(
        self, endpoint_ids: Sequence[str]
    ) -> dict[str, peer_messages.PaceReport]:
        """Returns the paces of recovering endpoints for the other entries."""

    def on_pace_report(
        self, peer: str, reports: dict[str, peer_messages.PaceReport]
    ) -> None:
        """Takes the paces that another entry has found."""

    def on_peer_end(self, peer: str) -> None:
        """Takes that an incarnation of another entry has ended."""


class PartReports(Protocol):
    """What this entry knows of prompt parts that crash endpoints."""

    def reports(self) -> tuple[list[peer_messages.CrashReport], list[str]]:
        """Returns crashes and harmless parts for the other entries."""

    def on_reports(
        self, crashes: list[peer_messages.CrashReport], harmless: list[str]
    ) -> None:
        """Takes the crashes and harmless parts that another entry reports."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnLoad:
    """Load of this entry, as needed by the other entries.

    Attributes:
        in_flight: Number of requests in flight by endpoint.
        queue_heads: The most urgent waiting requests by service.
        sent_prompt_tokens: By iteration group, the prompt tokens that this
            incarnation has sent.
        arrival_rates: As in ``peer_load.PeerLoad``.
    """

    in_flight: dict[str, int]
    queue_heads: dict[str, list[wait_queue.Urgency]]
    sent_prompt_tokens: dict[str, int]
    arrival_rates: dict[str, dict[int, float]] = dataclasses.field(
        default_factory=dict
    )


_NO_LOAD = OwnLoad({}, {}, {})


@dataclasses.dataclass(slots=True)
class _PeerState:
    """State from the last message of another entry.

    Attributes:
        name: Name of the peer's incarnation.
        received_s: When the message was received.
        positions: By topic, the position up to which the peer had read it and
            the milliseconds since this was certainly the end of the topic.
        is_draining: Whether the peer accepts no new connections.
        change: The map change that the peer has announced, or None.
        statement_sequence: Number of its last message with statements.
    """

    name: str
    received_s: float
    positions: dict[str, tuple[int, int]]
    is_draining: bool = False
    change: peer_messages.MapChangeNotice | None = None
    statement_sequence: int = 0


class Peers(protocol.DatagramProtocol):
    """Broadcasts the load of this entry and receives that of the others."""

    transport: Any

    def __init__(
        self,
        name: str,
        peer_loads: peer_load.PeerLoads,
        own_load: Callable[[], OwnLoad],
        copies: TopicCopies,
        part_reports: PartReports,
        members: iteration_groups.GroupMembers,
        statement_reports: StatementReports,
        on_change: Callable[[], None],
        on_map_change_end: Callable[[str, Sequence[str]], None],
        reactor: Any,
        log: logs.EventLog,
    ) -> None:
        """Creates the protocol; it sends nothing until it listens on a port.

        Args:
            name: Name of this incarnation of the entry. Names sort by the
                start time of the incarnations.
            peer_loads: Stores the load of the other entries.
            own_load: Returns the load of this entry.
            copies: The copies of the store's topics that this entry keeps.
            part_reports: What this entry knows of parts that crash endpoints.
            members: Groups of the endpoints.
            statement_reports: What this entry knows of endpoints' statements.
            on_change: Called when the load of another entry has changed.
            on_map_change_end: Called with the name of a service and the ids of
                the ranks of a group when the end of a change of the expert map
                of the group is announced, whatever the outcome of the change.
            reactor: The Twisted reactor.
            log: The event log.
        """
        self._name = name
        self._peer_loads = peer_loads
        self._own_load = own_load
        self._copies = copies
        self._part_reports = part_reports
        self._members = members
        self._statement_reports = statement_reports
        # Endpoints whose statements are to be reported.
        self._unreported_statements: set[str] = set()
        self._query_times_s: dict[int, float] = {}
        self._last_query_id = 0
        self._on_change = on_change
        self._on_map_change_end = on_map_change_end
        self._reactor = reactor
        self._log = log
        self._sequence = 0
        self._introductions_left: dict[pool_lib.Address, int] = {}
        self._has_addresses = False
        self._peers: dict[pool_lib.Address, _PeerState] = {}
        self._is_draining = False
        self._own_change: peer_messages.MapChangeNotice | None = None
        self._ended_versions: collections.deque[int] = collections.deque(
            maxlen=_MAX_ENDED_CHANGES
        )
        self._timer: Any = None
        self._last_whole_load_s = 0.0
        # Load and positions in the last message.
        self._sent_load = _NO_LOAD
        self._sent_positions: dict[str, int] = {}
        self._whole_load_is_due = True
        self._budget_spent_until_s = 0.0

    def add_addresses(self, addresses: set[pool_lib.Address]) -> None:
        """Adds addresses of other entries and introduces this entry to them.

        Args:
            addresses: Addresses from the store, which may include those of
                entries that have stopped.
        """
        self._has_addresses = True
        for address in addresses:
            self._introductions_left.setdefault(address, _MAX_INTRODUCTIONS)
        self._schedule_whole_load()

    def schedule_broadcast(self) -> None:
        """Schedules a broadcast of the load when the bandwidth allows it."""
        if self._timer is not None or self.transport is None:
            return
        now_s = self._reactor.seconds()
        delay_s = max(_BROADCAST_DELAY_S, self._budget_spent_until_s - now_s)
        self._timer = self._reactor.callLater(delay_s, self._on_timer)

    def _schedule_whole_load(self) -> None:
        self._whole_load_is_due = True
        self.schedule_broadcast()

    @property
    def index(self) -> int:
        """Index of this entry among the live entries, ordered by age."""
        return sum(1 for each in self._peers.values() if each.name < self._name)

    @property
    def seniority(self) -> int:
        """Number of older entries that neither drain nor change an expert map.

        The oldest entry has the value 0. An older entry that has announced a
        change of an expert map is not counted: it may have stopped while its
        change held a group, and the other entries could not tell.
        """
        return sum(
            1
            for each in self._peers.values()
            if each.name < self._name
            and not each.is_draining
            and each.change is None
        )

    @property
    def is_oldest(self) -> bool:
        """Whether this entry is the oldest and no other announces a change.

        Entries that drain do not count as older entries. The value is False
        until the addresses of other entries have been added.
        """
        is_first = self.seniority == 0 and not self.announced_changes()
        return self._has_addresses and is_first

    def announced_changes(self) -> list[peer_messages.MapChangeNotice]:
        """Returns the map changes that other entries have announced."""
        return [
            each.change
            for each in self._peers.values()
            if each.change is not None
        ]

    def announce(self, change: peer_messages.MapChangeNotice | None) -> None:
        """Broadcasts a map change, or that the last one has ended.

        Args:
            change: The map change that this entry is about to make, or None
                when the last announced change has ended, whatever its outcome.
        """
        previous = self._own_change
        self._own_change = change
        if change is None and previous is not None:
            self._end_change(previous)
        self.broadcast()

    @property
    def live_count(self) -> int:
        """Number of live entries, this one included."""
        return len(self._peers) + 1

    @property
    def known_count(self) -> int | None:
        """Number of known entries, or None until addresses have been added.

        Includes this entry and entries that the store lists but that may have
        stopped.
        """
        if not self._has_addresses:
            return None
        return len(self._introductions_left | dict.fromkeys(self._peers, 0)) + 1

    def tick(self) -> None:
        """Schedules a heartbeat if one is due and removes silent entries."""
        now_s = self._reactor.seconds()
        if now_s - self._last_whole_load_s >= _HEARTBEAT_S:
            self._schedule_whole_load()
        for address, each in list(self._peers.items()):
            if now_s - each.received_s > peer_load.PEER_TIMEOUT_S:
                del self._peers[address]
                self._statement_reports.on_peer_end(each.name)
                self._log.info("peer_silent", peer=each.name)
        self._peer_loads.remove_silent(now_s)

    def announce_drain(self) -> None:
        """Marks this entry as draining and schedules a broadcast of that."""
        self._is_draining = True
        self._schedule_whole_load()

    def announce_stop(self) -> None:
        """Broadcasts at once that this entry stops."""
        if self.transport is not None:
            self._send_load(_NO_LOAD, is_final=True)

    def datagramReceived(  # noqa: N802
        self, datagram: bytes, addr: tuple[str, int]
    ) -> None:
        """Handles a message of another entry."""
        try:
            message = peer_messages.decode(datagram)
        except decoding.InvalidDataError as error:
            self._log.info("peer_unreadable", peer=addr[0], detail=str(error))
            return
        address = pool_lib.Address(addr[0], addr[1])
        if isinstance(message, peer_messages.LoadMessage):
            self._on_load(address, message)
        elif isinstance(message, peer_messages.LoadChanges):
            self._on_load_changes(message)
        elif isinstance(message, peer_messages.StatementMessage):
            self._on_statements(address, message)
        elif isinstance(message, peer_messages.FreshnessQuery):
            self._on_freshness_query(address, message)
        elif isinstance(message, peer_messages.FreshnessReply):
            self._on_freshness_reply(message)
        elif isinstance(message, peer_messages.MemberQuery):
            self._on_member_query(address, message)
        else:
            self._on_member_reply(message)

    def query_freshness(self, topic: str) -> bool:
        """Asks the entries with the freshest copies of a topic to confirm it.

        Args:
            topic: Name of the topic.

        Returns:
            Whether there is another live entry to ask.
        """
        targets = sorted(
            self._peers, key=lambda each: -self._as_of_s(each, topic)
        )
        if not targets:
            return False
        self._last_query_id += 1
        self._query_times_s[self._last_query_id] = self._reactor.seconds()
        for query_id in list(self._query_times_s)[:-_MAX_OPEN_QUERIES]:
            del self._query_times_s[query_id]
        query = peer_messages.FreshnessQuery(self._last_query_id, topic)
        for address in targets[:_QUERIED_PEERS]:
            self._send(address, query)
        return True

    def query_members(self, endpoint_ids: Sequence[str]) -> None:
        """Asks the oldest entry for the groups of endpoints.

        Args:
            endpoint_ids: Ids of the endpoints. A part of a long list is left
                out.
        """
        oldest = min(
            self._peers, key=lambda each: self._peers[each].name, default=None
        )
        if oldest is None:
            return
        end = min(len(endpoint_ids), _MAX_QUERIED_MEMBERS * _MAX_MEMBER_QUERIES)
        for start in range(0, end, _MAX_QUERIED_MEMBERS):
            ids = endpoint_ids[start : start + _MAX_QUERIED_MEMBERS]
            self._send(oldest, peer_messages.MemberQuery(list(ids)))

    def _on_member_query(
        self, address: pool_lib.Address, query: peer_messages.MemberQuery
    ) -> None:
        groups = {
            endpoint_id: (membership.group, membership.size)
            for endpoint_id in query.endpoint_ids[:_MAX_QUERIED_MEMBERS]
            if (membership := self._members.get(endpoint_id)) is not None
        }
        if groups:
            self._send(address, peer_messages.MemberReply(groups))

    def _on_member_reply(self, reply: peer_messages.MemberReply) -> None:
        self._members.update(
            {
                endpoint_id: iteration_groups.Membership(group, size)
                for endpoint_id, (group, size) in reply.groups.items()
            }
        )

    def _send(
        self, address: pool_lib.Address, message: peer_messages.Message
    ) -> None:
        data = peer_messages.encode(message)
        self.transport.write(data, (address.host, address.port))

    def _as_of_s(self, address: pool_lib.Address, topic: str) -> float:
        """Estimates when an entry's copy of a topic was last up to date.

        The estimate only decides which entries are asked first.
        """
        peer = self._peers[address]
        _, age_ms = peer.positions.get(topic, (0, _MAX_AGE_MS))
        return peer.received_s - age_ms / 1000

    def _on_freshness_query(
        self, address: pool_lib.Address, query: peer_messages.FreshnessQuery
    ) -> None:
        age_s = self._copies.age_s(query.topic)
        position = self._copies.positions().get(query.topic)
        if position is None or age_s > _MAX_AGE_S:
            return
        reply = peer_messages.FreshnessReply(
            query.query_id, query.topic, position, _age_ms(age_s)
        )
        self._send(address, reply)

    def _on_freshness_reply(self, reply: peer_messages.FreshnessReply) -> None:
        """Confirms the copy of a topic as of the time that a reply proves.

        The reply was written after the query was sent. Counting its age from
        the time of the query therefore never makes the copy look too fresh.
        """
        queried_s = self._query_times_s.get(reply.query_id)
        if queried_s is not None:
            self._copies.on_peer_confirmation(
                reply.topic, reply.position, queried_s - reply.age_ms / 1000
            )

    def _on_load(
        self, address: pool_lib.Address, message: peer_messages.LoadMessage
    ) -> None:
        if message.sender == self._name:
            return
        now_s = self._reactor.seconds()
        if message.is_final:
            self._peers.pop(address, None)
            self._peer_loads.remove(message.sender)
            self._statement_reports.on_peer_end(message.sender)
            self._on_change()
            return
        self._update_peer(address, message, now_s)
        self._copies.on_peer_positions(
            {
                topic: position
                for topic, (position, _) in message.positions.items()
            }
        )
        if message.crashes or message.harmless_parts:
            self._part_reports.on_reports(
                message.crashes, message.harmless_parts
            )
        if self._peer_loads.update(
            message.sender, peer_messages.decode_load(message, now_s), now_s
        ):
            self._on_change()

    def _on_load_changes(self, message: peer_messages.LoadChanges) -> None:
        now_s = self._reactor.seconds()
        load = peer_messages.decode_load(message, now_s)
        if self._peer_loads.update_changes(message.sender, load, now_s):
            self._on_change()

    def report_statements(self, endpoint_ids: Iterable[str]) -> None:
        """Reports statements of endpoints to the other entries soon.

        The delay is short even if no bandwidth is left: requests that are not
        known to the other entries are not counted against a limit.

        Args:
            endpoint_ids: Ids of the endpoints.
        """
        if not self._unreported_statements:
            self._reactor.callLater(_BROADCAST_DELAY_S, self._send_statements)
        self._unreported_statements.update(endpoint_ids)

    def _send_statements(self) -> None:
        endpoint_ids = sorted(self._unreported_statements)
        self._unreported_statements.clear()
        if self.transport is None:
            return
        for start in range(
            0, len(endpoint_ids), statement_sharing.MAX_REPORTED_ENDPOINTS
        ):
            self._sequence += 1
            end = start + statement_sharing.MAX_REPORTED_ENDPOINTS
            reported = endpoint_ids[start:end]
            message = peer_messages.StatementMessage(
                self._name,
                self._sequence,
                self._statement_reports.report(reported),
                self._statement_reports.leaving_report(reported),
                self._statement_reports.pace_report(reported),
            )
            self._broadcast_data(
                peer_messages.encode(message), list(self._peers)
            )

    def _on_statements(
        self, address: pool_lib.Address, message: peer_messages.StatementMessage
    ) -> None:
        peer = self._peers.get(address)
        is_outdated = (
            peer is None
            or peer.name != message.sender
            or peer.statement_sequence >= message.sequence
        )
        if peer is None or is_outdated:
            return
        peer.statement_sequence = message.sequence
        self._statement_reports.on_report(message.sender, message.limits)
        self._statement_reports.on_leaving_report(
            message.sender, message.leaving_ages_ms
        )
        self._statement_reports.on_pace_report(message.sender, message.paces)

    def connectionRefused(self) -> None:  # noqa: N802
        """Ignores that no process listens on one of the addresses."""

    def _update_peer(
        self,
        address: pool_lib.Address,
        message: peer_messages.LoadMessage,
        now_s: float,
    ) -> None:
        known = self._peers.get(address)
        if known is None:
            host = address.host
            self._log.info("peer_heard", peer=message.sender, host=host)
        elif known.name != message.sender:
            self._peer_loads.remove(known.name)
            self._statement_reports.on_peer_end(known.name)
        change = message.announced_change
        if change is not None and change.plan.version in self._ended_versions:
            change = None
        is_same = known is not None and known.name == message.sender
        self._peers[address] = _PeerState(
            message.sender,
            now_s,
            message.positions,
            message.is_draining,
            change,
            known.statement_sequence if is_same and known is not None else 0,
        )
        if known is None:
            self._schedule_whole_load()
            return
        is_same_incarnation = known.name == message.sender
        announced = known.change
        if (
            is_same_incarnation
            and announced is not None
            and message.announced_change is None
        ):
            self._end_change(announced)

    def broadcast(self) -> None:
        """Broadcasts load and state at once, even without bandwidth left."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if self.transport is None:
            return  # The process is stopping.
        latest_s = self._reactor.seconds() + _MAX_URGENT_DELAY_S
        latest_s = max(latest_s, self._budget_spent_until_s)
        self._send_load(self._own_load(), is_final=False)
        self._budget_spent_until_s = min(self._budget_spent_until_s, latest_s)

    def _on_timer(self) -> None:
        """Broadcasts the whole load if that is due, otherwise its changes."""
        self._timer = None
        if self.transport is None:
            return  # The process is stopping.
        positions = self._copies.positions()
        if self._whole_load_is_due or positions != self._sent_positions:
            self._send_load(self._own_load(), is_final=False)
        else:
            self._send_changes(self._own_load())

    def _send_changes(self, load: OwnLoad) -> None:
        sent = self._sent_load
        # An endpoint without requests is missing in the load.
        in_flight = {
            each: load.in_flight.get(each, 0)
            for each in sent.in_flight | load.in_flight
            if load.in_flight.get(each, 0) != sent.in_flight.get(each, 0)
        }
        tokens = {
            group: count
            for group, count in load.sent_prompt_tokens.items()
            if count != sent.sent_prompt_tokens.get(group)
        }
        if not (in_flight or tokens or load.queue_heads or sent.queue_heads):
            return
        self._sequence += 1
        message = peer_messages.LoadChanges(
            self._name,
            self._sequence,
            in_flight,
            peer_messages.encode_queue_heads(
                load.queue_heads, self._reactor.seconds()
            ),
            tokens,
        )
        data = peer_messages.encode(message)
        if len(data) > peer_messages.MAX_DATAGRAM_BYTES:
            self._send_load(load, is_final=False)
            return
        self._sent_load = load
        self._broadcast_data(data, list(self._peers))

    def _send_load(self, load: OwnLoad, is_final: bool) -> None:
        now_s = self._reactor.seconds()
        self._sequence += 1
        self._last_whole_load_s = now_s
        self._whole_load_is_due = False
        self._sent_load = load
        self._sent_positions = dict(self._copies.positions())
        crashes, harmless_parts = self._part_reports.reports()
        message = peer_messages.LoadMessage(
            self._name,
            self._sequence,
            load.in_flight,
            peer_messages.encode_queue_heads(load.queue_heads, now_s),
            {
                topic: (position, _age_ms(self._copies.age_s(topic)))
                for topic, position in self._copies.positions().items()
            },
            load.sent_prompt_tokens,
            self._own_change,
            self._is_draining,
            is_final,
            crashes,
            harmless_parts,
            load.arrival_rates,
        )
        self._broadcast_data(self._encode_load(message), self._targets())

    def _broadcast_data(
        self, data: bytes, targets: list[pool_lib.Address]
    ) -> None:
        """Sends a message to other entries and charges the bandwidth."""
        now_s = self._reactor.seconds()
        spent_s = len(data) * len(targets) / _BROADCAST_BYTES_PER_S
        budget_start_s = max(
            self._budget_spent_until_s, now_s - _BROADCAST_BURST_S
        )
        self._budget_spent_until_s = budget_start_s + spent_s
        for address in targets:
            self.transport.write(data, (address.host, address.port))

    def _encode_load(self, message: peer_messages.LoadMessage) -> bytes:
        """Encodes a load message within the size limit.

        If it is too large, the endpoints with the fewest requests in flight
        and then the waiting requests are left out. The state of the sender is
        always included.
        """
        data = peer_messages.encode(message)
        if len(data) <= peer_messages.MAX_DATAGRAM_BYTES:
            return data
        self._log.warning("load_too_large", size=len(data))
        busiest = sorted(
            message.in_flight.items(), key=lambda item: item[1], reverse=True
        )
        while busiest:
            del busiest[len(busiest) // 2 :]
            shorter = msgspec.structs.replace(message, in_flight=dict(busiest))
            data = peer_messages.encode(shorter)
            if len(data) <= peer_messages.MAX_DATAGRAM_BYTES:
                return data
        return peer_messages.encode(
            msgspec.structs.replace(message, in_flight={}, queue_heads={})
        )

    def _end_change(self, ended: peer_messages.MapChangeNotice) -> None:
        """Marks a map change as ended and drops all announcements of it."""
        version = ended.plan.version
        if version not in self._ended_versions:
            self._ended_versions.append(version)
            self._on_map_change_end(ended.service, ended.plan.ranks)
        for each in self._peers.values():
            if each.change is not None and each.change.plan.version == version:
                each.change = None

    def _targets(self) -> list[pool_lib.Address]:
        targets = list(self._peers)
        for address, left in list(self._introductions_left.items()):
            if address in self._peers:
                continue
            if left > 0:
                self._introductions_left[address] = left - 1
                targets.append(address)
        return targets


def _age_ms(age_s: float) -> int:
    return min(_MAX_AGE_MS, int(min(age_s, _MAX_AGE_S) * 1000) + 1)
