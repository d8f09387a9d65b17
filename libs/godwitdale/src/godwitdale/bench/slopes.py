"""Slopes for the capacity page: the cost of one more object, key or link.

Every slope is the difference between two sizes divided by the difference in
size, so that the cost of an idle process does not count.
"""

from collections.abc import Callable
import dataclasses
import gc
import multiprocessing
import os
import pathlib
import time
import tracemalloc
from typing import Any

import msgspec
from twisted.internet import endpoints
from twisted.internet import task

from godwitdale.bench import load
from godwitdale.bench import report
from godwitdale_claims import ledger as ledger_lib
from godwitdale_claims import records as claim_records
from godwitdale_declarations import fold as fold_lib
from godwitdale_declarations import keys
from godwitdale_declarations import objects
from godwitdale_declarations import records
from godwitdale_declarations import selectors
from godwitdale_declarations import view as view_lib
from godwitdale_link import client
from godwitdale_link import messages
from godwitdale_link import server
from godwitdale_platform import instances as instances_lib
from godwitdale_routing import subsets

_HOST = "127.0.0.1"
_US_PER_S = 1_000_000
_LINK_COUNTS = (25, 150)
_LINK_DURATION_S = 8.0
_ENDPOINT_LOAD = messages.EndpointLoad(3, 2, 32, 0.51, 0.0251, 10_000.0, False)
_POSITION = messages.Position(123_456, 0.731)
_ACCOUNTS = [(f"account-{number}", 1.25) for number in range(8)]


class Slopes(msgspec.Struct, frozen=True):
    """Costs of one more object, key, link or event.

    Attributes:
        fold_us: Time to fold one record.
        view_us_per_object: Time to rebuild the view, per object.
        object_bytes: Memory of one declared object, view included.
        snapshot_bytes_per_object: Size of an object in a snapshot.
        record_bytes: Size of one change in the log.
        subset_us_per_endpoint: Time to choose a subset, per endpoint in the
            set.
        bind_us_per_selector: Time to bind a request, per selector tried.
        claim_us: Time to fold one claim event.
        claim_bytes: Size of one claim event in the log.
        key_bytes: Memory of one remembered idempotency key.
        instance_bytes: Size of one row of the instance list.
        link_entry_us: Processor time of the entry for one heartbeat.
        link_agent_us: Processor time of the agent for one heartbeat.
        link_bytes: Payload of one heartbeat, both directions together.
        link_entry_memory_bytes: Memory of one link at the entry.
        process_mb: Memory of an idle daemon.
    """

    fold_us: float
    view_us_per_object: float
    object_bytes: float
    snapshot_bytes_per_object: float
    record_bytes: float
    subset_us_per_endpoint: float
    bind_us_per_selector: float
    claim_us: float
    claim_bytes: float
    key_bytes: float
    instance_bytes: float
    link_entry_us: float
    link_agent_us: float
    link_bytes: float
    link_entry_memory_bytes: float
    process_mb: float


def _declared_objects(count: int) -> list[objects.Object]:
    """Returns accounts and endpoints in the planned ratio of 2 to 3."""
    declared: list[objects.Object] = []
    for number in range(count):
        if number % 5 < 2:
            key = keys.declare(f"k{number}.{'s' * 43}", "ab" * 16)
            declared.append(
                objects.Account(
                    name=f"account-{number}",
                    labels={"member": f"m{number % 40}", "kind": "desk"},
                    keys=[key],
                    requests_per_s=50.0,
                )
            )
        else:
            labels = {
                "model": f"model-{number % 19}",
                "zone": f"zone-{number % 17}",
                "group": f"group-{number % 40}",
                "role": "runner",
            }
            declared.append(
                objects.Endpoint(name=f"runner-{number}", labels=labels)
            )
    return declared


def _build_fold(count: int) -> fold_lib.Fold:
    fold = fold_lib.Fold()
    for offset, declared in enumerate(_declared_objects(count)):
        change = records.Change(
            id=f"{offset:032x}",
            key=objects.object_key(declared),
            based_on=0,
            body=records.encode_object(declared),
            author="operator",
        )
        fold.feed(offset, records.encode(change))
    return fold


def _duration_us(action: Callable[[], Any]) -> float:
    started_s = time.perf_counter()
    action()
    return (time.perf_counter() - started_s) * _US_PER_S


def _allocated_bytes(make: Callable[[], Any]) -> int:
    gc.collect()
    tracemalloc.start()
    allocated = make()
    gc.collect()
    current, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del allocated
    return current


def _slope(measure: Callable[[int], float], small: int, large: int) -> float:
    return (measure(large) - measure(small)) / (large - small)


