"""Connections to endpoints that are kept for further exchanges."""

import dataclasses
from typing import Any

from twisted.internet import defer
from twisted.internet import protocol

from godwitdale_http import channel as channel_lib

# Share of the endpoint's keep-alive time after which a connection is not used
# any more: the close may be on its way.
_KEEP_ALIVE_SHARE = 0.7
# Idle time that is taken where an endpoint states none.
_UNSTATED_KEEP_ALIVE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Where an endpoint listens.

    Attributes:
        host: IP number.
        port: TCP port.
    """

    host: str
    port: int


class Pool:
    """Idle connections, by the name of the endpoint."""

    __slots__ = ("_reactor", "_idle")

    def __init__(self, reactor: Any) -> None:
        """Starts empty.

        Args:
            reactor: The Twisted reactor.
        """
        self._reactor = reactor
        self._idle: dict[str, list[channel_lib.Channel]] = {}

    def acquire(
        self, name: str, max_idle_s: float
    ) -> channel_lib.Channel | None:
        """Returns an idle connection, or None.

        Args:
            name: Name of the endpoint.
            max_idle_s: Longest time since its last exchange; short where
                a reset must not lose the request.
        """
        idle = self._idle.get(name, [])
        now_s = self._reactor.seconds()
        while idle:
            channel = idle[-1]
            age_s = now_s - channel.idle_since_s
            if channel.is_reusable and age_s > max_idle_s:
                return None
            idle.pop()
            if channel.is_reusable and age_s <= _limit_s(channel):
                return channel
            channel.close()
        return None

    def has_idle(self, name: str) -> bool:
        """Tells whether a connection to an endpoint is at hand."""
        return bool(self._idle.get(name))

    def connect(
        self, address: Address, timeout_s: float
    ) -> "defer.Deferred[channel_lib.Channel]":
        """Opens a connection.

        Args:
            address: Where the endpoint listens.
            timeout_s: Time that this may take.
        """
        creator = protocol.ClientCreator(
            self._reactor, channel_lib.Channel, self._reactor
        )
        return creator.connectTCP(address.host, address.port, timeout_s)

    def release(self, name: str, channel: channel_lib.Channel) -> None:
        """Keeps a connection for the next exchange, where that is possible."""
        if channel.is_reusable:
            self._idle.setdefault(name, []).append(channel)

    def remove(self, name: str) -> None:
        """Closes the idle connections to an endpoint that is not used."""
        for channel in self._idle.pop(name, []):
            channel.close()

    def close_expired(self) -> None:
        """Closes connections that have been idle for too long."""
        now_s = self._reactor.seconds()
        for name, idle in list(self._idle.items()):
            kept = []
            for channel in idle:
                is_fresh = now_s - channel.idle_since_s <= _limit_s(channel)
                if channel.is_reusable and is_fresh:
                    kept.append(channel)
                else:
                    channel.close()
            if kept:
                self._idle[name] = kept
            else:
                del self._idle[name]

    def close(self) -> None:
        """Closes everything that is idle."""
        for name in list(self._idle):
            self.remove(name)


def _limit_s(channel: channel_lib.Channel) -> float:
    stated_s = channel.keep_alive_s
    if stated_s is None:
        return _UNSTATED_KEEP_ALIVE_S
    return stated_s * _KEEP_ALIVE_SHARE
