"""Results of benchmarks, printed, written as JSON or drawn as plots."""

from collections.abc import Sequence
import dataclasses
import pathlib
import statistics
from typing import Any

import msgspec
import typer

from godwitdale import tables


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """A table of measurements.

    Attributes:
        title: What was measured and how.
        header: Column names with units.
        rows: Cells of each row.
        notes: Sentences printed below the table.
    """

    title: str
    header: Sequence[str]
    rows: Sequence[Sequence[Any]]
    notes: Sequence[str] = ()


def publish(name: str, results: Sequence[Result], folder: str | None) -> None:
    """Prints results and writes them to a folder if there is one.

    Args:
        name: Name of the JSON file, without its suffix.
        results: The tables.
        folder: Folder of the JSON file, or None to only print.
    """
    for result in results:
        typer.echo(f"\n{result.title}\n")
        typer.echo(tables.render(result.header, result.rows))
        for note in result.notes:
            typer.echo(note)
    if folder is not None:
        target = pathlib.Path(folder)
        target.mkdir(parents=True, exist_ok=True)
        data = msgspec.json.format(msgspec.json.encode(list(results)), indent=1)
        (target / f"{name}.json").write_bytes(data)


def plot_bars(
    folder: str | None,
    name: str,
    title: str,
    unit: str,
    series: dict[str, dict[str, float]],
) -> None:
    """Draws grouped bars and writes them to a folder if there is one.

    Args:
        folder: Folder of the picture, or None to draw nothing.
        name: Name of the picture file, without its suffix.
        title: Title of the picture.
        unit: Label of the value axis.
        series: Values by series name, then by group name.
    """
    if folder is None:
        return
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4.5))
    groups = list(next(iter(series.values())))
    width = 0.8 / len(series)
    for number, (label, values) in enumerate(series.items()):
        positions = [index + number * width for index in range(len(groups))]
        heights = [values[group] for group in groups]
        axes.bar(positions, heights, width, label=label)
    group_center = 0.4 - width / 2
    axes.set_xticks(
        [index + group_center for index in range(len(groups))], groups
    )
    axes.set_ylabel(unit)
    axes.set_title(title)
    axes.legend()
    figure.tight_layout()
    target = pathlib.Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    figure.savefig(target / f"{name}.png", dpi=110)
    pyplot.close(figure)


def percentile(values: Sequence[float], share: float) -> float:
    """Returns a percentile of values, or 0 if there are none.

    Args:
        values: The values, in any order.
        share: The percentile as a fraction, such as 0.95.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def format_median(values: Sequence[float], digits: int = 2) -> str:
    """Formats the median of several runs, with their range in brackets."""
    median = statistics.median(values)
    if len(values) == 1:
        return f"{median:.{digits}f}"
    low, high = min(values), max(values)
    return f"{median:.{digits}f} ({low:.{digits}f}-{high:.{digits}f})"
