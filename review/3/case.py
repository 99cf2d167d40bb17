"""The VM that watches the store for its zone is frozen while the configuration changes."""

import asyncio
import signal
import sys
import zlib
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    Case,
    Client,
    Replica,
    Vm,
    is_trouble,
    make_configuration,
    make_route,
    run_case,
)

ZONE = "tw-north-a"
VMS = ["vm-0", "vm-1", "vm-2", "vm-3"]
OLD, NEW = "campus-catalogue", "curator-tools"
# Site, trouble ``node_freeze``: count = 1, for_s = 4.0.
FREEZE_S = 4.0
CHANGE_AFTER_S = 0.1
# Bounds.ConfigApplyMs.
CONFIG_APPLY_S = 3.0
# Longer than Bounds.ContactWindowMs, so that all VMs are in touch.
SETTLE_S = 8.0
PAUSE_S = 0.02
TRAFFIC_AFTER_S = 7.0


class Traffic:
    """Requests to all VMs; ``sent`` has the time and the VM of each."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self.sent: dict[str, tuple[float, str]] = {}

    async def run(self, vm: Vm, until_s: float) -> None:
        """Send requests to one VM; a client gives up with its deadline, as while the VM stands."""
        client = Client(vm.callers)
        number = 0
        while self._case.record.now() < until_s:
            number += 1
            request_id = f"{vm.name}-{number}"
            self.sent[request_id] = (self._case.record.now(), vm.name)
            self._case.record.write(f"sent GET /lookup/2f {request_id} to {vm.name}")
            try:
                reply = await client.send("GET", "/lookup/2f", request_id, 1000)
                answer = "none" if reply is None else f"{reply.status} {reply.body.decode()}"
            except TimeoutError:
                answer = "none within the deadline"
            self._case.record.write(f"answer {request_id} {answer}")
            await asyncio.sleep(PAUSE_S)
        await client.close()


def find_watcher(case: Case) -> Vm:
    """Return the VM that watches the store for its zone: the first in the order of checksums."""
    return min(case.vms, key=lambda vm: (zlib.crc32(vm.name.encode()), vm.name))


async def freeze_watcher(case: Case) -> Vm:
    """Freeze the watcher, change the configuration, and let the watcher go on."""
    watcher = find_watcher(case)
    if is_trouble():
        watcher.send_signal(signal.SIGSTOP)
        case.record.write(f"{watcher.name} is frozen")
    await asyncio.sleep(CHANGE_AFTER_S)
    spec = make_configuration(2, [make_route("lookup", NEW)], [OLD, NEW])
    case.store.put("config", "main", spec)
    case.record.write("config: version 2 is acknowledged, the route moves to another service")
    return watcher


async def main(case: Case) -> str:
    """Return what broke the rule."""
    for service in (OLD, NEW):
        for number in range(2):
            name = f"i-{service}-{number}"
            await case.add_replica(Replica(name, service, ZONE, case.record))
    spec = make_configuration(1, [make_route("lookup", OLD)], [OLD, NEW])
    case.store.put("config", "main", spec)
    await case.add_vms(VMS, ZONE)
    await asyncio.sleep(SETTLE_S)
    traffic = Traffic(case)
    async with asyncio.TaskGroup() as group:
        until_s = case.record.now() + TRAFFIC_AFTER_S + 1.0
        for vm in case.vms:
            group.create_task(traffic.run(vm, until_s))
        await asyncio.sleep(1.0)
        watcher = await freeze_watcher(case)
        acknowledged_s = case.record.now()
        await asyncio.sleep(FREEZE_S - CHANGE_AFTER_S)
        if is_trouble():
            watcher.send_signal(signal.SIGCONT)
            case.record.write(f"{watcher.name} goes on")
    late: dict[str, int] = {}
    for replica in case.replicas:
        for _, request_id in replica.runs:
            sent_s, vm = traffic.sent[request_id]
            is_late = sent_s > acknowledged_s + CONFIG_APPLY_S
            # The frozen VM is not in touch.
            if replica.service == OLD and is_late and vm != watcher.name:
                late[vm] = late.get(vm, 0) + 1
    case.record.write(
        f"run by the old service later than {CONFIG_APPLY_S} s after the change {late}"
    )
    if not late:
        return ""
    return (
        f"CONFIG: requests sent over {CONFIG_APPLY_S} s after the change, run as before it: {late}"
    )


run_case(FOLDER, main)
