"""HTTP client that an agent uses to call its endpoint.

The outcome of a call says whether the request can have reached the endpoint.
A request that must not be repeated never uses a pooled connection: if a reused
connection breaks, it is unknown whether the endpoint received the request.
"""

import dataclasses
import io
from typing import Any
from typing import Protocol

import msgspec
import treq
from twisted.internet import defer
from twisted.internet import error
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb

from godwitdale_platform import bodies

Headers = list[tuple[str, str]]

# Maximum size of a JSON document, such as a report of the experts of a rank.
_MAX_JSON_BYTES = 4 << 20

# Headers that apply to a single connection and are never forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """The complete answer has arrived."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotConnected:
    """No connection was established, so the request certainly did not run.

    Attributes:
        detail: Description of the error.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLost:
    """The connection broke or timed out after the request was sent.

    Attributes:
        detail: Description of the error.
    """

    detail: str


CallOutcome = Completed | NotConnected | AnswerLost


class AnswerReceiver(Protocol):
    """Receives an answer while it arrives."""

    def on_head(self, status: int, headers: Headers) -> None:
        """Called with the status and the headers."""

    def on_data(self, data: bytes) -> bool:
        """Called with each part of the body, in order.

        Returns:
            Whether to go on; otherwise, the connection is closed.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRequest:
    """Request to an endpoint.

    Attributes:
        method: HTTP method.
        path: Path with the query.
        headers: Headers to send.
        body: Request body.
        repeatable: Whether the request may run twice without harm, so that a
            pooled connection may be used.
        timeout_s: Maximum time until the last byte of the answer.
    """

    method: str
    path: str
    headers: Headers
    body: bytes
    repeatable: bool
    timeout_s: float


def body_producer(data: bytes) -> iweb.IBodyProducer:
    """Returns a producer that sends a request body.

    Args:
        data: Request body.
    """
    return client.FileBodyProducer(io.BytesIO(data))


class EndpointClient:
    """HTTP client for one endpoint."""

    def __init__(
        self, base_url: str, reactor: Any, connect_timeout_s: float
    ) -> None:
        """Creates a client without opening a connection.

        Args:
            base_url: URL of the endpoint, such as ``http://127.0.0.1:8000``.
            reactor: The Twisted reactor.
            connect_timeout_s: Maximum time to open a connection.
        """
        self._base_url = base_url.rstrip("/")
        self._reactor = reactor
        pool = client.HTTPConnectionPool(reactor)
        pool.retryAutomatically = False
        pool.maxPersistentPerHost = 64
        self._pooled_agent = client.Agent(
            reactor, connectTimeout=connect_timeout_s, pool=pool
        )
        self._unpooled_agent = client.Agent(
            reactor,
            connectTimeout=connect_timeout_s,
            pool=client.HTTPConnectionPool(reactor, persistent=False),
        )

    async def send(
        self, request: EndpointRequest, receiver: AnswerReceiver
    ) -> CallOutcome:
        """Sends a request and passes its answer to a receiver.

        If the caller cancels the ``Deferred`` that runs this coroutine, the
        connection is closed, which cancels the request at the engine.

        Args:
            request: Request to send.
            receiver: Receives the answer.
        """
        agent = (
            self._pooled_agent if request.repeatable else self._unpooled_agent
        )
        deadline_s = self._reactor.seconds() + request.timeout_s
        response_deferred = self._send_request(agent, request)
        response_deferred.addTimeout(request.timeout_s, self._reactor)
        try:
            response = await response_deferred
        except (error.ConnectError, error.ConnectingCancelledError) as cause:
            return NotConnected(str(cause))
        except defer.CancelledError:
            raise
        except Exception as cause:
            return AnswerLost(f"no answer: {cause!r}")
        remaining_s = max(0.01, deadline_s - self._reactor.seconds())
        return await self._receive_answer(response, remaining_s, receiver)

    def _send_request(
        self, agent: client.Agent, request: EndpointRequest
    ) -> "defer.Deferred[iweb.IResponse]":
        headers = http_headers.Headers()
        for name, value in request.headers:
            if name.lower() not in HOP_BY_HOP_HEADERS:
                headers.addRawHeader(name, value)
        producer = body_producer(request.body)
        return agent.request(
            request.method.encode(),
            (self._base_url + request.path).encode(),
            headers,
            producer if request.body or request.method != "GET" else None,
        )

    async def _receive_answer(
        self,
        response: iweb.IResponse,
        remaining_s: float,
        receiver: AnswerReceiver,
    ) -> CallOutcome:
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, values in response.headers.getAllRawHeaders()
            for value in values
            if name.decode("latin-1").lower() not in HOP_BY_HOP_HEADERS
        ]
        receiver.on_head(response.code, headers)
        body = bodies.BodyReceiver(receiver.on_data)
        response.deliverBody(body)
        timer = self._reactor.callLater(remaining_s, body.abort)
        try:
            reason = await body.done
        except defer.CancelledError:
            body.abort()
            raise
        finally:
            if timer.active():
                timer.cancel()
        # A body that ends when its connection closes may be incomplete.
        if isinstance(reason, client.ResponseDone):
            return Completed()
        return AnswerLost(f"the answer broke off: {reason!r}")

    async def post_json(self, path: str, body: Any, timeout_s: float) -> Any:
        """Posts a JSON document and returns the decoded JSON answer.

        Args:
            path: Path with the query.
            body: Value that is sent as JSON.
            timeout_s: Maximum time of the call, the body included.

        Raises:
            bodies.IncompleteBodyError: The answer broke off, is too large or
                did not end in time.
        """
        started_s = self._reactor.seconds()
        response = await treq.post(
            self._base_url + path,
            data=msgspec.json.encode(body),
            timeout=timeout_s,
            agent=self._unpooled_agent,
            reactor=self._reactor,
        )
        return await self._read_json(response, started_s + timeout_s)

    async def get_json(self, path: str, timeout_s: float) -> Any:
        """Fetches and decodes a JSON document, such as a load report.

        Args:
            path: Path with the query.
            timeout_s: Maximum time of the call, the body included.

        Raises:
            bodies.IncompleteBodyError: The answer broke off, is too large or
                did not end in time.
        """
        started_s = self._reactor.seconds()
        response = await treq.get(
            self._base_url + path,
            timeout=timeout_s,
            agent=self._pooled_agent,
            reactor=self._reactor,
        )
        return await self._read_json(response, started_s + timeout_s)

    async def _read_json(
        self, response: iweb.IResponse, deadline_s: float
    ) -> Any:
        left_s = max(0.0, deadline_s - self._reactor.seconds())
        limits = bodies.Limits(_MAX_JSON_BYTES, part_s=left_s, total_s=left_s)
        return msgspec.json.decode(
            await bodies.read(response, limits, self._reactor)
        )
