"""A runner: a process that serves streams or plain requests.

Usage: runner.py ID SERVICE SLOTS PASS_MS PREFILL_MS [FIRST_EVENT_ID]

It prints its port first, then a line of JSON for each request that arrives or
begins to run. Events of all its streams are made in passes, which begin at the
same time at all runners. It follows the pages: a request for another runner
gets 421, one that finds no place 503, both with Godwitdale-Not-Executed; a
request is dropped when its channel closes.
"""

import asyncio
import json
import socket
import sys
import time

import http1

ID, SERVICE = sys.argv[1:3]
SLOTS = int(sys.argv[3])
PASS_S = int(sys.argv[4]) / 1000
PREFILL_S = int(sys.argv[5]) / 1000
FIRST_EVENT_ID = int(sys.argv[6]) if len(sys.argv) > 6 else 1
QUEUE = 4


def tell(kind, request, **fields):
    line = {"t": round(time.time(), 4), "what": kind, "runner": ID}
    print(json.dumps({**line, "id": request, **fields}), flush=True)


class Runner:
    def __init__(self):
        self._free = asyncio.Semaphore(SLOTS)
        self._waiting = 0
        self._runs = 0

    async def serve(self, reader, writer):
        try:
            while (head := await http1.read_head(reader)) is not None:
                line, headers = head
                await http1.read_whole_body(reader, headers)
                if not await self._answer(line, headers, reader, writer):
                    break
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, line, headers, reader, writer):
        request = headers.get("godwitdale-request-id", "")
        echo = [("Godwitdale-Request-Id", request)]
        not_run = [*echo, ("Godwitdale-Not-Executed", "1")]
        method, target, _ = line.split(" ", 2)
        if target == "/healthz":
            own = [("Godwitdale-Instance-Id", ID)]
            writer.write(http1.format_answer(200, own))
            return True
        if not request:
            writer.write(http1.format_answer(400, not_run))
            return True
        expected = headers.get("godwitdale-expect-instance", ID)
        if expected != ID:
            tell("refuse", request, status=421, expected=expected)
            writer.write(http1.format_answer(421, not_run))
            return True
        if self._free.locked() and self._waiting >= QUEUE:
            tell("refuse", request, status=503)
            writer.write(http1.format_answer(503, not_run))
            return True
        tell("arrive", request)
        work = asyncio.ensure_future(self._run(target, headers, writer))
        gone = asyncio.ensure_future(_closed(reader))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            tell("drop", request)
            return False
        gone.cancel()
        await asyncio.gather(gone, return_exceptions=True)
        return work.exception() is None

    async def _run(self, target, headers, writer):
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            if headers.get("godwitdale-prompt-prefix"):
                await self._stream(headers, writer)
            else:
                await self._plain(target, headers, writer)
        finally:
            self._free.release()

    def _begin(self, request, **fields):
        self._runs += 1
        run = f"{ID}.{self._runs}"
        tell("run", request, run=run, **fields)
        return run

    async def _plain(self, target, headers, writer):
        """Answers with as many bytes as the last part of the path says."""
        request = headers["godwitdale-request-id"]
        run = self._begin(request)
        await asyncio.sleep(PREFILL_S)
        size = target.rpartition("/")[2]
        body = f"{run} {request} {headers.get('godwitdale-tenant')} ".encode()
        body += b"x" * ((int(size) if size.isdigit() else 0) - len(body))
        writer.write(
            http1.format_answer(
                200,
                [
                    ("Godwitdale-Request-Id", request),
                    ("Godwitdale-Server-Signature", run),
                ],
                body,
            )
        )
        await writer.drain()
        tell("done", request, run=run)

    async def _stream(self, headers, writer):
        request = headers["godwitdale-request-id"]
        count = int(headers["godwitdale-token-usage"].split(",")[1]) // 5
        last_id = int(headers.get("last-event-id", FIRST_EVENT_ID - 1))
        first = last_id + 2 - FIRST_EVENT_ID
        await asyncio.sleep(PREFILL_S)
        await _next_pass()
        run = self._begin(request, first=first)
        writer.write(
            http1.format_head(
                "HTTP/1.1 200 OK",
                [
                    ("Content-Type", "text/event-stream"),
                    ("Transfer-Encoding", "chunked"),
                    ("Godwitdale-Request-Id", request),
                    ("Godwitdale-Server-Signature", run),
                ],
            )
        )
        for number in range(first, count + 1):
            event_id = FIRST_EVENT_ID + number - 1
            event = f"id: {event_id}\ndata: {run} {request}\n\n".encode()
            writer.write(http1.format_chunk(event))
            await writer.drain()
            if number < count:
                await _next_pass()
        writer.write(http1.format_chunk(b""))
        await writer.drain()
        tell("done", request, run=run)


async def _next_pass():
    now_s = time.monotonic()
    await asyncio.sleep(PASS_S - now_s % PASS_S)


async def _closed(reader):
    """Returns when the caller has closed its channel.

    Callers send the next request only after the answer, so no byte can come.
    """
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.005)


async def main():
    sock = socket.create_server(("127.0.0.1", 0), backlog=512)
    server = await asyncio.start_server(Runner().serve, sock=sock)
    print(sock.getsockname()[1], flush=True)
    await server.serve_forever()


asyncio.run(main())
