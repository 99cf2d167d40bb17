"""Lays out one run: ports, settings files, stand-ins, configuration and shard maps."""

import random
import socket
from dataclasses import dataclass, field
from pathlib import Path

from ruamel.yaml import YAML

from zinnia_measure.sizes import DeploymentSize, ServiceSize

LOOPBACK = "127.0.0.1"
# Linux takes the ports of outgoing connections from 32768 up by default.
BLOCK_SIZE = 500
PORT_BLOCKS = range(12_000, 32_000, BLOCK_SIZE)
FIRST_SNAPSHOT = "s1"
OLD_VERSION = "v1"
NEW_VERSION = "v2"
# Service times of the stand-ins: a search over one shard of a small index.
MEDIAN_MS = 5.0
SIGMA = 0.2
SEED_STRIDE = 100_000

_guards: list[socket.socket] = []


@dataclass(frozen=True, slots=True)
class DaemonPlan:
    """Addresses of one daemon and its settings file."""

    vm: str
    data_centre: str
    callers: str
    admin: str
    peers: str
    settings: Path


@dataclass(slots=True)
class RunPlan:
    """Everything that one run needs; nothing in it has been started."""

    directory: Path
    size: DeploymentSize
    platform_port: int
    control_port: int
    daemons: list[DaemonPlan] = field(default_factory=list)
    replicas: list[dict] = field(default_factory=list)

    @property
    def platform_url(self) -> str:
        """URL of the platform stand-in."""
        return f"http://{LOOPBACK}:{self.platform_port}"

    @property
    def backends_url(self) -> str:
        """URL of the control port of the backend server stand-ins."""
        return f"http://{LOOPBACK}:{self.control_port}"

    @property
    def backends_file(self) -> Path:
        """Deployment file of the backend server stand-ins."""
        return self.directory / "backends.yaml"


def pick_ports(count: int) -> list[int]:
    """Return free ports that no other run on this machine gets while this process lives.

    The first port of a block stays bound as the sign that the block is taken. The blocks lie below
    the ports of outgoing connections, which may take any port before its process listens on it.
    """
    ports: list[int] = []
    starts = random.Random().sample(PORT_BLOCKS, len(PORT_BLOCKS))
    while starts and len(ports) < count:
        start = starts.pop()
        guard = bind_port(start)
        if guard is None:
            continue
        _guards.append(guard)
        ports += [port for port in range(start + 1, start + BLOCK_SIZE) if is_free(port)]
    if len(ports) < count:
        raise RuntimeError(f"no {count} free ports in {PORT_BLOCKS}; end other runs first")
    return ports[:count]


def bind_port(port: int) -> socket.socket | None:
    """Return a socket that is bound to a port of loopback, None if the port is taken."""
    bound = socket.socket()
    try:
        bound.bind((LOOPBACK, port))
    except OSError:
        bound.close()
        return None
    return bound


def is_free(port: int) -> bool:
    """Return whether nothing is bound to a port at this moment."""
    bound = bind_port(port)
    if bound is not None:
        bound.close()
    return bound is not None


def plan_run(
    directory: Path,
    size: DeploymentSize,
    daemons: int,
    seed: int,
    versions: tuple[str, ...] = (OLD_VERSION,),
    cold: dict | None = None,
    switches: dict | None = None,
    median_ms: float = MEDIAN_MS,
) -> RunPlan:
    """Choose ports and write the settings of all processes of a run.

    Parameters
    ----------
    versions : tuple of str
        Backend server versions that are started; the first one carries the traffic.
    cold : dict, optional
        Cold start of the replicas; by default they start warm.
    switches : dict, optional
        Decisions of the daemons to turn off.
    """
    replica_count = sum(s.shards * s.replicas for s in size.services) * len(versions)
    ports = iter(pick_ports(2 + 3 * daemons + replica_count))
    plan = RunPlan(directory, size, next(ports), next(ports))
    directory.mkdir(parents=True, exist_ok=True)
    for service in size.services:
        for version in versions:
            for replica in list_replicas(service, size.data_centres, version):
                # With one seed for all, every replica would be slow at the same request number.
                replica_seed = seed * SEED_STRIDE + len(plan.replicas)
                replica |= {"port": next(ports), "seed": replica_seed, "median_ms": median_ms}
                replica |= {"sigma": SIGMA, "cold": cold or {"at_start": False}}
                plan.replicas.append(replica)
    addresses = [tuple(f"{LOOPBACK}:{next(ports)}" for _ in range(3)) for _ in range(daemons)]
    for number, (callers, admin, peers) in enumerate(addresses, 1):
        data_centre = size.data_centres[(number - 1) % len(size.data_centres)]
        settings = directory / f"vm-{number}.yaml"
        plan.daemons.append(
            DaemonPlan(f"vm-{number}", data_centre, callers, admin, peers, settings)
        )
    write_files(plan, seed, switches or {})
    return plan


def list_replicas(service: ServiceSize, data_centres: tuple[str, ...], version: str) -> list[dict]:
    """Return the replicas of one version, spread over the data centres."""
    return [
        {
            "id": f"{service.name}-{version}-{shard:02d}-{copy}",
            "service": service.name,
            "shards": [f"{shard:02d}"],
            "snapshots": [FIRST_SNAPSHOT, "s2"],
            "slots": service.slots,
            "connections": service.connections,
            "connect_ms": service.connect_ms,
            "version": version,
            "data_centre": data_centres[(shard + copy) % len(data_centres)],
        }
        for shard in range(service.shards)
        for copy in range(service.replicas)
    ]


def write_files(plan: RunPlan, seed: int, switches: dict) -> None:
    """Write the deployment file of the backend servers and the settings of each daemon."""
    yaml = YAML(typ="safe", pure=True)
    yaml.dump(plan.replicas, plan.backends_file)
    for daemon in plan.daemons:
        others = {other.vm: other.peers for other in plan.daemons if other is not daemon}
        settings = {
            "vm": daemon.vm,
            "data_centre": daemon.data_centre,
            "listen": {"callers": daemon.callers, "admin": daemon.admin, "peers": daemon.peers},
            "platform": {"url": plan.platform_url},
            "peers": others,
            "seed": seed,
            "switches": switches,
        }
        yaml.dump(settings, daemon.settings)


def build_config(plan: RunPlan) -> dict:
    """Return the configuration document of the run; the old version carries all traffic."""
    services = {}
    for service in plan.size.services:
        routes = {"search": {"repeatable": True}}
        if service.command_route:
            routes[service.command_route] = {"repeatable": False}
        services[service.name] = {
            "routes": routes,
            "versions": {OLD_VERSION: {"share": 1.0}},
            "slots": service.slots,
            "connections": service.connections,
            "connect_ms": service.connect_ms,
            "cold_concurrency": 1,
        }
    data_centres = {name: {"state": "in"} for name in plan.size.data_centres}
    return {"revision": 0, "services": services, "data_centres": data_centres}


def build_shard_maps(plan: RunPlan, snapshot: str = FIRST_SNAPSHOT) -> dict[str, dict]:
    """Return the shard map of each service."""
    maps: dict[str, dict] = {}
    for replica in plan.replicas:
        shards = maps.setdefault(replica["service"], {})
        for shard in replica["shards"]:
            shards.setdefault(shard, []).append(
                {
                    "id": replica["id"],
                    "address": f"{LOOPBACK}:{replica['port']}",
                    "data_centre": replica["data_centre"],
                    "version": replica["version"],
                }
            )
    return {
        service: {"service": service, "snapshot": snapshot, "shards": shards}
        for service, shards in maps.items()
    }
