"""Answers in frames: kept by the agent, put together by the entry."""

import dataclasses
import enum

import msgspec
import xxhash

from godwitdale_link import messages
from godwitdale_verdicts import identifiers
from godwitdale_verdicts import outcomes


def refused_frame(
    request_id: identifiers.RequestId, refusal: outcomes.Refusal
) -> messages.Refused:
    """Returns the frame that ends an attempt with a refusal.

    Args:
        request_id: The attempt.
        refusal: The refusal.
    """
    return messages.Refused(
        request_id,
        refusal.reason.value,
        refusal.detail,
        refusal.verdict.value,
        refusal.retry_after_s,
    )


class ReplayBuffer:
    """The frames of one answer, kept by the agent so that they can be resent.

    Attributes:
        id: The attempt.
        account: The client account that may read it.
        size_bytes: Data kept.
        is_ended: Whether the last frame stands, or a refusal took its place.
    """

    __slots__ = (
        "id",
        "account",
        "size_bytes",
        "is_ended",
        "_frames",
        "_hasher",
    )

    def __init__(self, request_id: identifiers.RequestId, account: str) -> None:
        self.id = request_id
        self.account = account
        self.size_bytes = 0
        self.is_ended = False
        self._frames: list[msgspec.Struct] = []
        self._hasher = xxhash.xxh3_128()

    @property
    def next_frame(self) -> int:
        """Number of the frame that comes next."""
        return len(self._frames)

    def add_head(
        self, status: int, headers: messages.Headers, queued_s: float
    ) -> msgspec.Struct:
        """Adds frame 0 and returns it."""
        return self._add(
            messages.AnswerHead(self.id, status, headers, queued_s)
        )

    def add_data(self, data: bytes) -> msgspec.Struct:
        """Adds a data frame and returns it."""
        self._hasher.update(data)
        self.size_bytes += len(data)
        return self._add(messages.AnswerData(self.id, self.next_frame, data))

    def add_end(self, load: messages.EndpointLoad) -> msgspec.Struct:
        """Adds the last frame and returns it."""
        self.is_ended = True
        digest = self._hasher.digest()
        return self._add(
            messages.AnswerEnd(self.id, self.next_frame, digest, load)
        )

    def add_refusal(self, refused: messages.Refused) -> msgspec.Struct:
        """Ends the answer with a refusal and returns it."""
        self.is_ended = True
        return self._add(refused)

    def frames_from(self, number: int) -> list[msgspec.Struct]:
        """Returns the frames from a number on."""
        return self._frames[number:]

    def _add(self, frame: msgspec.Struct) -> msgspec.Struct:
        self._frames.append(frame)
        return frame


class FrameResult(enum.Enum):
    """What a frame did to an answer that is put together."""

    ADVANCED = "advanced"
    DUPLICATE = "duplicate"
    GAP = "gap"
    COMPLETE = "complete"
    DAMAGED = "damaged"


@dataclasses.dataclass(slots=True)
class AnswerAssembler:
    """Checks that an answer arrives whole and in order.

    Attributes:
        next_frame: Number of the frame that must come next.
    """

    next_frame: int = 0
    _hasher: xxhash.xxh3_128 = dataclasses.field(
        default_factory=xxhash.xxh3_128
    )

    def accept_head(self) -> FrameResult:
        """Takes frame 0."""
        return self._take(0)

    def accept_data(self, number: int, data: bytes) -> FrameResult:
        """Takes a data frame.

        Args:
            number: Its number.
            data: Its data.
        """
        progress = self._take(number)
        if progress is FrameResult.ADVANCED:
            self._hasher.update(data)
        return progress

    def accept_end(self, number: int, digest: bytes) -> FrameResult:
        """Takes the last frame.

        Args:
            number: Its number, which is the count of the frames before it.
            digest: Digest of all data in order.
        """
        progress = self._take(number)
        if progress is not FrameResult.ADVANCED:
            return progress
        if self._hasher.digest() != digest:
            return FrameResult.DAMAGED
        return FrameResult.COMPLETE

    def _take(self, number: int) -> FrameResult:
        if number < self.next_frame:
            return FrameResult.DUPLICATE
        if number > self.next_frame:
            return FrameResult.GAP
        self.next_frame += 1
        return FrameResult.ADVANCED
