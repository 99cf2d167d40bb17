"""Starts the stand-ins and the daemons of one run and talks to them."""

import json
import time
from pathlib import Path
from urllib.parse import quote

from zinnia_measure.deployment import DaemonPlan, RunPlan, build_config, build_shard_maps
from zinnia_measure.processes import ProcessGroup, answers, fetch, wait_until

BACKENDS = "backends"
PLATFORM = "platform"
LIFETIME_S = "900"
REQUEST_MARGIN_S = 5.0


class Tier:
    """The processes of one run; a context manager that stops all of them.

    Parameters
    ----------
    plan : RunPlan
        What to start.
    """

    def __init__(self, plan: RunPlan) -> None:
        self.plan = plan
        self.processes = ProcessGroup(plan.directory / "logs")

    def __enter__(self) -> "Tier":
        self.processes.__enter__()
        try:
            self._start_all()
        except BaseException:
            self.processes.__exit__()
            raise
        return self

    def __exit__(self, *_) -> None:
        # The daemons go first: a graceful stop still talks to the platform and backend servers.
        self.processes.stop_all([daemon.vm for daemon in self.plan.daemons])
        self.processes.__exit__()

    def _start_all(self) -> None:
        plan = self.plan
        self.start_standin(PLATFORM, "--port", str(plan.platform_port))
        for process, port in enumerate(plan.control_ports):
            file = str(plan.name_backends_file(process))
            arguments = ("--file", file, "--control-port", str(port))
            self.start_standin(BACKENDS, *arguments, name=f"{BACKENDS}-{process}")
        wait_until(lambda: answers(f"{plan.platform_url}/counts"), "start of the platform")
        for url in plan.backends_urls:
            wait_until(lambda u=url: answers(f"{u}/counts"), "start of the backend servers")
        for service, shard_map in build_shard_maps(plan).items():
            self.put_object("shardmaps", service, shard_map)
        for daemon in plan.daemons:
            self.start_daemon(daemon)
        wait_until(lambda: answers(f"http://{plan.daemons[0].admin}/admin/status"), "first daemon")
        wait_until(self.apply_config, "acceptance of the configuration")
        for number, daemon in enumerate(plan.daemons):
            wait_until(lambda n=number: self.sees_all_members(n), f"members of {daemon.vm}")
            wait_until(lambda d=daemon: self.is_ready(d), f"readiness of {daemon.vm}")
        for service in plan.size.services:
            wait_until(lambda s=service.name: self.is_whole(s), f"whole answers of {service.name}")

    def is_whole(self, service: str, vm: int = 0) -> bool:
        """Return whether a query gets an answer from every shard."""
        status, answer = self.query(service, {"probe": time.monotonic()}, vm=vm)
        return status == 200 and not answer["coverage"]["missing"]

    def start_standin(self, command: str, *arguments: str, name: str = "") -> None:
        """Start a stand-in process; ``name`` tells several of one kind apart."""
        self.processes.start(
            name or command, "zinnia_standins.main", command, *arguments, "--lifetime", LIFETIME_S
        )

    def start_daemon(self, daemon: DaemonPlan) -> None:
        """Start one daemon."""
        self.processes.start(daemon.vm, "zinniarouterd.main", "--settings", str(daemon.settings))

    def is_ready(self, daemon: DaemonPlan) -> bool:
        """Return whether a daemon takes requests."""
        return answers(f"http://{daemon.callers}/readyz")

    def wait_ready(self, daemon: DaemonPlan) -> None:
        """Wait until a daemon that was started again takes requests."""
        wait_until(lambda: self.is_ready(daemon), f"readiness of {daemon.vm}")

    def sees_all_members(self, vm: int) -> bool:
        """Return whether a daemon hears every other one as a member and acts as owner itself.

        While the first members join, replicas still move between them.
        """
        status = self.admin(vm, "GET", "status")[1]
        alive = [row for row in status["members"] if row["state"] == "alive"]
        return len(alive) == len(self.plan.daemons) and status["acting"]

    def apply_config(self) -> bool:
        """Apply the first configuration; return whether one is in force."""
        admin = f"http://{self.plan.daemons[0].admin}/admin/config"
        body = {
            "document": build_config(self.plan),
            "expected_revision": 0,
            "change_id": "set-up",
            "operator": "set-up",
        }
        return fetch("PUT", admin, json.dumps(body).encode()).status == 200

    def put_object(self, kind: str, name: str, value: dict, if_version: int | None = None) -> None:
        """Write an object to the platform, as the operators' other tools do."""
        query = "" if if_version is None else f"?if_version={if_version}"
        url = f"{self.plan.platform_url}/v1/objects/{kind}/{quote(name)}{query}"
        fetch("PUT", url, json.dumps({"value": value}).encode())

    def set_platform_faults(self, **faults) -> None:
        """Switch faults of the platform."""
        fetch("POST", f"{self.plan.platform_url}/faults", json.dumps(faults).encode())

    def set_backend_faults(self, match: dict, **faults) -> list[str]:
        """Switch faults of the matching replicas; return their ids."""
        body = json.dumps({"match": match, "faults": faults}).encode()
        replies = [fetch("POST", f"{url}/faults", body) for url in self.plan.backends_urls]
        return [name for reply in replies for name in json.loads(reply.content)["matched"]]

    def count_backends(self) -> dict[str, dict]:
        """Return the counters of every replica."""
        rows = {}
        for url in self.plan.backends_urls:
            rows |= json.loads(fetch("GET", f"{url}/counts").content)
        return rows

    def count_platform(self) -> dict[str, int]:
        """Return the calls that the platform has counted."""
        return json.loads(fetch("GET", f"{self.plan.platform_url}/counts").content)

    def query(
        self, service: str, body, deadline_ms: int = 1000, vm: int = 0, route: str = "search"
    ) -> tuple[int, dict]:
        """Send one query; return status and answer."""
        value = {"service": service, "route": route, "deadline_ms": deadline_ms, "body": body}
        return self.post(vm, "/v1/query", value, deadline_ms)

    def command(
        self, service: str, route: str, key: str, body, deadline_ms: int = 2000, vm: int = 0
    ) -> tuple[int, dict]:
        """Send one command; return status and answer."""
        value = {"service": service, "route": route, "deadline_ms": deadline_ms, "body": body}
        return self.post(vm, "/v1/command", value, deadline_ms, {"Idempotency-Key": key})

    def post(
        self, vm: int, path: str, value: dict, deadline_ms: int, headers: dict | None = None
    ) -> tuple[int, dict]:
        """Post JSON to one daemon; return status and decoded answer."""
        url = f"http://{self.plan.daemons[vm].callers}{path}"
        limit_s = deadline_ms / 1000 + REQUEST_MARGIN_S
        reply = fetch("POST", url, json.dumps(value).encode(), headers, limit_s)
        return reply.status, json.loads(reply.content)

    def admin(self, vm: int, method: str, path: str, body: bytes = b"") -> tuple[int, dict]:
        """Call the admin interface of one daemon."""
        reply = fetch(method, f"http://{self.plan.daemons[vm].admin}/admin/{path}", body)
        return reply.status, json.loads(reply.content)

    def read_moves(self, vm: int = 0) -> dict[str, dict]:
        """Return the report of each move by its id."""
        return {row["id"]: row for row in self.admin(vm, "GET", "moves")[1]["moves"]}


def make_directory(name: str) -> Path:
    """Return a new directory for the files of one run, below ``run/``."""
    path = Path("run") / f"{name}-{time.strftime('%H%M%S')}-{time.monotonic_ns() % 1000:03d}"
    path.mkdir(parents=True, exist_ok=True)
    return path
