"""HTTP client for tests and benchmarks, with one connection per request."""

from collections.abc import Iterator
import contextlib
import dataclasses
import http.client
import json
import ssl
from typing import Any
import urllib.parse

import msgspec

HOST = "127.0.0.1"
_DEFAULT_TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """HTTP response.

    Attributes:
        status: HTTP status.
        headers: Headers by lower-case name.
        body: Complete body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def verdict(self) -> str:
        """The verdict in the headers, or an empty string."""
        return self.headers.get("godwitdale-verdict", "")

    def json(self) -> Any:
        """Returns the decoded JSON body."""
        return json.loads(self.body)


def send_request(
    url: str,
    method: str = "GET",
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = _DEFAULT_TIMEOUT_S,
    context: ssl.SSLContext | None = None,
) -> Response:
    """Sends one HTTP request on its own connection.

    Args:
        url: URL of the request.
        method: HTTP method.
        body: Body; bytes are sent unchanged, other objects as JSON. None means
            no body.
        headers: Headers to send.
        timeout_s: Maximum time of one operation on the socket.
        context: TLS context for an ``https`` URL, or None for ``http``.
    """
    with _open(url, method, body, headers, timeout_s, context) as response:
        data = response.read()
        return Response(response.status, _lowercase_headers(response), data)


@contextlib.contextmanager
def open_stream(
    url: str,
    body: Any,
    headers: dict[str, str] | None = None,
    timeout_s: float = _DEFAULT_TIMEOUT_S,
) -> Iterator[http.client.HTTPResponse]:
    """Posts a request and yields the open response, to be read line by line.

    Args:
        url: URL of the request.
        body: Body; bytes are sent unchanged, other objects as JSON.
        headers: Headers to send.
        timeout_s: Maximum time of one operation on the socket.
    """
    with _open(url, "POST", body, headers, timeout_s) as response:
        yield response


@contextlib.contextmanager
def _open(
    url: str,
    method: str,
    body: Any,
    headers: dict[str, str] | None,
    timeout_s: float,
    context: ssl.SSLContext | None = None,
) -> Iterator[http.client.HTTPResponse]:
    parts = urllib.parse.urlsplit(url)
    host = parts.hostname or HOST
    connection: http.client.HTTPConnection
    if context is None:
        connection = http.client.HTTPConnection(
            host, parts.port, timeout=timeout_s
        )
    else:
        connection = http.client.HTTPSConnection(
            host, parts.port, timeout=timeout_s, context=context
        )
    data = body
    if body is not None and not isinstance(body, bytes):
        data = msgspec.json.encode(body)
    path = parts.path + (f"?{parts.query}" if parts.query else "")
    try:
        connection.request(method, path or "/", data, headers or {})
        yield connection.getresponse()
    finally:
        connection.close()


def _lowercase_headers(response: http.client.HTTPResponse) -> dict[str, str]:
    return {name.lower(): value for name, value in response.getheaders()}
