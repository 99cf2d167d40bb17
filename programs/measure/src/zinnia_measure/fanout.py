"""Processor time of a fan-out beside plain connections, and its time over four daemons."""

import json
import statistics
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path
from random import Random

import httpcore
import trio

from zinnia_backends.connections import HttpConnector
from zinnia_backends.crashes import CrashRegistry
from zinnia_backends.dispatcher import ReplicaDispatcher
from zinnia_facts.table import FactTable
from zinnia_measure.deployment import RunPlan, build_shard_maps, plan_run
from zinnia_measure.experiments import divide
from zinnia_measure.objects import SilentObserver, StaticTopology
from zinnia_measure.processes import ProcessGroup, answers, wait_until
from zinnia_measure.sizes import DeploymentSize, ServiceSize
from zinnia_measure.tier import Tier, make_directory
from zinnia_model.ids import ServiceId, VmId
from zinnia_model.ownership import OwnershipState
from zinnia_model.queries import Query
from zinnia_model.shardmaps import ShardMap
from zinnia_routing.counters import InMemoryCounters
from zinnia_routing.execution import QueryExecutor
from zinniarouterd.topology import ReplicaViews

FAN_OUTS = (20, 50, 110)
ROUNDS = 6
QUERIES_PER_ROUND = 15
WARM_UP_QUERIES = 15
DEADLINE_S = 5.0
MEDIAN_MS = 5.0
SHORT_MEDIAN_MS = 1.0  # so that processor time outweighs service time
BACKEND_PROCESSES = 4
# 110 requests take 4 processes about 30 ms, more than half of what one daemon needs.
SPREAD_BACKEND_PROCESSES = 8
BODY = b'{"seed":1,"number":4711}'
VM = VmId("vm-1")
HEADERS = [
    (b"host", b"backend"),
    (b"content-length", b"%d" % len(BODY)),
    (b"x-request-id", b"vm-1-0123456789ab-4711"),
    (b"x-attempt-id", b"vm-1-0123abcd-4711-17"),
    (b"x-deadline-ms", b"5000"),
    (b"x-route", b"search"),
    (b"x-snapshot", b"s1"),
]


def make_size(fan_out: int) -> DeploymentSize:
    """Return one service with two replicas of two slots for each shard."""
    service = ServiceSize(f"fan-out-{fan_out}", fan_out, 2, 2, 25, 6.0)
    return DeploymentSize("fan-out", ("taipei", "hsinchu", "taoyuan"), 1.0, (service,))


@dataclass(slots=True)
class FanOutCost:
    """Processor time in µs per sub-request of each round."""

    fan_out: int
    product: list[float] = field(default_factory=list)
    plain: list[float] = field(default_factory=list)

    def compute_added(self) -> float:
        """Return what the product adds, as a part of the plain cost, of the medians."""
        plain = statistics.median(self.plain)
        return divide(statistics.median(self.product) - plain, plain)


class LiveViews(StaticTopology):
    """A fixed fleet of one VM whose replica views come from the owner's facts."""

    def __init__(self, shard_map: ShardMap, facts: FactTable) -> None:
        super().__init__(shard_map, owners=1)
        self._live = ReplicaViews(facts)

    def owner(self, replica):
        """Return this VM."""
        return VM

    def view(self, replica):
        """Return the last report of the owner."""
        return self._live.get(replica, trio.current_time())


class ProductPath:
    """Planner, dispatcher and merge of one process, without the front end."""

    def __init__(self, shard_map: ShardMap) -> None:
        facts = FactTable()
        self._service = ServiceId(shard_map.service)
        topology = LiveViews(shard_map, facts)
        self.dispatcher = ReplicaDispatcher(
            topology.service,
            lambda replica: OwnershipState.OWNER,
            lambda record: None,
            facts,
            lambda fact: None,
            CrashRegistry(facts, lambda fact: None, VM),
            SilentObserver(),
            HttpConnector(),
            VM,
            Random(1),
        )
        self.dispatcher.set_replicas(
            self._service, shard_map.list_replicas().values(), shard_map.shards
        )
        self._executor = QueryExecutor(
            topology,
            lambda vm: self.dispatcher,
            VM,
            InMemoryCounters(),
            Random(1),
            lambda fingerprint: None,
            lambda fingerprint: False,
        )

    async def ask(self, number: int) -> int:
        """Send one query; return the number of answered shards."""
        query = Query(
            f"q-{number}",
            self._service,
            "search",
            BODY,
            trio.current_time() + DEADLINE_S,
            True,
            f"{number:032x}",
        )
        return (await self._executor.run(query)).coverage.answered


class PlainPath:
    """The same fan-out over connections that are kept in a list."""

    def __init__(self, shard_map: ShardMap) -> None:
        self._targets = []
        for shard, replicas in shard_map.shards.items():
            host, _, port = replicas[0].address.rpartition(":")
            origin = httpcore.Origin(b"http", host.encode(), int(port))
            url = httpcore.URL(scheme=b"http", host=host.encode(), port=int(port), target="/v1/run")
            connection = httpcore.AsyncHTTPConnection(origin)
            self._targets.append((shard, connection, url, (b"x-shard", shard.encode())))

    async def ask(self, number: int) -> int:
        """Send one query; return the number of answered shards."""
        bodies: dict[str, bytes] = {}

        async def send(shard, connection, url, header) -> None:
            request = httpcore.Request("POST", url, headers=[*HEADERS, header], content=BODY)
            response = await connection.handle_async_request(request)
            body = await response.aread()
            await response.aclose()
            if response.status == 200:
                json.loads(body)
                bodies[shard] = body

        async with trio.open_nursery() as nursery:
            for target in self._targets:
                nursery.start_soon(send, *target)
        return len(bodies)

    async def close(self) -> None:
        """Close all connections."""
        for _, connection, _, _ in self._targets:
            await connection.aclose()


