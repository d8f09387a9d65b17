"""A stand-in of a model engine: a group of ranks that decode in lock-step.

It batches continuously: each step gives one token to every running request.
The step takes as long as the slowest rank. Prompt prefixes are cached in
limited memory; load reports lag, and cache events come late and with gaps.
"""

import collections
import random
from typing import Any

import klein
import msgspec
from twisted.internet import defer
from twisted.internet import reactor as default_reactor

_BLOCK_BYTES = 512
_BYTES_PER_TOKEN = 4
_WORDS = ("pumice", "bags", "polish", "quote", "receipt", "stock", "ready")
_MOST_STEP_RECORDS = 20_000


class EngineFaults(msgspec.Struct, forbid_unknown_fields=True):
    """What goes wrong at the engine.

    Attributes:
        slow_ranks: Factor by which a rank is slower, by its number.
        report_lag_s: Age of the load reports.
        lost_event_share: Share of the cache events that never come.
        frozen: No step is made.
        refuses_old_fencing: Whether orders with an old number are refused.
        broken_answers: This many answers break off after some tokens.
    """

    slow_ranks: dict[str, float] = {}
    report_lag_s: float = 0.5
    lost_event_share: float = 0.1
    frozen: bool = False
    refuses_old_fencing: bool = True
    broken_answers: int = 0


class EngineShape(msgspec.Struct, forbid_unknown_fields=True):
    """How fast and how large the engine is.

    Attributes:
        step_s: Time of a step without stragglers.
        slots: Requests decoded at once.
        ranks: Ranks in the group.
        prefill_tokens_per_s: Prompt tokens read a second.
        cached_blocks: Prefix blocks that fit into memory.
    """

    step_s: float = 0.02
    slots: int = 32
    ranks: int = 4
    prefill_tokens_per_s: float = 20_000.0
    cached_blocks: int = 512


class _Order(msgspec.Struct):
    kind: str
    fencing: int
    argument: str = ""


class _ChatBody(msgspec.Struct):
    model: str
    messages: list[Any]
    stream: bool = False
    max_tokens: int = 16


class _Running:
    def __init__(
        self, request: Any, chat: _ChatBody, priority: int, prefill_s: float
    ) -> None:
        self.request = request
        self.chat = chat
        self.priority = priority
        self.prefill_s = prefill_s
        self.made: list[str] = []
        self.done: defer.Deferred[None] = defer.Deferred()
        self.is_gone = False


