"""Numbered answer frames: buffered by the agent, checked by the entry."""

import dataclasses
import enum

import msgspec
import xxhash

from godwitdale_link import messages
from godwitdale_verdicts import identifiers
from godwitdale_verdicts import outcomes


def build_refusal_frame(
    request_id: identifiers.RequestId, refusal: outcomes.Refusal
) -> messages.Refused:
    """Returns the frame that ends an attempt with a refusal.

    Args:
        request_id: Identifier of the attempt.
        refusal: Refusal to encode.
    """
    return messages.Refused(
        request_id,
        refusal.reason.value,
        refusal.detail,
        refusal.verdict.value,
        refusal.retry_after_s,
    )


class ReplayBuffer:
    """Frames of one answer, kept by the agent so that it can resend them.

    Attributes:
        id: Identifier of the attempt.
        account: Client account that may read the answer.
        size_bytes: Size of the body parts that are kept.
        is_ended: Whether the last frame or a refusal has been added.
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
        """Number of the frame that will be added next."""
        return len(self._frames)

    def add_head(
        self, status: int, headers: messages.Headers, queued_s: float
    ) -> msgspec.Struct:
        """Adds frame 0 and returns it."""
        return self._append(
            messages.AnswerHead(self.id, status, headers, queued_s)
        )

    def add_data(self, data: bytes) -> msgspec.Struct:
        """Adds a frame with a part of the body and returns it."""
        self._hasher.update(data)
        self.size_bytes += len(data)
        return self._append(messages.AnswerData(self.id, self.next_frame, data))

    def add_end(self, load: messages.EndpointLoad) -> msgspec.Struct:
        """Adds the last frame and returns it."""
        self.is_ended = True
        digest = self._hasher.digest()
        return self._append(
            messages.AnswerEnd(self.id, self.next_frame, digest, load)
        )

    def add_refusal(self, refusal_frame: messages.Refused) -> msgspec.Struct:
        """Adds a refusal in place of the last frame and returns it."""
        self.is_ended = True
        return self._append(refusal_frame)

    def frames_from(self, number: int) -> list[msgspec.Struct]:
        """Returns the frames from the given number on."""
        return self._frames[number:]

    def _append(self, frame: msgspec.Struct) -> msgspec.Struct:
        self._frames.append(frame)
        return frame


class FrameResult(enum.Enum):
    """Effect of a received frame on the assembly of an answer."""

    ADVANCED = "advanced"
    DUPLICATE = "duplicate"
    GAP = "gap"
    COMPLETE = "complete"
    DAMAGED = "damaged"


@dataclasses.dataclass(slots=True)
class AnswerAssembler:
    """Checks that an answer arrives complete and in order.

    Attributes:
        next_frame: Number of the next frame that can be accepted.
    """

    next_frame: int = 0
    _hasher: xxhash.xxh3_128 = dataclasses.field(
        default_factory=xxhash.xxh3_128
    )

    def accept_head(self) -> FrameResult:
        """Processes frame 0."""
        return self._advance(0)

    def accept_data(self, number: int, data: bytes) -> FrameResult:
        """Processes a frame with a part of the body.

        Args:
            number: Number of the frame.
            data: Part of the body.
        """
        result = self._advance(number)
        if result is FrameResult.ADVANCED:
            self._hasher.update(data)
        return result

    def accept_end(self, number: int, digest: bytes) -> FrameResult:
        """Processes the last frame.

        Args:
            number: Number of the frame, which equals the count of the frames
                before it.
            digest: Digest of the whole body.
        """
        result = self._advance(number)
        if result is not FrameResult.ADVANCED:
            return result
        if self._hasher.digest() != digest:
            return FrameResult.DAMAGED
        return FrameResult.COMPLETE

    def _advance(self, number: int) -> FrameResult:
        if number < self.next_frame:
            return FrameResult.DUPLICATE
        if number > self.next_frame:
            return FrameResult.GAP
        self.next_frame += 1
        return FrameResult.ADVANCED
