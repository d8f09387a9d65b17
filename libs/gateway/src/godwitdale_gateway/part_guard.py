"""Keeps prompt parts that crash endpoints away from the endpoints."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import Protocol

from twisted.internet import error
from twisted.python import failure

from godwitdale_gateway import directory as directory_lib
from godwitdale_gateway import peer_messages
from godwitdale_http import channel as channel_lib
from godwitdale_http import pool as pool_lib
from godwitdale_observe import logs
from godwitdale_routing import quarantine as quarantine_lib
from godwitdale_verdicts import outcomes

# Time limit of the connection that shows whether an endpoint has crashed.
_PROBE_TIMEOUT_S = 0.25
# Crashes and harmless parts that one message reports.
_MAX_REPORTED_CRASHES = 4
_MAX_REPORTED_PARTS = 16


class SentRequest(Protocol):
    """A request that was sent and that the endpoint has not begun to answer."""

    def on_quarantined(self) -> None:
        """Cancels the request, since it would crash the endpoint."""


class PartGuard:
    """Refuses and cancels requests with suspected prompt parts.

    A request whose connection is lost before its answer has begun makes its
    parts suspected if the endpoint then refuses connections: its process has
    ended. All entries share what they suspect and what they know is harmless.
    """

    def __init__(
        self,
        pool: pool_lib.Pool,
        tries_parts: Callable[[], bool],
        broadcast: Callable[[], None],
        clock: Any,
        log: logs.EventLog,
    ) -> None:
        """Creates a guard that suspects nothing.

        Args:
            pool: Connections to the endpoints.
            tries_parts: Returns whether this entry tries parts after their
                quarantine.
            broadcast: Sends the reports of this entry to the other entries.
            clock: A Twisted ``IReactorTime``.
            log: The event log.
        """
        self._pool = pool
        self._tries_parts = tries_parts
        self._broadcast = broadcast
        self._clock = clock
        self._log = log
        self._quarantine = quarantine_lib.Quarantine()
        # Unproven parts of each lost request, by the endpoint that is probed.
        self._probed: dict[str, list[frozenset[str]]] = {}
        self._sent: dict[SentRequest, tuple[str, ...]] = {}

    @property
    def suspected_count(self) -> int:
        """Number of parts that are suspected at present."""
        return len(self._quarantine.suspected_parts)

    def check(self, parts: tuple[str, ...]) -> outcomes.Refusal | None:
        """Returns the refusal of a request, or None if it may be sent.

        Args:
            parts: Shared parts of the prompt of the request.
        """
        if not parts:
            return None
        wait_s = self._quarantine.wait_s(
            parts, self._clock.seconds(), self._tries_parts()
        )
        if wait_s == 0.0 and self._is_probed(parts):
            wait_s = _PROBE_TIMEOUT_S
        if wait_s == 0.0:
            return None
        return outcomes.not_run(
            outcomes.Reason.QUARANTINED,
            "a part of the prompt may crash endpoints",
            retry_after_s=wait_s,
        )

    def on_sent(self, request: SentRequest, parts: tuple[str, ...]) -> None:
        """Records that a request was sent to an endpoint.

        Args:
            request: The request.
            parts: Shared parts of its prompt.
        """
        if not self._quarantine.unproven(parts):
            return
        self._sent[request] = parts
        self._quarantine.begin_trial(parts, self._clock.seconds())

    def on_survived(self, request: SentRequest, parts: tuple[str, ...]) -> None:
        """Records that the endpoint goes on after it has begun to answer.

        Args:
            request: The request.
            parts: Shared parts of its prompt.
        """
        self._sent.pop(request, None)
        if self._quarantine.record_harmless(parts, self._clock.seconds()):
            self._log.info("parts_harmless", parts=parts)
            self._broadcast()

    def on_ended(self, request: SentRequest) -> None:
        """Records that an attempt has ended, whatever its outcome."""
        self._sent.pop(request, None)

    def on_lost(
        self, record: directory_lib.EndpointRecord, parts: tuple[str, ...]
    ) -> bool:
        """Records that a connection was lost before an answer had begun.

        Args:
            record: The endpoint.
            parts: Shared parts of the prompt of the request.

        Returns:
            Whether the request may have crashed the endpoint.
        """
        unproven = self._quarantine.unproven(parts)
        if not unproven:
            return False
        endpoint = record.endpoint
        probed = self._probed.get(endpoint.id)
        if probed is not None:
            probed.append(unproven)
            return True
        self._probed[endpoint.id] = [unproven]
        self._pool.connect(endpoint.address, _PROBE_TIMEOUT_S).addCallbacks(
            self._on_probe_connected,
            self._on_probe_failed,
            callbackArgs=(endpoint.id,),
            errbackArgs=(endpoint.id,),
        )
        return True

    def reports(self) -> tuple[list[peer_messages.CrashReport], list[str]]:
        """Returns the crashes and the harmless parts for the other entries."""
        now_s = self._clock.seconds()
        self._quarantine.expire(now_s)
        crashes = [
            (
                crash.endpoint,
                int((now_s - crash.at_s) * 1000),
                [list(parts) for parts in crash.suspects],
            )
            for crash in self._quarantine.crashes()[-_MAX_REPORTED_CRASHES:]
        ]
        harmless = self._quarantine.cleared_parts()[-_MAX_REPORTED_PARTS:]
        return crashes, harmless

    def on_reports(
        self, crashes: list[peer_messages.CrashReport], harmless: list[str]
    ) -> None:
        """Takes the crashes and the harmless parts that a peer reports.

        Args:
            crashes: Crashes of endpoints.
            harmless: Parts that are harmless although they were suspected.
        """
        now_s = self._clock.seconds()
        unknown = self._quarantine.unproven(harmless)
        if unknown:
            self._quarantine.record_harmless(unknown, now_s)
        known_harmless = set(self._quarantine.cleared_parts())
        for endpoint, age_ms, requests in crashes:
            self._record_crash(endpoint, requests, now_s - age_ms / 1000)
        if known_harmless.issuperset(self._quarantine.cleared_parts()):
            return
        # The peer suspects a part that this entry knows to be harmless.
        self._broadcast()

    def _on_probe_connected(
        self, channel: channel_lib.Channel, endpoint_id: str
    ) -> None:
        del self._probed[endpoint_id]
        channel.close()

    def _on_probe_failed(
        self, reason: failure.Failure, endpoint_id: str
    ) -> None:
        requests = self._probed.pop(endpoint_id)
        if not reason.check(error.ConnectionRefusedError):
            return
        if self._record_crash(endpoint_id, requests, self._clock.seconds()):
            self._broadcast()

    def _is_probed(self, parts: tuple[str, ...]) -> bool:
        return any(
            lost.issubset(parts)
            for requests in self._probed.values()
            for lost in requests
        )

    def _record_crash(
        self, endpoint_id: str, requests: Iterable[Iterable[str]], at_s: float
    ) -> bool:
        before = self._quarantine.suspected_parts
        is_new = self._quarantine.record_crash(
            endpoint_id, requests, at_s, self._clock.seconds()
        )
        suspected = self._quarantine.suspected_parts
        if suspected - before:
            self._log.warning(
                "parts_suspected",
                endpoint=endpoint_id,
                parts=sorted(suspected - before),
            )
        for request, its_parts in list(self._sent.items()):
            if self._quarantine.may_crash(its_parts):
                request.on_quarantined()
        return is_new
