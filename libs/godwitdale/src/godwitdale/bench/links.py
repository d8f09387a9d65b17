"""Round trips between two processes, over the link's framing and pynng."""

import multiprocessing
import socket
import time
from typing import Any

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import task

from godwitdale.bench import report
from godwitdale_link import framing
from godwitdale_link import messages
from godwitdale_verdicts import identifiers

_PAYLOAD_BYTES = 200
_DURATION_S = 2.0
_HOST = "127.0.0.1"
_REQUEST_ID = identifiers.RequestId("bench", 1)


class _Echo(framing.MessageProtocol):
    """Sends every received message back."""

    decoder = messages.agent_message_decoder

    def message_received(self, message: Any) -> None:
        self.send(message)


def _serve_tcp(port_sender: Any) -> None:
    from twisted.internet import reactor as default_reactor

    reactor: Any = default_reactor
    factory = protocol.Factory.forProtocol(_Echo)
    port = reactor.listenTCP(0, factory, interface=_HOST)
    port_sender.send(port.getHost().port)
    reactor.run(installSignalHandlers=False)


def _serve_pynng(port_sender: Any) -> None:
    import pynng

    with pynng.Pair0(listen=f"tcp://{_HOST}:0") as pair:
        # pynng returns the port in network byte order.
        port_sender.send(socket.ntohs(pair.listeners[0].local_address.port))
        while True:
            pair.send(pair.recv())


class _PingPong(framing.MessageProtocol):
    """Sends every received message again, to keep their number in flight."""

    decoder = messages.agent_message_decoder

    def __init__(self) -> None:
        super().__init__()
        self.received = 0

    def message_received(self, message: Any) -> None:
        self.received += 1
        self.send(message)


async def _tcp_rate(reactor: Any, port: int, in_flight: int) -> float:
    endpoint = endpoints.TCP4ClientEndpoint(reactor, _HOST, port)
    client: Any = await endpoint.connect(
        protocol.Factory.forProtocol(_PingPong)
    )
    framing.set_no_delay(client.transport)
    message = messages.AnswerData(_REQUEST_ID, 1, b"x" * _PAYLOAD_BYTES)
    client.send_batch([message] * in_flight)
    started_s = time.perf_counter()
    await task.deferLater(reactor, _DURATION_S, lambda: None)
    rate = client.received / (time.perf_counter() - started_s)
    client.discard_input()
    client.abort()
    return rate


def _pynng_rate(reactor: Any, port: int, in_flight: int) -> Any:
    """Measures pynng, polled by the reactor through its file descriptor."""
    import pynng

    pair = pynng.Pair0(
        dial=f"tcp://{_HOST}:{port}", recv_buffer_size=128, send_buffer_size=128
    )
    payload = b"x" * _PAYLOAD_BYTES
    received = 0

    class Poller:
        def fileno(self) -> int:
            return pair.recv_fd

        def doRead(self) -> None:  # noqa: N802
            nonlocal received
            while True:
                try:
                    data = pair.recv(block=False)
                except pynng.TryAgain:
                    return
                received += 1
                pair.send(data)

        def connectionLost(self, reason: Any) -> None:  # noqa: N802
            pass

        def logPrefix(self) -> str:  # noqa: N802
            return "pynng"

    poller = Poller()
    done: defer.Deferred[float] = defer.Deferred()

    def finish(started_s: float) -> None:
        reactor.removeReader(poller)
        took_s = time.perf_counter() - started_s
        pair.close()
        done.callback(received / took_s)

    reactor.addReader(poller)
    for _ in range(in_flight):
        pair.send(payload)
    reactor.callLater(_DURATION_S, finish, time.perf_counter())
    return done


async def run(reactor: Any) -> list[report.Result]:
    """Measures both transports with 1 and with 64 messages in flight.

    Args:
        reactor: The Twisted reactor.
    """
    context = multiprocessing.get_context("spawn")
    rows = []
    for name, server, measure in (
        ("Twisted TCP, MessagePack frames", _serve_tcp, _tcp_rate),
        ("pynng pair, polled by the reactor", _serve_pynng, _pynng_rate),
    ):
        for in_flight in (1, 64):
            parent_end, child_end = context.Pipe()
            process = context.Process(
                target=server, args=(child_end,), daemon=True
            )
            process.start()
            port = parent_end.recv()
            rate = await measure(reactor, port, in_flight)
            process.terminate()
            process.join()
            rows.append([name, in_flight, round(rate)])
    return [
        report.Result(
            f"Round trips of {_PAYLOAD_BYTES} bytes between two processes",
            ("transport", "on their way", "round trips/s"),
            rows,
        )
    ]
