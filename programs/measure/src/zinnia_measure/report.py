"""Writes the measured cells as Markdown, JSON and a plot."""

import json
import os
from collections.abc import Sequence
from datetime import UTC, datetime
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402 - the backend is chosen before the import

from zinnia_measure.experiments import Cell  # noqa: E402

HEADER = (
    "| size | row | variant | offered q/s | p50 ms | p99 ms | p99.9 ms | answered | coverage "
    "| goodput q/s | extra load | backends' count | CPU per sub-request µs | control B/s "
    "| platform calls/s | load average | refusals |"
)
NOTES = """\
Latency is measured from the intended send time of seeded Poisson arrivals, over answered queries.
Each figure is the median of the runs with the range in brackets. *Answered* is the part of the
queries with status 200; *coverage* is over the shards of these. *Goodput* counts whole answers
within the deadline of 1 s. *Extra load* is sub-requests sent over the least needed;
*backends' count* is runs at the backend servers over the least needed. *CPU per sub-request* is the
processor time of all daemons, control included, over the sub-requests sent. *Control B/s* is what
one daemon sends to its peers for control. *Load average* is that of the
machine, on which other work ran: above the number of cores, every process waits for a processor,
and only figures beside each other can be compared. Loopback adds no network delay.
"""


def write_report(cells: Sequence[Cell], directory: Path, name: str, command: str) -> Path:
    """Write ``<name>.md``, ``.json`` and ``.png``; return the Markdown file."""
    directory.mkdir(parents=True, exist_ok=True)
    stamp = f"{datetime.now(UTC):%Y-%m-%d %H:%M} UTC, {os.cpu_count()} cores"
    lines = [f"# Measurement `{name}`", "", f"Command: `{command}`; {stamp}.", "", NOTES]
    lines += [HEADER, "|" + " --- |" * (HEADER.count("|") - 1)]
    lines += [format_cell(cell) for cell in cells]
    moves = [format_moves(cell) for cell in cells if cell.moves]
    lines += ["", *moves] if moves else []
    lines += ["", f"![Latency against percentile]({name}.png)", ""]
    path = directory / f"{name}.md"
    path.write_text("\n".join(lines))
    rows = {"command": command, "at": stamp, "cells": [cell.describe() for cell in cells]}
    (directory / f"{name}.json").write_text(json.dumps(rows, indent=1) + "\n")
    plot_latency(cells, directory / f"{name}.png")
    return path


def format_cell(cell: Cell) -> str:
    """Return one line of the table."""

    def show(name: str, digits: int = 1, scale: float = 1.0, unit: str = "") -> str:
        low, high = cell.find_range(name)
        middle = f"{cell.take_median(name) * scale:.{digits}f}{unit}"
        if len(cell.runs) == 1:
            return middle
        return f"{middle} ({low * scale:.{digits}f}–{high * scale:.{digits}f})"

    refusals = ", ".join(f"{reason} {count}" for reason, count in cell.refusals.most_common())
    columns = (
        cell.size,
        cell.row,
        cell.variant,
        show("offered"),
        show("p50"),
        show("p99"),
        show("p999"),
        show("answered", 2, 100, "%"),
        show("coverage", 3, 100, "%"),
        show("goodput"),
        show("extra", 3),
        show("extra_backend", 3),
        show("cpu_us", 0),
        show("control_rate", 0),
        show("platform_rate"),
        show("load_average"),
        refusals or "none",
    )
    return "| " + " | ".join(columns) + " |"


def format_moves(cell: Cell) -> str:
    """Return one line about the moves of a cell."""
    rows = ", ".join(
        f"{row['state']} at step {row.get('step')} ({row.get('cause') or 'no cause given'})"
        for row in cell.moves
    )
    return f"- Moves after {cell.size}, {cell.row}, {cell.variant}: {rows}"


def plot_latency(cells: Sequence[Cell], path: Path) -> None:
    """Plot latency against percentile, one panel for each size and row."""
    panels: dict[tuple[str, str], list[Cell]] = {}
    for cell in cells:
        panels.setdefault((cell.size, cell.row), []).append(cell)
    columns = min(4, len(panels))
    lines = -(-len(panels) // columns)
    figure, axes = pyplot.subplots(
        lines, columns, figsize=(4.5 * columns, 3.4 * lines), squeeze=False
    )
    for panel in axes.flat[len(panels) :]:
        panel.set_visible(False)
    for ((size, row), group), panel in zip(panels.items(), axes.flat, strict=False):
        for cell in group:
            points = cell.describe()["curve"][:-1]
            odds = [1 / (1 - percentile / 100) for percentile, _ in points]
            panel.plot(odds, [latency for _, latency in points], label=cell.variant)
        panel.set_xscale("log")
        panel.set_yscale("log")
        panel.set_xticks([2, 10, 100, 1000], ["50", "90", "99", "99.9"])
        panel.set_title(f"{size}: {row}", fontsize=9)
        panel.set_xlabel("percentile")
        panel.set_ylabel("ms")
        panel.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    pyplot.close(figure)