def _declaration_slopes(small: int, large: int) -> dict[str, float]:
    def rebuild_us(count: int) -> float:
        declared = [
            h.declared for h in _build_fold(count).state.objects.values()
        ]
        return min(
            _duration_us(lambda: view_lib.View(declared)) for _ in range(5)
        )

    def memory(count: int) -> float:
        def make() -> Any:
            fold = _build_fold(count)
            return fold, view_lib.ViewCache(fold).get()

        return float(_allocated_bytes(make))

    def snapshot_bytes(count: int) -> float:
        parts = _build_fold(count).state.snapshot()
        return float(sum(len(records.encode(part)) for part in parts))

    def select_us(count: int) -> float:
        names = [f"runner-{number}" for number in range(count)]
        return min(
            _duration_us(lambda: subsets.select_subset("entry-1", names, 8))
            for _ in range(5)
        )

    (change,) = _build_fold(1).records_from(0) or [(0, b"")]
    return {
        "fold_us": _slope(
            lambda n: min(
                _duration_us(lambda: _build_fold(n)) for _ in range(3)
            ),
            small,
            large,
        ),
        "view_us_per_object": _slope(rebuild_us, small, large),
        "object_bytes": _slope(memory, small, large),
        "snapshot_bytes_per_object": _slope(snapshot_bytes, small, large),
        "record_bytes": float(len(change[1])),
        "subset_us_per_endpoint": _slope(select_us, small, large),
        "bind_us_per_selector": _bind_us_per_selector(),
    }


def _bind_us_per_selector() -> float:
    request = selectors.Request(
        account="a",
        account_labels={"kind": "desk"},
        method="POST",
        path="/v1/chat/completions",
        model="m",
        headers={},
        minute_of_day=600,
    )

    def bind_us(count: int) -> float:
        when = [
            objects.Condition("path", "equals", ["/v1/chat/completions"]),
            objects.Condition("model", "equals", ["other"]),
        ]
        endpoint = [objects.Condition("role", "exists")]
        tried = [
            objects.Selector(
                name=f"s{number}", work="w", endpoints=endpoint, when=when
            )
            for number in range(count)
        ]
        return min(
            _duration_us(lambda: selectors.bind(tried, request))
            for _ in range(20)
        )

    return _slope(bind_us, 10, 100)


def _claim_slopes(small: int, large: int) -> dict[str, float]:
    def claim_events(count: int) -> list[claim_records.ClaimEvent]:
        events: list[claim_records.ClaimEvent] = []
        for number in range(count):
            key = f"{number:032x}"
            attempt = f"0123456789abcdef-{number}/0123456789abcdef"
            events.append(claim_records.Claim(key, attempt, key))
            events.append(
                claim_records.Outcome(
                    key, attempt, 201, "application/json", b"x" * 60
                )
            )
        return events

    def build_ledger(count: int) -> ledger_lib.Ledger:
        ledger = ledger_lib.Ledger(1e9)
        data = claim_records.encode(claim_events(count))
        ledger.fold_record(0, 0.0, claim_records.decode(data))
        return ledger

    return {
        "claim_us": _slope(
            lambda n: _duration_us(lambda: build_ledger(n)), small, large
        )
        / 2,
        "claim_bytes": _slope(
            lambda n: float(len(claim_records.encode(claim_events(n)))),
            small,
            large,
        )
        / 2,
        "key_bytes": _slope(
            lambda n: float(_allocated_bytes(lambda: build_ledger(n))),
            small,
            large,
        ),
    }


class _StubHandler:
    """Endpoint of a link that answers heartbeats and ignores the rest."""

    def load(self) -> messages.EndpointLoad:
        return _ENDPOINT_LOAD

    def heaviest_accounts(self) -> list[tuple[str, float]]:
        return _ACCOUNTS

    def position(self) -> messages.Position:
        return _POSITION

    def on_entry_position(
        self, incarnation: str, position: messages.Position
    ) -> None:
        pass

    def declarations_from(self, next_offset: int) -> messages.Declarations:
        return messages.Declarations([], [])

    def on_declarations(self, message: messages.Declarations) -> None:
        pass

    def on_submit(
        self, submit: messages.Submit, sink: server.AnswerSink
    ) -> None:
        pass

    def revoke(self, request_id: Any) -> bool:
        return False

    def cancel(self, request_id: Any) -> None:
        pass

    def on_call(self, kind: str, body: bytes) -> Any:
        raise KeyError(kind)


class _StubHost:
    """Host of links that ignores what the links report."""

    def position(self) -> messages.Position:
        return _POSITION

    def on_agent_position(
        self, endpoint: str, position: messages.Position
    ) -> None:
        pass

    def declarations_from(self, next_offset: int) -> messages.Declarations:
        return messages.Declarations([], [])

    def on_declarations(self, message: messages.Declarations) -> None:
        pass

    def on_load_report(self, endpoint: str, load: Any, accounts: Any) -> None:
        pass

    def on_agent_restart(self, endpoint: str) -> None:
        pass


def _serve_agents(port_sender: Any, count: int) -> None:
    from twisted.internet import reactor as default_reactor

    reactor: Any = default_reactor
    ports = []
    for number in range(count):
        factory = server.LinkServer(
            "0123456789abcdef",
            f"runner-{number}",
            _StubHandler(),
            reactor,
            server.RetentionPolicy(),
        )
        port = reactor.listenTCP(0, factory, interface=_HOST)
        ports.append(port.getHost().port)
    port_sender.send(ports)
    reactor.run(installSignalHandlers=False)