async def time_round(path: ProductPath | PlainPath, fan_out: int, first: int, queries: int):
    """Return the processor time of some queries in µs per sub-request."""
    start, answered = time.process_time(), 0
    for number in range(first, first + queries):
        answered += await path.ask(number)
    used = time.process_time() - start
    if answered < 0.99 * fan_out * queries:
        raise RuntimeError(f"only {answered} of {fan_out * queries} sub-requests were answered")
    return used / answered * 1e6


async def compare_paths(shard_map: ShardMap, fan_out: int) -> FanOutCost:
    """Alternate rounds of the product and of plain connections in one process."""
    cost = FanOutCost(fan_out)
    product, plain = ProductPath(shard_map), PlainPath(shard_map)
    async with trio.open_nursery() as nursery:
        with product.dispatcher:
            await nursery.start(product.dispatcher.run)
            for path in (product, plain):
                await time_round(path, fan_out, 0, WARM_UP_QUERIES)
            for number in range(1, ROUNDS + 1):
                first = number * 1000
                cost.plain.append(await time_round(plain, fan_out, first, QUERIES_PER_ROUND))
                cost.product.append(await time_round(product, fan_out, first, QUERIES_PER_ROUND))
        nursery.cancel_scope.cancel()
    with trio.CancelScope(shield=True):
        await plain.close()
    return cost


def measure_cost(fan_out: int, seed: int) -> FanOutCost:
    """Start the stand-ins of one fan-out and compare the two paths."""
    plan = lay_out(fan_out, 0, seed, MEDIAN_MS)
    with ProcessGroup(plan.directory / "logs") as processes:
        for number, port in enumerate(plan.control_ports):
            file = str(plan.name_backends_file(number))
            arguments = ("backends", "--file", file, "--control-port", str(port))
            processes.start(f"backends-{number}", "zinnia_standins.main", *arguments)
        for url in plan.backends_urls:
            wait_until(lambda u=url: answers(f"{u}/counts"), "start of the backend servers")
        (shard_map,) = build_shard_maps(plan).values()
        return trio.run(compare_paths, ShardMap.model_validate(shard_map), fan_out)


def lay_out(
    fan_out: int, daemons: int, seed: int, median_ms: float, processes: int = BACKEND_PROCESSES
) -> RunPlan:
    """Plan one run of a fan-out."""
    return plan_run(
        make_directory(f"fan-out-{fan_out}"),
        make_size(fan_out),
        daemons,
        seed,
        median_ms=median_ms,
        backend_processes=processes,
    )


def time_queries(tier: Tier, queries: int) -> list[float]:
    """Return the times of queries that follow each other, in ms."""
    service, times = tier.plan.size.services[0].name, []
    for number in range(queries):
        start = time.monotonic()
        status, answer = tier.query(service, {"number": number}, deadline_ms=5000)
        if status == 200 and not answer["coverage"]["missing"]:
            times.append((time.monotonic() - start) * 1000)
    return times


def measure_spread(fan_out: int, seed: int, daemons: Sequence[int]) -> dict[int, list[float]]:
    """Return the times of a fan-out over each number of daemons, in alternating rounds."""
    found: dict[int, list[float]] = {count: [] for count in daemons}
    processes = SPREAD_BACKEND_PROCESSES
    plans = {n: lay_out(fan_out, n, seed, SHORT_MEDIAN_MS, processes) for n in daemons}
    first, second = daemons
    with Tier(plans[first]) as one, Tier(plans[second]) as four:
        tiers = {first: one, second: four}
        for tier in tiers.values():
            time_queries(tier, WARM_UP_QUERIES)
        for _ in range(ROUNDS):
            for count, tier in tiers.items():
                found[count] += time_queries(tier, QUERIES_PER_ROUND)
    return found


def run_fan_out(seed: int, output: str, spread: bool) -> Path:
    """Measure and write ``fan-out.md`` and ``fan-out.json``; return the Markdown file."""
    costs = [measure_cost(fan_out, seed) for fan_out in FAN_OUTS]
    times = measure_spread(FAN_OUTS[-1], seed, (1, 4)) if spread else {}
    stamp = f"{datetime.now(UTC):%Y-%m-%d %H:%M} UTC"
    lines = ["# Fan-out", "", f"Command: `zinnia-measure fan-out --seed={seed}`; {stamp}.", ""]
    lines += ["Processor time of one process in µs per sub-request: median (range) of "]
    lines += [f"{ROUNDS} alternating rounds of {QUERIES_PER_ROUND} queries.", ""]
    lines += ["| fan-out | product | plain httpcore | added (target at most 25%) |"]
    lines += ["| --- | --- | --- | --- |"]
    for cost in costs:
        added = f"{cost.compute_added():.0%}"
        row = (str(cost.fan_out), show_range(cost.product), show_range(cost.plain), added)
        lines.append("| " + " | ".join(row) + " |")
    for count, found in times.items():
        lines += ["", f"Fan-out {FAN_OUTS[-1]} over {count} daemon(s): {show_range(found)} ms."]
    directory = Path(output)
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / "fan-out.md"
    path.write_text("\n".join([*lines, ""]))
    rows = [{"fan_out": c.fan_out, "product": c.product, "plain": c.plain} for c in costs]
    text = json.dumps({"at": stamp, "seed": seed, "cost": rows, "times_ms": times}, indent=1)
    (directory / "fan-out.json").write_text(text + "\n")
    return path


def show_range(values: Sequence[float]) -> str:
    """Return median and range."""
    return f"{statistics.median(values):.0f} ({min(values):.0f}–{max(values):.0f})"
