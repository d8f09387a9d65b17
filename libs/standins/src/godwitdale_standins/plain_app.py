"""A stand-in for the order app and the member accounts app.

Every ``POST`` has an effect that must happen at most once. The app does not
detect repeated requests. ``GET /records`` returns all effects.
"""

from typing import Any

import klein
import msgspec
from twisted.internet import defer
from twisted.internet import reactor as default_reactor
from twisted.internet import task


class AppFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that the app injects.

    Attributes:
        lost_answers: Number of answers still to be lost after their effect.
        slow_s: Delay between a request and its effect.
        slow_answer_s: Delay between the effect and the answer.
    """

    lost_answers: int = 0
    slow_s: float = 0.0
    slow_answer_s: float = 0.0


class PlainApp:
    """Records the effect of every ``POST``.

    Attributes:
        faults: Faults that are injected now.
        effects: All effects, oldest first.
    """

    app = klein.Klein()

    def __init__(self, name: str, reactor: Any = None) -> None:
        """Creates an app without effects.

        Args:
            name: Name of the app, part of its answers.
            reactor: The Twisted reactor, or None for the default.
        """
        self.faults = AppFaults()
        self.effects: list[dict[str, str]] = []
        self._name = name
        self._reactor = reactor or default_reactor

    @app.route("/faults", methods=["GET", "POST"])
    def set_faults(self, request: Any) -> bytes:
        """Returns the injected faults; ``POST`` replaces them first."""
        if request.method == b"POST":
            body = request.content.read()
            self.faults = msgspec.json.decode(body, type=AppFaults)
        return msgspec.json.encode(self.faults)

    @app.route("/records")
    def records(self, request: Any) -> bytes:
        """Returns all effects."""
        return msgspec.json.encode(self.effects)

    @app.route("/", branch=True)
    async def handle(self, request: Any) -> bytes:
        """Books the body of a ``POST``, else returns an account's bookings."""
        account = request.getHeader("godwitdale-account") or ""
        request.setHeader("Content-Type", "application/json")
        if request.method != b"POST":
            booked = [e for e in self.effects if e["account"] == account]
            return msgspec.json.encode({"app": self._name, "orders": booked})
        body = request.content.read().decode("utf-8", "replace")
        # When the caller disconnects, a booking that has started goes on.
        answered: defer.Deferred[bytes] = defer.Deferred()

        def on_booked(answer: bytes) -> None:
            if not answered.called:
                answered.callback(answer)

        booking = defer.ensureDeferred(self._book(request, account, body))
        booking.addCallback(on_booked)
        return await answered

    async def _book(self, request: Any, account: str, body: str) -> bytes:
        await self._wait(self.faults.slow_s)
        number = len(self.effects) + 1
        self.effects.append(
            {
                "number": str(number),
                "account": account,
                "path": request.path.decode("latin-1"),
                "body": body,
                "request_id": request.getHeader("godwitdale-request-id") or "",
            }
        )
        await self._wait(self.faults.slow_answer_s)
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            request.transport.abortConnection()
            return b""
        request.setResponseCode(201)
        return msgspec.json.encode({"app": self._name, "order": number})

    def _wait(self, delay_s: float) -> Any:
        return task.deferLater(self._reactor, delay_s, lambda: None)
