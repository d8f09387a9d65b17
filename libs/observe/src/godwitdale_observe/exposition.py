"""Text format in which Prometheus reads metrics.

The Prometheus client library is not used: importing it takes longer than the
whole start of an entry, and only this format is needed.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from godwitdale_observe import histograms

_MS_PER_S = 1000


def render(
    counts: Mapping[tuple[str, str], int],
    gauges: Mapping[str, float],
    summaries: Iterable[histograms.Summary],
) -> str:
    """Returns metrics in the text format.

    Args:
        counts: Number of events by name and reason.
        gauges: Current values by name.
        summaries: Summaries of histograms.
    """
    lines = ["# TYPE godwitdale_events_total counter"]
    for (event, reason), count in sorted(counts.items()):
        labels = f'event="{_escape(event)}",reason="{_escape(reason)}"'
        lines.append(f"godwitdale_events_total{{{labels}}} {count}")
    for name, value in sorted(gauges.items()):
        lines.append(f"# TYPE godwitdale_{name} gauge")
        lines.append(f"godwitdale_{name} {value:g}")
    for summary in summaries:
        lines += _render_summary(summary)
    return "\n".join(lines) + "\n"


def _render_summary(summary: histograms.Summary) -> list[str]:
    name = f"godwitdale_{summary.metric}_seconds"
    labels = f'{summary.kind}="{_escape(summary.name)}"'
    quantiles = (
        ("0.5", summary.p50_ms),
        ("0.95", summary.p95_ms),
        ("0.99", summary.p99_ms),
    )
    lines = [
        f'{name}{{{labels},quantile="{quantile}"}} {value_ms / _MS_PER_S:g}'
        for quantile, value_ms in quantiles
    ]
    lines.append(f"{name}_count{{{labels}}} {summary.count}")
    return lines


def _escape(text: str) -> str:
    return text.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
