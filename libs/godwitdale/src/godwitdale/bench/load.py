"""Generates streamed chats and reads the resource use of processes."""

import dataclasses
import os
import pathlib
import random
from typing import Any

import msgspec
from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import task
from twisted.python import failure
from twisted.web import client
from twisted.web import http_headers

from godwitdale_platform import endpoint_client

_DONE = b"data: [DONE]"
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_KB_PER_MB = 1024
_CONNECT_TIMEOUT_S = 5.0


@dataclasses.dataclass(slots=True)
class ChatResult:
    """Measurements of one chat.

    Attributes:
        started_s: Time of the reactor at which the chat was sent.
        time_to_first_s: Time to the first token, or None without tokens.
        gaps_s: Times between the arrivals of consecutive tokens.
        tokens: Number of tokens received.
        is_complete: Whether the end of the stream was received.
    """

    started_s: float
    time_to_first_s: float | None = None
    gaps_s: list[float] = dataclasses.field(default_factory=list)
    tokens: int = 0
    is_complete: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """Chats to send.

    Attributes:
        urls: Base URLs that receive the chats in turn.
        headers: Headers of each chat.
        model: Model that the chats name.
        chats: Number of chats.
        chats_per_s: Mean rate of the Poisson arrivals.
        tokens: Number of tokens of each answer.
        seed: Seed of the arrival times.
    """

    urls: tuple[str, ...]
    headers: dict[str, str]
    model: str
    chats: int
    chats_per_s: float
    tokens: int
    seed: int


class _StreamReceiver(protocol.Protocol):
    """Records the arrival times of the tokens of a stream."""

    def __init__(self, chat: ChatResult, reactor: Any) -> None:
        self.done: defer.Deferred[None] = defer.Deferred()
        self._chat = chat
        self._reactor = reactor
        self._last_arrival_s = 0.0
        self._partial_event = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        now_s = self._reactor.seconds()
        chat = self._chat
        events, separator, self._partial_event = (
            self._partial_event + data
        ).rpartition(b"\n\n")
        if not separator:
            return
        tokens = events.count(b"data: {")
        if _DONE in events:
            chat.is_complete = True
        if tokens == 0:
            return
        if chat.time_to_first_s is None:
            chat.time_to_first_s = now_s - chat.started_s
        else:
            # Tokens that arrive together share the time since the previous
            # arrival.
            gap_s = (now_s - self._last_arrival_s) / tokens
            chat.gaps_s += [gap_s] * tokens
        chat.tokens += tokens
        self._last_arrival_s = now_s

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        self.done.callback(None)


class LoadGenerator:
    """Sends chats at a rate that does not depend on the answers."""

    def __init__(self, reactor: Any) -> None:
        """Creates a generator without open connections.

        Args:
            reactor: The Twisted reactor.
        """
        self._reactor = reactor
        pool = client.HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = 512
        pool.retryAutomatically = False
        self._agent = client.Agent(
            reactor, connectTimeout=_CONNECT_TIMEOUT_S, pool=pool
        )

    async def run(self, workload: Workload) -> list[ChatResult]:
        """Sends all chats of a workload and waits until they have ended."""
        rng = random.Random(workload.seed)
        running = []
        for number in range(workload.chats):
            running.append(defer.ensureDeferred(self._chat(workload, number)))
            delay_s = rng.expovariate(workload.chats_per_s)
            await task.deferLater(self._reactor, delay_s, lambda: None)
        return await defer.gatherResults(running)

    async def _chat(self, workload: Workload, number: int) -> ChatResult:
        body = {
            "model": workload.model,
            "messages": [{"role": "user", "content": f"draft {number}"}],
            "stream": True,
            "max_tokens": workload.tokens,
        }
        chat = ChatResult(self._reactor.seconds())
        headers = http_headers.Headers()
        for name, value in workload.headers.items():
            headers.addRawHeader(name, value)
        url = (
            workload.urls[number % len(workload.urls)] + "/v1/chat/completions"
        )
        receiver = _StreamReceiver(chat, self._reactor)
        try:
            response = await self._agent.request(
                b"POST",
                url.encode(),
                headers,
                endpoint_client.body_producer(msgspec.json.encode(body)),
            )
        except Exception:  # A chat that fails counts as incomplete.
            return chat
        response.deliverBody(receiver)
        await receiver.done
        return chat


def cpu_time_s(pid: int) -> float:
    """Returns the processor time that a process has used so far."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    values = fields.split()
    return (int(values[11]) + int(values[12])) / _TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Returns the resident memory of a process."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / _KB_PER_MB
    return 0.0
