"""Runs rows against a tier for each variant and keeps the figures of every run."""

import os
import statistics
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from dataclasses import asdict, dataclass, field

import trio

from zinnia_measure.counters import Usage, compute_usage, read_counters
from zinnia_measure.deployment import MEDIAN_MS, RunPlan, plan_run
from zinnia_measure.load import LoadPlan, LoadResult, make_histogram, run_load
from zinnia_measure.rows import DEADLINE_MS, Row
from zinnia_measure.sizes import DeploymentSize
from zinnia_measure.tier import Tier, make_directory

DAEMONS = 4
BACKEND_PROCESSES = 4
# The fixed timeout of the baseline, in medians of the service time; stragglers take 20.
TIMEOUT_PER_MEDIAN = 10.0
GAUGE_SETTLE_S = 1.1  # the daemons refresh their byte counts once a second
PERCENTILES = (50.0, 99.0, 99.9)


@dataclass(frozen=True, slots=True)
class Variant:
    """The product, a baseline, or the product with one decision off."""

    name: str
    switches: dict


PRODUCT = Variant("product", {})
NO_HEDGING = Variant("hedging off", {"hedging": False})
NO_ADMISSION = Variant("admission off", {"admission": False})
RANDOM = Variant("random, no hedge", {"baseline": "random"})
ROUND_ROBIN = Variant("round robin, timeout, 1 retry", {"baseline": "round_robin"})


@dataclass(frozen=True, slots=True)
class Timing:
    """How long to warm up and to measure (seconds), and how many runs."""

    warm_up_s: float
    run_s: float
    runs: int


@dataclass(slots=True)
class Figures:
    """Figures of one run; latencies in ms, times in µs, rates per second."""

    offered: float
    p50: float
    p99: float
    p999: float
    answered: float
    coverage: float
    goodput: float
    extra: float
    extra_backend: float
    cpu_us: float
    control_rate: float
    platform_rate: float
    hedges: float
    retries: float
    backend_crashes: int
    load_average: float


@dataclass(slots=True)
class Cell:
    """All runs of one row with one variant at one size."""

    size: str
    row: str
    variant: str
    seed: int
    runs: list[Figures] = field(default_factory=list)
    refusals: Counter[str] = field(default_factory=Counter)
    moves: list[dict] = field(default_factory=list)
    latency: object = field(default_factory=make_histogram)

    def take_median(self, name: str) -> float:
        """Return the median of one figure over the runs."""
        return statistics.median(getattr(run, name) for run in self.runs)

    def find_range(self, name: str) -> tuple[float, float]:
        """Return the lowest and highest value of one figure over the runs."""
        values = [getattr(run, name) for run in self.runs]
        return min(values), max(values)

    def describe(self) -> dict:
        """Return the cell as JSON, with points of the latency curve in ms."""
        points = [0, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.8, 99.9, 99.95, 100]
        return {
            "size": self.size,
            "row": self.row,
            "variant": self.variant,
            "seed": self.seed,
            "runs": [asdict(run) for run in self.runs],
            "refusals": dict(self.refusals),
            "moves": self.moves,
            "curve": [[p, self.latency.get_value_at_percentile(p) / 1000] for p in points],
        }


def divide(part: float, whole: float) -> float:
    """Return a quotient, 0 where nothing was counted."""
    return part / whole if whole else 0.0


def compute_figures(load: LoadResult, usage: Usage, daemons: int) -> Figures:
    """Return the figures of one run."""
    p50, p99, p999 = (load.latency.get_value_at_percentile(p) / 1000 for p in PERCENTILES)
    elapsed_s = load.elapsed_s
    return Figures(
        offered=load.sent / elapsed_s,
        p50=p50,
        p99=p99,
        p999=p999,
        answered=divide(load.answered, load.sent),
        coverage=divide(load.shards_answered, load.shards_asked),
        goodput=load.whole_in_time / elapsed_s,
        extra=divide(usage.subrequests, usage.needed),
        extra_backend=divide(usage.backend_runs, usage.needed),
        cpu_us=divide(usage.cpu_s, usage.subrequests) * 1e6,
        control_rate=usage.control_bytes / (elapsed_s + GAUGE_SETTLE_S) / daemons,
        platform_rate=usage.platform_calls / (elapsed_s + GAUGE_SETTLE_S),
        hedges=usage.hedges / elapsed_s,
        retries=usage.retries / elapsed_s,
        backend_crashes=usage.backend_crashes,
        load_average=os.getloadavg()[0],
    )