class Engine:
    """The engine.

    Attributes:
        faults: What goes wrong at the moment.
        shape: Its speed and size.
        answered: Request identifiers answered whole, with their tokens.
        cancelled: Request identifiers whose caller went away.
        steps: For recent steps, the expert map that each rank used.
    """

    app = klein.Klein()

    def __init__(
        self, model: str, shape: EngineShape, seed: int = 0, reactor: Any = None
    ) -> None:
        """Starts idle.

        Args:
            model: Name of the model that it serves.
            shape: Its speed and size.
            seed: Seed of the words and of lost events.
            reactor: The Twisted reactor, or None for the default.
        """
        self.faults = EngineFaults()
        self.shape = shape
        self.answered: dict[str, int] = {}
        self.cancelled: list[str] = []
        self.steps: collections.deque[list[int]] = collections.deque(
            maxlen=_MOST_STEP_RECORDS
        )
        self._model = model
        self._rng = random.Random(seed)
        self._reactor = reactor or default_reactor
        self._waiting: list[_Running] = []
        self._running: list[_Running] = []
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: list[dict[str, Any]] = []
        self._reports: collections.deque[tuple[float, dict[str, Any]]] = (
            collections.deque(maxlen=1000)
        )
        self._fencing = 0
        self._maps = [0] * shape.ranks
        self._is_stepping = False

    @app.route("/faults", methods=["GET", "POST"])
    def set_faults(self, request: Any) -> bytes:
        """Shows or replaces the faults."""
        if request.method == b"POST":
            body = request.content.read()
            self.faults = msgspec.json.decode(body, type=EngineFaults)
            self._step_soon()
        return msgspec.json.encode(self.faults)

    @app.route("/shape", methods=["GET", "POST"])
    def set_shape(self, request: Any) -> bytes:
        """Shows or replaces speed and size; requests in it go on."""
        if request.method == b"POST":
            body = request.content.read()
            self.shape = msgspec.json.decode(body, type=EngineShape)
            self._maps = [0] * self.shape.ranks
        return msgspec.json.encode(self.shape)

    @app.route("/records")
    def records(self, request: Any) -> bytes:
        """Returns what was answered and what was cancelled."""
        return msgspec.json.encode(
            {"answered": self.answered, "cancelled": self.cancelled}
        )

    @app.route("/steps")
    def show_steps(self, request: Any) -> bytes:
        """Returns the expert map of every rank in recent steps."""
        return msgspec.json.encode(list(self.steps))

    @app.route("/load")
    def load(self, request: Any) -> bytes:
        """Returns the load as it was some time ago."""
        asked_s = self._reactor.seconds() - self.faults.report_lag_s
        found = {"running": 0, "waiting": 0, "step_s": self.shape.step_s}
        for made_s, report in self._reports:
            if made_s <= asked_s:
                found = report
        return msgspec.json.encode(found)

    @app.route("/cache/events")
    def cache_events(self, request: Any) -> bytes:
        """Returns cache events from a number on, some of them missing."""
        start = int(request.args.get(b"from", [b"0"])[0])
        return msgspec.json.encode(self._events[start:])

    @app.route("/orders", methods=["POST"])
    def order(self, request: Any) -> bytes:
        """Takes an order that carries a fencing number."""
        order = msgspec.json.decode(request.content.read(), type=_Order)
        is_old = order.fencing < self._fencing
        if is_old and self.faults.refuses_old_fencing:
            request.setResponseCode(409)
            return b"old fencing number"
        self._fencing = max(self._fencing, order.fencing)
        if order.kind == "switch-map":
            self._maps = [int(order.argument)] * self.shape.ranks
        return msgspec.json.encode({"fencing": self._fencing})

    @app.route("/v1/chat/completions", methods=["POST"])
    async def chat(self, request: Any) -> Any:
        """Answers a chat, streamed or whole."""
        chat = msgspec.json.decode(request.content.read(), type=_ChatBody)
        running = _Running(
            request, chat, _priority_of(request), self._prefill_s(chat)
        )
        request.notifyFinish().addErrback(lambda _: self._gone(running))
        if chat.stream:
            request.setHeader("Content-Type", "text/event-stream")
        else:
            request.setHeader("Content-Type", "application/json")
        self._waiting.append(running)
        self._step_soon()
        await running.done
        if running.is_gone:
            return b""
        self._note_answer(running)
        if chat.stream:
            request.write(b"data: [DONE]\n\n")
            return b""
        return self._whole(running)

    def _note_answer(self, running: _Running) -> None:
        request_id = running.request.getHeader("godwitdale-request-id") or ""
        self.answered[request_id] = len(running.made)

    def _whole(self, running: _Running) -> bytes:
        content = " ".join(running.made)
        message = {"role": "assistant", "content": content}
        return msgspec.json.encode(
            {
                "object": "chat.completion",
                "model": self._model,
                "choices": [
                    {"index": 0, "message": message, "finish_reason": "stop"}
                ],
                "usage": {"completion_tokens": len(running.made)},
            }
        )

    def _gone(self, running: _Running) -> None:
        running.is_gone = True
        request_id = running.request.getHeader("godwitdale-request-id") or ""
        self.cancelled.append(request_id)
        for line in (self._waiting, self._running):
            if running in line:
                line.remove(running)
        if not running.done.called:
            running.done.callback(None)

    def _prefill_s(self, chat: _ChatBody) -> float:
        prompt = msgspec.json.encode(chat.messages)
        fresh = len(prompt)
        chain = 0
        for start in range(0, len(prompt) - _BLOCK_BYTES, _BLOCK_BYTES):
            chain = hash((chain, prompt[start : start + _BLOCK_BYTES]))
            if chain in self._cache:
                fresh -= _BLOCK_BYTES
            self._store(chain)
        tokens = fresh / _BYTES_PER_TOKEN
        return tokens / self.shape.prefill_tokens_per_s

    def _store(self, block: int) -> None:
        self._cache[block] = None
        self._cache.move_to_end(block)
        self._publish("stored", block)
        if len(self._cache) > self.shape.cached_blocks:
            old, _ = self._cache.popitem(last=False)
            self._publish("evicted", old)

    def _publish(self, kind: str, block: int) -> None:
        if self._rng.random() >= self.faults.lost_event_share:
            self._events.append({"kind": kind, "block": block})

    def _step_soon(self) -> None:
        if not self._is_stepping and not self.faults.frozen:
            self._is_stepping = True
            self._reactor.callLater(self._step_s(), self._step)

    def _step_s(self) -> float:
        slowest = max([1.0, *self.faults.slow_ranks.values()])
        prefill_s = sum(each.prefill_s for each in self._waiting[:1])
        return self.shape.step_s * slowest + prefill_s

    def _step(self) -> None:
        self._is_stepping = False
        if self.faults.frozen:
            return
        self._admit()
        self.steps.append(list(self._maps))
        for running in list(self._running):
            self._give_token(running)
        self._report()
        if self._running or self._waiting:
            self._step_soon()

    def _admit(self) -> None:
        self._waiting.sort(key=lambda each: each.priority)
        while self._waiting and len(self._running) < self.shape.slots:
            self._running.append(self._waiting.pop(0))

    def _give_token(self, running: _Running) -> None:
        word = self._rng.choice(_WORDS)
        running.made.append(word)
        if running.chat.stream:
            delta = {"content": word + " "}
            chunk = {
                "object": "chat.completion.chunk",
                "model": self._model,
                "choices": [{"index": 0, "delta": delta}],
            }
            running.request.write(
                b"data: " + msgspec.json.encode(chunk) + b"\n\n"
            )
        if self.faults.broken_answers > 0 and len(running.made) >= 2:
            self.faults.broken_answers -= 1
            running.request.transport.abortConnection()
            return
        if len(running.made) >= running.chat.max_tokens:
            self._running.remove(running)
            running.done.callback(None)

    def _report(self) -> None:
        report = {
            "running": len(self._running),
            "waiting": len(self._waiting),
            "step_s": self._step_s(),
            "rank_step_s": [
                self.shape.step_s * self.faults.slow_ranks.get(str(rank), 1.0)
                for rank in range(self.shape.ranks)
            ],
        }
        self._reports.append((self._reactor.seconds(), report))


def _priority_of(request: Any) -> int:
    text = request.getHeader("priority") or "u=5"
    return int(text.partition("u=")[2][:1] or "5")
