"""A client that keeps its channel and follows the pages."""

import asyncio
import dataclasses
import random
import time

import deployment as deployment_lib
import http1

PROMISES = (408, 421, 429, 503)


@dataclasses.dataclass
class Attempt:
    """One client attempt and its end.

    Attributes:
        events: Pairs of id and run of the events that arrived.
        end: Status, or ``cut`` with what came before.
    """

    id: str
    path: str
    sent_s: float
    status: int = 0
    answer_id: str = ""
    signature: str = ""
    events: list = dataclasses.field(default_factory=list)
    body: bytes = b""
    is_complete: bool = False
    retry_after_s: float = 0.0
    ended_s: float = 0.0


class Client:
    """Sends one request at a time on a kept channel."""

    def __init__(self, port, record, rng, deadline_ms=8050):
        self._port = port
        self._record = record
        self._rng = rng
        self._deadline_ms = deadline_ms
        self._reader = None
        self._writer = None

    async def send(self, path, headers=(), method="POST", body=b"{}"):
        """Sends a request and returns the attempt at its end."""
        attempt = Attempt(f"{self._rng.getrandbits(64):016x}", path, time.time())
        try:
            await asyncio.wait_for(
                self._exchange(attempt, headers, method, body),
                self._deadline_ms / 1000,
            )
        except (
            ConnectionError,
            OSError,
            asyncio.IncompleteReadError,
            asyncio.TimeoutError,
        ) as error:
            self._record.write(f"{attempt.id} ends: {error!r}")
            self.close()
        attempt.ended_s = time.time()
        self._record.write(
            f"{attempt.id} answered {attempt.status} "
            f"{'whole' if attempt.is_complete else 'cut'} "
            f"signature {attempt.signature or '-'} "
            f"answer's id {attempt.answer_id or '-'} "
            f"events {len(attempt.events)}"
        )
        return attempt

    async def _exchange(self, attempt, headers, method, body):
        if self._writer is None:
            self._reader, self._writer = await asyncio.wait_for(
                asyncio.open_connection(deployment_lib.HOST, self._port), 1.0
            )
        fields = [
            ("Host", deployment_lib.HOSTNAME),
            ("Godwitdale-Request-Id", attempt.id),
            ("Godwitdale-Deadline-Ms", str(self._deadline_ms)),
            ("Authorization", f"Token {deployment_lib.KEY}"),
            *headers,
            ("Content-Length", str(len(body))),
        ]
        self._record.write(f"{attempt.id} sent {method} {attempt.path}")
        line = f"{method} {attempt.path} HTTP/1.1"
        self._writer.write(http1.format_head(line, fields) + body)
        await self._writer.drain()
        head = await http1.read_head(self._reader)
        if head is None:
            raise ConnectionError("closed without an answer")
        line, answer = head
        attempt.status = int(line.split(" ")[1])
        attempt.answer_id = answer.get("godwitdale-request-id", "")
        attempt.signature = answer.get("godwitdale-server-signature", "")
        attempt.retry_after_s = float(answer.get("retry-after", 0))
        is_stream = answer.get("content-type", "").startswith("text/event-stream")
        buffer = b""
        async for part in http1.read_body(self._reader, answer, True):
            attempt.body += part
            buffer += part
            while is_stream and b"\n\n" in buffer:
                event, _, buffer = buffer.partition(b"\n\n")
                number, run = event.decode().split("\n")
                attempt.events.append((int(number[4:]), run.split(" ")[1]))
        attempt.is_complete = True
        if answer.get("connection", "").lower() == "close":
            self.close()

    def close(self):
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def new_rng(seed):
    return random.Random(seed)
