"""Running a coroutine of a command on the reactor."""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from twisted.internet import defer
from twisted.internet import reactor as default_reactor
from twisted.python import failure


def run_coroutine(work: Callable[[Any], Coroutine[Any, Any, None]]) -> None:
    """Runs a coroutine on the reactor and raises what it raises.

    Args:
        work: Takes the reactor.
    """
    reactor: Any = default_reactor
    failed: list[BaseException] = []

    def note(reason: failure.Failure) -> None:
        if reason.value is not None:
            failed.append(reason.value)

    def start() -> None:
        running: Any = defer.ensureDeferred(work(reactor))
        running.addErrback(note)
        running.addBoth(lambda _: reactor.running and reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    if failed:
        raise failed[0]
