"""TLS contexts that reload their PEM files without a restart."""

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

Value = TypeVar("Value")


class ReloadingValue(Generic[Value]):
    """A value that is built from files and rebuilt when one of them changes.

    If the files cannot be loaded, for example because one of them is only
    half written, the previous value stays in use.
    """

    __slots__ = ("_files", "_build", "_file_stats", "_value")

    def __init__(self, files: list[str], build: Callable[[], Value]) -> None:
        """Builds the value for the first time.

        Args:
            files: Names of the files to watch.
            build: Loads the files and returns the value.
        """
        self._files = [pathlib.Path(name) for name in files]
        self._build = build
        self._file_stats = self._read_file_stats()
        self._value = build()

    def get(self) -> Value:
        """Returns the value, rebuilt if a file has changed."""
        file_stats = self._read_file_stats()
        if file_stats != self._file_stats:
            try:
                self._value = self._build()
                self._file_stats = file_stats
            except (OSError, ValueError, SSL.Error):
                return self._value
        return self._value

    def _read_file_stats(self) -> tuple[tuple[int, int], ...]:
        file_stats = []
        for file in self._files:
            try:
                status = file.stat()
                file_stats.append((status.st_mtime_ns, status.st_size))
            except OSError:
                file_stats.append((0, 0))
        return tuple(file_stats)


def _load_certificate(certificate: str, key: str) -> ssl.PrivateCertificate:
    pem = pathlib.Path(certificate).read_bytes()
    pem += b"\n" + pathlib.Path(key).read_bytes()
    return ssl.PrivateCertificate.loadPEM(pem)


def _load_authority(file: str) -> ssl.Certificate:
    return ssl.Certificate.loadPEM(pathlib.Path(file).read_bytes())


class _ReloadingContext:
    """A context factory that uses the current files for each connection."""

    def __init__(self, options: ReloadingValue[Any]) -> None:
        self._options = options

    def getContext(self) -> SSL.Context:  # noqa: N802
        """Returns the context for one new connection."""
        return self._options.get().getContext()


def caller_context(tls: settings.CallerTls) -> Any:
    """Returns the context factory of the port for callers."""

    def build() -> Any:
        return _load_certificate(tls.certificate, tls.key).options()

    return _ReloadingContext(ReloadingValue([tls.certificate, tls.key], build))


def agent_context(tls: settings.PeerTls) -> Any:
    """Returns an agent's context factory; it requires client certificates."""

    def build() -> Any:
        own = _load_certificate(tls.certificate, tls.key)
        return own.options(_load_authority(tls.authority))

    return _ReloadingContext(ReloadingValue(_peer_files(tls), build))


def _peer_files(tls: settings.PeerTls) -> list[str]:
    return [tls.certificate, tls.key, tls.authority]


@implementer(interfaces.IStreamClientEndpoint)
class _ReloadingTlsEndpoint:
    """A client endpoint that uses the current TLS files for each connection."""

    def __init__(
        self, reactor: Any, host: str, port: int, options: ReloadingValue[Any]
    ) -> None:
        self._reactor = reactor
        self._host = host
        self._port = port
        self._options = options

    def connect(self, factory: Any) -> Any:
        """Opens a connection and returns its Deferred."""
        plain = endpoints.TCP4ClientEndpoint(
            self._reactor, self._host, self._port
        )
        wrapped = endpoints.wrapClientTLS(self._options.get(), plain)
        return wrapped.connect(factory)


class AgentDialer:
    """Creates client endpoints for connections to agents.

    Connections use mutual TLS if it is configured, else plain TCP.
    """

    __slots__ = ("_reactor", "_tls")

    def __init__(self, reactor: Any, tls: settings.PeerTls | None) -> None:
        self._reactor = reactor
        self._tls = tls

    def client_endpoint(
        self, host: str, port: int
    ) -> interfaces.IStreamClientEndpoint:
        """Returns a Twisted client endpoint that connects to an agent.

        Args:
            host: IP address of the agent, which its certificate must contain.
            port: Port of the agent.
        """
        tls = self._tls
        if tls is None:
            return endpoints.TCP4ClientEndpoint(self._reactor, host, port)

        def build() -> Any:
            return ssl.optionsForClientTLS(
                host,
                trustRoot=_load_authority(tls.authority),
                clientCertificate=_load_certificate(tls.certificate, tls.key),
            )

        options = ReloadingValue(_peer_files(tls), build)
        return _ReloadingTlsEndpoint(self._reactor, host, port, options)


def listen(
    reactor: Any, address: settings.Address, factory: Any, context: Any | None
) -> Any:
    """Listens on a port, with TLS if a context is given.

    Args:
        reactor: The Twisted reactor.
        address: Address to listen on.
        factory: Protocol factory.
        context: TLS context factory, or None for plain TCP.

    Returns:
        The listening port.
    """
    if context is None:
        return reactor.listenTCP(address.port, factory, interface=address.host)
    return reactor.listenSSL(
        address.port, factory, context, interface=address.host
    )
