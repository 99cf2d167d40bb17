"""One tier of real processes for the scenarios of a feature."""

import json
import os
import signal
import subprocess
import sys

from zinnia_measure.deployment import NEW_VERSION, OLD_VERSION, plan_run
from zinnia_measure.processes import answers, fetch, wait_until
from zinnia_measure.sizes import KAVALAM
from zinnia_measure.tier import PLATFORM, Tier, make_directory

DAEMONS = 3
QUERY_SERVICE = "field-app"
QUERY_SHARDS = 20
COMMAND_SERVICE = "billing"
COMMAND_ROUTE = "booking"
SIZE = KAVALAM.keep_services(QUERY_SERVICE, COMMAND_SERVICE)
# A restarted member gives no promise for 1.5 s, and a new owner waits 1 s before its first send.
REPAIR_LIMIT_S = 15.0
TOOL_LIMIT_S = 30.0


class RunningTier(Tier):
    """A tier that faults can be injected into; after each scenario it is whole again.

    Parameters
    ----------
    seed : int
        Seed of the daemons and of the stand-ins.
    """

    def __init__(self, name: str, seed: int) -> None:
        directory = make_directory(f"scenario-{name}")
        super().__init__(plan_run(directory, SIZE, DAEMONS, seed, (OLD_VERSION, NEW_VERSION)))

    @property
    def vms(self) -> list[str]:
        """Ids of all VMs."""
        return [daemon.vm for daemon in self.plan.daemons]

    def find_number(self, vm: str) -> int:
        """Return the position of a VM in the plan."""
        return self.vms.index(vm)

    def list_serving(self) -> list[int]:
        """Return the positions of the daemons that are ready."""
        daemons = enumerate(self.plan.daemons)
        return [n for n, d in daemons if self.processes.is_running(d.vm) and self.is_ready(d)]

    def repair(self) -> None:
        """Undo all faults: start what was killed, resume what was stopped, wait until whole."""
        self.processes.signal(PLATFORM, signal.SIGCONT)
        self.set_platform_faults(outage=False, silent=False, delay_s=0.0, lose_replies=0)
        self.set_backend_faults({}, slow_factor=1.0, fault_fraction=0.0, straggler_fraction=0.0)
        for daemon in self.plan.daemons:
            self.processes.signal(daemon.vm, signal.SIGCONT)
            if not self.processes.is_running(daemon.vm):
                self.processes.wait(daemon.vm)
                self.start_daemon(daemon)
        self.wait_whole()

    def wait_whole(self, limit_s: float = REPAIR_LIMIT_S) -> None:
        """Wait until every VM is ready, sees all members and gives whole answers."""
        for number, daemon in enumerate(self.plan.daemons):
            vm = daemon.vm
            wait_until(lambda d=daemon: self.is_ready(d), f"readiness of {vm}", limit_s)
            wait_until(lambda n=number: self.sees_all_members(n), f"members of {vm}", limit_s)
            for service in (QUERY_SERVICE, COMMAND_SERVICE):
                what = f"whole answers of {service} through {vm}"
                wait_until(lambda n=number, s=service: self.is_whole(s, n), what, limit_s)

    def count_runs_of_key(self, key: str) -> int:
        """Return how often backend servers ran the command with this key."""
        return sum(row["runs_by_key"].get(key, 0) for row in self.count_backends().values())

    def list_objects(self, kind: str) -> list[dict]:
        """Return all objects of a kind in the platform."""
        reply = fetch("GET", f"{self.plan.platform_url}/v1/objects/{kind}")
        return json.loads(reply.content)["items"]

    def is_platform_back(self) -> bool:
        """Return whether the platform answers."""
        return answers(f"{self.plan.platform_url}/counts")

    def run_tool(self, *arguments: str, servers: str = "") -> subprocess.CompletedProcess:
        """Run ``zinnia`` against all VMs, or against the given servers."""
        known = servers or ",".join(daemon.admin for daemon in self.plan.daemons)
        return subprocess.run(
            [sys.executable, "-m", "zinnia_tool.main", *arguments],
            env=os.environ | {"ZINNIA_SERVERS": known, "ZINNIA_OPERATOR": "mei"},
            capture_output=True,
            text=True,
            timeout=TOOL_LIMIT_S,
        )