async def measure_once(tier: Tier, row: Row, load: LoadPlan) -> tuple[LoadResult, Usage]:
    """Run the load of one row once, with its events."""
    before = await trio.to_thread.run_sync(read_counters, tier)
    addresses = [daemon.callers for daemon in tier.plan.daemons]
    events = row.plan_events(tier, load.duration_s)
    result = await run_load(load, addresses, events)
    await trio.sleep(GAUGE_SETTLE_S)
    after = await trio.to_thread.run_sync(read_counters, tier)
    return result, compute_usage(before, after)


def send_load(tier: Tier, row: Row, duration_s: float, seed: int) -> tuple[LoadResult, Usage]:
    """Run the load and the events of one row for some seconds."""
    size = tier.plan.size
    load = LoadPlan(row.service(size).name, row.find_rate(size), duration_s, DEADLINE_MS, seed)
    return trio.run(measure_once, tier, row, load)


def warm_up(tier: Tier, row: Row, timing: Timing, seed: int) -> None:
    """Run the load of one row without its events and drop the figures."""
    size = tier.plan.size
    addresses = [daemon.callers for daemon in tier.plan.daemons]
    service, rate = row.service(size).name, row.find_rate(size)
    trio.run(run_load, LoadPlan(service, rate, timing.warm_up_s, DEADLINE_MS, seed), addresses)


def measure_row(tiers: dict[str, Tier], row: Row, timing: Timing, seed: int) -> list[Cell]:
    """Measure one row on the tier of each variant; the runs of the variants alternate.

    Other work on the machine then meets all variants alike.
    """
    cells = []
    for name, tier in tiers.items():
        row.prepare(tier)
        warm_up(tier, row, timing, seed - 1)
        cells.append(Cell(tier.plan.size.name, row.name, name, seed))
    for number in range(timing.runs):
        for cell in cells:
            tier = tiers[cell.variant]
            run_s = timing.run_s * row.run_factor
            result, usage = send_load(tier, row, run_s, seed + number)
            cell.runs.append(compute_figures(result, usage, len(tier.plan.daemons)))
            cell.refusals.update(result.refusals)
            cell.latency.add(result.latency)
    for cell in cells:
        cell.moves = list(tiers[cell.variant].read_moves(0).values())
        row.restore(tiers[cell.variant])
    return cells


def measure_rows(
    size: DeploymentSize,
    variants: Sequence[Variant],
    rows: Sequence[Row],
    timing: Timing,
    seed: int,
    **layout,
) -> list[Cell]:
    """Start a tier for each variant and measure rows on them, one run after the other."""
    plans = {variant.name: lay_out(size, variant, seed, **layout) for variant in variants}
    with ExitStack() as stack, ThreadPoolExecutor(len(plans)) as pool:
        tiers = {name: Tier(plan) for name, plan in plans.items()}
        starts = [pool.submit(tier.__enter__) for tier in tiers.values()]
        for tier, start in zip(tiers.values(), starts, strict=True):
            if start.exception() is None:  # a tier that failed to start has stopped by itself
                stack.push(tier.__exit__)
        for start in starts:
            start.result()
        cells = []
        for row in rows:
            cells += measure_row(tiers, row, timing, seed)
            print(f"{size.name}: {row.name}", flush=True)
        return cells


def lay_out(
    size: DeploymentSize, variant: Variant, seed: int, median_ms: float = MEDIAN_MS, **layout
) -> RunPlan:
    """Plan the processes of one variant."""
    timeout_ms = round(median_ms * TIMEOUT_PER_MEDIAN)
    return plan_run(
        make_directory(f"measure-{size.name}"),
        size,
        DAEMONS,
        seed,
        switches=variant.switches | {"baseline_timeout_ms": timeout_ms},
        median_ms=median_ms,
        backend_processes=BACKEND_PROCESSES,
        **layout,
    )
