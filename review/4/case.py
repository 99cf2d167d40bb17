"""A request that crashes each replica that runs it comes again, and is retried each time."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    Case,
    Client,
    Message,
    Replica,
    Vm,
    is_trouble,
    make_configuration,
    make_route,
    run_case,
)

ZONE = "tw-north-a"
SERVICE = "campus-catalogue"
REPLICAS = 7
TRAFFIC_S = 40.0
COME_AGAIN_S = 1.5
PAUSE_S = 0.05
# "the replica is back after some seconds".
DOWN_S = 3.0
# RULES.md, BUDGET: the third crash, ``ContactWindowMs`` after it, and three retries.
CRASHES = 3
CONTACT_WINDOW_S = 4.0
MAX_RETRIES = 3
CRASHING_PATH = "/lookup/crash"


class FragileReplica(Replica):
    """A replica that crashes when it begins to run the request, and is back after some seconds."""

    def __init__(self, case: Case, name: str) -> None:
        super().__init__(name, SERVICE, ZONE, case.record)
        self._store = case.store
        self.crashes: list[tuple[float, str]] = []
        self.broken: list[str] = []
        self._running: set[str] = set()
        self._tasks: set[asyncio.Task] = set()

    async def run(self, request: Message, headers: list[tuple[str, str]]) -> bytes | None:
        """Run a request, or crash."""
        request_id = request.headers["x-request-id"]
        if request.target == CRASHING_PATH:
            self.crashes.append((self.record.now(), request_id))
            self.broken += self._running
            self.record.write(f"crash of {self.name} by {request_id}, breaks {self._running}")
            task = asyncio.create_task(self._restart())
            self._tasks.add(task)
            await self.crash()
            return None
        self._running.add(request_id)
        try:
            return await super().run(request, headers)
        finally:
            self._running.discard(request_id)

    async def _restart(self) -> None:
        await asyncio.sleep(DOWN_S)
        await self.start()
        self._store.put("servers", self.name, self.make_entry())
        self.record.write(f"{self.name} is back, as a new incarnation under its id")


async def send_ordinary(case: Case, vm: Vm, until_s: float, counts: dict[str, int]) -> None:
    """Send ordinary requests to one VM."""
    client = Client(vm.callers)
    number = 0
    while case.record.now() < until_s:
        number += 1
        reply = await client.send("GET", "/lookup/2f", f"{vm.name}-{number}", 2000)
        result = "none" if reply is None else str(reply.status)
        counts[result] = counts.get(result, 0) + 1
        await asyncio.sleep(PAUSE_S)
    await client.close()


async def send_crashing(case: Case, until_s: float) -> None:
    """Send the request that crashes replicas, each time at another VM."""
    number = 0
    while case.record.now() < until_s:
        vm = case.vms[number % len(case.vms)]
        client = Client(vm.callers)
        request_id = f"crash-{number}"
        case.record.write(f"sent GET {CRASHING_PATH} {request_id} to {vm.name}")
        reply = await client.send("GET", CRASHING_PATH, request_id, 2000)
        answer = "closed without an answer" if reply is None else f"status {reply.status}"
        case.record.write(f"answer {request_id} {answer}")
        await client.close()
        number += 1
        await asyncio.sleep(COME_AGAIN_S)


def find_late_retries(crashes: list[tuple[float, str]]) -> list[tuple[float, str]]:
    """Return the retries that came later than the window after the third crash."""
    if len(crashes) < CRASHES:
        return []
    due_s = crashes[CRASHES - 1][0] + CONTACT_WINDOW_S
    seen = set()
    retries = []
    for at_s, request_id in crashes:
        if request_id in seen and at_s > due_s:
            retries.append((at_s, request_id))
        seen.add(request_id)
    return retries


async def main(case: Case) -> str:
    """Return what broke the rule."""
    replicas = []
    for number in range(REPLICAS):
        replica = FragileReplica(case, f"i-{number}")
        replica.work_s = 0.12
        replicas.append(await case.add_replica(replica))
    spec = make_configuration(1, [make_route("lookup", SERVICE)], [SERVICE])
    case.store.put("config", "main", spec)
    await case.add_vms(["vm-0", "vm-1", "vm-2"], ZONE)
    await asyncio.sleep(CONTACT_WINDOW_S)
    until_s = case.record.now() + TRAFFIC_S
    counts: dict[str, int] = {}
    async with asyncio.TaskGroup() as group:
        for vm in case.vms:
            group.create_task(send_ordinary(case, vm, until_s, counts))
        if is_trouble():
            group.create_task(send_crashing(case, until_s))
    crashes = sorted(crash for replica in replicas for crash in replica.crashes)
    late = find_late_retries(crashes)
    broken = sum(len(replica.broken) for replica in replicas)
    case.record.write(f"ordinary requests by status {counts}, runs broken by crashes {broken}")
    case.record.write(f"crashes {len(crashes)}, late retries {len(late)}: {late}")
    if len(late) <= MAX_RETRIES:
        return ""
    return (
        f"BUDGET: {len(late)} retries of a request that had crashed three replicas"
        f" more than {CONTACT_WINDOW_S:.0f} s before; {len(crashes)} crashes in all"
    )


run_case(FOLDER, main)
