"""Client of the platform's lagging list of instances.

``GET /instances`` returns a JSON list of ``Instance`` with an ``ETag``, and
answers 304 to ``If-None-Match`` while the list is the same.
"""

from typing import Any
from typing import Literal

import msgspec
import treq

from godwitdale_verdicts import exceptions

_OK = 200
_NOT_MODIFIED = 304


class Instance(msgspec.Struct, frozen=True):
    """One process as the platform knows it.

    Attributes:
        name: Unique name.
        role: What it is.
        host: IP number.
        port: Port for callers (entry) or for entries (agent).
        admin_port: Port that serves the status.
        zone: Availability zone.
        state: Whether it is about to be stopped.
        endpoint: Name of an agent's endpoint.
    """

    name: str
    role: Literal["entry", "agent"]
    host: str
    port: int
    admin_port: int
    zone: str
    state: Literal["live", "leaving"] = "live"
    endpoint: str = ""


_decoder = msgspec.json.Decoder(list[Instance])


class HttpInstanceList:
    """The list over HTTP."""

    def __init__(self, base_url: str, timeout_s: float) -> None:
        """Prepares a client; nothing is sent yet.

        Args:
            base_url: Such as ``http://127.0.0.1:7001``.
            timeout_s: Time that a request may take.
        """
        self._url = base_url.rstrip("/") + "/instances"
        self._timeout_s = timeout_s
        self._tag: str | None = None
        self._last: list[Instance] = []

    async def fetch(self, reactor: Any = None) -> list[Instance]:
        """Returns the list as the platform has it at the moment.

        An unchanged list is not sent again: at the planned size it has some
        hundred kilobytes, and it changes every few minutes.

        Raises:
            exceptions.PlatformUnavailableError: The list does not answer.
        """
        try:
            response = await treq.get(
                self._url,
                timeout=self._timeout_s,
                reactor=reactor,
                headers={"If-None-Match": self._tag} if self._tag else {},
            )
            body = await treq.content(response)
            if response.code == _NOT_MODIFIED:
                return self._last
            if response.code != _OK:
                raise exceptions.PlatformUnavailableError(
                    f"the instance list answered {response.code}"
                )
            self._last = _decoder.decode(body)
            self._tag = response.headers.getRawHeaders("ETag", [None])[0]
            return self._last
        except exceptions.PlatformUnavailableError:
            raise
        except Exception as failed:
            raise exceptions.PlatformUnavailableError(
                f"the instance list does not answer: {failed!r}"
            ) from failed
