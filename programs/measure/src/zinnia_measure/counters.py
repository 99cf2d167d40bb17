"""Reads what the processes of a run have counted, and the difference over a run."""

from dataclasses import dataclass, field

import httpcore

from zinnia_measure.processes import fetch
from zinnia_measure.tier import Tier

UNREACHABLE = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError, OSError)


@dataclass(slots=True)
class Reading:
    """Counters of all processes at one moment.

    ``per_vm`` maps a daemon to its sums; a daemon that was replaced starts again at zero.
    """

    per_vm: dict[str, dict[str, float]] = field(default_factory=dict)
    backend_runs: int = 0
    backend_cold_peak: int = 0
    backend_crashes: int = 0
    platform_calls: int = 0


@dataclass(slots=True)
class Usage:
    """What one run used, over all daemons; processor time in seconds, control in bytes."""

    subrequests: float = 0.0
    needed: float = 0.0
    hedges: float = 0.0
    retries: float = 0.0
    cpu_s: float = 0.0
    control_bytes: float = 0.0
    data_bytes: float = 0.0
    backend_runs: int = 0
    backend_crashes: int = 0
    platform_calls: int = 0


def parse_metrics(text: str) -> list[tuple[str, str, float]]:
    """Return name, labels and value of each sample of the Prometheus text format."""
    samples = []
    for line in text.splitlines():
        if line.startswith("#") or not line.strip():
            continue
        head, _, value = line.rpartition(" ")
        name, _, labels = head.partition("{")
        samples.append((name, labels, float(value)))
    return samples


def sum_metrics(text: str) -> dict[str, float]:
    """Return the sums that the report uses from the metrics of one daemon."""
    sums = dict.fromkeys(("subrequests", "needed", "hedges", "retries", "control", "data"), 0.0)
    names = {
        "zinnia_subrequests_total": "subrequests",
        "zinnia_subrequests_needed_total": "needed",
        "zinnia_hedges_total": "hedges",
        "zinnia_retries_total": "retries",
    }
    for name, labels, value in parse_metrics(text):
        if name in names:
            sums[names[name]] += value
        elif name == "zinnia_peer_bytes" and 'direction="sent"' in labels:
            # Received bytes are the same bytes again, so only sent ones are summed.
            sums["control" if 'plane="control"' in labels else "data"] += value
    return sums


def read_counters(tier: Tier) -> Reading:
    """Read the counters of all processes; a daemon that is stopped is left out."""
    reading = Reading()
    for daemon in tier.plan.daemons:
        try:
            text = fetch("GET", f"http://{daemon.callers}/metrics").content.decode()
            cpu_s = tier.processes.read_cpu_s(daemon.vm)
        except (*UNREACHABLE, KeyError):
            continue
        reading.per_vm[daemon.vm] = sum_metrics(text) | {"cpu": cpu_s}
    backends = tier.count_backends().values()
    reading.backend_runs = sum(row["runs"] for row in backends)
    reading.backend_crashes = sum(row["crashes"] for row in backends)
    reading.backend_cold_peak = max(row["max_in_progress_cold"] for row in backends)
    calls = tier.count_platform()
    reading.platform_calls = sum(value for value in calls.values())
    return reading


def compute_usage(before: Reading, after: Reading) -> Usage:
    """Return the differences; a counter that went down belongs to a replaced daemon."""
    total = dict.fromkeys(
        ("subrequests", "needed", "hedges", "retries", "control", "data", "cpu"), 0.0
    )
    for vm, sums in after.per_vm.items():
        old = before.per_vm.get(vm, {})
        replaced = sums["cpu"] < old.get("cpu", 0.0)
        for name, value in sums.items():
            total[name] += value - (0.0 if replaced else old.get(name, 0.0))
    return Usage(
        subrequests=total["subrequests"],
        needed=total["needed"],
        hedges=total["hedges"],
        retries=total["retries"],
        cpu_s=total["cpu"],
        control_bytes=total["control"],
        data_bytes=total["data"],
        backend_runs=after.backend_runs - before.backend_runs,
        backend_crashes=after.backend_crashes - before.backend_crashes,
        platform_calls=after.platform_calls - before.platform_calls,
    )
