"""Pool of idle connections to endpoints."""

import dataclasses
from typing import Any

from twisted.internet import defer
from twisted.internet import protocol

from godwitdale_http import channel as channel_lib

# Share of the endpoint's keep-alive time for which an idle connection is used.
# After it, the endpoint's close may already be on its way.
_KEEP_ALIVE_SHARE = 0.7
# Idle time for which a connection is used if the endpoint states no keep-alive
# time.
_DEFAULT_KEEP_ALIVE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Address on which an endpoint listens.

    Attributes:
        host: IP address.
        port: TCP port.
    """

    host: str
    port: int


class Pool:
    """Idle connections, grouped by the name of their endpoint."""

    __slots__ = ("_reactor", "_idle")

    def __init__(self, reactor: Any) -> None:
        """Creates an empty pool.

        Args:
            reactor: The Twisted reactor.
        """
        self._reactor = reactor
        self._idle: dict[str, list[channel_lib.Channel]] = {}

    def acquire(
        self, name: str, max_idle_s: float
    ) -> channel_lib.Channel | None:
        """Removes the most recently used connection from the pool.

        Args:
            name: Name of the endpoint.
            max_idle_s: Maximum time since the last exchange on the connection.
                It is short for requests that must not be lost to a reset.

        Returns:
            The connection, or None if the pool has no usable one.
        """
        idle = self._idle.get(name, [])
        now_s = self._reactor.seconds()
        while idle:
            channel = idle[-1]
            age_s = now_s - channel.idle_since_s
            if channel.is_reusable and age_s > max_idle_s:
                return None
            idle.pop()
            if channel.is_reusable and age_s <= _expiry_s(channel):
                return channel
            channel.close()
        return None

    def has_idle(self, name: str) -> bool:
        """Returns whether the pool has an idle connection to an endpoint."""
        return bool(self._idle.get(name))

    def connect(
        self, address: Address, timeout_s: float
    ) -> "defer.Deferred[channel_lib.Channel]":
        """Opens a new connection.

        Args:
            address: Address of the endpoint.
            timeout_s: Maximum time to open it.
        """
        creator = protocol.ClientCreator(
            self._reactor, channel_lib.Channel, self._reactor
        )
        return creator.connectTCP(address.host, address.port, timeout_s)

    def release(self, name: str, channel: channel_lib.Channel) -> None:
        """Puts a connection into the pool if it can be reused."""
        if channel.is_reusable:
            self._idle.setdefault(name, []).append(channel)

    def remove(self, name: str) -> None:
        """Closes all idle connections to an endpoint."""
        for channel in self._idle.pop(name, []):
            channel.close()

    def close_expired(self) -> None:
        """Closes connections whose idle time has passed their expiry."""
        now_s = self._reactor.seconds()
        for name, idle in list(self._idle.items()):
            kept = []
            for channel in idle:
                is_fresh = now_s - channel.idle_since_s <= _expiry_s(channel)
                if channel.is_reusable and is_fresh:
                    kept.append(channel)
                else:
                    channel.close()
            if kept:
                self._idle[name] = kept
            else:
                del self._idle[name]

    def close(self) -> None:
        """Closes all idle connections."""
        for name in list(self._idle):
            self.remove(name)


def _expiry_s(channel: channel_lib.Channel) -> float:
    """Returns the idle time after which a connection is not used any more."""
    stated_s = channel.keep_alive_s
    if stated_s is None:
        return _DEFAULT_KEEP_ALIVE_S
    return stated_s * _KEEP_ALIVE_SHARE
