"""Log handler that never blocks on a slow reader."""

import collections
import logging
import os
import time

# Bytes that are buffered for a reader that does not read. Beyond that, the
# newest lines are dropped and counted.
_MAX_BUFFERED_BYTES = 1 << 18
# Lines with the same event name that are written per second. This is enough to
# explain single failures, and costs little processor time when everything fails
# at once.
_MAX_LINES_PER_S = 50
_RATE_WINDOW_S = 1.0


class BoundedHandler(logging.Handler):
    """Writes log lines to a nonblocking file descriptor.

    The rate of lines with the same event name is limited. An extra line reports
    how many lines were left out by the limit and how many were dropped.

    Attributes:
        dropped: Number of lines dropped since the last such report because the
            buffer was full or the reader was gone.
    """

    def __init__(self, descriptor: int) -> None:
        """Makes the file descriptor nonblocking.

        Args:
            descriptor: File descriptor to which lines are written.
        """
        super().__init__()
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._window_start_s = time.monotonic()
        self._counts: collections.Counter[str] = collections.Counter()

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line, or buffers it until the reader catches up."""
        event = str(record.msg)
        self._roll_rate_window()
        self._counts[event] += 1
        if self._counts[event] <= _MAX_LINES_PER_S:
            self._append(record)
        self.flush()

    def flush(self) -> None:
        """Writes buffered lines until the reader would block."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:  # The reader is gone.
                self.dropped += len(self._buffer)
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()

    def _append(self, record: logging.LogRecord) -> None:
        line = self.format(record).encode() + b"\n"
        if self._buffered_bytes + len(line) > _MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)

    def _roll_rate_window(self) -> None:
        now_s = time.monotonic()
        if now_s - self._window_start_s < _RATE_WINDOW_S:
            return
        self._window_start_s = now_s
        left_out = {
            event: count - _MAX_LINES_PER_S
            for event, count in self._counts.items()
            if count > _MAX_LINES_PER_S
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
            self._append(record)
