"""The situations that are measured, one row of the report each."""

import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

from zinnia_measure.deployment import NEW_VERSION, OLD_VERSION
from zinnia_measure.sizes import DeploymentSize, ServiceSize
from zinnia_measure.tier import Tier

Event = tuple[float, Callable[[], None]]
FAN_OUT = 50
WIDE_SERVICE = f"fan-out-{FAN_OUT}"
STRAGGLERS = {"straggler_fraction": 0.02, "straggler_factor": 20.0}
NO_STRAGGLERS = {"straggler_fraction": 0.0}
SHORTEST_MOVE_S = 25.0  # a note whose due time is nearer is refused
MOVE_MARGIN_S = 12.0  # DONE is written at least 10 s before the due time
BAD_ROUTE = "search"
DEADLINE_MS = 1000
# Sub-requests a second. At 1,200 the p50 of a quiet tier was 26 to 190 ms while other work ran on
# the 10 cores: the processes waited for a processor and the figures said nothing of the decisions.
SUBREQUEST_RATE = 600.0


@dataclass(frozen=True, slots=True)
class Row:
    """One situation.

    ``prepare`` and ``restore`` act on the running tier before and after the row; ``plan_events``
    returns what happens during each run of ``run_s`` seconds.
    """

    name: str
    service: Callable[[DeploymentSize], ServiceSize]
    prepare: Callable[[Tier], None] = lambda tier: None
    restore: Callable[[Tier], None] = lambda tier: None
    plan_events: Callable[[Tier, float], Sequence[Event]] = lambda tier, run_s: ()
    rate: float = 0.0
    run_factor: float = 1.0

    def find_rate(self, size: DeploymentSize) -> float:
        """Return the queries a second to offer."""
        return self.rate or SUBREQUEST_RATE / self.service(size).shards


def add_wide_service(size: DeploymentSize) -> DeploymentSize:
    """Keep the service of 20 shards and add one of 50 with the same replicas."""
    first = size.services[0]
    wide = ServiceSize(
        WIDE_SERVICE, FAN_OUT, first.replicas, first.slots, first.connections, first.connect_ms
    )
    return DeploymentSize(size.name, size.data_centres, size.one_way_ms, (first, wide))


def pick_first(size: DeploymentSize) -> ServiceSize:
    """Return the service of 20 shards."""
    return size.services[0]


def pick_wide(size: DeploymentSize) -> ServiceSize:
    """Return the service of 50 shards."""
    return size.services[1]


def start_stragglers(tier: Tier) -> None:
    """Slow down 1 in 50 runs by 20 times."""
    tier.set_backend_faults({}, **STRAGGLERS)


def stop_stragglers(tier: Tier) -> None:
    """Let all runs take their usual time."""
    tier.set_backend_faults({}, **NO_STRAGGLERS)


def move_data_centre(tier: Tier, state: str) -> None:
    """Take the second data centre out or in."""
    name = tier.plan.size.data_centres[1]
    body = json.dumps({"state": state, "operator": "measure"}).encode()
    tier.admin(0, "POST", f"data-centres/{name}", body)


def plan_data_centre(tier: Tier, run_s: float) -> Sequence[Event]:
    """Take a data centre out after a sixth of the run and return it at the half."""
    return (
        (run_s / 6, lambda: move_data_centre(tier, "out")),
        (run_s / 2, lambda: move_data_centre(tier, "in")),
    )


def plan_cold_start(tier: Tier, run_s: float) -> Sequence[Event]:
    """Crash all replicas of the service after a sixth of the run."""
    service = pick_first(tier.plan.size).name
    return ((run_s / 6, lambda: tier.set_backend_faults({"service": service}, crash=True)),)


def start_outage(tier: Tier) -> None:
    """Make the platform refuse every call."""
    tier.set_platform_faults(outage=True)


def stop_outage(tier: Tier) -> None:
    """Make the platform answer again."""
    tier.set_platform_faults(outage=False)


def plan_replacement(tier: Tier, run_s: float) -> Sequence[Event]:
    """Stop each daemon gracefully and start it again, one after the other."""

    def replace_all() -> None:
        for daemon in tier.plan.daemons:
            tier.processes.stop(daemon.vm)
            tier.start_daemon(daemon)
            tier.wait_ready(daemon)

    return ((0.5, replace_all),)


def apply_release(tier: Tier, due_s: float) -> None:
    """Bring the new version of the first service into traffic by a release note."""
    due = datetime.now(UTC) + timedelta(seconds=due_s)
    service = pick_first(tier.plan.size).name
    note = (
        "format: 1\n"
        f"id: measure-{due:%H%M%S}\n"
        "operator: measure\n"
        f"against_revision: {tier.admin(0, 'GET', 'config')[1]['revision']}\n"
        "time_zone: UTC\n"
        "added:\n"
        "  - kind: version\n"
        f"    service: {service}\n"
        f"    version: {NEW_VERSION}\n"
        f"    replaces: {OLD_VERSION}\n"
        f'    by: "{due:%Y-%m-%d %H:%M:%S}"\n'
    )
    status, reply = tier.admin(0, "POST", "notes", note.encode())
    if status != 200:
        raise RuntimeError(f"the release note was refused: {reply}")


def break_new_version(tier: Tier) -> None:
    """Let half of the runs of the new version fail on one route."""
    match = {"service": pick_first(tier.plan.size).name, "version": NEW_VERSION}
    tier.set_backend_faults(match, fault_fraction=0.5, bad_routes=[BAD_ROUTE])


def plan_release(tier: Tier, run_s: float) -> Sequence[Event]:
    """Apply a release note that is due shortly after the run."""
    return ((0.5, lambda: apply_release(tier, max(run_s, SHORTEST_MOVE_S) + MOVE_MARGIN_S)),)


QUIET = Row("quiet", pick_first)
QUIET_WIDE = Row(f"quiet, fan-out {FAN_OUT}", pick_wide)
STRAGGLER_ROW = Row("stragglers", pick_first, start_stragglers, stop_stragglers)
STRAGGLER_WIDE = Row(f"stragglers, fan-out {FAN_OUT}", pick_wide, start_stragglers, stop_stragglers)
DATA_CENTRE = Row("data centre out and back", pick_first, plan_events=plan_data_centre)
COLD_START = Row("cold start of all replicas", pick_first, plan_events=plan_cold_start)
OUTAGE = Row("platform down", pick_first, start_outage, stop_outage)
REPLACEMENT = Row("rolling replacement", pick_first, plan_events=plan_replacement, run_factor=4.0)
BAD_VERSION = Row(
    "bad version on one route",
    pick_first,
    break_new_version,
    plan_events=plan_release,
    run_factor=2.0,
)
GOOD_VERSION = Row("good version", pick_first, plan_events=plan_release, run_factor=6.0)
