"""A stand-in for the platform's append-only log service.

Records are kept in memory. ``POST /faults`` replaces the injected faults at
any time.
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
    """Faults that the log service injects.

    Attributes:
        down: Every request is answered 503.
        slow_s: Delay added to every answer.
        lost_share: Share of appends that take effect but are not answered.
        most_appends_per_s: Appends above this rate are answered 429.
        kept_records: Number of records kept in each stream, or 0 to keep all.
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
        self.waiting_readers: list[defer.Deferred[None]] = []

    @property
    def head(self) -> int:
        return self.first + len(self.records)


class LogService:
    """Stores streams of records and serves them over HTTP.

    Attributes:
        faults: Faults that are injected now.
        appends: Number of appends that took effect.
        reads: Number of reads.
    """

    app = klein.Klein()

    def __init__(self, seed: int = 0, reactor: Any = None) -> None:
        """Creates a log service without streams.

        Args:
            seed: Seed that selects which answers are lost.
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
        """Returns the injected faults; ``POST`` replaces them first."""
        if request.method == b"POST":
            body = request.content.read()
            self.faults = msgspec.json.decode(body, type=LogFaults)
        return msgspec.json.encode(self.faults)

    @app.route("/counts")
    def counts(self, request: Any) -> bytes:
        """Returns the number of appends and reads so far."""
        return msgspec.json.encode(
            {"appends": self.appends, "reads": self.reads}
        )

    @app.route("/streams/<name>/records", methods=["POST"])
    async def append(self, request: Any, name: str) -> bytes:
        """Appends a record and returns its offset."""
        data = request.content.read()
        await self._wait_fault_delay()
        if self.faults.down or not self._is_within_rate():
            request.setResponseCode(503 if self.faults.down else 429)
            return b""
        stream = self._streams.setdefault(name, _Stream())
        record = _Record(stream.head, time.time(), data)
        stream.records.append(record)
        self.appends += 1
        self._drop_old_records(stream)
        readers, stream.waiting_readers = stream.waiting_readers, []
        for reader in readers:
            reader.callback(None)
        if self._rng.random() < self.faults.lost_share:
            request.transport.abortConnection()
            return b""
        request.setResponseCode(201)
        return msgspec.json.encode({"offset": record.offset})

    @app.route("/streams/<name>/records", methods=["GET"])
    async def read(self, request: Any, name: str) -> bytes:
        """Returns records from an offset on.

        At the end of the stream, the call waits up to ``wait_s`` for an
        append.
        """
        start = int(request.args[b"from"][0])
        limit = int(request.args.get(b"limit", [b"1000"])[0])
        wait_s = float(request.args.get(b"wait_s", [b"0"])[0])
        self.reads += 1
        await self._wait_fault_delay()
        stream = self._streams.setdefault(name, _Stream())
        if start >= stream.head and wait_s > 0 and not self.faults.down:
            await self._wait_for_append(stream, wait_s)
        if self.faults.down:
            request.setResponseCode(503)
            return b""
        index = max(0, start - stream.first)
        page = stream.records[index : index + limit]
        return msgspec.json.encode(
            {"first": stream.first, "head": stream.head, "records": page}
        )

    def _wait_for_append(
        self, stream: _Stream, wait_s: float
    ) -> "defer.Deferred[None]":
        reader: defer.Deferred[None] = defer.Deferred()
        stream.waiting_readers.append(reader)

        def on_timeout() -> None:
            if reader in stream.waiting_readers:
                stream.waiting_readers.remove(reader)
                reader.callback(None)

        self._reactor.callLater(wait_s, on_timeout)
        return reader

    def _wait_fault_delay(self) -> "defer.Deferred[None]":
        return task.deferLater(self._reactor, self.faults.slow_s, lambda: None)

    def _is_within_rate(self) -> bool:
        now_s = self._reactor.seconds()
        if now_s - self._window_start_s >= 1:
            self._window_start_s = now_s
            self._window_appends = 0
        self._window_appends += 1
        return self._window_appends <= self.faults.most_appends_per_s

    def _drop_old_records(self, stream: _Stream) -> None:
        kept = self.faults.kept_records
        if kept and len(stream.records) > kept:
            excess = len(stream.records) - kept
            del stream.records[:excess]
            stream.first += excess
