"""Computes the tables of docs/CAPACITY.md from measured slopes.

Usage: ``python tools/capacity.py docs/slopes.json docs/path.json`` prints the
tables. With ``--write docs/CAPACITY.md`` it replaces the text between the
markers of that page instead.
"""

import argparse
import dataclasses
import json
import pathlib
from typing import Any

_START_MARKER = "<!-- computed: start -->"
_END_MARKER = "<!-- computed: end -->"
_SECONDS_PER_DAY = 86_400
_CORES_LIMIT = 0.012
_MEMORY_LIMIT_MB = 128
_BYTES_PER_S_LIMIT = 20_000
_MB = 1024 * 1024


Slopes = dict[str, float]
Results = list[dict[str, Any]]


@dataclasses.dataclass(frozen=True)
class Plan:
    """The planned size from the requirements, and the matching settings."""

    entries: int = 380
    runners: int = 3000
    accounts: int = 2000
    models: int = 19
    selectors: int = 100
    peak_requests_per_s: float = 5400.0
    peak_tokens_per_s: float = 1.5e6
    changes_per_day: float = 11_000.0
    failures_per_day: float = 49.0
    replacements_per_day: float = 230.0
    link_budget: int = 150
    heartbeat_s: float = 4.0
    tcp_ip_bytes: float = 3 * 54.0
    keyed_share: float = 0.01
    key_window_s: float = 12 * 3600.0
    partitions: int = 64
    claim_interval_s: float = 0.25
    keyed_endpoints: int = 150
    long_poll_s: float = 5.0
    ranks: int = 5900
    group_ranks: int = 256
    lease_renewal_s: float = 3.0
    notice_interval_s: float = 10.0
    peer_heartbeat_s: float = 20.0
    call_bytes: float = 60.0
    call_us: float = 100.0
    decide_every_s: float = 30.0
    decision_s: float = 0.08


def _row(*cells: object) -> str:
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def _format_with_limit(value: float, limit: float, format_spec: str) -> str:
    return f"{value:{format_spec}}" + ("" if value <= limit else " **over**")


def control_table(slopes: Slopes, plan: Plan) -> list[str]:
    """Returns the table of control costs of one entry and one agent."""
    objects = plan.accounts + plan.runners + plan.selectors
    changes_per_s = plan.changes_per_day / _SECONDS_PER_DAY
    agent_links = plan.entries * plan.link_budget / plan.runners
    rebuild_us = (
        slopes["fold_us"]
        + objects * slopes["view_us_per_object"]
        + plan.models
        * (plan.runners / plan.models)
        * slopes["subset_us_per_endpoint"]
    )
    list_changes_per_day = 2 * (
        plan.failures_per_day + plan.replacements_per_day
    )
    instance_list_bytes = (plan.entries + plan.runners) * slopes[
        "instance_bytes"
    ]
    lines = [
        _row("role", "links", "core", "memory MB", "bytes/s"),
        _row("---", "---", "---", "---", "---"),
        _row(
            "limit",
            "",
            _CORES_LIMIT,
            _MEMORY_LIMIT_MB,
            f"{_BYTES_PER_S_LIMIT:,}",
        ),
    ]
    for role, links, heartbeat_us, entry_factor in (
        ("entry", plan.link_budget, slopes["link_entry_us"], 1.0),
        ("agent", agent_links, slopes["link_agent_us"], 0.0),
    ):
        heartbeats_per_s = links / plan.heartbeat_s
        cores = (
            heartbeats_per_s * heartbeat_us + changes_per_s * rebuild_us
        ) / 1_000_000
        memory_mb = (
            slopes["process_mb"]
            + objects * slopes["object_bytes"] / _MB
            + links * slopes["link_entry_memory_bytes"] / _MB
            + (plan.entries + plan.runners) * 600 / _MB
        )
        bytes_per_s = heartbeats_per_s * (
            slopes["link_bytes"] + plan.tcp_ip_bytes
        )
        bytes_per_s += (
            changes_per_s * slopes["record_bytes"] * (1 + 2 * entry_factor)
        )
        bytes_per_s += (
            instance_list_bytes * list_changes_per_day / _SECONDS_PER_DAY
        )
        lines.append(
            _row(
                role,
                f"{links:.0f}",
                _format_with_limit(cores, _CORES_LIMIT, ".4f"),
                _format_with_limit(memory_mb, _MEMORY_LIMIT_MB, ".0f"),
                _format_with_limit(bytes_per_s, _BYTES_PER_S_LIMIT, ",.0f"),
            )
        )
    lines.append(_leader_row(slopes, plan))
    return lines


def _leader_row(slopes: Slopes, plan: Plan) -> str:
    """Returns the row of control costs that a group leader adds."""
    members = plan.group_ranks - 1
    calls_per_s = members / plan.notice_interval_s
    heartbeats_per_s = members / plan.peer_heartbeat_s
    cores = (
        calls_per_s * plan.call_us + heartbeats_per_s * slopes["link_entry_us"]
    ) / 1_000_000 + plan.decision_s / plan.decide_every_s
    memory_mb = members * slopes["link_entry_memory_bytes"] / _MB
    bytes_per_s = calls_per_s * (plan.call_bytes + plan.tcp_ip_bytes)
    bytes_per_s += heartbeats_per_s * (slopes["link_bytes"] + plan.tcp_ip_bytes)
    return _row(
        "leading a group, on top",
        members,
        _format_with_limit(cores, _CORES_LIMIT, ".4f"),
        f"{memory_mb:.0f}",
        f"{bytes_per_s:,.0f}",
    )


