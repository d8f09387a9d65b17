"""What the headers of a platform mean, decoded once."""

import dataclasses
import enum
from typing import Protocol

from godwitdale_http import headers as headers_lib


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHeaders:
    """What a caller's headers say.

    Attributes:
        request_id: Names this attempt of the caller; empty without one.
        host: Host that the caller asked.
        api_key: The caller's key, or None.
        time_left_s: How long the caller will wait, or None.
        last_event_id: Last event of a stream that the caller has, or None.
        prompt_tokens: Length of the prompt, 0 where unknown.
        answer_tokens: Expected length of the answer, 0 where unknown.
    """

    request_id: bytes
    host: str
    api_key: str | None
    time_left_s: float | None
    last_event_id: int | None
    prompt_tokens: int
    answer_tokens: float

    @property
    def request_id_text(self) -> str:
        """The request's id as logs show it."""
        return self.request_id.decode("latin-1")


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedHeaders:
    """What the headers of a request to an endpoint have to say.

    Attributes:
        endpoint_id: The only endpoint that may run it.
        account: Name of the client account, or None on public routes.
        time_left_s: Time after which the endpoint may stop.
        last_event_id: Event after which a stream goes on, or None.
    """

    endpoint_id: str
    account: str | None
    time_left_s: float
    last_event_id: int | None


class AnswerKind(enum.Enum):
    """What an answer's head says about the request."""

    SUCCESS = "success"
    """The endpoint's own success."""

    FAILURE = "failure"
    """The endpoint's own failure; the request has run."""

    NOT_RUN = "not-run"
    """The endpoint states that it did not run the request."""

    MISDIRECTED = "misdirected"
    """Another endpoint has the address; the request did not run."""

    FOREIGN = "foreign"
    """Not an answer of the endpoint; the request may have run."""


class Dialect(Protocol):
    """Reads and writes the headers of a platform."""

    def decode_request(self, headers: headers_lib.Headers) -> RequestHeaders:
        """Decodes the headers of a caller's request."""

    def encode_request(
        self, headers: headers_lib.Headers, forwarded: ForwardedHeaders
    ) -> headers_lib.Headers:
        """Returns the headers of a request to an endpoint."""

    def is_answer_to(
        self, request_id: bytes, headers: headers_lib.Headers
    ) -> bool:
        """Tells whether an answer's head may belong to a request."""

    def answer_kind(
        self, status: int, headers: headers_lib.Headers
    ) -> AnswerKind:
        """Decodes the head of an endpoint's answer."""

    def refusal_headers(self, request_id: bytes) -> headers_lib.Headers:
        """Returns headers that every refusal of ours carries."""
