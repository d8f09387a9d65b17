"""A stand-in of the platform's append-only log service.

Kept in memory. Its faults can be switched at any time by ``POST /faults``.
"""

import random
import time
from typing import Any

import klein
import msgspec
from twisted.internet import defer
from twisted.internet import reactor as default_reactor
from twisted.internet import task


class LogFaults(msgspec.Struct, forbid_unknown_fields=True):
    """What goes wrong at the log.

    Attributes:
        down: Every request is answered 503.
        slow_s: Every answer takes this much longer.
        lost_share: Share of appends that take effect and are not answered.
        most_appends_per_s: Appends above this rate are answered 429.
        kept_records: Records kept in each stream, or 0 for all.
    """

    down: bool = False
    slow_s: float = 0.0
    lost_share: float = 0.0
    most_appends_per_s: float = 500.0
    kept_records: int = 0


class _Record(msgspec.Struct):
    offset: int
    appended_at_s: float
    data: bytes


class _Stream:
    def __init__(self) -> None:
        self.first = 0
        self.records: list[_Record] = []
        self.waiting: list[defer.Deferred[None]] = []

    @property
    def head(self) -> int:
        return self.first + len(self.records)


class LogService:
    """The service.

    Attributes:
        faults: What goes wrong at the moment.
        appends: Counts the appends that took effect.
        reads: Counts the reads.
    """

    app = klein.Klein()

    def __init__(self, seed: int = 0, reactor: Any = None) -> None:
        """Starts empty.

        Args:
            seed: Seed of the lost answers.
            reactor: The Twisted reactor, or None for the default.
        """
        self.faults = LogFaults()
        self.appends = 0
        self.reads = 0
        self._streams: dict[str, _Stream] = {}
        self._rng = random.Random(seed)
        self._reactor = reactor or default_reactor
        self._window_start_s = 0.0
        self._window_appends = 0

    @app.route("/faults", methods=["GET", "POST"])
    def set_faults(self, request: Any) -> bytes:
        """Shows or replaces the faults."""
        if request.method == b"POST":
            body = request.content.read()
            self.faults = msgspec.json.decode(body, type=LogFaults)
        return msgspec.json.encode(self.faults)

    @app.route("/counts")
    def counts(self, request: Any) -> bytes:
        """Shows what has been asked of the log so far."""
        return msgspec.json.encode(
            {"appends": self.appends, "reads": self.reads}
        )

    @app.route("/streams/<name>/records", methods=["POST"])
    async def append(self, request: Any, name: str) -> bytes:
        """Appends a record."""
        data = request.content.read()
        await self._delay()
        if self.faults.down or not self._within_rate():
            request.setResponseCode(503 if self.faults.down else 429)
            return b""
        stream = self._streams.setdefault(name, _Stream())
        record = _Record(stream.head, time.time(), data)
        stream.records.append(record)
        self.appends += 1
        self._retain(stream)
        waiting, stream.waiting = stream.waiting, []
        for each in waiting:
            each.callback(None)
        if self._rng.random() < self.faults.lost_share:
            request.transport.abortConnection()
            return b""
        request.setResponseCode(201)
        return msgspec.json.encode({"offset": record.offset})

    @app.route("/streams/<name>/records", methods=["GET"])
    async def read(self, request: Any, name: str) -> bytes:
        """Reads records, and may wait for one to come."""
        start = int(request.args[b"from"][0])
        limit = int(request.args.get(b"limit", [b"1000"])[0])
        wait_s = float(request.args.get(b"wait_s", [b"0"])[0])
        self.reads += 1
        await self._delay()
        stream = self._streams.setdefault(name, _Stream())
        if start >= stream.head and wait_s > 0 and not self.faults.down:
            await self._wait(stream, wait_s)
        if self.faults.down:
            request.setResponseCode(503)
            return b""
        begin = max(0, start - stream.first)
        page = stream.records[begin : begin + limit]
        return msgspec.json.encode(
            {"first": stream.first, "head": stream.head, "records": page}
        )

    def _wait(self, stream: _Stream, wait_s: float) -> "defer.Deferred[None]":
        waiting: defer.Deferred[None] = defer.Deferred()
        stream.waiting.append(waiting)

        def end() -> None:
            if waiting in stream.waiting:
                stream.waiting.remove(waiting)
                waiting.callback(None)

        self._reactor.callLater(wait_s, end)
        return waiting

    def _delay(self) -> "defer.Deferred[None]":
        return task.deferLater(self._reactor, self.faults.slow_s, lambda: None)

    def _within_rate(self) -> bool:
        now_s = self._reactor.seconds()
        if now_s - self._window_start_s >= 1:
            self._window_start_s = now_s
            self._window_appends = 0
        self._window_appends += 1
        return self._window_appends <= self.faults.most_appends_per_s

    def _retain(self, stream: _Stream) -> None:
        kept = self.faults.kept_records
        if kept and len(stream.records) > kept:
            gone = len(stream.records) - kept
            del stream.records[:gone]
            stream.first += gone
