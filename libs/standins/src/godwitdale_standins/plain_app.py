"""A stand-in of the order app and the member accounts app.

Every ``POST`` has an effect that must happen at most once; the app itself
does not notice repeats. ``GET /records`` returns all effects.
"""

from typing import Any

import klein
import msgspec
from twisted.internet import defer
from twisted.internet import reactor as default_reactor
from twisted.internet import task


class AppFaults(msgspec.Struct, forbid_unknown_fields=True):
    """What goes wrong at the app.

    Attributes:
        lost_answers: This many answers are lost after the effect.
        slow_s: Time that a call takes before its effect.
        slow_answer_s: Time between the effect and the answer.
    """

    lost_answers: int = 0
    slow_s: float = 0.0
    slow_answer_s: float = 0.0


class PlainApp:
    """The app.

    Attributes:
        faults: What goes wrong at the moment.
        effects: What has been done, in order.
    """

    app = klein.Klein()

    def __init__(self, name: str, reactor: Any = None) -> None:
        """Starts without effects.

        Args:
            name: Shown in answers.
            reactor: The Twisted reactor, or None for the default.
        """
        self.faults = AppFaults()
        self.effects: list[dict[str, str]] = []
        self._name = name
        self._reactor = reactor or default_reactor

    @app.route("/faults", methods=["GET", "POST"])
    def set_faults(self, request: Any) -> bytes:
        """Shows or replaces the faults."""
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
        """Books what is posted and shows the own bookings of an account."""
        account = request.getHeader("godwitdale-account") or ""
        request.setHeader("Content-Type", "application/json")
        if request.method != b"POST":
            own = [e for e in self.effects if e["account"] == account]
            return msgspec.json.encode({"app": self._name, "orders": own})
        body = request.content.read().decode("utf-8", "replace")
        # A caller that goes away does not undo what has begun.
        done: defer.Deferred[bytes] = defer.Deferred()

        def pass_on(answer: bytes) -> None:
            if not done.called:
                done.callback(answer)

        booking = defer.ensureDeferred(self._book(request, account, body))
        booking.addCallback(pass_on)
        return await done

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
