"""Writes log lines without ever waiting for whoever reads them."""

import collections
import logging
import os
import time

# Bytes that are kept for a reader that does not read; the newest lines are
# dropped beyond that and counted.
_MOST_BYTES = 1 << 18
# Lines of one kind a second: enough to explain single failures, and little
# processor time where everything fails at once.
_MOST_LINES_PER_S = 50
_COUNTING_S = 1.0


class BoundedHandler(logging.Handler):
    """Writes to a descriptor that is never waited for.

    Lines of one kind beyond a rate are left out, and a line tells how many.

    Attributes:
        dropped: Lines that were lost because nobody read.
    """

    def __init__(self, descriptor: int) -> None:
        """Makes the descriptor nonblocking.

        Args:
            descriptor: Where the lines go.
        """
        super().__init__()
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._second_s = time.monotonic()
        self._counts: collections.Counter[str] = collections.Counter()

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line, or keeps it for later."""
        kind = str(record.msg)
        self._turn_second()
        self._counts[kind] += 1
        if self._counts[kind] <= _MOST_LINES_PER_S:
            self._put(record)
        self.flush()

    def flush(self) -> None:
        """Writes what waits, as far as the reader takes it."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:  # Nobody will ever read again.
                self.dropped += len(self._waiting)
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()

    def _put(self, record: logging.LogRecord) -> None:
        line = self.format(record).encode() + b"\n"
        if self._waiting_bytes + len(line) > _MOST_BYTES:
            self.dropped += 1
            return
        self._waiting.append(line)
        self._waiting_bytes += len(line)

    def _turn_second(self) -> None:
        now_s = time.monotonic()
        if now_s - self._second_s < _COUNTING_S:
            return
        self._second_s = now_s
        left_out = {
            kind: count - _MOST_LINES_PER_S
            for kind, count in self._counts.items()
            if count > _MOST_LINES_PER_S
        }
        self._counts.clear()
        if left_out or self.dropped:
            record = logging.makeLogRecord(
                {
                    "msg": "lines_left_out",
                    "levelname": "WARNING",
                    "left_out": left_out,
                    "dropped": self.dropped,
                }
            )
            self.dropped = 0
            self._put(record)
