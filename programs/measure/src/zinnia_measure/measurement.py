"""Which rows are measured with which variants, and the command that does it."""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from pathlib import Path

from zinnia_measure import rows
from zinnia_measure.deployment import NEW_VERSION, OLD_VERSION
from zinnia_measure.experiments import (
    NO_ADMISSION,
    NO_HEDGING,
    PRODUCT,
    RANDOM,
    ROUND_ROBIN,
    Cell,
    Timing,
    Variant,
    measure_rows,
)
from zinnia_measure.report import write_report
from zinnia_measure.sizes import SIZES, DeploymentSize

DEFAULT_SEED = 1
QUICK = Timing(warm_up_s=1.5, run_s=2.5, runs=1)
FULL = Timing(warm_up_s=2.0, run_s=6.0, runs=3)
ALL_VARIANTS = (PRODUCT, NO_HEDGING, RANDOM, ROUND_ROBIN)
# With 5 ms the wait for a processor, with other work on the machine, hid what stragglers add.
STEADY_MEDIAN_MS = 20.0
# With 40 ms a service of 20 shards bears what the stand-in processes can carry.
OVERLOAD_MEDIAN_MS = 40.0
OVERLOAD_FACTORS = (1.0, 2.0)


@dataclass(frozen=True, slots=True)
class Group:
    """Rows that share one tier, and the variants they are measured with."""

    name: str
    rows: tuple[rows.Row, ...]
    variants: tuple[Variant, ...]
    layout: dict
    runs: int | None = None


def plan_overload(size: DeploymentSize) -> Group:
    """Return rows at one and two times what the replicas of a shard can run."""
    service = size.services[0]
    capacity = service.replicas * service.slots / (OVERLOAD_MEDIAN_MS / 1000)
    found = tuple(
        rows.Row(f"load {factor:.0f}x capacity", rows.pick_first, rate=capacity * factor)
        for factor in OVERLOAD_FACTORS
    )
    layout = {"median_ms": OVERLOAD_MEDIAN_MS}
    return Group("overload", found, (PRODUCT, NO_ADMISSION, ROUND_ROBIN), layout, 2)


def plan_groups(size: DeploymentSize) -> list[Group]:
    """Return all groups in the order of the report."""
    steady = (rows.QUIET, rows.STRAGGLER_ROW)
    wide = (rows.QUIET_WIDE, rows.STRAGGLER_WIDE)
    slow = {"median_ms": STEADY_MEDIAN_MS}
    versions = slow | {"versions": (OLD_VERSION, NEW_VERSION)}
    return [
        Group("steady", steady, ALL_VARIANTS, slow),
        Group("wide", wide, (PRODUCT, NO_HEDGING), slow),
        plan_overload(size),
        Group("change", (rows.DATA_CENTRE, rows.COLD_START), (PRODUCT, ROUND_ROBIN), slow, 2),
        Group("bad-version", (rows.BAD_VERSION,), (PRODUCT,), versions, 1),
        Group("good-version", (rows.GOOD_VERSION,), (PRODUCT,), versions, 1),
        Group("outage", (rows.OUTAGE, rows.REPLACEMENT), (PRODUCT,), slow, 1),
    ]


def plan_quick() -> list[Group]:
    """Return the few rows of a quick run."""
    quick = (rows.QUIET, rows.STRAGGLER_ROW)
    return [Group("quick", quick, (PRODUCT, ROUND_ROBIN), {"median_ms": STEADY_MEDIAN_MS})]


def measure_group(size: DeploymentSize, group: Group, timing: Timing, seed: int) -> list[Cell]:
    """Measure one group with all its variants."""
    if group.runs is not None:
        timing = replace(timing, runs=min(timing.runs, group.runs))
    return measure_rows(size, group.variants, group.rows, timing, seed, **group.layout)


def sort_cells(cells: Sequence[Cell]) -> list[Cell]:
    """Return the cells with the variants of one row beside each other."""
    order: dict[tuple[str, str], int] = {}
    for cell in cells:
        order.setdefault((cell.size, cell.row), len(order))
    return sorted(cells, key=lambda cell: order[cell.size, cell.row])


def run_measurement(quick: bool, seed: int, size: str, wanted: str, output: str) -> Path:
    """Measure and write the report; return its Markdown file."""
    names = [size] if size else list(SIZES)
    cells: list[Cell] = []
    for name in names[:1] if quick else names:
        deployment = rows.add_wide_service(SIZES[name])
        groups = plan_quick() if quick else plan_groups(deployment)
        for group in groups:
            if wanted in group.name:
                timing = QUICK if quick else FULL
                cells += measure_group(deployment, group, timing, seed)
    options = "".join(
        f" {text}"
        for text in ("--quick" * quick, size and f"--size={size}", wanted and f"--rows={wanted}")
        if text
    )
    report = "-".join(part for part in ("quick" if quick else "full", size, wanted) if part)
    command = f"zinnia-measure measure --seed={seed}{options}"
    return write_report(sort_cells(cells), Path(output), report, command)
