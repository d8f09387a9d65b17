"""Runners crash, one at a time, while requests wait for a place.

Nobody sends a request twice here under one id, and streams of this route can't
be resumed: each may run once at most.
"""

import asyncio
import collections
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import client as client_lib  # noqa: E402
import deployment as deployment_lib  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
RUNNERS = 6
SLOTS = 2
PASS_MS = 100
PREFILL_MS = 200
QUESTIONS = RUNNERS * SLOTS  # That a desk asks at a time about one order.
OTHERS = 3  # Clients that ask while these questions are answered.
ROUNDS = int(os.environ.get("ROUNDS", "8"))
DOWN_S = 4.5
SERVICE = "huvo11a"


class Case:
    def __init__(self):
        self.deployment = deployment_lib.Deployment()
        self.record = deployment_lib.Record(os.environ.get("RECORD_DIR", HERE))
        self.rng = client_lib.new_rng(SEED)
        self.runs = collections.defaultdict(list)
        self.attempts = []
        self.order = ""

    def on_line(self, line):
        self.record.write(
            f"{line['id']} {line['what']} at {line['runner']} "
            f"{line.get('run') or line.get('status') or ''}",
            line["t"],
        )
        if line["what"] == "run":
            self.runs[line["id"]].append(line["run"])

    async def run(self):
        store = self.deployment.store
        await store.start()
        routes = [
            deployment_lib.route(
                "/lohu930/",
                "streaming",
                SERVICE,
                session_affinity=True,
                target_gap_ms=120,
                target_latency_ms=2000,
            )
        ]
        services = [{"name": SERVICE, "health_path": "/healthz"}]
        store.put(
            "keyed.op",
            "config",
            deployment_lib.configuration(2, routes, services),
        )
        runners = await asyncio.gather(
            *(self.start_runner(f"i-{number:02}") for number in range(RUNNERS))
        )
        quiet, busy = entries = [
            self.deployment.add_entry(number) for number in (1, 2)
        ]
        for entry in entries:
            await entry.start()
        for entry in entries:
            await entry.wait_until_ready()
        await asyncio.sleep(1.5)
        for number in range(ROUNDS):
            victim = runners[number % RUNNERS]
            await asyncio.gather(*self.desk(quiet, QUESTIONS, 3))
            work = self.desk(busy, QUESTIONS, 12)
            await asyncio.sleep(0.06)
            # A colleague asks about the same order, others about theirs.
            work += self.desk(quiet, 1, 12, self.order)
            await asyncio.sleep(0.02)
            for _ in range(OTHERS):
                work += self.desk(quiet, 1, 12)
            await asyncio.sleep(0.07)
            if TROUBLE:
                self.record.write(f"{victim.id} is killed")
                victim.kill()
            await asyncio.sleep(DOWN_S)
            if TROUBLE:
                # The entry in the store lapses after three beats.
                store.put("keyed.servers", victim.id, None)
                runners[number % RUNNERS] = await self.start_runner(
                    f"i-{number:02}-b"
                )
            await asyncio.gather(*work)
            await asyncio.sleep(1.0)
        return self.judge()

    async def start_runner(self, name):
        return await self.deployment.start_runner(
            self.on_line, name, SERVICE, SLOTS, PASS_MS, PREFILL_MS
        )

    def desk(self, entry, questions, events, order=None):
        """Asks questions about one order, each on a channel of its own."""
        self.order = order or f"{self.rng.getrandbits(32):08x}"
        return [
            asyncio.ensure_future(self.ask_once(entry, events, self.order))
            for _ in range(questions)
        ]

    async def ask_once(self, entry, events, order):
        rng = client_lib.new_rng(self.rng.random())
        client = client_lib.Client(entry.frontend, self.record, rng)
        await self.ask(client, events, order, rng)
        client.close()

    async def ask(self, client, events, order, rng):
        headers = [
            ("Godwitdale-Model", "m"),
            ("Godwitdale-Token-Usage", f"714,{events * 5}"),
            (
                "Godwitdale-Prompt-Prefix",
                f"{order}:40,{rng.getrandbits(32):08x}:674",
            ),
        ]
        for _ in range(2):  # Its first try and one more after a promise.
            attempt = await client.send("/lohu930/2f", headers)
            self.attempts.append(attempt)
            if attempt.status not in client_lib.PROMISES:
                return
            client.close()
            await asyncio.sleep(min(2.0, attempt.retry_after_s))

    def judge(self):
        by_id = {attempt.id: attempt for attempt in self.attempts}
        broken = 0
        for request, runs in self.runs.items():
            if len(runs) > 1:
                broken += 1
                self.record.write(f"TWICE {request} ran as {', '.join(runs)}")
            attempt = by_id.get(request)
            if attempt is not None and attempt.status in client_lib.PROMISES:
                broken += 1
                self.record.write(
                    f"REFUSED {request} answered {attempt.status}, "
                    f"ran as {', '.join(runs)}"
                )
        for attempt in self.attempts:
            if len({run for _, run in attempt.events}) > 1:
                broken += 1
                self.record.write(f"ORDER {attempt.id} joins {attempt.events}")
            if attempt.answer_id not in ("", attempt.id):
                broken += 1
                self.record.write(f"MIXED {attempt.id} got {attempt.answer_id}")
        statuses = collections.Counter(each.status for each in self.attempts)
        self.record.write(f"answers by status: {dict(statuses)}")
        self.record.write(f"broken: {broken}")
        return broken


async def main():
    case = Case()
    try:
        broken = await case.run()
        if os.environ.get("KEEP"):
            for each in case.deployment.processes:
                if hasattr(each, "frontend"):
                    pathlib.Path(os.environ["KEEP"], each.name).write_text(
                        case.deployment.log_of(each)
                    )
        return 1 if broken else 0
    except (OSError, TimeoutError) as error:
        case.record.write(f"could not run: {error!r}")
        return 2
    finally:
        await case.deployment.close()


sys.exit(asyncio.run(main()))
