"""Client of the platform's instance list, which may be outdated.

``GET /instances`` returns a JSON list of ``Instance`` objects with an
``ETag``. While the list is unchanged, a request with ``If-None-Match`` gets
the status 304.
"""

from typing import Any
from typing import Literal

import msgspec
import treq
from twisted.web import client

from godwitdale_platform import bodies
from godwitdale_verdicts import decoding
from godwitdale_verdicts import exceptions

_OK = 200
_NOT_MODIFIED = 304
# Maximum size of the list; at the planned size it has some hundred kilobytes.
_MAX_LIST_BYTES = 16 << 20
# Maximum time to transfer it over a slow link.
_MAX_TRANSFER_S = 60.0


class Instance(msgspec.Struct, frozen=True):
    """One process, as the platform lists it.

    Attributes:
        name: Unique name of the instance.
        role: Kind of process.
        host: IP address.
        port: Port that callers connect to (entry) or that entries connect to
            (agent).
        admin_port: Port that serves the status.
        zone: Availability zone.
        state: ``leaving`` if the platform is about to stop the instance.
        endpoint: Name of the agent's endpoint; empty for an entry.
    """

    name: str
    role: Literal["entry", "agent"]
    host: str
    port: int
    admin_port: int
    zone: str
    state: Literal["live", "leaving"] = "live"
    endpoint: str = ""


_decoder = decoding.json_decoder(list[Instance])


class HttpInstanceList:
    """HTTP client of the instance list."""

    def __init__(self, base_url: str, reactor: Any, timeout_s: float) -> None:
        """Creates a client without sending a request.

        Args:
            base_url: URL of the service, such as ``http://127.0.0.1:7001``.
            reactor: The Twisted reactor.
            timeout_s: Maximum time until the head of an answer arrives, and
                between two parts of it.
        """
        self._reactor = reactor
        self._body_limits = bodies.Limits(
            _MAX_LIST_BYTES, part_s=timeout_s, total_s=_MAX_TRANSFER_S
        )
        pool = client.HTTPConnectionPool(reactor)
        self._http_client = treq.client.HTTPClient(
            client.Agent(reactor, connectTimeout=timeout_s, pool=pool)
        )
        self._url = base_url.rstrip("/") + "/instances"
        self._timeout_s = timeout_s
        self._etag: str | None = None
        self._cached: list[Instance] = []

    async def fetch(self) -> list[Instance]:
        """Returns the list that the platform serves now.

        An unchanged list is not transferred again, because at the planned size
        the list has some hundred kilobytes and changes every few minutes.

        Raises:
            exceptions.PlatformUnavailableError: The service did not answer
                with the list.
        """
        try:
            response = await self._http_client.get(
                self._url,
                timeout=self._timeout_s,
                headers={"If-None-Match": self._etag} if self._etag else {},
            )
            body = await bodies.read(response, self._body_limits, self._reactor)
            if response.code == _NOT_MODIFIED:
                return self._cached
            if response.code != _OK:
                raise exceptions.PlatformUnavailableError(
                    f"the instance list returned status {response.code}"
                )
            self._cached = _decoder.decode(body)
            self._etag = response.headers.getRawHeaders("ETag", [None])[0]
            return self._cached
        except exceptions.PlatformUnavailableError:
            raise
        except Exception as cause:
            raise exceptions.PlatformUnavailableError(
                f"the instance list does not answer: {cause!r}"
            ) from cause
