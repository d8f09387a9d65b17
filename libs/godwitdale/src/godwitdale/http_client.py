"""A plain HTTP client for tests and benches, one connection a request."""

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
_ANSWER_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An HTTP answer.

    Attributes:
        status: The HTTP status.
        headers: Headers by lower-case name.
        body: The body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def verdict(self) -> str:
        """The verdict that the system gave."""
        return self.headers.get("godwitdale-verdict", "")

    def json(self) -> Any:
        """Returns the body as JSON."""
        return json.loads(self.body)


def send_request(
    url: str,
    method: str = "GET",
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = _ANSWER_S,
    context: ssl.SSLContext | None = None,
) -> Response:
    """Sends one HTTP request on a connection of its own.

    Args:
        url: Where to.
        method: HTTP method.
        body: Bytes as they are, anything else as JSON, None for no body.
        headers: Headers to send.
        timeout_s: Time between two bytes.
        context: How to verify an ``https`` URL.
    """
    with _opened(url, method, body, headers, timeout_s, context) as response:
        data = response.read()
        return Response(response.status, _headers_of(response), data)


@contextlib.contextmanager
def open_stream(
    url: str,
    body: Any,
    headers: dict[str, str] | None = None,
    timeout_s: float = _ANSWER_S,
) -> Iterator[http.client.HTTPResponse]:
    """Posts a request and gives the open response, to be read line by line.

    Args:
        url: Where to.
        body: Sent as JSON.
        headers: Headers to send.
        timeout_s: Time between two bytes.
    """
    with _opened(url, "POST", body, headers, timeout_s) as response:
        yield response


@contextlib.contextmanager
def _opened(
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


def _headers_of(response: http.client.HTTPResponse) -> dict[str, str]:
    return {name.lower(): value for name, value in response.getheaders()}
