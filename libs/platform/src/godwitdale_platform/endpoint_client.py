"""The HTTP client between an agent and its endpoint.

What matters here is to know whether a request can have reached the endpoint.
Connections for work that must not be repeated are never reused, because a
reused connection that breaks leaves that open.
"""

from collections.abc import Callable
import dataclasses
import io
from typing import Any
from typing import Protocol

import msgspec
import treq
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb

Headers = list[tuple[str, str]]

# Headers that belong to one connection and are never passed on.
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
    """The answer is complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotConnected:
    """No connection was made, so the request certainly did not run.

    Attributes:
        detail: What happened.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLost:
    """The connection broke or fell silent after the request was sent.

    Attributes:
        detail: What happened.
    """

    detail: str


CallOutcome = Completed | NotConnected | AnswerLost


class AnswerReceiver(Protocol):
    """Takes an answer as it arrives."""

    def on_head(self, status: int, headers: Headers) -> None:
        """Takes status and headers."""

    def on_data(self, data: bytes) -> None:
        """Takes a part of the body."""


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRequest:
    """One request for the endpoint.

    Attributes:
        method: HTTP method.
        path: Path with the query.
        headers: Headers to send.
        body: The body.
        repeatable: Whether a connection may be reused for it.
        timeout_s: Time to the last byte.
    """

    method: str
    path: str
    headers: Headers
    body: bytes
    repeatable: bool
    timeout_s: float


class _Body(protocol.Protocol):
    """Passes on a body; ``done`` fires with the error that ended it."""

    def __init__(self, take: Callable[[bytes], None]) -> None:
        self._take = take
        self.done: defer.Deferred[BaseException | None] = defer.Deferred()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._take(data)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        if not self.done.called:
            self.done.callback(reason.value)

    def abort(self) -> None:
        """Closes the connection to the endpoint."""
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()


def body_producer(data: bytes) -> iweb.IBodyProducer:
    """Returns what sends a request body.

    Args:
        data: The body.
    """
    return client.FileBodyProducer(io.BytesIO(data))


class EndpointClient:
    """Calls one endpoint."""

    def __init__(
        self, base_url: str, reactor: Any, connect_timeout_s: float
    ) -> None:
        """Prepares a client; nothing is sent yet.

        Args:
            base_url: Such as ``http://127.0.0.1:8000``.
            reactor: The Twisted reactor.
            connect_timeout_s: Time that a connection may take to open.
        """
        self._base_url = base_url.rstrip("/")
        self._reactor = reactor
        pool = client.HTTPConnectionPool(reactor)
        pool.retryAutomatically = False
        pool.maxPersistentPerHost = 64
        self._reusing = client.Agent(
            reactor, connectTimeout=connect_timeout_s, pool=pool
        )
        self._fresh = client.Agent(
            reactor,
            connectTimeout=connect_timeout_s,
            pool=client.HTTPConnectionPool(reactor, persistent=False),
        )

    async def send(
        self, request: EndpointRequest, receiver: AnswerReceiver
    ) -> CallOutcome:
        """Sends a request and passes on its answer.

        Cancelling the surrounding ``Deferred`` closes the connection, which
        cancels the work at the engine.

        Args:
            request: The request.
            receiver: Takes the answer.
        """
        chosen = self._reusing if request.repeatable else self._fresh
        deadline_s = self._reactor.seconds() + request.timeout_s
        asking = self._request(chosen, request)
        asking.addTimeout(request.timeout_s, self._reactor)
        try:
            response = await asking
        except (error.ConnectError, error.ConnectingCancelledError) as failed:
            return NotConnected(str(failed))
        except defer.CancelledError:
            raise
        except Exception as failed:
            return AnswerLost(f"no answer: {failed!r}")
        left_s = max(0.01, deadline_s - self._reactor.seconds())
        return await self._receive(response, left_s, receiver)

    def _request(
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

    async def _receive(
        self, response: iweb.IResponse, left_s: float, receiver: AnswerReceiver
    ) -> CallOutcome:
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, values in response.headers.getAllRawHeaders()
            for value in values
            if name.decode("latin-1").lower() not in HOP_BY_HOP_HEADERS
        ]
        receiver.on_head(response.code, headers)
        body = _Body(receiver.on_data)
        response.deliverBody(body)
        timer = self._reactor.callLater(left_s, body.abort)
        try:
            reason = await body.done
        except defer.CancelledError:
            body.abort()
            raise
        finally:
            if timer.active():
                timer.cancel()
        # A body that only ends with its connection cannot be known as whole.
        if isinstance(reason, client.ResponseDone):
            return Completed()
        return AnswerLost(f"the answer broke off: {reason!r}")

    async def post_json(self, path: str, body: Any, timeout_s: float) -> Any:
        """Sends an order and returns the JSON that answers it.

        Args:
            path: Path with the query.
            body: The order, sent as JSON.
            timeout_s: Time that it may take.
        """
        response = await treq.post(
            self._base_url + path,
            data=msgspec.json.encode(body),
            timeout=timeout_s,
            agent=self._fresh,
        )
        return msgspec.json.decode(await treq.content(response))

    async def get_json(self, path: str, timeout_s: float) -> Any:
        """Fetches a JSON document, such as a load report.

        Args:
            path: Path with the query.
            timeout_s: Time that it may take.
        """
        response = await treq.get(
            self._base_url + path, timeout=timeout_s, agent=self._reusing
        )
        return msgspec.json.decode(await treq.content(response))
