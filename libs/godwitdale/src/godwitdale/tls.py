"""TLS contexts that follow their files without a restart."""

from collections.abc import Callable
import pathlib
from typing import Any
from typing import Generic
from typing import TypeVar

from OpenSSL import SSL
from twisted.internet import endpoints
from twisted.internet import interfaces
from twisted.internet import ssl
from zope.interface import implementer

from godwitdale import settings

Made = TypeVar("Made")


class Reloading(Generic[Made]):
    """Makes something from files again whenever one of them has changed.

    A file that is half written keeps what was made before in force.
    """

    __slots__ = ("_files", "_make", "_stamp", "_made")

    def __init__(self, files: list[str], make: Callable[[], Made]) -> None:
        """Makes it for the first time.

        Args:
            files: The files to watch.
            make: Reads them.
        """
        self._files = [pathlib.Path(name) for name in files]
        self._make = make
        self._stamp = self._stamp_now()
        self._made = make()

    def get(self) -> Made:
        """Returns what the files say now."""
        stamp = self._stamp_now()
        if stamp != self._stamp:
            try:
                self._made = self._make()
                self._stamp = stamp
            except (OSError, ValueError, SSL.Error):
                return self._made
        return self._made

    def _stamp_now(self) -> tuple[tuple[int, int], ...]:
        stamps = []
        for file in self._files:
            try:
                status = file.stat()
                stamps.append((status.st_mtime_ns, status.st_size))
            except OSError:
                stamps.append((0, 0))
        return tuple(stamps)


def _certificate(certificate: str, key: str) -> ssl.PrivateCertificate:
    pem = pathlib.Path(certificate).read_bytes()
    pem += b"\n" + pathlib.Path(key).read_bytes()
    return ssl.PrivateCertificate.loadPEM(pem)


def _authority(file: str) -> ssl.Certificate:
    return ssl.Certificate.loadPEM(pathlib.Path(file).read_bytes())


class _ReloadingContext:
    """A context factory whose connections use the files as they are then."""

    def __init__(self, options: Reloading[Any]) -> None:
        self._options = options

    def getContext(self) -> SSL.Context:  # noqa: N802
        """Returns the context for one new connection."""
        return self._options.get().getContext()


def caller_context(tls: settings.CallerTls) -> Any:
    """Returns the context factory that callers meet."""

    def make() -> Any:
        return _certificate(tls.certificate, tls.key).options()

    return _ReloadingContext(Reloading([tls.certificate, tls.key], make))


def agent_context(tls: settings.PeerTls) -> Any:
    """Returns the agent's context factory; entries must show a certificate."""

    def make() -> Any:
        own = _certificate(tls.certificate, tls.key)
        return own.options(_authority(tls.authority))

    return _ReloadingContext(Reloading(_peer_files(tls), make))


def _peer_files(tls: settings.PeerTls) -> list[str]:
    return [tls.certificate, tls.key, tls.authority]


@implementer(interfaces.IStreamClientEndpoint)
class _TlsClient:
    """Connects over TLS with the files as they are at that time."""

    def __init__(
        self, reactor: Any, host: str, port: int, options: Reloading[Any]
    ) -> None:
        self._reactor = reactor
        self._host = host
        self._port = port
        self._options = options

    def connect(self, factory: Any) -> Any:
        """Opens a connection."""
        plain = endpoints.TCP4ClientEndpoint(
            self._reactor, self._host, self._port
        )
        wrapped = endpoints.wrapClientTLS(self._options.get(), plain)
        return wrapped.connect(factory)


class AgentDialer:
    """Makes client endpoints towards agents, with TLS where it is set."""

    __slots__ = ("_reactor", "_tls")

    def __init__(self, reactor: Any, tls: settings.PeerTls | None) -> None:
        self._reactor = reactor
        self._tls = tls

    def client_endpoint(
        self, host: str, port: int
    ) -> interfaces.IStreamClientEndpoint:
        """Returns what connects to an agent.

        Args:
            host: Its IP number, which its certificate must name.
            port: Its port.
        """
        tls = self._tls
        if tls is None:
            return endpoints.TCP4ClientEndpoint(self._reactor, host, port)

        def make() -> Any:
            return ssl.optionsForClientTLS(
                host,
                trustRoot=_authority(tls.authority),
                clientCertificate=_certificate(tls.certificate, tls.key),
            )

        options = Reloading(_peer_files(tls), make)
        return _TlsClient(self._reactor, host, port, options)


def listen(
    reactor: Any, address: settings.Address, factory: Any, context: Any | None
) -> Any:
    """Listens, with TLS where a context is given.

    Args:
        reactor: The Twisted reactor.
        address: Where to listen.
        factory: Makes protocols.
        context: A TLS context factory, or None.

    Returns:
        The listening port.
    """
    if context is None:
        return reactor.listenTCP(address.port, factory, interface=address.host)
    return reactor.listenSSL(
        address.port, factory, context, interface=address.host
    )
