"""A stand-in for a model engine, a group of ranks that decode in lock-step.

The engine batches continuously: each step produces one token for every running
request and takes as long as the slowest rank. Prompt prefixes are cached in
limited memory. Load reports are delayed, and cache events arrive late with
some missing.
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
_MAX_STEP_RECORDS = 20_000


class EngineFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that the engine injects.

    Attributes:
        slow_ranks: Factor by which a rank is slower, by rank number.
        report_lag_s: Age of the load reports.
        lost_event_share: Share of the cache events that are lost.
        frozen: The engine runs no steps.
        refuses_old_fencing: Whether commands with an outdated fencing token
            are refused.
        broken_answers: Number of answers still to be aborted after two
            tokens.
    """

    slow_ranks: dict[str, float] = {}
    report_lag_s: float = 0.5
    lost_event_share: float = 0.1
    frozen: bool = False
    refuses_old_fencing: bool = True
    broken_answers: int = 0


class EngineShape(msgspec.Struct, forbid_unknown_fields=True):
    """Speed and size of the engine.

    Attributes:
        step_s: Duration of a step when no rank is slow.
        slots: Number of requests decoded at once.
        ranks: Number of ranks in the group.
        prefill_tokens_per_s: Prompt tokens processed per second.
        cached_blocks: Number of prefix blocks that fit into the cache.
    """

    step_s: float = 0.02
    slots: int = 32
    ranks: int = 4
    prefill_tokens_per_s: float = 20_000.0
    cached_blocks: int = 512


class _Command(msgspec.Struct):
    kind: str
    fencing: int
    argument: str = ""


class _ChatBody(msgspec.Struct):
    model: str
    messages: list[Any]
    stream: bool = False
    max_tokens: int = 16


class _ActiveChat:
    def __init__(
        self, request: Any, chat: _ChatBody, priority: int, prefill_s: float
    ) -> None:
        self.request = request
        self.chat = chat
        self.priority = priority
        self.prefill_s = prefill_s
        self.words: list[str] = []
        self.done: defer.Deferred[None] = defer.Deferred()
        self.is_cancelled = False


