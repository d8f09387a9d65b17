"""Builders of agents' requests and of what an executor calls, for tests."""

from twisted.internet import defer
from twisted.internet import testing

from godwitdale import agent_request
from godwitdale import execution
from godwitdale_link import messages
from godwitdale_link import server as link_server
from godwitdale_observe import histograms
from godwitdale_observe import logs
from godwitdale_platform import endpoint_client
from godwitdale_verdicts import identifiers

# How long a request continues without an entry that waits for it.
ORPHAN_TIMEOUT_S = 5.0


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


class EndlessBackend:
    """Stands in for an endpoint that answers without end.

    Attributes:
        sent_bytes: Bytes that were sent until the agent closed.
    """

    def __init__(self, part, max_bytes):
        self.sent_bytes = 0
        self._part = part
        self._max_bytes = max_bytes

    async def send(self, request, receiver):
        receiver.on_head(200, [("Content-Type", "text/event-stream")])
        while self.sent_bytes < self._max_bytes:
            self.sent_bytes += len(self._part)
            if receiver.on_data(self._part) is False:
                return endpoint_client.AnswerLost("closed by the agent")
        return endpoint_client.Completed()


class PausingBackend:
    """Stands in for an endpoint that sends all its answers by turns.

    Attributes:
        open_bytes: Highest number of bytes of all answers in progress.
    """

    def __init__(self, part, max_bytes):
        self.open_bytes = 0
        self._part = part
        self._max_bytes = max_bytes
        self._calls = []

    async def send(self, request, receiver):
        receiver.on_head(200, [("Content-Type", "text/plain")])
        call = (receiver, defer.Deferred())
        self._calls.append(call)
        return await call[1]

    def resume(self):
        """Sends all answers to their ends, or until the agent closes them."""
        for number in range(self._max_bytes // len(self._part)):
            size_bytes = len(self._calls) * number * len(self._part)
            self.open_bytes = max(self.open_bytes, size_bytes)
            for call in list(self._calls):
                receiver, ended = call
                if receiver.on_data(self._part) is False:
                    self._calls.remove(call)
                    ended.callback(endpoint_client.AnswerLost("closed"))
        for _, ended in self._calls:
            ended.callback(endpoint_client.Completed())


class Sink:
    """Records the answer to a request or its refusal.

    Attributes:
        written: Parts of the body.
    """

    def __init__(self):
        self.refusal = None
        self.written = []

    def write_head(self, status, headers, queued_s):
        """Does nothing."""

    def write_data(self, data):
        self.written.append(data)

    def finish(self):
        """Does nothing."""

    def refuse(self, refusal):
        self.refusal = refusal


class Feed:
    """Declarations that are always current."""

    def __init__(self):
        self.view = self
        self.policy = self
        self.stale_limit_s = 60.0

    def position(self):
        return messages.Position(0, 0.0)

    def on_peer_position(self, position):
        return False

    def is_too_far_behind(self, position, catch_up_s):
        return False


class Metrics:
    """Ignores counters."""

    def incr(self, name):
        """Does nothing."""


def executor(clock, slots, backend=None):
    """Returns an executor, and the stand-in of its endpoint."""
    backend = backend or Backend()
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


def connect_entry(executor_, clock):
    """Returns the agent's end of a connection that an entry has opened."""
    server = link_server.LinkServer(
        "agent",
        "endpoint",
        executor_,
        clock,
        link_server.RetentionPolicy(orphan_timeout_s=ORPHAN_TIMEOUT_S),
    )
    executor_.attach_server(server)
    connection = server.buildProtocol(None)
    connection.makeConnection(testing.StringTransport())
    connection.message_received(
        messages.Hello("entry", 1, messages.Position(0, 0.0))
    )
    return connection


def submit_message(number, is_repeatable=False):
    """Returns the message that submits a request."""
    return messages.Submit(
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
        repeatable=is_repeatable,
        method="POST",
        path=f"/{number}",
        headers=[],
        body=b"",
        position=messages.Position(0, 0.0),
    )


def submit(executor_, number):
    """Submits a request and returns the sink of its answer."""
    sink = Sink()
    executor_.on_submit(submit_message(number), sink)
    return sink


def agent_request_with(sink):
    """Returns a request at an agent whose answer goes to a sink."""
    return agent_request.AgentRequest(submit_message(1), sink, 0.0)
