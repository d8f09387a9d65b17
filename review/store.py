"""The platform's metadata store: the calls that entries make, linearizable."""

import asyncio
import base64
import collections
import json
import struct
import urllib.parse

import http1


class Store:
    """Keyed topics with one partition each.

    Attributes:
        address: Where the store listens.
    """

    def __init__(self):
        self.address = ""
        self._topics = collections.defaultdict(list)
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def put(self, topic, key, value):
        """Appends a record; None deletes the key. The return is the ack."""
        data = b"" if value is None else json.dumps(value).encode()
        self._append_record(topic, key, data)

    def _append_record(self, topic, key, data):
        self._topics[topic].append((key, data))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        try:
            while (head := await http1.read_head(reader)) is not None:
                line, headers = head
                body = await http1.read_whole_body(reader, headers)
                target = line.split(" ")[1]
                status, answer = await self._answer(target, body)
                writer.write(http1.format_answer(status, (), answer))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, target, body):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        records = self._topics[query["topic"]]
        if parts.path == "/log-newest":
            newest = {key: (value, at) for at, (key, value) in enumerate(records)}
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": at,
                }
                for key, (value, at) in newest.items()
                if value
            ]
            page = {"items": items, "has_more": False, "end": len(records)}
            return 200, json.dumps(page).encode()
        if parts.path == "/log-read":
            start = int(query["from"])
            await self._wait_for(query["topic"], start, int(query["wait_ms"]))
            records = self._topics[query["topic"]]
            return 200, struct.pack(">QQ", len(records), 0) + b"".join(
                _format_record(key, value) for key, value in records[start:]
            )
        if parts.path == "/log-append":
            (length,) = struct.unpack_from(">I", body)
            record = body[4 : 4 + length]
            key = record[1 : 1 + record[0]].decode()
            self._append_record(query["topic"], key, record[1 + record[0] :])
            end = len(self._topics[query["topic"]])
            answer = {"offset": end - 1, "end": end}
            return 200, json.dumps(answer).encode()
        return 404, b"{}"

    async def _wait_for(self, topic, start, wait_ms):
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_ms / 1000
        while len(self._topics[topic]) <= start:
            left_s = deadline_s - loop.time()
            if left_s <= 0:
                return
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except asyncio.TimeoutError:
                return


def _format_record(key, value):
    name = key.encode()
    record = bytes([len(name)]) + name + value
    return struct.pack(">I", len(record)) + record
