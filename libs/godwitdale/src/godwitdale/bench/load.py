"""A generator of streamed chats, and readings of processes."""

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
_CONNECT_S = 5.0


@dataclasses.dataclass(slots=True)
class Chat:
    """What was seen of one chat.

    Attributes:
        started_s: When it was sent.
        first_s: Time to the first token, or None.
        gaps_s: Times between the arrivals of tokens.
        tokens: Tokens received.
        is_whole: Whether the end was seen.
    """

    started_s: float
    first_s: float | None = None
    gaps_s: list[float] = dataclasses.field(default_factory=list)
    tokens: int = 0
    is_whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """What is sent.

    Attributes:
        urls: Where chats go, in turn.
        headers: Headers of each.
        model: The model that they name.
        chats: Number of chats.
        per_s: Chats a second; Poisson arrivals.
        tokens: Tokens of each answer.
        seed: Seed of the arrivals.
    """

    urls: tuple[str, ...]
    headers: dict[str, str]
    model: str
    chats: int
    per_s: float
    tokens: int
    seed: int


class _Reader(protocol.Protocol):
    """Notes when tokens arrive."""

    def __init__(self, chat: Chat, reactor: Any) -> None:
        self.done: defer.Deferred[None] = defer.Deferred()
        self._chat = chat
        self._reactor = reactor
        self._last_s = 0.0
        self._rest = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        now_s = self._reactor.seconds()
        chat = self._chat
        whole, separator, self._rest = (self._rest + data).rpartition(b"\n\n")
        if not separator:
            return
        tokens = whole.count(b"data: {")
        if _DONE in whole:
            chat.is_whole = True
        if tokens == 0:
            return
        if chat.first_s is None:
            chat.first_s = now_s - chat.started_s
        else:
            # Tokens that come together share the time since the last ones.
            gap_s = (now_s - self._last_s) / tokens
            chat.gaps_s += [gap_s] * tokens
        chat.tokens += tokens
        self._last_s = now_s

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        self.done.callback(None)


class Generator:
    """Sends chats at a rate, whether earlier ones have ended or not."""

    def __init__(self, reactor: Any) -> None:
        """Prepares.

        Args:
            reactor: The Twisted reactor.
        """
        self._reactor = reactor
        pool = client.HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = 512
        pool.retryAutomatically = False
        self._agent = client.Agent(
            reactor, connectTimeout=_CONNECT_S, pool=pool
        )

    async def run(self, offer: Offer) -> list[Chat]:
        """Sends all chats of an offer and waits for their ends."""
        rng = random.Random(offer.seed)
        running = []
        for number in range(offer.chats):
            running.append(defer.ensureDeferred(self._chat(offer, number)))
            delay_s = rng.expovariate(offer.per_s)
            await task.deferLater(self._reactor, delay_s, lambda: None)
        return await defer.gatherResults(running)

    async def _chat(self, offer: Offer, number: int) -> Chat:
        body = {
            "model": offer.model,
            "messages": [{"role": "user", "content": f"draft {number}"}],
            "stream": True,
            "max_tokens": offer.tokens,
        }
        chat = Chat(self._reactor.seconds())
        headers = http_headers.Headers()
        for name, value in offer.headers.items():
            headers.addRawHeader(name, value)
        url = offer.urls[number % len(offer.urls)] + "/v1/chat/completions"
        reader = _Reader(chat, self._reactor)
        try:
            response = await self._agent.request(
                b"POST",
                url.encode(),
                headers,
                endpoint_client.body_producer(msgspec.json.encode(body)),
            )
        except Exception:  # A chat that fails is counted as not whole.
            return chat
        response.deliverBody(reader)
        await reader.done
        return chat


def cpu_s(pid: int) -> float:
    """Returns the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    values = fields.split()
    return (int(values[11]) + int(values[12])) / _TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Returns the resident memory of a process."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / _KB_PER_MB
    return 0.0
