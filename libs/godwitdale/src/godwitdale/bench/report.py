"""Results of measurements: printed, written as JSON, drawn as plots."""

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
    """A table.

    Attributes:
        title: What was measured, and how.
        header: Names of the columns, with units.
        rows: The cells.
        notes: Sentences below the table.
    """

    title: str
    header: Sequence[str]
    rows: Sequence[Sequence[Any]]
    notes: Sequence[str] = ()


def publish(name: str, results: Sequence[Result], folder: str | None) -> None:
    """Prints results and writes them to a folder that was asked for.

    Args:
        name: Name of the JSON file.
        results: The tables.
        folder: Where the file goes, or None.
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
    """Draws grouped bars into a folder that was asked for.

    Args:
        folder: Where the picture goes, or None.
        name: Name of the picture.
        title: Its title.
        unit: Label of the value axis.
        series: Value by series and by group.
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
        places = [index + number * width for index in range(len(groups))]
        heights = [values[group] for group in groups]
        axes.bar(places, heights, width, label=label)
    middle = 0.4 - width / 2
    axes.set_xticks([index + middle for index in range(len(groups))], groups)
    axes.set_ylabel(unit)
    axes.set_title(title)
    axes.legend()
    figure.tight_layout()
    target = pathlib.Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    figure.savefig(target / f"{name}.png", dpi=110)
    pyplot.close(figure)


def percentile(values: Sequence[float], share: float) -> float:
    """Returns a percentile of values, or 0 where there are none.

    Args:
        values: The values, in any order.
        share: Such as 0.95.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def spread(values: Sequence[float], digits: int = 2) -> str:
    """Returns the median of several runs with their range."""
    middle = statistics.median(values)
    if len(values) == 1:
        return f"{middle:.{digits}f}"
    low, high = min(values), max(values)
    return f"{middle:.{digits}f} ({low:.{digits}f}-{high:.{digits}f})"