@dataclasses.dataclass(frozen=True, slots=True)
class _LinkCost:
    """Cost of links with one heartbeat per second during a measurement."""

    entry_cpu_s: float
    agent_cpu_s: float
    payload_bytes: float
    memory_bytes: float


async def _measure_links(
    reactor: Any, count: int, traces_memory: bool = False
) -> _LinkCost:
    """Keeps links open and measures their cost.

    Args:
        reactor: The Twisted reactor.
        count: Number of links.
        traces_memory: Whether memory is traced, which slows down
            everything.
    """
    context = multiprocessing.get_context("spawn")
    parent_end, child_end = context.Pipe()
    process = context.Process(
        target=_serve_agents, args=(child_end, count), daemon=True
    )
    process.start()
    ports = parent_end.recv()
    if traces_memory:
        gc.collect()
        tracemalloc.start()
    links = [
        client.AgentLink(
            f"runner-{number}",
            endpoints.TCP4ClientEndpoint(reactor, _HOST, port),
            "fedcba9876543210",
            _StubHost(),
            reactor,
            client.LinkTiming(idle_heartbeat_interval_s=1.0),
        )
        for number, port in enumerate(ports)
    ]
    for link in links:
        link.open()
    await task.deferLater(reactor, 2.0, lambda: None)
    memory = 0.0
    if traces_memory:
        gc.collect()
        memory = float(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
    traffic_bytes = sum(sum(link.traffic_bytes) for link in links)
    entry_cpu_s = time.process_time()
    agent_cpu_s = load.cpu_time_s(process.pid or 0)
    await task.deferLater(reactor, _LINK_DURATION_S, lambda: None)
    cost = _LinkCost(
        time.process_time() - entry_cpu_s,
        load.cpu_time_s(process.pid or 0) - agent_cpu_s,
        sum(sum(link.traffic_bytes) for link in links) - traffic_bytes,
        memory,
    )
    for link in links:
        link.close()
    process.terminate()
    process.join()
    return cost


async def _link_slopes(reactor: Any) -> dict[str, float]:
    few, many = _LINK_COUNTS
    low = await _measure_links(reactor, few)
    high = await _measure_links(reactor, many)
    low_traced = await _measure_links(reactor, few, traces_memory=True)
    high_traced = await _measure_links(reactor, many, traces_memory=True)
    heartbeats = (many - few) * _LINK_DURATION_S

    def per_heartbeat(read: Callable[[_LinkCost], float]) -> float:
        return (read(high) - read(low)) / heartbeats

    return {
        "link_entry_us": per_heartbeat(lambda r: r.entry_cpu_s) * _US_PER_S,
        "link_agent_us": per_heartbeat(lambda r: r.agent_cpu_s) * _US_PER_S,
        "link_bytes": per_heartbeat(lambda r: r.payload_bytes),
        "link_entry_memory_bytes": (
            high_traced.memory_bytes - low_traced.memory_bytes
        )
        / (many - few),
    }


def _instance_bytes() -> float:
    row = instances_lib.Instance(
        name="agent-of-runner-1234",
        role="agent",
        host="10.123.123.123",
        port=7100,
        admin_port=7101,
        zone="region-3-zone-2",
        endpoint="runner-1234",
    )
    return float(len(msgspec.json.encode(row)) + 1)


async def run(reactor: Any, folder: str | None) -> list[report.Result]:
    """Measures all slopes.

    Args:
        reactor: The Twisted reactor.
        folder: Folder of ``slopes.json``, or None to write no file.
    """
    slopes = _declaration_slopes(500, 5000)
    slopes |= _claim_slopes(2000, 20_000)
    slopes |= await _link_slopes(reactor)
    slopes["instance_bytes"] = _instance_bytes()
    slopes["process_mb"] = _daemon_mb()
    measured = Slopes(**{name: round(v, 3) for name, v in slopes.items()})
    if folder is not None:
        target = pathlib.Path(folder)
        target.mkdir(parents=True, exist_ok=True)
        data = msgspec.json.format(msgspec.json.encode(measured), indent=1)
        (target / "slopes.json").write_bytes(data)
    rows = [
        [name, getattr(measured, name)] for name in Slopes.__struct_fields__
    ]
    return [
        report.Result(
            "Slopes: declarations from 500 to 5,000 objects, claims from 2,000 "
            f"to 20,000 keys, links from {_LINK_COUNTS[0]} to "
            f"{_LINK_COUNTS[1]}",
            ("slope", "value"),
            rows,
        )
    ]


def _daemon_mb() -> float:
    """Returns the memory of a process that has imported entry and agent."""
    context = multiprocessing.get_context("spawn")
    parent_end, child_end = context.Pipe()
    process = context.Process(target=_import_daemons, args=(child_end,))
    process.start()
    memory = parent_end.recv()
    process.join()
    return float(memory)


def _import_daemons(memory_sender: Any) -> None:
    import godwitdale.agent
    import godwitdale.entry

    del godwitdale
    memory_sender.send(load.memory_mb(os.getpid()))
