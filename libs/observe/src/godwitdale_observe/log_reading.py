"""Reads log lines of many processes, from files, archives and pipes."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import datetime
import gzip
import json
import sys
from typing import Any

_GZIP_MAGIC = b"\x1f\x8b"
_STANDARD_INPUT = "-"
_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
_COMMON = frozenset({"time", "level", "message", "instance"})


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """One event that a process logged.

    Attributes:
        at_s: Time of day by the clock of the instance, as Unix time.
        instance: Name of the instance.
        event: Name of the event.
        fields: Everything else in the line.
    """

    at_s: float
    instance: str
    event: str
    fields: dict[str, Any]

    @property
    def time_of_day(self) -> str:
        """The time of day, in milliseconds."""
        moment = datetime.datetime.fromtimestamp(self.at_s, datetime.UTC)
        return moment.strftime("%H:%M:%S.%f")[:-3]


@dataclasses.dataclass(slots=True)
class UnreadableLines:
    """Counts what was no event of ours, such as a traceback.

    Attributes:
        count: Lines.
    """

    count: int = 0


def read(
    paths: Iterable[str], unreadable: UnreadableLines
) -> Iterator[LogEvent]:
    """Yields the events in files, which may be compressed by gzip.

    A collector may have put words of its own before the JSON object.

    Args:
        paths: Paths of files; ``-`` is standard input.
        unreadable: Counts lines that hold no event.

    Raises:
        OSError: A file cannot be read.
    """
    for path in paths:
        if path == _STANDARD_INPUT:
            yield from _lines(sys.stdin.buffer, unreadable)
            continue
        with open(path, "rb") as file:
            if file.peek(len(_GZIP_MAGIC)).startswith(_GZIP_MAGIC):
                with gzip.open(file) as unpacked:
                    yield from _lines(unpacked, unreadable)
            else:
                yield from _lines(file, unreadable)


def _lines(
    file: Iterable[bytes], unreadable: UnreadableLines
) -> Iterator[LogEvent]:
    for raw in file:
        line = _decode(raw)
        if line is not None:
            yield line
        elif raw.strip():
            unreadable.count += 1


def _decode(raw: bytes) -> LogEvent | None:
    begin = raw.find(b"{")
    if begin < 0:
        return None
    try:
        found = json.loads(raw[begin:])
        moment = datetime.datetime.strptime(found["time"], _TIME_FORMAT)
        fields = {
            name: value for name, value in found.items() if name not in _COMMON
        }
        return LogEvent(
            moment.replace(tzinfo=datetime.UTC).timestamp(),
            str(found["instance"]),
            str(found["message"]),
            fields,
        )
    except (ValueError, KeyError, TypeError):
        return None
