"""Plain-text tables for operators."""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any

from godwitdale import publishing


def render(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Returns a table with aligned columns.

    Args:
        header: Names of the columns.
        rows: Cells of each row. A ``float`` is shown with two decimals.
    """
    formatted_rows = [[_format_cell(value) for value in row] for row in rows]
    lines = [list(header), *formatted_rows]
    widths = [
        max(len(line[column]) for line in lines)
        for column in range(len(header))
    ]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _format_cell(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.2f}"
    return str(value)


def instance_table(statuses: list[publishing.InstanceStatus]) -> str:
    """Returns a table of the instances and their declaration offsets."""
    rows = []
    for each in statuses:
        status = each.status or {}
        declarations = status.get("declarations", {})
        rows.append(
            (
                each.instance.name,
                each.instance.role,
                each.instance.zone,
                status.get("state", "silent"),
                status.get("in_flight", "-"),
                declarations.get("next_offset", "-"),
                declarations.get("age_s", "-"),
            )
        )
    header = ("instance", "role", "zone", "state", "in flight")
    return render((*header, "offset", "age s"), rows)


def histogram_table(statuses: list[publishing.InstanceStatus]) -> str:
    """Returns a table of the histograms of all instances."""
    rows = []
    for each in statuses:
        for row in (each.status or {}).get("histograms", []):
            rows.append(
                (
                    each.instance.name,
                    row["kind"],
                    row["name"],
                    row["metric"],
                    row["count"],
                    row["p50_ms"],
                    row["p95_ms"],
                    row["p99_ms"],
                    row["max_ms"],
                )
            )
    header = ("instance", "kind", "name", "metric", "count")
    return render((*header, "p50 ms", "p95 ms", "p99 ms", "max ms"), rows)
