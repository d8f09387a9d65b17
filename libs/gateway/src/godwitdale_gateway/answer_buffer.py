"""Buffers of answers that are kept until they are complete."""

# Maximum size of an answer, and its maximum size while all buffers together
# hold more than ``_MAX_TOTAL_BYTES``.
_MAX_ANSWER_BYTES = 8 << 20
_MAX_CROWDED_ANSWER_BYTES = 512 << 10
_MAX_TOTAL_BYTES = 32 << 20
# Each part of an answer costs processor time, however short it is. After some
# parts of any length, the parts need this mean length.
_FREE_PARTS = 4096
_MIN_MEAN_PART_BYTES = 64


class BufferUsage:
    """Bytes in all buffers of a process.

    Attributes:
        total_bytes: Their sum.
    """

    __slots__ = ("total_bytes", "_max_answer_bytes")

    def __init__(self, max_answer_bytes: int = _MAX_ANSWER_BYTES) -> None:
        """Creates a count of no bytes.

        Args:
            max_answer_bytes: Maximum size of one answer while the buffers are
                not crowded.
        """
        self.total_bytes = 0
        self._max_answer_bytes = max_answer_bytes

    @property
    def max_answer_bytes(self) -> int:
        """Maximum size of one answer at present."""
        if self.total_bytes > _MAX_TOTAL_BYTES:
            return _MAX_CROWDED_ANSWER_BYTES
        return self._max_answer_bytes


class AnswerBuffer:
    """The body of one answer."""

    __slots__ = ("_usage", "_body", "_part_count")

    def __init__(self, usage: BufferUsage) -> None:
        """Creates an empty buffer.

        Args:
            usage: Counts the bytes of all buffers.
        """
        self._usage = usage
        self._body = bytearray()
        self._part_count = 0

    def append(self, data: bytes) -> bool:
        """Appends a part; returns whether the answer is within the limits."""
        self._body += data
        self._usage.total_bytes += len(data)
        self._part_count += 1
        return (
            len(self._body) <= self._usage.max_answer_bytes
            and self._part_count
            <= _FREE_PARTS + len(self._body) // _MIN_MEAN_PART_BYTES
        )

    def take(self) -> bytes:
        """Returns the body and empties the buffer."""
        body = bytes(self._body)
        self.clear()
        return body

    def clear(self) -> None:
        """Empties the buffer."""
        self._usage.total_bytes -= len(self._body)
        self._body = bytearray()
        self._part_count = 0
