"""Structured logs with one JSON object per line."""

import collections
import logging
import sys
from typing import Any
from typing import TextIO

from pythonjsonlogger import json as json_logger

from godwitdale_observe import bounded_handler

_LOGGER_NAME = "godwitdale"


def configure(
    instance: str, level: str = "INFO", stream: TextIO | None = None
) -> None:
    """Directs the logs of the process to a stream.

    Args:
        instance: Name of the instance, written to every line.
        level: Lowest level that is written.
        stream: Stream for the logs; standard error by default.
    """
    output = stream or sys.stderr
    handler: logging.Handler
    try:
        handler = bounded_handler.BoundedHandler(output.fileno())
    except (OSError, ValueError):  # No file descriptor, as in tests.
        handler = logging.StreamHandler(output)
    handler.setFormatter(
        json_logger.JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"instance": instance},
        )
    )
    logger = logging.getLogger(_LOGGER_NAME)
    logger.handlers[:] = [handler]
    logger.setLevel(level)
    logger.propagate = False


class EventLog:
    """Logs events with fields, and counts them.

    Keys and bodies of requests must never be logged. Callers pass only
    identifiers, names, durations and verdicts as fields.

    Attributes:
        counts: Number of events by name and reason.
    """

    __slots__ = ("_logger", "counts")

    def __init__(self) -> None:
        self._logger = logging.getLogger(_LOGGER_NAME)
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def info(self, event: str, **fields: Any) -> None:
        """Logs an event of normal operation."""
        self.counts[event, str(fields.get("reason", ""))] += 1
        self._logger.info(event, extra=fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Logs an event that may need the attention of an operator."""
        self.counts[event, str(fields.get("reason", ""))] += 1
        self._logger.warning(event, extra=fields)
