"""A runner crashes in the middle of streams that may be resumed.

The ids of events are numbers of sixteen digits.
"""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import client as client_lib  # noqa: E402
import deployment as deployment_lib  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FIRST_EVENT_ID = int(os.environ.get("FIRST_EVENT_ID", "1764932000000001"))
RUNNERS = 6
SLOTS = 6
PASS_MS = 100
PREFILL_MS = 80
EVENTS = 28
CLIENTS = 12
SERVICE = "huvo11a"


async def play(case, record):
    def on_line(line):
        record.write(
            f"{line['id']} {line['what']} at {line['runner']} "
            f"{line.get('run') or line.get('status') or ''} "
            f"{'from event ' + str(line['first']) if 'first' in line else ''}",
            line["t"],
        )

    await case.store.start()
    routes = [
        deployment_lib.route(
            "/lohu930/",
            "streaming",
            SERVICE,
            session_affinity=True,
            stream_resume=True,
            target_gap_ms=120,
        )
    ]
    services = [{"name": SERVICE, "health_path": "/healthz"}]
    case.store.put(
        "keyed.op", "config", deployment_lib.configuration(2, routes, services)
    )
    runners = [
        await case.start_runner(
            on_line,
            f"i-{number:02}",
            SERVICE,
            SLOTS,
            PASS_MS,
            PREFILL_MS,
            FIRST_EVENT_ID,
        )
        for number in range(RUNNERS)
    ]
    entries = [case.add_entry(number) for number in (1, 2)]
    for entry in entries:
        await entry.start()
    for entry in entries:
        await entry.wait_until_ready()
    await asyncio.sleep(1.0)
    rng = client_lib.new_rng(1)
    answers = []
    for number in range(CLIENTS):
        entry = entries[number % len(entries)]
        client = client_lib.Client(entry.frontend, record, rng)
        headers = [
            ("Godwitdale-Model", "m"),
            ("Godwitdale-Token-Usage", f"714,{EVENTS * 5}"),
            (
                "Godwitdale-Prompt-Prefix",
                f"5c1e07a2:40,{rng.getrandbits(32):08x}:674",
            ),
        ]
        answers.append(
            asyncio.ensure_future(client.send("/lohu930/2f", headers))
        )
    await asyncio.sleep(1.5)
    if TROUBLE:
        record.write(f"{runners[0].id} is killed")
        runners[0].kill()
    broken = 0
    for attempt in await asyncio.gather(*answers):
        ids = [number - FIRST_EVENT_ID + 1 for number, _ in attempt.events]
        if not attempt.is_complete or ids == list(range(1, EVENTS + 1)):
            continue
        broken += 1
        record.write(f"ORDER {attempt.id} got the events {ids}")
    record.write(f"broken: {broken}")
    return broken


async def main():
    case = deployment_lib.Deployment()
    record = deployment_lib.Record(os.environ.get("RECORD_DIR", HERE))
    try:
        return 1 if await play(case, record) else 0
    except (OSError, TimeoutError) as error:
        record.write(f"could not run: {error!r}")
        return 2
    finally:
        await case.close()


sys.exit(asyncio.run(main()))
