"""Counters and histograms as text that Prometheus reads.

Its client library takes longer to import than the whole entry takes to start,
and this is all that is needed of it.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from godwitdale_observe import histograms

_MS_PER_S = 1000


def render(
    counts: Mapping[tuple[str, str], int],
    gauges: Mapping[str, float],
    rows: Iterable[histograms.Row],
) -> str:
    """Returns the text.

    Args:
        counts: Events by name and reason.
        gauges: Present values by name.
        rows: Summaries of histograms.
    """
    lines = ["# TYPE godwitdale_events_total counter"]
    for (event, reason), count in sorted(counts.items()):
        labels = f'event="{_escaped(event)}",reason="{_escaped(reason)}"'
        lines.append(f"godwitdale_events_total{{{labels}}} {count}")
    for name, value in sorted(gauges.items()):
        lines.append(f"# TYPE godwitdale_{name} gauge")
        lines.append(f"godwitdale_{name} {value:g}")
    for row in rows:
        lines += _summary(row)
    return "\n".join(lines) + "\n"


def _summary(row: histograms.Row) -> list[str]:
    name = f"godwitdale_{row.metric}_seconds"
    labels = f'{row.kind}="{_escaped(row.name)}"'
    quantiles = (
        ("0.5", row.p50_ms),
        ("0.95", row.p95_ms),
        ("0.99", row.p99_ms),
    )
    lines = [
        f'{name}{{{labels},quantile="{quantile}"}} {value_ms / _MS_PER_S:g}'
        for quantile, value_ms in quantiles
    ]
    lines.append(f"{name}_count{{{labels}}} {row.count}")
    return lines


def _escaped(text: str) -> str:
    return text.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
