"""Reads log events of many processes from files and standard input."""

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
_STANDARD_FIELDS = frozenset({"time", "level", "message", "instance"})


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """An event that a process logged.

    Attributes:
        at_s: Unix time by the clock of the instance.
        instance: Name of the instance.
        event: Name of the event.
        fields: All other fields of the line.
    """

    at_s: float
    instance: str
    event: str
    fields: dict[str, Any]

    @property
    def time_of_day(self) -> str:
        """Time of day in UTC, with milliseconds."""
        timestamp = datetime.datetime.fromtimestamp(self.at_s, datetime.UTC)
        return timestamp.strftime("%H:%M:%S.%f")[:-3]


@dataclasses.dataclass(slots=True)
class UnreadableLines:
    """Counts lines that hold no event, such as those of a traceback.

    Attributes:
        count: Number of lines.
    """

    count: int = 0


def read(
    paths: Iterable[str], unreadable: UnreadableLines
) -> Iterator[LogEvent]:
    """Yields the events in files, which may be compressed with gzip.

    Text before the JSON object of a line, such as that of a log collector, is
    ignored.

    Args:
        paths: Paths of files; ``-`` means standard input.
        unreadable: Its count is increased by each line without an event.

    Raises:
        OSError: A file cannot be read.
    """
    for path in paths:
        if path == _STANDARD_INPUT:
            yield from _read_events(sys.stdin.buffer, unreadable)
            continue
        with open(path, "rb") as file:
            if file.peek(len(_GZIP_MAGIC)).startswith(_GZIP_MAGIC):
                with gzip.open(file) as decompressed:
                    yield from _read_events(decompressed, unreadable)
            else:
                yield from _read_events(file, unreadable)


def _read_events(
    file: Iterable[bytes], unreadable: UnreadableLines
) -> Iterator[LogEvent]:
    for line in file:
        event = _parse(line)
        if event is not None:
            yield event
        elif line.strip():
            unreadable.count += 1


def _parse(line: bytes) -> LogEvent | None:
    begin = line.find(b"{")
    if begin < 0:
        return None
    try:
        record = json.loads(line[begin:])
        timestamp = datetime.datetime.strptime(record["time"], _TIME_FORMAT)
        fields = {
            name: value
            for name, value in record.items()
            if name not in _STANDARD_FIELDS
        }
        return LogEvent(
            timestamp.replace(tzinfo=datetime.UTC).timestamp(),
            str(record["instance"]),
            str(record["message"]),
            fields,
        )
    except (ValueError, KeyError, TypeError):
        return None
