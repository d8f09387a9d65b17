"""Client of the platform's append-only log service.

The log stores named streams of opaque records with consecutive offsets::

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

from godwitdale_platform import bodies
from godwitdale_verdicts import decoding
from godwitdale_verdicts import exceptions

_CREATED = 201
_OK = 200
_MAX_RECORDS_PER_PAGE = 1000
# Maximum size of a page, which may contain a snapshot of all declarations.
_MAX_PAGE_BYTES = 32 << 20
# Maximum time to transfer a page of that size over a slow link.
_MAX_TRANSFER_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The record is in the log.

    Attributes:
        offset: Offset of the record.
    """

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotAppended:
    """The record is certainly not in the log.

    Attributes:
        detail: Description of the error.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class AppendUnknown:
    """The record may be in the log; only a read of the stream can tell.

    Attributes:
        detail: Description of the error.
    """

    detail: str


AppendOutcome = Appended | NotAppended | AppendUnknown


class Record(msgspec.Struct, frozen=True):
    """One record, as the log returns it.

    Attributes:
        offset: Offset of the record in its stream.
        appended_at_s: Time of the append by the clock of the log service.
        data: Content of the record.
    """

    offset: int
    appended_at_s: float
    data: bytes


class Page(msgspec.Struct, frozen=True):
    """Consecutive records of a stream, in order of offset.

    Attributes:
        first: First offset that the log still keeps.
        head: Offset that the next appended record will get.
        records: Records from the requested offset on.
    """

    first: int
    head: int
    records: list[Record]


class Log(Protocol):
    """Interface of an append-only log with named streams."""

    async def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Appends a record to a stream."""

    async def read(self, stream: str, start: int, wait_s: float = 0.0) -> Page:
        """Reads the records of a stream from an offset on."""


_page_decoder = decoding.json_decoder(Page)


class _AppendResponse(msgspec.Struct):
    offset: decoding.Serial


_append_decoder = decoding.json_decoder(_AppendResponse)


class HttpLog:
    """HTTP client of the log service."""

    def __init__(self, base_url: str, reactor: Any, timeout_s: float) -> None:
        """Creates a client without sending a request.

        Args:
            base_url: URL of the service, such as ``http://127.0.0.1:7000``.
            reactor: The Twisted reactor.
            timeout_s: Maximum time of an append, or of a read that does not
                wait for new records.
        """
        self._base_url = base_url.rstrip("/")
        self._reactor = reactor
        self._timeout_s = timeout_s
        self._body_limits = bodies.Limits(
            _MAX_PAGE_BYTES, part_s=timeout_s, total_s=_MAX_TRANSFER_S
        )
        pool = client.HTTPConnectionPool(reactor)
        pool.retryAutomatically = False
        self._http_client = treq.client.HTTPClient(
            client.Agent(reactor, connectTimeout=timeout_s, pool=pool)
        )

    def _records_url(self, stream: str) -> str:
        return f"{self._base_url}/streams/{stream}/records"

    async def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Appends a record to a stream.

        Args:
            stream: Name of the stream.
            data: Content of the record.

        Returns:
            Whether the record is in the log. A failing service is reported as
            an outcome and never raises.
        """
        try:
            response = await self._http_client.post(
                self._records_url(stream), data=data, timeout=self._timeout_s
            )
            body = await self._read_body(response)
        except (error.ConnectError, error.ConnectingCancelledError) as cause:
            return NotAppended(f"the log cannot be reached: {cause}")
        except Exception as cause:  # A lost answer leaves this unknown.
            return AppendUnknown(f"no answer from the log: {cause!r}")
        return self._append_outcome(response, body)

    async def _read_body(self, response: iweb.IResponse) -> bytes:
        return await bodies.read(response, self._body_limits, self._reactor)

    def _append_outcome(
        self, response: iweb.IResponse, body: bytes
    ) -> AppendOutcome:
        if response.code == _CREATED:
            try:
                return Appended(_append_decoder.decode(body).offset)
            except decoding.InvalidDataError as cause:
                return AppendUnknown(f"the log returned no offset: {cause}")
        if response.code in (429, 503):
            return NotAppended(f"the log returned status {response.code}")
        return AppendUnknown(f"the log returned status {response.code}")

    async def read(self, stream: str, start: int, wait_s: float = 0.0) -> Page:
        """Reads the records of a stream from an offset on.

        Args:
            stream: Name of the stream.
            start: First offset to read.
            wait_s: Maximum time that the log waits for a new record if there
                is none to return.

        Raises:
            exceptions.PlatformUnavailableError: The log did not answer with a
                page.
        """
        params = {
            "from": str(start),
            "limit": str(_MAX_RECORDS_PER_PAGE),
            "wait_s": str(wait_s),
        }
        try:
            response = await self._http_client.get(
                self._records_url(stream),
                params=params,
                timeout=self._timeout_s + wait_s,
            )
            body = await self._read_body(response)
        except Exception as cause:
            raise exceptions.PlatformUnavailableError(
                f"the log does not answer: {cause!r}"
            ) from cause
        if response.code != _OK:
            raise exceptions.PlatformUnavailableError(
                f"the log returned status {response.code}"
            )
        try:
            return _page_decoder.decode(body)
        except decoding.InvalidDataError as cause:
            raise exceptions.PlatformUnavailableError(
                f"the log returned no page: {cause}"
            ) from cause


async def read_all(log: Log, stream: str, start: int) -> list[Record]:
    """Reads a stream from an offset to its current head.

    Args:
        log: Log that has the stream.
        stream: Name of the stream.
        start: First offset to read.

    Raises:
        exceptions.PlatformUnavailableError: The log did not answer with a
            page.
    """
    records: list[Record] = []
    position = start
    while True:
        page = await log.read(stream, position)
        records += page.records
        if not page.records or page.records[-1].offset + 1 >= page.head:
            return records
        position = page.records[-1].offset + 1
