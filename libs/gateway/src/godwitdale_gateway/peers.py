"""Datagrams in which the entries tell each other about their load."""

import collections
from collections.abc import Callable
import dataclasses
from typing import Any
from typing import Protocol

import msgspec
from twisted.internet import protocol

from godwitdale_experts import map_change
from godwitdale_http import pool as pool_lib
from godwitdale_observe import logs
from godwitdale_routing import peer_load
from godwitdale_routing import wait_queue

# Changes are collected for this long before they are told.
_COLLECT_S = 0.005
# An entry without changes shows that it lives within
# ``peer_load.PEER_TIMEOUT_S``.
_HEARTBEAT_S = 1.0
# Bytes a second that one entry may spend on telling its load, and how many
# seconds of that it may spend at once.
_BUDGET_BYTES_PER_S = 20_000.0
_BURST_S = 1.0
# Largest message; a datagram that is cut up is lost more often.
MAX_DATAGRAM_BYTES = 1400
# Entries that are asked at once how fresh their copy is.
_ASKED = 2
# Questions whose answers are still taken.
_MOST_QUESTIONS = 8
# Copies older than this are not told of; nobody can use them.
_MOST_AGE_S = 60.0
_NEVER_MS = 60_000
# Changes of maps that are remembered to have come to their end.
_MOST_SETTLED = 16
# How often an entry introduces itself to one that has not answered yet.
_INTRODUCTIONS = 5


class MapChangeNotice(msgspec.Struct, frozen=True, array_like=True):
    """A change of an expert map that an entry has announced.

    Attributes:
        service: Name of the service.
        plan: What it is about to do.
    """

    service: str
    plan: map_change.ChangePlan