def log_table(slopes: Slopes, plan: Plan) -> list[str]:
    """Returns the table of the load on the platform's log."""
    keyed_per_s = plan.peak_requests_per_s * plan.keyed_share
    active_partitions = min(plan.partitions, plan.keyed_endpoints)
    batches_per_s = min(
        2 * keyed_per_s, active_partitions / plan.claim_interval_s
    )
    keys_kept = keyed_per_s * plan.key_window_s
    start_bytes = 2 * keys_kept / plan.partitions * slopes["claim_bytes"]
    changes_per_s = plan.changes_per_day / _SECONDS_PER_DAY
    objects = plan.accounts + plan.runners + plan.selectors
    snapshot_mb = objects * slopes["snapshot_bytes_per_object"] / _MB
    snapshots = plan.changes_per_day / 1000
    groups = plan.ranks / plan.group_ranks
    group_appends_per_s = groups / plan.lease_renewal_s
    group_appends_per_s += 2 * groups / plan.decide_every_s
    return [
        _row("stream", "appends/s", "reads/s", "what else"),
        _row("---", "---", "---", "---"),
        _row(
            "declarations",
            f"{changes_per_s:.2f}",
            f"{plan.entries / plan.long_poll_s:.0f} (long polls of entries)",
            f"{snapshots:.0f} snapshots a day of {snapshot_mb:.1f} MB, in "
            f"{-(-objects // 200)} records each",
        ),
        _row(
            f"claims, {plan.keyed_share:.0%} of requests keyed",
            f"{batches_per_s:.0f} (of {2 * keyed_per_s:.0f} entries/s)",
            f"{batches_per_s:.0f}",
            f"{keys_kept:,.0f} keys kept; one partition "
            f"{keys_kept / plan.partitions * slopes['key_bytes'] / _MB:.0f} "
            f"MB in memory, {start_bytes / _MB:.0f} MB to read at a start",
        ),
        _row(
            f"groups, {groups:.0f} leaders",
            f"{group_appends_per_s:.1f}",
            f"{plan.ranks / 25:.0f} at most",
            "ranks look only after 25 s without a leader's word",
        ),
        _row(
            "all",
            f"{changes_per_s + batches_per_s + group_appends_per_s:.0f}",
            "",
            "",
        ),
    ]


def request_table(path: Results, plan: Plan) -> list[str]:
    """Returns the table of request processing at the peak."""
    cost = next(result for result in path if "Cost" in result["title"])
    cells = dict(zip(cost["header"], cost["rows"][0], strict=True))
    tokens_per_s = plan.peak_tokens_per_s / plan.entries
    requests_per_s = plan.peak_requests_per_s / plan.entries
    cores = tokens_per_s * cells["entry us/token"] / 1_000_000
    agent_tokens = plan.peak_tokens_per_s / plan.runners
    agent_cores = agent_tokens * cells["agent us/token"] / 1_000_000
    return [
        _row("role", "requests/s", "tokens/s", "us/token", "cores"),
        _row("---", "---", "---", "---", "---"),
        _row(
            "entry",
            f"{requests_per_s:.1f}",
            f"{tokens_per_s:,.0f}",
            f"{cells['entry us/token']:.0f}",
            f"{cores:.2f}",
        ),
        _row(
            "agent",
            f"{plan.peak_requests_per_s / plan.runners:.1f}",
            f"{agent_tokens:,.0f}",
            f"{cells['agent us/token']:.0f}",
            f"{agent_cores:.2f}",
        ),
    ]


def propagation_table(slopes: Slopes, plan: Plan) -> list[str]:
    """Returns the table of times until a change is in force."""
    objects = plan.accounts + plan.runners + plan.selectors
    rebuild_s = objects * slopes["view_us_per_object"] / 1_000_000
    agent_s = plan.heartbeat_s + rebuild_s
    isolated_agent_s = 8.0 + rebuild_s
    return [
        _row("way of a change", "at most s"),
        _row("---", "---"),
        _row("limit", 13),
        _row(
            "entry with the log: long poll, fold, rebuild", f"{rebuild_s:.2f}"
        ),
        _row("agent: next heartbeat, fetch, fold", f"{agent_s:.2f}"),
        _row(
            "agent without any entry: its own look at the log",
            f"{isolated_agent_s:.2f}",
        ),
        _row(
            "entry cut off from the log: heartbeat of an agent that a peer "
            "told",
            f"{plan.heartbeat_s + agent_s:.2f}",
        ),
    ]


def tables(slopes: Slopes, path: Results, plan: Plan) -> str:
    """Returns all tables as Markdown."""
    lines = [
        "### Control, an ordinary day",
        *control_table(slopes, plan),
        "",
        "### The platform's log at the peak",
        *log_table(slopes, plan),
        "",
        "### Requests at the peak",
        *request_table(path, plan),
        "",
        "### A change in force",
        *propagation_table(slopes, plan),
    ]
    return "\n".join(lines)


def main() -> None:
    """Prints the tables, or writes them between the markers of a page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("slopes", type=pathlib.Path)
    parser.add_argument("path", type=pathlib.Path)
    parser.add_argument("--write", type=pathlib.Path)
    arguments = parser.parse_args()
    text = tables(
        json.loads(arguments.slopes.read_text()),
        json.loads(arguments.path.read_text()),
        Plan(),
    )
    if arguments.write is None:
        print(text)
        return
    page = arguments.write.read_text()
    head, _, rest = page.partition(_START_MARKER)
    _, _, tail = rest.partition(_END_MARKER)
    arguments.write.write_text(
        f"{head}{_START_MARKER}\n{text}\n{_END_MARKER}{tail}"
    )


if __name__ == "__main__":
    main()
