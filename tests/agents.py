"""Builders of agents' requests and of what an executor calls, for tests."""

from twisted.internet import defer

from godwitdale import execution
from godwitdale_link import messages
from godwitdale_observe import histograms
from godwitdale_observe import logs
from godwitdale_verdicts import identifiers


class Backend:
    """Stands in for the endpoint; its calls last until they are cancelled.

    Attributes:
        received: Paths of the requests that were sent.
    """

    def __init__(self):
        self.received = []

    async def send(self, request, receiver):
        self.received.append(request.path)
        await defer.Deferred()


class Sink:
    """Records how a request was refused."""

    def __init__(self):
        self.refusal = None

    def refuse(self, refusal):
        self.refusal = refusal


class Feed:
    """Declarations that are always current."""

    def __init__(self):
        self.view = self
        self.policy = self
        self.stale_limit_s = 60.0

    def is_too_far_behind(self, position, catch_up_s):
        return False


class Metrics:
    """Ignores counters."""

    def incr(self, name):
        """Does nothing."""


def executor(clock, slots):
    """Returns an executor, and the stand-in of its endpoint."""
    backend = Backend()
    dependencies = execution.Dependencies(
        reactor=clock,
        feed=Feed(),
        claims=None,
        backend=backend,
        histograms=histograms.Histograms(4),
        metrics=Metrics(),
        events=logs.EventLog(),
    )
    return execution.Executor(dependencies, "agent", slots, 0.1, 1.0), backend


def submit(executor_, number):
    """Submits a request and returns the sink of its answer."""
    sink = Sink()
    executor_.on_submit(
        messages.Submit(
            id=identifiers.RequestId("entry", number),
            agent_incarnation="agent",
            account="mill",
            weight=1.0,
            offered_per_admitted=1.0,
            service_class="quote",
            priority=0,
            first_byte_timeout_s=5.0,
            timeout_s=5.0,
            key_digest=None,
            repeatable=False,
            method="POST",
            path=f"/{number}",
            headers=[],
            body=b"",
            position=messages.Position(0, 0.0),
        ),
        sink,
    )
    return sink
