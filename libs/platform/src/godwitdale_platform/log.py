"""Client of the platform's append-only log service.

The log keeps named streams of opaque records with consecutive offsets::

    POST /streams/NAME/records             the record       201 {"offset": 7}
    GET  /streams/NAME/records?from=7&limit=100&wait_s=5    200 a Page
"""

import dataclasses
from typing import Any
from typing import Protocol

import msgspec
import treq
from twisted.internet import error
from twisted.web import client
from twisted.web import iweb

from godwitdale_verdicts import exceptions

_CREATED = 201
_OK = 200
_MOST_RECORDS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The record is in the log.

    Attributes:
        offset: Its offset.
    """

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotAppended:
    """The record is certainly not in the log.

    Attributes:
        detail: What the log said.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class AppendUnknown:
    """The record may or may not be in the log; reading will tell.

    Attributes:
        detail: What happened to the answer.
    """

    detail: str


AppendOutcome = Appended | NotAppended | AppendUnknown


class Record(msgspec.Struct, frozen=True):
    """One record as the log returns it.

    Attributes:
        offset: Its offset in the stream.
        appended_at_s: The log's own timestamp.
        data: What was appended.
    """

    offset: int
    appended_at_s: float
    data: bytes


class Page(msgspec.Struct, frozen=True):
    """Records in order of offset.

    Attributes:
        first: First offset that the log still keeps.
        head: First offset that is not taken yet.
        records: Records from the offset asked for.
    """

    first: int
    head: int
    records: list[Record]


class Log(Protocol):
    """What the system needs of a log."""

    async def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Appends a record."""

    async def read(self, stream: str, start: int, wait_s: float = 0.0) -> Page:
        """Reads records from an offset on."""


_page_decoder = msgspec.json.Decoder(Page)


class _Offset(msgspec.Struct):
    offset: int


class HttpLog:
    """The log service over HTTP."""

    def __init__(self, base_url: str, reactor: Any, timeout_s: float) -> None:
        """Prepares a client; nothing is sent yet.

        Args:
            base_url: Such as ``http://127.0.0.1:7000``.
            reactor: The Twisted reactor.
            timeout_s: Time that an append or a plain read may take.
        """
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        pool = client.HTTPConnectionPool(reactor)
        pool.retryAutomatically = False
        self._treq = treq.client.HTTPClient(
            client.Agent(reactor, connectTimeout=timeout_s, pool=pool)
        )

    def _url(self, stream: str) -> str:
        return f"{self._base_url}/streams/{stream}/records"

    async def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Appends a record.

        Args:
            stream: Name of the stream.
            data: The record.

        Returns:
            What is known of it; never raises for a failing service.
        """
        try:
            response = await self._treq.post(
                self._url(stream), data=data, timeout=self._timeout_s
            )
            body = await treq.content(response)
        except (error.ConnectError, error.ConnectingCancelledError) as failed:
            return NotAppended(f"the log cannot be reached: {failed}")
        except Exception as failed:  # Any lost answer leaves it unsettled.
            return AppendUnknown(f"no answer from the log: {failed!r}")
        return self._append_outcome(response, body)

    def _append_outcome(
        self, response: iweb.IResponse, body: bytes
    ) -> AppendOutcome:
        if response.code == _CREATED:
            return Appended(msgspec.json.decode(body, type=_Offset).offset)
        if response.code in (429, 503):
            return NotAppended(f"the log answered {response.code}")
        return AppendUnknown(f"the log answered {response.code}")

    async def read(self, stream: str, start: int, wait_s: float = 0.0) -> Page:
        """Reads records from an offset on.

        Args:
            stream: Name of the stream.
            start: First offset wanted.
            wait_s: How long the log may wait for a record to come.

        Raises:
            exceptions.PlatformUnavailableError: The log does not answer.
        """
        params = {
            "from": str(start),
            "limit": str(_MOST_RECORDS),
            "wait_s": str(wait_s),
        }
        try:
            response = await self._treq.get(
                self._url(stream),
                params=params,
                timeout=self._timeout_s + wait_s,
            )
            body = await treq.content(response)
        except Exception as failed:
            raise exceptions.PlatformUnavailableError(
                f"the log does not answer: {failed!r}"
            ) from failed
        if response.code != _OK:
            raise exceptions.PlatformUnavailableError(
                f"the log answered {response.code}"
            )
        return _page_decoder.decode(body)


async def read_all(log: Log, stream: str, start: int) -> list[Record]:
    """Reads a stream from an offset to its present head.

    Args:
        log: The log.
        stream: Name of the stream.
        start: First offset wanted.

    Raises:
        exceptions.PlatformUnavailableError: The log does not answer.
    """
    found: list[Record] = []
    position = start
    while True:
        page = await log.read(stream, position)
        found += page.records
        if not page.records or page.records[-1].offset + 1 >= page.head:
            return found
        position = page.records[-1].offset + 1