class LoadMessage(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """What one entry tells the others of its load.

    Attributes:
        sender: Name of this life of the entry.
        sequence: Grows with each message of one life.
        in_flight: Requests in work by endpoint.
        heads: By service, the most urgent waiting requests: whether late,
            priority, and milliseconds until they are due.
        positions: By topic, how far it has read, and how many milliseconds
            ago that was certainly all there was.
        sent_prompt_tokens: Prompt tokens sent in this life, by service.
        map_change: A change of an expert map that the entry is about to make,
            or None.
        is_draining: Whether the entry takes no new connections any more.
        is_final: Whether the entry stops.
    """

    sender: str
    sequence: int
    in_flight: dict[str, int]
    heads: dict[str, list[tuple[bool, int, int]]]
    positions: dict[str, tuple[int, int]]
    sent_prompt_tokens: dict[str, int]
    map_change: MapChangeNotice | None = None
    is_draining: bool = False
    is_final: bool = False


class FreshnessQuery(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Asks another entry how fresh its copy of a topic is.

    Attributes:
        number: Comes back in the answer.
        topic: Name of the topic.
    """

    number: int
    topic: str


class FreshnessReply(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Answers a question.

    Attributes:
        number: Of the question.
        topic: Name of the topic.
        position: How far the entry has read.
        age_ms: How long ago that was certainly all there was.
    """

    number: int
    topic: str
    position: int
    age_ms: int


Message = LoadMessage | FreshnessQuery | FreshnessReply

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


class TopicCopies(Protocol):
    """The copies of topics that this entry keeps."""

    def positions(self) -> dict[str, int]:
        """Returns how far each has been read."""

    def on_peer_positions(self, positions: dict[str, int]) -> None:
        """Is told how far another entry has read."""

    def age_s(self, topic: str) -> float:
        """Returns how long ago a copy was certainly complete."""

    def on_peer_confirmation(
        self, topic: str, position: int, as_of_s: float
    ) -> None:
        """Is told by another entry how far a topic went at a moment."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnLoad:
    """What an entry has to tell.

    Attributes:
        in_flight: Requests in work by endpoint.
        heads: Most urgent waiting requests by service.
        sent_prompt_tokens: Prompt tokens sent in this life, by service.
    """

    in_flight: dict[str, int]
    heads: dict[str, list[wait_queue.Urgency]]
    sent_prompt_tokens: dict[str, int]


_NO_LOAD = OwnLoad({}, {}, {})


@dataclasses.dataclass(slots=True)
class _Heard:
    """What one life of another entry told last.

    Attributes:
        name: Name of that life.
        heard_s: When it was heard.
        positions: How far it had read each topic, and how old that was.
        is_draining: Whether it will stop soon.
        change: The change that it has announced, or None.
    """

    name: str
    heard_s: float
    positions: dict[str, tuple[int, int]]
    is_draining: bool = False
    change: MapChangeNotice | None = None


class Peers(protocol.DatagramProtocol):
    """Tells the load of this entry, and collects that of the others."""

    transport: Any

    def __init__(
        self,
        name: str,
        board: peer_load.PeerLoads,
        own_load: Callable[[], OwnLoad],
        copies: TopicCopies,
        changed: Callable[[], None],
        settled: Callable[[str], None],
        reactor: Any,
        log: logs.EventLog,
    ) -> None:
        """Prepares; nothing is sent until it listens.

        Args:
            name: Name of this life of the entry.
            board: Takes the load of the others.
            own_load: Returns the load of this entry.
            copies: What this entry has read of the store.
            changed: Called when the load of another has changed.
            settled: Called with the name of a service when a change of a map
                of its groups has come to its end.
            reactor: The Twisted reactor.
            log: The log of decisions.
        """
        self._name = name
        self._board = board
        self._own_load = own_load
        self._copies = copies
        self._questions: dict[int, float] = {}
        self._question_number = 0
        self._on_change = changed
        self._on_settled = settled
        self._reactor = reactor
        self._log = log
        self._sequence = 0
        self._known: dict[pool_lib.Address, int] = {}
        self._is_introduced = False
        self._heard: dict[pool_lib.Address, _Heard] = {}
        self._is_retiring = False
        self._own_change: MapChangeNotice | None = None
        self._settled: collections.deque[int] = collections.deque(
            maxlen=_MOST_SETTLED
        )
        self._timer: Any = None
        self._told_s = 0.0
        self._spent_until_s = 0.0

    def add_addresses(self, addresses: set[pool_lib.Address]) -> None:
        """Learns where other entries may be.

        Args:
            addresses: From the store; some may be gone.
        """
        self._is_introduced = True
        for address in addresses:
            self._known.setdefault(address, _INTRODUCTIONS)
        self.schedule_broadcast()

    def schedule_broadcast(self) -> None:
        """Is told that the load here has changed; the others hear soon."""
        if self._timer is not None or self.transport is None:
            return
        now_s = self._reactor.seconds()
        wait_s = max(_COLLECT_S, self._spent_until_s - now_s)
        self._timer = self._reactor.callLater(wait_s, self._tell)

    @property
    def index(self) -> int:
        """Place of this entry among those that are heard of, from 0."""
        return sum(1 for each in self._heard.values() if each.name < self._name)

    @property
    def seniority(self) -> int:
        """Place of this entry among those that stay, the oldest first.

        One that is about to change an expert map does not count, as nobody
        can tell whether it still lives while a group stands still.
        """
        return sum(
            1
            for each in self._heard.values()
            if each.name < self._name
            and not each.is_draining
            and each.change is None
        )

    @property
    def is_oldest(self) -> bool:
        """Whether this entry is the oldest of those that stay."""
        is_first = self.seniority == 0 and not self.announced_changes()
        return self._is_introduced and is_first

    def announced_changes(self) -> list[MapChangeNotice]:
        """Returns the changes that other entries have announced."""
        return [
            each.change
            for each in self._heard.values()
            if each.change is not None
        ]

    def announce(self, change: MapChangeNotice | None) -> None:
        """Tells the others of a change, or that it has come to its end.

        Args:
            change: The change, or None.
        """
        ended = self._own_change
        self._own_change = change
        if change is None and ended is not None:
            self._settle(ended)
        self._tell()

    @property
    def live_count(self) -> int:
        """Entries that are heard of, this one included."""
        return len(self._heard) + 1

    @property
    def known_count(self) -> int | None:
        """Entries that the store lists, gone ones included, or None."""
        if not self._is_introduced:
            return None
        return len(self._known | dict.fromkeys(self._heard, 0)) + 1

    def tick(self) -> None:
        """Sends a heartbeat where nothing else was sent, and forgets."""
        now_s = self._reactor.seconds()
        if now_s - self._told_s >= _HEARTBEAT_S:
            self.schedule_broadcast()
        for address, each in list(self._heard.items()):
            if now_s - each.heard_s > peer_load.PEER_TIMEOUT_S:
                del self._heard[address]
                self._log.info("peer_silent", peer=each.name)
        self._board.remove_silent(now_s)

    def announce_drain(self) -> None:
        """Tells the others that this entry will stop soon."""
        self._is_retiring = True
        self.schedule_broadcast()

    def announce_stop(self) -> None:
        """Tells the others that this entry stops."""
        if self.transport is not None:
            self._send(_NO_LOAD, is_final=True)

    def datagramReceived(  # noqa: N802
        self, datagram: bytes, addr: tuple[str, int]
    ) -> None:
        """Takes the load of another entry."""
        try:
            message = _decoder.decode(datagram)
        except msgspec.MsgspecError as fault:
            self._log.info("peer_unreadable", peer=addr[0], detail=str(fault))
            return
        address = pool_lib.Address(addr[0], addr[1])
        if isinstance(message, LoadMessage):
            self._take_load(address, message)
        elif isinstance(message, FreshnessQuery):
            self._answer(address, message)
        else:
            self._take_confirmation(message)

    def query_freshness(self, topic: str) -> bool:
        """Asks other entries how fresh their copy of a topic is.

        Args:
            topic: Name of the topic.

        Returns:
            Whether there was anyone to ask.
        """
        targets = sorted(
            self._heard, key=lambda each: -self._as_of(each, topic)
        )
        if not targets:
            return False
        self._question_number += 1
        self._questions[self._question_number] = self._reactor.seconds()
        for number in list(self._questions)[:-_MOST_QUESTIONS]:
            del self._questions[number]
        question = _encoder.encode(FreshnessQuery(self._question_number, topic))
        for address in targets[:_ASKED]:
            self.transport.write(question, (address.host, address.port))
        return True

    def _as_of(self, address: pool_lib.Address, topic: str) -> float:
        """Returns about when an entry's copy was confirmed; only a hint."""
        known = self._heard[address]
        _, age_ms = known.positions.get(topic, (0, _NEVER_MS))
        return known.heard_s - age_ms / 1000

    def _answer(
        self, address: pool_lib.Address, question: FreshnessQuery
    ) -> None:
        age_s = self._copies.age_s(question.topic)
        position = self._copies.positions().get(question.topic)
        if position is None or age_s > _MOST_AGE_S:
            return
        answer = FreshnessReply(
            question.number, question.topic, position, _milliseconds(age_s)
        )
        data = _encoder.encode(answer)
        self.transport.write(data, (address.host, address.port))

    def _take_confirmation(self, answer: FreshnessReply) -> None:
        """Takes over what another entry knows.

        The answer was made after the question was sent, so that its age
        counts from then at the latest.
        """
        asked_s = self._questions.get(answer.number)
        if asked_s is not None:
            self._copies.on_peer_confirmation(
                answer.topic, answer.position, asked_s - answer.age_ms / 1000
            )

    def _take_load(
        self, address: pool_lib.Address, message: LoadMessage
    ) -> None:
        if message.sender == self._name:
            return
        now_s = self._reactor.seconds()
        if message.is_final:
            self._heard.pop(address, None)
            self._board.remove(message.sender)
            self._on_change()
            return
        self._note(address, message, now_s)
        self._copies.on_peer_positions(
            {topic: at for topic, (at, _) in message.positions.items()}
        )
        if self._board.update(message.sender, _load(message, now_s), now_s):
            self._on_change()

    def connectionRefused(self) -> None:  # noqa: N802
        """Nobody listens at one of the addresses."""

    def _note(
        self, address: pool_lib.Address, message: LoadMessage, now_s: float
    ) -> None:
        known = self._heard.get(address)
        if known is None:
            host = address.host
            self._log.info("peer_heard", peer=message.sender, host=host)
        elif known.name != message.sender:
            self._board.remove(known.name)
        change = message.map_change
        if change is not None and change.plan.version in self._settled:
            change = None
        self._heard[address] = _Heard(
            message.sender,
            now_s,
            message.positions,
            message.is_draining,
            change,
        )
        if known is None:
            self.schedule_broadcast()
            return
        is_same_life = known.name == message.sender
        announced = known.change
        if (
            is_same_life
            and announced is not None
            and message.map_change is None
        ):
            self._settle(announced)

    def _tell(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if self.transport is None:
            return  # The process stops.
        self._send(self._own_load(), is_final=False)

    def _send(self, load: OwnLoad, is_final: bool) -> None:
        now_s = self._reactor.seconds()
        self._sequence += 1
        self._told_s = now_s
        told = {
            service: [
                (each.is_late, each.priority, int((each.due_s - now_s) * 1000))
                for each in urgencies
            ]
            for service, urgencies in load.heads.items()
        }
        message = LoadMessage(
            self._name,
            self._sequence,
            load.in_flight,
            told,
            {
                topic: (position, _milliseconds(self._copies.age_s(topic)))
                for topic, position in self._copies.positions().items()
            },
            load.sent_prompt_tokens,
            self._own_change,
            self._is_retiring,
            is_final,
        )
        data = _encoder.encode(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            self._log.warning("load_too_large", size=len(data))
            return
        targets = self._targets()
        spent_s = len(data) * len(targets) / _BUDGET_BYTES_PER_S
        earned_s = max(self._spent_until_s, now_s - _BURST_S)
        self._spent_until_s = earned_s + spent_s
        for address in targets:
            self.transport.write(data, (address.host, address.port))

    def _settle(self, ended: MapChangeNotice) -> None:
        """A change has come to its end, whoever announces it still."""
        version = ended.plan.version
        if version not in self._settled:
            self._settled.append(version)
            self._on_settled(ended.service)
        for each in self._heard.values():
            if each.change is not None and each.change.plan.version == version:
                each.change = None

    def _targets(self) -> list[pool_lib.Address]:
        targets = list(self._heard)
        for address, left in list(self._known.items()):
            if address in self._heard:
                continue
            if left > 0:
                self._known[address] = left - 1
                targets.append(address)
        return targets


def _milliseconds(age_s: float) -> int:
    return min(_NEVER_MS, int(min(age_s, _MOST_AGE_S) * 1000) + 1)


def _load(message: LoadMessage, now_s: float) -> peer_load.PeerLoad:
    heads = {
        service: tuple(
            wait_queue.Urgency(is_late, priority, now_s + due_ms / 1000)
            for is_late, priority, due_ms in told
        )
        for service, told in message.heads.items()
    }
    return peer_load.PeerLoad(
        message.sequence, message.in_flight, heads, message.sent_prompt_tokens
    )
