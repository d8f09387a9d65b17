"""Runs a coroutine on the Twisted reactor for commands."""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from twisted.internet import defer
from twisted.internet import reactor as default_reactor
from twisted.python import failure


def run_coroutine(
    function: Callable[[Any], Coroutine[Any, Any, None]],
) -> None:
    """Runs a coroutine function on the reactor until it returns.

    An exception of the coroutine is raised again after the reactor stopped.

    Args:
        function: Coroutine function that takes the reactor.
    """
    reactor: Any = default_reactor
    errors: list[BaseException] = []

    def record_error(reason: failure.Failure) -> None:
        if reason.value is not None:
            errors.append(reason.value)

    def start() -> None:
        done: Any = defer.ensureDeferred(function(reactor))
        done.addErrback(record_error)
        done.addBoth(lambda _: reactor.running and reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    if errors:
        raise errors[0]
