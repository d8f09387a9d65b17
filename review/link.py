"""A loopback proxy: a link of limited bandwidth between clients and an entry."""

import asyncio
import contextlib
import socket

_PART_BYTES = 16384
_WINDOW_BYTES = 65536


class Link:
    """Forwards channels; all answers together get the bandwidth.

    Attributes:
        port: Where clients connect.
    """

    def __init__(self, target_port, mbps):
        self.port = 0
        self._target_port = target_port
        self._bytes_per_s = mbps * 1e6 / 8
        self._free_at_s = 0.0
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _WINDOW_BYTES)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(sock, ("127.0.0.1", self._target_port))
        except OSError:
            writer.close()
            return
        entry_reader, entry_writer = await asyncio.open_connection(
            sock=sock, limit=_WINDOW_BYTES
        )
        await asyncio.gather(
            self._copy(reader, entry_writer, is_limited=False),
            self._copy(entry_reader, writer, is_limited=True),
        )

    async def _copy(self, reader, writer, is_limited):
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while data := await reader.read(_PART_BYTES):
                if is_limited:
                    start_s = max(loop.time(), self._free_at_s)
                    self._free_at_s = start_s + len(data) / self._bytes_per_s
                    await asyncio.sleep(self._free_at_s - loop.time())
                writer.write(data)
                await writer.drain()
        writer.close()