class Engine:
    """Decodes chats in batches and serves them over HTTP.

    Attributes:
        faults: Faults that are injected now.
        shape: Speed and size of the engine.
        answered: Number of tokens of each completed answer, by request
            identifier.
        cancelled: Identifiers of requests whose caller disconnected.
        steps: Expert map that each rank used, for recent steps.
    """

    app = klein.Klein()

    def __init__(
        self, model: str, shape: EngineShape, seed: int = 0, reactor: Any = None
    ) -> None:
        """Creates an idle engine.

        Args:
            model: Name of the model that the engine serves.
            shape: Speed and size of the engine.
            seed: Seed of the generated words and of lost events.
            reactor: The Twisted reactor, or None for the default.
        """
        self.faults = EngineFaults()
        self.shape = shape
        self.answered: dict[str, int] = {}
        self.cancelled: list[str] = []
        self.steps: collections.deque[list[int]] = collections.deque(
            maxlen=_MAX_STEP_RECORDS
        )
        self._model = model
        self._rng = random.Random(seed)
        self._reactor = reactor or default_reactor
        self._waiting: list[_ActiveChat] = []
        self._running: list[_ActiveChat] = []
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: list[dict[str, Any]] = []
        self._reports: collections.deque[tuple[float, dict[str, Any]]] = (
            collections.deque(maxlen=1000)
        )
        self._fencing_token = 0
        self._rank_maps = [0] * shape.ranks
        self._is_step_scheduled = False

    @app.route("/faults", methods=["GET", "POST"])
    def set_faults(self, request: Any) -> bytes:
        """Returns the injected faults; ``POST`` replaces them first."""
        if request.method == b"POST":
            body = request.content.read()
            self.faults = msgspec.json.decode(body, type=EngineFaults)
            self._schedule_step()
        return msgspec.json.encode(self.faults)

    @app.route("/shape", methods=["GET", "POST"])
    def set_shape(self, request: Any) -> bytes:
        """Returns speed and size; ``POST`` replaces them first.

        Requests that are waiting or running are kept.
        """
        if request.method == b"POST":
            body = request.content.read()
            self.shape = msgspec.json.decode(body, type=EngineShape)
            self._rank_maps = [0] * self.shape.ranks
        return msgspec.json.encode(self.shape)

    @app.route("/records")
    def records(self, request: Any) -> bytes:
        """Returns the completed and the cancelled requests."""
        return msgspec.json.encode(
            {"answered": self.answered, "cancelled": self.cancelled}
        )

    @app.route("/steps")
    def show_steps(self, request: Any) -> bytes:
        """Returns the expert map that each rank used in recent steps."""
        return msgspec.json.encode(list(self.steps))

    @app.route("/load")
    def load(self, request: Any) -> bytes:
        """Returns the load report of ``report_lag_s`` ago."""
        visible_at_s = self._reactor.seconds() - self.faults.report_lag_s
        visible = {"running": 0, "waiting": 0, "step_s": self.shape.step_s}
        for recorded_at_s, report in self._reports:
            if recorded_at_s <= visible_at_s:
                visible = report
        return msgspec.json.encode(visible)

    @app.route("/cache/events")
    def cache_events(self, request: Any) -> bytes:
        """Returns the cache events from an index on, without the lost ones."""
        start = int(request.args.get(b"from", [b"0"])[0])
        return msgspec.json.encode(self._events[start:])

    @app.route("/orders", methods=["POST"])
    def order(self, request: Any) -> bytes:
        """Executes a command that carries a fencing token."""
        command = msgspec.json.decode(request.content.read(), type=_Command)
        is_outdated = command.fencing < self._fencing_token
        if is_outdated and self.faults.refuses_old_fencing:
            request.setResponseCode(409)
            return b"old fencing number"
        self._fencing_token = max(self._fencing_token, command.fencing)
        if command.kind == "switch-map":
            self._rank_maps = [int(command.argument)] * self.shape.ranks
        return msgspec.json.encode({"fencing": self._fencing_token})

    @app.route("/v1/chat/completions", methods=["POST"])
    async def chat(self, request: Any) -> Any:
        """Answers a chat with a stream or with one complete body."""
        chat = msgspec.json.decode(request.content.read(), type=_ChatBody)
        active = _ActiveChat(
            request,
            chat,
            _parse_priority(request),
            self._prefill_time_s(chat),
        )
        request.notifyFinish().addErrback(lambda _: self._cancel(active))
        if chat.stream:
            request.setHeader("Content-Type", "text/event-stream")
        else:
            request.setHeader("Content-Type", "application/json")
        self._waiting.append(active)
        self._schedule_step()
        await active.done
        if active.is_cancelled:
            return b""
        self._record_answer(active)
        if chat.stream:
            request.write(b"data: [DONE]\n\n")
            return b""
        return self._complete_answer(active)

    def _record_answer(self, active: _ActiveChat) -> None:
        request_id = active.request.getHeader("godwitdale-request-id") or ""
        self.answered[request_id] = len(active.words)

    def _complete_answer(self, active: _ActiveChat) -> bytes:
        content = " ".join(active.words)
        message = {"role": "assistant", "content": content}
        return msgspec.json.encode(
            {
                "object": "chat.completion",
                "model": self._model,
                "choices": [
                    {"index": 0, "message": message, "finish_reason": "stop"}
                ],
                "usage": {"completion_tokens": len(active.words)},
            }
        )

    def _cancel(self, active: _ActiveChat) -> None:
        active.is_cancelled = True
        request_id = active.request.getHeader("godwitdale-request-id") or ""
        self.cancelled.append(request_id)
        for requests in (self._waiting, self._running):
            if active in requests:
                requests.remove(active)
        if not active.done.called:
            active.done.callback(None)

    def _prefill_time_s(self, chat: _ChatBody) -> float:
        prompt = msgspec.json.encode(chat.messages)
        uncached_bytes = len(prompt)
        block = 0
        for start in range(0, len(prompt) - _BLOCK_BYTES, _BLOCK_BYTES):
            block = hash((block, prompt[start : start + _BLOCK_BYTES]))
            if block in self._cache:
                uncached_bytes -= _BLOCK_BYTES
            self._cache_block(block)
        tokens = uncached_bytes / _BYTES_PER_TOKEN
        return tokens / self.shape.prefill_tokens_per_s

    def _cache_block(self, block: int) -> None:
        self._cache[block] = None
        self._cache.move_to_end(block)
        self._add_cache_event("stored", block)
        if len(self._cache) > self.shape.cached_blocks:
            oldest, _ = self._cache.popitem(last=False)
            self._add_cache_event("evicted", oldest)

    def _add_cache_event(self, kind: str, block: int) -> None:
        if self._rng.random() >= self.faults.lost_event_share:
            self._events.append({"kind": kind, "block": block})

    def _schedule_step(self) -> None:
        if not self._is_step_scheduled and not self.faults.frozen:
            self._is_step_scheduled = True
            self._reactor.callLater(self._current_step_s(), self._run_step)

    def _current_step_s(self) -> float:
        slowdown = max([1.0, *self.faults.slow_ranks.values()])
        prefill_s = sum(first.prefill_s for first in self._waiting[:1])
        return self.shape.step_s * slowdown + prefill_s

    def _run_step(self) -> None:
        self._is_step_scheduled = False
        if self.faults.frozen:
            return
        self._admit_waiting()
        self.steps.append(list(self._rank_maps))
        for active in list(self._running):
            self._emit_token(active)
        self._record_load()
        if self._running or self._waiting:
            self._schedule_step()

    def _admit_waiting(self) -> None:
        self._waiting.sort(key=lambda request: request.priority)
        while self._waiting and len(self._running) < self.shape.slots:
            self._running.append(self._waiting.pop(0))

    def _emit_token(self, active: _ActiveChat) -> None:
        word = self._rng.choice(_WORDS)
        active.words.append(word)
        if active.chat.stream:
            delta = {"content": word + " "}
            chunk = {
                "object": "chat.completion.chunk",
                "model": self._model,
                "choices": [{"index": 0, "delta": delta}],
            }
            active.request.write(
                b"data: " + msgspec.json.encode(chunk) + b"\n\n"
            )
        if self.faults.broken_answers > 0 and len(active.words) >= 2:
            self.faults.broken_answers -= 1
            active.request.transport.abortConnection()
            return
        if len(active.words) >= active.chat.max_tokens:
            self._running.remove(active)
            active.done.callback(None)

    def _record_load(self) -> None:
        report = {
            "running": len(self._running),
            "waiting": len(self._waiting),
            "step_s": self._current_step_s(),
            "rank_step_s": [
                self.shape.step_s * self.faults.slow_ranks.get(str(rank), 1.0)
                for rank in range(self.shape.ranks)
            ],
        }
        self._reports.append((self._reactor.seconds(), report))


def _parse_priority(request: Any) -> int:
    text = request.getHeader("priority") or "u=5"
    return int(text.partition("u=")[2][:1] or "5")
