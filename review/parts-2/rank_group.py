"""Stand-in of a group of ranks, as PROTOCOL.md tells it.

All ranks begin each pass together. A map, a hold and an armed change belong to
single ranks, which do not compare them.
"""

import json
import random
import threading
import time

import harness

standins = harness.standins

SIZE = 12
SETS = 3
EXPERTS = 96
EXPERT_MB = 780.0
LINK_MBPS = 44000.0
SPARE = 4
ENGINE = {
    "slots": 6,
    "step_ms": 5.85,
    "stride": 5,
    "per_seq_ms": 0.71,
    "context_per_k": 0.072,
    "read_per_s": 61200.0,
    "chunk": 512,
    "report_lag_ms": 200.0,
    "usual": {"prompt": 835, "answer": 139},
    "sets": SETS,
    "experts": EXPERTS,
    "placements": 11,
    "spare": SPARE,
    "expert_mb": EXPERT_MB,
    "link_mbps": LINK_MBPS,
    "expert_share": 0.85,
}
_COPY_S = EXPERT_MB * 8 / LINK_MBPS
_EVENTS = 28
_CHOICES_PER_PASS = 4000


class Rank(standins.Endpoint):
    """One rank: takes orders, tells its state and runs streams."""

    def __init__(self, group, number):
        self.group = group
        self.number = number
        self.version = 0
        self.experts = [
            [e for e in range(EXPERTS) if e % SIZE == number]
            for _ in range(SETS)
        ]
        self.highest_version = 0
        self.copy = None  # Version, experts and when they are there.
        self.armed = None
        self.held = None
        self.fence = 0
        self.sequence = 0
        self.counts = [0] * (SETS * EXPERTS)
        self.streams = []
        self.last_answers = {}  # By number of the connection.
        super().__init__(f"i-rank-{number}", "llm")
        self.handler = self._handle

    def record(self):
        """Returns the record of the rank in the store."""
        return super().record() | {"slots": ENGINE["slots"]}

    def _handle(self, request, sock):
        path = request.target.partition("?")[0]
        if path == "/report":
            return self._send(sock, request, 200, self._report())
        if path == "/picked":
            return self._send(sock, request, 200, self._picked(request))
        if path == "/order":
            return self._take_order(sock, request)
        return self._run_stream(sock, request)

    def _send(self, sock, request, status, body):
        headers = {"Content_Type": "application/json"}
        if "godwitdale-request-id" in request.headers:
            headers["Godwitdale_Request_Id"] = request.headers[
                "godwitdale-request-id"
            ]
        answer = standins.format_answer(
            status, json.dumps(body).encode(), **headers
        )
        self.last_answers[request.connection] = answer
        sock.sendall(answer)
        return True

    def _report(self):
        with self.group.lock:
            report = {
                "stage": "combined",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": self.sequence,
                "queued": 0,
                "active": len(self.streams),
                "group": {
                    "name": "g0",
                    "epoch": 1,
                    "rank": self.number,
                    "state": "open",
                },
                "size": SIZE,
                "pace": 1.0,
                "step": self.group.step,
                "map": self.version,
            }
            if self.copy and self.copy[2] <= time.monotonic():
                report["prepared"] = self.copy[0]
            if self.armed:
                version, step = self.armed
                report["armed"] = {"version": version, "step": step}
            if self.held is not None:
                report["held"] = self.held
            return report

    def _picked(self, request):
        with self.group.lock:
            answer = {"step": self.group.step, "epoch": 1}
            if "lists" in request.target:
                answer["map"] = {
                    "version": self.version,
                    "experts": self.experts,
                }
            else:
                answer["counts"] = list(self.counts)
            return answer

    def _take_order(self, sock, request):
        order = json.loads(request.body)
        group = self.group
        if group.on_order is not None and group.on_order(
            self, order, sock, request
        ):
            return True
        status = self.apply(order)
        group.record.write(
            f"rank {self.number} order {_brief(order)} -> {status}"
        )
        return self._send(sock, request, status, {})

    def apply(self, order):
        """Carries out an order and returns the status of its answer."""
        with self.group.lock:
            if order.get("fencing_token", 0) < self.fence:
                return 412
            self.fence = max(self.fence, order.get("fencing_token", 0))
            if order.get("epoch", 1) != 1:
                return 409
            status = getattr(self, "_" + order["operation"])(order)
            if status == 202:
                self.sequence += 1
            self.group.changed.notify_all()
            return status

    def _prepare(self, order):
        version = order["version"]
        if self.copy and self.copy[0] == version:
            return 200
        if version <= self.highest_version or self.armed:
            return 409
        experts = [ranks[self.number] for ranks in order["map"]]
        new = [
            set(after) - set(before)
            for after, before in zip(experts, self.experts, strict=True)
        ]
        if any(len(each) > SPARE for each in new):
            return 409
        self.highest_version = version
        ready_s = time.monotonic() + _COPY_S * sum(map(len, new))
        self.copy = (version, experts, ready_s)
        return 202

    def _arm(self, order):
        armed = (order["version"], order["step"])
        if self.armed == armed:
            return 200
        is_copied = (
            self.copy is not None
            and self.copy[0] == order["version"]
            and self.copy[2] <= time.monotonic()
        )
        if not is_copied or order["step"] <= self.group.step or self.armed:
            return 409
        self.armed = armed
        return 202

    def _disarm(self, order):
        if self.version == order["version"]:
            return 409
        if self.armed and self.armed[0] == order["version"]:
            self.armed = None
            return 202
        return 200

    def _hold(self, order):
        if self.held == order["step"]:
            return 200
        if order["step"] <= self.group.step or self.held is not None:
            return 409
        self.held = order["step"]
        return 202

    def _go(self, order):
        if self.held != order["step"]:
            return 409
        self.held = None
        return 202

    def begin_pass(self, step):
        """Switches to the armed map if this is its pass."""
        if self.armed and self.armed[1] == step:
            self.version, self.experts, _ = self.copy
            self.armed = None

    def _run_stream(self, sock, request):
        stream = _Stream(sock, request)
        with self.group.lock:
            self.streams.append(stream)
            self.group.changed.notify_all()
        stream.ended.wait()
        return not stream.is_broken


