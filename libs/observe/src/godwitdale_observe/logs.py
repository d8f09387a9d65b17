"""Structured logs: one JSON object a line."""

import collections
import logging
import sys
from typing import Any
from typing import TextIO

from pythonjsonlogger import json as json_logger

from godwitdale_observe import bounded_handler

_LOGGER = "godwitdale"


def configure(
    instance: str, level: str = "INFO", stream: TextIO | None = None
) -> None:
    """Sends the project's logs to a stream.

    Args:
        instance: Name of the instance, which goes into every line.
        level: The lowest level that is written.
        stream: Where they go; standard error by default.
    """
    chosen = stream or sys.stderr
    handler: logging.Handler
    try:
        handler = bounded_handler.BoundedHandler(chosen.fileno())
    except (OSError, ValueError):  # Not a descriptor, as in tests.
        handler = logging.StreamHandler(chosen)
    handler.setFormatter(
        json_logger.JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"instance": instance},
        )
    )
    logger = logging.getLogger(_LOGGER)
    logger.handlers[:] = [handler]
    logger.setLevel(level)
    logger.propagate = False


class EventLog:
    """Writes events with fields.

    Keys and bodies of requests never go in here; callers pass only
    identifiers, names, durations and verdicts.

    Attributes:
        counts: Events by name and reason.
    """

    __slots__ = ("_logger", "counts")

    def __init__(self) -> None:
        self._logger = logging.getLogger(_LOGGER)
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def info(self, event: str, **fields: Any) -> None:
        """Writes an ordinary event."""
        self.counts[event, str(fields.get("reason", ""))] += 1
        self._logger.info(event, extra=fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Writes an event that an operator may have to look at."""
        self.counts[event, str(fields.get("reason", ""))] += 1
        self._logger.warning(event, extra=fields)
