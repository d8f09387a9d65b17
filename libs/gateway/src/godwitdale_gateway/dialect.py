"""Header formats of a platform, as a gateway decodes and encodes them."""

import dataclasses
import enum
from typing import Protocol

from godwitdale_http import headers as headers_lib


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHeaders:
    """Decoded headers of a caller's request.

    Attributes:
        request_id: Identifies this attempt of the caller; empty if missing.
        host: Host name that the request is addressed to.
        api_key: The caller's API key, or None.
        time_left_s: How long the caller will wait for the answer, or None.
        last_event_id: Id of the last event of a stream that the caller has
            received, as it sent it, or None.
        prompt_tokens: Length of the prompt, 0 if unknown.
        expected_answer_tokens: Expected length of the answer, 0 if unknown.
        shared_parts: Ids of the parts of the prompt that other requests may
            have too.
    """

    request_id: bytes
    host: str
    api_key: str | None
    time_left_s: float | None
    last_event_id: bytes | None
    prompt_tokens: int
    expected_answer_tokens: float
    shared_parts: tuple[str, ...] = ()

    @property
    def request_id_text(self) -> str:
        """The request id in the form used in logs."""
        return self.request_id.decode("latin-1")


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedHeaders:
    """Values for the headers of a request that is sent to an endpoint.

    Attributes:
        endpoint_id: The only endpoint that may run the request.
        account: Name of the client account, or None on public routes.
        time_left_s: Time after which the endpoint may give up the request.
        last_event_id: Id of the event after which a stream resumes, or None.
        priority: Priority among the requests of its service, or None if they
            all have the same.
    """

    endpoint_id: str
    account: str | None
    time_left_s: float
    last_event_id: bytes | None
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimitHeader:
    """What an answer states about the rate limit of its endpoint.

    Attributes:
        is_stated: Whether the answer names a limit, readable or not.
        requests_per_s: Requests per second that the endpoint takes from all
            entries together, or None if none is named or the value is not a
            positive number.
    """

    is_stated: bool
    requests_per_s: float | None


class AnswerKind(enum.Enum):
    """Outcome of a request according to the head of the answer."""

    SUCCESS = "success"
    """The endpoint ran the request and reports success."""

    FAILURE = "failure"
    """The endpoint ran the request and reports a failure."""

    NOT_RUN = "not-run"
    """The endpoint states that it did not run the request."""

    MISDIRECTED = "misdirected"
    """Another endpoint has the address; the request did not run."""

    FOREIGN = "foreign"
    """The answer is not the endpoint's; the request may have run."""


class Dialect(Protocol):
    """Decodes and encodes the headers of a platform."""

    def decode_request(self, headers: headers_lib.Headers) -> RequestHeaders:
        """Decodes the headers of a caller's request."""

    def encode_request(
        self, headers: headers_lib.Headers, forwarded: ForwardedHeaders
    ) -> headers_lib.Headers:
        """Returns the headers of a request to an endpoint.

        Args:
            headers: Headers of the caller's request.
            forwarded: Values that the endpoint needs.
        """

    def is_answer_to(
        self, request_id: bytes, headers: headers_lib.Headers
    ) -> bool | None:
        """Tells whether an answer belongs to a request.

        Args:
            request_id: Id of the request.
            headers: Headers of the answer.

        Returns:
            None if the answer names no request although the request has an id.
        """

    def answer_kind(
        self, status: int, headers: headers_lib.Headers
    ) -> AnswerKind:
        """Classifies an answer by its status and headers."""

    def rate_limit(self, headers: headers_lib.Headers) -> RateLimitHeader:
        """Returns what an answer states about the limit of its endpoint."""

    def is_leaving(self, headers: headers_lib.Headers) -> bool:
        """Tells whether an answer states that its endpoint leaves."""

    def pause_s(
        self, status: int, headers: headers_lib.Headers
    ) -> float | None:
        """Returns how long an endpoint that refused a request wants none.

        Returns:
            The time, or None if the answer names no positive time in seconds.
        """

    def refusal_headers(self, request_id: bytes) -> headers_lib.Headers:
        """Returns the headers that every refusal by the gateway carries."""