class _Stream:
    def __init__(self, sock, request):
        self.ended = threading.Event()
        self.is_broken = False
        self._sock = sock
        self._request = request
        self._sent = 0

    def on_pass(self):
        """Sends an event; returns whether more are to come."""
        try:
            data = b""
            if not self._sent:
                data = standins.format_stream_head(self._request)
            self._sent += 1
            data += standins.format_chunk(standins.format_event(self._sent))
            if self._sent == _EVENTS:
                data += standins.format_chunk(b"")
            self._sock.sendall(data)
        except OSError:
            self.is_broken = True
        if self.is_broken or self._sent == _EVENTS:
            self.ended.set()
            return False
        return True


class Group:
    """A group of ranks.

    Attributes:
        on_order: Called with each order before it is carried out; returns True
            if it has dealt with the order.
        mixed: The passes that began on different maps.
    """

    def __init__(self, record, pass_s=0.09):
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.record = record
        self.step = 0
        self.on_order = None
        self.mixed = []
        self.map_changes = 0
        self._pass_s = pass_s
        self._random = random.Random(4)
        self.ranks = [Rank(self, number) for number in range(SIZE)]
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            with self.lock:
                while not self._may_begin():
                    self.changed.wait(0.1)
                self._begin()
            time.sleep(self._pass_s)
            with self.lock:
                for rank in self.ranks:
                    self._end(rank)

    def _may_begin(self):
        is_held = any(rank.held == self.step + 1 for rank in self.ranks)
        return not is_held and any(rank.streams for rank in self.ranks)

    def _begin(self):
        self.step += 1
        before = self.ranks[0].version
        for rank in self.ranks:
            rank.begin_pass(self.step)
        versions = [rank.version for rank in self.ranks]
        if len(set(versions)) > 1:
            self.mixed.append(self.step)
            if len(self.mixed) == 1:
                self.record.write(
                    f"pass {self.step} begins; maps of the ranks: {versions}"
                )
        elif versions[0] != before:
            self.map_changes += 1
            self.record.write(
                f"pass {self.step} begins; all ranks on map {versions[0]}"
            )

    def _end(self, rank):
        if not rank.streams:
            return
        # The experts of rank 0 in map 0 are in demand.
        for number in range(SETS):
            for expert in range(EXPERTS):
                mean = 4.0 if expert % SIZE == 0 else 0.73
                chosen = _CHOICES_PER_PASS / EXPERTS * mean
                rank.counts[number * EXPERTS + expert] += int(
                    self._random.gauss(chosen, chosen**0.5)
                )
        rank.streams = [each for each in rank.streams if each.on_pass()]


def _brief(order):
    return json.dumps({k: v for k, v in order.items() if k != "map"})
