"""A small HTTP/1.1 reader and writer for the stand-ins, on asyncio streams."""

import asyncio


async def read_head(reader):
    """Returns the first line and the headers, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, is_answer=False):
    """Yields the parts of a body; raises if the body is cut."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            line = await reader.readline()
            if not line.endswith(b"\r\n"):
                raise ConnectionError("the body was cut")
            size = int(line.split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return
            yield data[:-2]
    elif "content-length" in headers:
        left = int(headers["content-length"])
        while left:
            data = await reader.read(min(left, 65536))
            if not data:
                raise ConnectionError("the body was cut")
            left -= len(data)
            yield data
    elif is_answer:
        while data := await reader.read(65536):
            yield data


async def read_whole_body(reader, headers, is_answer=False):
    parts = [part async for part in read_body(reader, headers, is_answer)]
    return b"".join(parts)


def format_head(first_line, headers):
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def format_answer(status, headers=(), body=b""):
    framing = ("Content-Length", str(len(body)))
    return format_head(f"HTTP/1.1 {status} X", [*headers, framing]) + body


def format_chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)
