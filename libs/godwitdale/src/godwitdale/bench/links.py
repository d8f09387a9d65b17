"""Round trips between two processes: this link's framing against pynng."""

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
_SECONDS = 2.0
_HOST = "127.0.0.1"
_ID = identifiers.RequestId("bench", 1)


class _Echo(framing.MessageProtocol):
    """Answers every message with itself."""

    decoder = messages.agent_message_decoder

    def message_received(self, message: Any) -> None:
        self.send(message)


def _serve_tcp(port_out: Any) -> None:
    from twisted.internet import reactor as chosen

    reactor: Any = chosen
    factory = protocol.Factory.forProtocol(_Echo)
    port = reactor.listenTCP(0, factory, interface=_HOST)
    port_out.send(port.getHost().port)
    reactor.run(installSignalHandlers=False)


def _serve_pynng(port_out: Any) -> None:
    import pynng

    with pynng.Pair0(listen=f"tcp://{_HOST}:0") as pair:
        # The library gives the port in network byte order.
        port_out.send(socket.ntohs(pair.listeners[0].local_address.port))
        while True:
            pair.send(pair.recv())


class _Client(framing.MessageProtocol):
    """Keeps some messages on their way."""

    decoder = messages.agent_message_decoder

    def __init__(self) -> None:
        super().__init__()
        self.received = 0

    def message_received(self, message: Any) -> None:
        self.received += 1
        self.send(message)


async def _tcp_rate(reactor: Any, port: int, outstanding: int) -> float:
    connecting = endpoints.TCP4ClientEndpoint(reactor, _HOST, port)
    client: Any = await connecting.connect(
        protocol.Factory.forProtocol(_Client)
    )
    framing.set_no_delay(client.transport)
    message = messages.AnswerData(_ID, 1, b"x" * _PAYLOAD_BYTES)
    client.send_batch([message] * outstanding)
    started_s = time.perf_counter()
    await task.deferLater(reactor, _SECONDS, lambda: None)
    rate = client.received / (time.perf_counter() - started_s)
    client.discard_input()
    client.abort()
    return rate


def _pynng_polled(reactor: Any, port: int, outstanding: int) -> Any:
    """Drives pynng from the reactor, by its pollable descriptor."""
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

    def end(started_s: float) -> None:
        reactor.removeReader(poller)
        took_s = time.perf_counter() - started_s
        pair.close()
        done.callback(received / took_s)

    reactor.addReader(poller)
    for _ in range(outstanding):
        pair.send(payload)
    reactor.callLater(_SECONDS, end, time.perf_counter())
    return done


async def run(reactor: Any) -> list[report.Result]:
    """Measures both with one and with 64 messages on their way.

    Args:
        reactor: The Twisted reactor.
    """
    context = multiprocessing.get_context("spawn")
    rows = []
    for name, server, measure in (
        ("Twisted TCP, MessagePack frames", _serve_tcp, _tcp_rate),
        ("pynng pair, polled by the reactor", _serve_pynng, _pynng_polled),
    ):
        for outstanding in (1, 64):
            ours, theirs = context.Pipe()
            process = context.Process(
                target=server, args=(theirs,), daemon=True
            )
            process.start()
            port = ours.recv()
            rate = await measure(reactor, port, outstanding)
            process.terminate()
            process.join()
            rows.append([name, outstanding, round(rate)])
    return [
        report.Result(
            f"Round trips of {_PAYLOAD_BYTES} bytes between two processes",
            ("transport", "on their way", "round trips/s"),
            rows,
        )
    ]
