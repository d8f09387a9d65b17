"""Starts stand-ins in the current process."""

from collections.abc import Callable
from typing import Any

from twisted.web import server

from godwitdale_standins import engine
from godwitdale_standins import instance_list
from godwitdale_standins import log_service
from godwitdale_standins import plain_app
from godwitdale_standins import rank_group
from godwitdale_standins import relay
from godwitdale_standins import weight_store

_FACTORIES: dict[str, Callable[[str], Any]] = {
    "log": lambda _: log_service.LogService(),
    "instances": lambda _: instance_list.InstanceList(),
    "weights": lambda _: weight_store.WeightStore(),
    "engine": lambda model: engine.Engine(model, engine.EngineShape()),
    "app": plain_app.PlainApp,
    "group": rank_group.RankGroup,
    "relay": lambda _: relay.Relay(),
}
SERVICE_NAMES = tuple(_FACTORIES)


def create_service(name: str, label: str) -> Any:
    """Creates a stand-in.

    Args:
        name: One of ``SERVICE_NAMES``.
        label: Model name of an engine, name of an app, or shape of a rank
            group; the other stand-ins ignore it.
    """
    return _FACTORIES[name](label)


def listen(reactor: Any, service: Any, host: str, port: int) -> Any:
    """Serves a stand-in.

    Args:
        reactor: The Twisted reactor.
        service: What ``create_service`` returned.
        host: IP address to listen on.
        port: Port to listen on, or 0 for any free port.

    Returns:
        The listening port.
    """
    site = server.Site(service.app.resource())
    return reactor.listenTCP(port, site, interface=host)
