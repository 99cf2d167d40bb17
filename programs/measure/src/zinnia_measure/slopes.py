"""Cost per replica, fact, heartbeat, configuration change, claim, query and sub-request."""

import json
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from datetime import UTC, datetime
from itertools import permutations
from pathlib import Path
from random import Random

import numpy
import trio

from zinnia_backends.connections import ConnectFailedError, Connector
from zinnia_backends.crashes import CrashRegistry
from zinnia_backends.dispatcher import ReplicaDispatcher
from zinnia_claims.claims import Claims
from zinnia_claims.records import CommandResult
from zinnia_facts.table import FactTable
from zinnia_measure import objects
from zinnia_membership.membership import Membership
from zinnia_model.configuration import ConfigDocument
from zinnia_model.ids import IdempotencyKey, VmId
from zinnia_model.messages import Results, SubmitBatch
from zinnia_model.ownership import OwnershipState
from zinnia_model.queries import Query
from zinnia_model.reasons import Outcome
from zinnia_model.shardmaps import ShardMap
from zinnia_peers.codec import MessageRole, decode, encode
from zinnia_peers.facts import make_records, read_records
from zinnia_peers.frames import make_frame
from zinnia_routing.counters import InMemoryCounters
from zinnia_routing.execution import QueryExecutor
from zinnia_standins.platform_core import PlatformCore
from zinnia_standins.platform_store import FakeObjectStore
from zinniarouterd.topology import ReplicaViews

REPEAT_S = 0.25  # processor time spent on each point
IDLE_S = 2.0
SIZES = (50, 200, 800, 3200)
FAN_OUTS = (10, 20, 50, 110)
CLAIMS = (10, 40, 160, 640)


@dataclass(frozen=True, slots=True)
class Slope:
    """A straight line through the points of one quantity; ``fit`` is the R² of the line."""

    name: str
    unit: str
    per: str
    slope: float
    base: float
    fit: float
    points: list[tuple[float, float]]


def fit_line(name: str, unit: str, per: str, points: Sequence[tuple[float, float]]) -> Slope:
    """Return the least-squares line through at least two points."""
    sizes, values = (numpy.array(column, dtype=float) for column in zip(*points, strict=True))
    slope, base = numpy.polyfit(sizes, values, 1)
    rest = float(((values - slope * sizes - base) ** 2).sum())
    spread = float(((values - values.mean()) ** 2).sum())
    fit = 1 - rest / spread if spread else 1.0
    return Slope(name, unit, per, float(slope), float(base), fit, list(points))


def time_call(call: Callable[[], object]) -> float:
    """Return the processor time of one call in µs."""
    call()
    count, start = 0, time.process_time()
    while (spent := time.process_time() - start) < REPEAT_S:
        call()
        count += 1
    return spent / count * 1e6


def weigh(build: Callable[[], object]) -> int:
    """Return the bytes that an object holds, as the allocator counted them."""
    build()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        held = build()
        after = tracemalloc.get_traced_memory()[0]
        del held
    finally:
        tracemalloc.stop()
    return after - before


class ClosedConnector(Connector):
    """Refuses every connection; an idle owner opens none."""

    async def connect(self, address):
        """Refuse."""
        raise ConnectFailedError(address, True)


def make_dispatcher(replicas: int) -> ReplicaDispatcher:
    """Return the dispatcher of an owner of this many replicas, with their facts."""
    facts = FactTable()
    config = objects.make_service()
    dispatcher = ReplicaDispatcher(
        lambda service: config,
        lambda replica: OwnershipState.OWNER,
        lambda record: None,
        facts,
        lambda fact: None,
        CrashRegistry(facts, lambda fact: None, VmId("vm-1")),
        objects.SilentObserver(),
        ClosedConnector(),
        VmId("vm-1"),
        Random(1),
    )
    records = [objects.make_replica(number) for number in range(replicas)]
    dispatcher.set_replicas(objects.SERVICE, records)
    return dispatcher


async def measure_idle(replicas: int) -> float:
    """Return the processor time of an idle owner in µs a second."""
    async with trio.open_nursery() as nursery:
        dispatcher = make_dispatcher(replicas)
        await nursery.start(dispatcher.run)
        await trio.sleep(0.5)
        start, wall = time.process_time(), time.monotonic()
        await trio.sleep(IDLE_S)
        used = (time.process_time() - start) / (time.monotonic() - wall)
        nursery.cancel_scope.cancel()
    return used * 1e6


async def weigh_dispatcher(replicas: int) -> int:
    """Return the bytes of an owner of this many replicas."""
    return weigh(lambda: make_dispatcher(replicas))


def measure_replicas() -> list[Slope]:
    """Measure what an owned replica costs its owner."""
    memory = [(n, trio.run(weigh_dispatcher, n)) for n in SIZES]
    idle = [(n, trio.run(measure_idle, n)) for n in SIZES]
    return [
        fit_line("owned replica, memory", "B", "replica", memory),
        fit_line("owned replica, idle upkeep", "µs/s", "replica", idle),
    ]


def weigh_views(count: int) -> int:
    """Return the bytes of the facts of replicas and of the planner's views of them."""

    def build():
        table = FactTable()
        views = ReplicaViews(table)
        table.merge([objects.make_fact(number) for number in range(count)], 0.0)
        views.get(objects.make_replica(0).id, 1.0)
        return table, views

    return weigh(build)


def measure_view_update(count: int) -> float:
    """Return the processor time in µs until a planner has read one changed fact of many."""
    table = FactTable()
    views = ReplicaViews(table)
    table.merge([objects.make_fact(number) for number in range(count)], 0.0)
    replica = objects.make_replica(0).id
    versions = iter(range(1_700_000_000_001, 1_800_000_000_000))

    def change():
        table.put(objects.make_fact(0, next(versions)), 0.5)
        views.get(replica, 1.0)

    return time_call(change)


def measure_facts() -> list[Slope]:
    """Measure memory, transport and reading of facts."""
    heartbeat = Membership(VmId("vm-1"), "0123456789ab", 0.0)
    heartbeat.adopt_members(objects.make_members(8), 0.0)
    frame_bytes, carry = [], []
    for count in SIZES:
        facts = [objects.make_fact(number) for number in range(count)]

        def send(facts=facts):
            records = make_records(facts)
            message = heartbeat.make_heartbeat(VmId("vm-2"), 1.0, records)
            return make_frame(encode(message, MessageRole.CALL, 1))

        def carry_over(send=send):
            received = decode(send()[4:]).message
            FactTable().merge(read_records(received.facts), 1.0)

        frame_bytes.append((count, len(send())))
        carry.append((count, time_call(carry_over)))
    return [
        fit_line("fact, memory with the view", "B", "fact", [(n, weigh_views(n)) for n in SIZES]),
        fit_line("fact on a heartbeat, bytes", "B", "fact", frame_bytes),
        fit_line("fact on a heartbeat, both sides", "µs", "fact", carry),
        fit_line(
            "one changed fact, read by the planner",
            "µs",
            "fact in the table",
            [(n, measure_view_update(n)) for n in SIZES],
        ),
    ]


def measure_heartbeats() -> list[Slope]:
    """Measure one interval of a member: its heartbeats, and its replies to those of its peers."""
    cost, traffic = [], []
    for count in (2, 4, 6, 8):
        members = objects.make_members(count)
        nodes = [Membership(VmId(f"vm-{n}"), "0123456789ab", 0.0) for n in range(count)]
        for node in nodes:
            node.adopt_members(members, 0.0)
        clock = iter(range(10, 10_000_000))
        sent = [0]

        def beat(nodes=nodes, clock=clock, sent=sent):
            now, sent[0] = next(clock) * 0.2, 0
            for node, peer in permutations(nodes, 2):
                frame = encode(node.make_heartbeat(peer.vm, now), MessageRole.CALL, 1)
                reply = peer.receive_heartbeat(decode(frame).message, now)
                answer = encode(reply, MessageRole.REPLY, 1)
                node.receive_reply(decode(answer).message, now)
                sent[0] += len(frame) + len(answer) + 8

        cost.append((count - 1, time_call(beat) / count))
        traffic.append((count - 1, sent[0] / count))
    return [
        fit_line("heartbeat and reply, both sides", "µs", "peer", cost),
        fit_line("heartbeat and reply, bytes", "B", "peer", traffic),
    ]


def measure_configuration() -> list[Slope]:
    """Measure the document by its services and the map by its replicas."""
    sizes, reads, maps, map_reads = [], [], [], []
    held = [(n, weigh(lambda n=n: objects.make_document(n))) for n in SIZES]
    maps_held = [(n, weigh(lambda n=n: objects.make_map(n // 2))) for n in SIZES]
    for count in SIZES:
        text = objects.make_document(count).model_dump_json()
        sizes.append((count, len(text)))
        reads.append((count, time_call(lambda t=text: ConfigDocument.model_validate_json(t))))
        shard_map = objects.make_map(count // 2)
        map_text = shard_map.model_dump_json()
        maps.append((count, len(map_text)))
        map_reads.append((count, time_call(lambda t=map_text: ShardMap.model_validate_json(t))))
    return [
        fit_line("configuration document, bytes", "B", "service", sizes),
        fit_line("configuration document, read and check", "µs", "service", reads),
        fit_line("configuration document, memory", "B", "service", held),
        fit_line("shard map, memory", "B", "replica", maps_held),
        fit_line("shard map, bytes", "B", "replica", maps),
        fit_line("shard map, read and check", "µs", "replica", map_reads),
    ]


async def count_claims(claims: int) -> tuple[float, float]:
    """Return platform calls and processor time in µs of this many commands."""
    core = PlatformCore()
    holder = Claims(FakeObjectStore(core), VmId("vm-1"), refuse_to_ask, time.time)

    async def send(attempt_id):
        return CommandResult(Outcome.ANSWERED, body=objects.ANSWER, shard="017", snapshot="s1")

    async with trio.open_nursery() as nursery:
        await nursery.start(holder.run)
        start = time.process_time()
        deadline_at = trio.current_time() + 60
        for number in range(claims):
            key = IdempotencyKey(f"key-{number}")
            await holder.run_once(objects.SERVICE, key, f"{number:032x}", deadline_at, send)
        await holder.flush(deadline_at)
        used = time.process_time() - start
        nursery.cancel_scope.cancel()
    return float(sum(core.counts.values())), used * 1e6


async def refuse_to_ask(*_):
    """No other VM holds a claim here."""
    raise AssertionError("no claim is contested in this measurement")


def measure_claims() -> list[Slope]:
    """Measure commands that each use a new key."""
    rows = [(count, *trio.run(count_claims, count)) for count in CLAIMS]
    return [
        fit_line("claim, platform calls", "calls", "command", [(n, c) for n, c, _ in rows]),
        fit_line("claim, processor time", "µs", "command", [(n, t) for n, _, t in rows]),
    ]


async def time_queries(fan_out: int) -> float:
    """Return the processor time in µs to plan, merge and seal one query."""
    sender = objects.InstantSender()
    executor = QueryExecutor(
        objects.StaticTopology(objects.make_map(fan_out)),
        lambda vm: sender,
        VmId("vm-1"),
        InMemoryCounters(),
        Random(1),
        lambda fingerprint: None,
        lambda fingerprint: False,
    )
    count, start = 0, time.process_time()
    while (spent := time.process_time() - start) < 2 * REPEAT_S:
        deadline_at = trio.current_time() + 1
        query = Query("q", objects.SERVICE, "search", objects.BODY, deadline_at, True, "0" * 32)
        await executor.run(query)
        count += 1
    return spent / count * 1e6


def measure_queries() -> list[Slope]:
    """Measure planning and the way of sub-requests between daemons."""
    plan = [(n, trio.run(time_queries, n)) for n in FAN_OUTS]
    sizes, cost = [], []
    for count in FAN_OUTS:
        batch = objects.make_batch(count)
        results = Results(tuple(objects.make_result(item) for item in batch.items))

        def forward(batch=batch, results=results):
            there = encode(SubmitBatch(batch), MessageRole.ONEWAY, 1)
            back = encode(results, MessageRole.ONEWAY, 1)
            decode(there), decode(back)
            return len(there) + len(back) + 8

        sizes.append((count, forward()))
        cost.append((count, time_call(forward)))
    return [
        fit_line("query planned, merged and sealed", "µs", "sub-request", plan),
        fit_line("sub-request forwarded and answered, bytes", "B", "sub-request", sizes),
        fit_line("sub-request forwarded and answered, codec", "µs", "sub-request", cost),
    ]


def run_slopes(output: str) -> Path:
    """Measure all slopes; write ``slopes.md`` and ``slopes.json``."""
    parts = (
        measure_replicas,
        measure_facts,
        measure_heartbeats,
        measure_configuration,
        measure_claims,
        measure_queries,
    )
    found = [slope for part in parts for slope in part()]
    stamp = f"{datetime.now(UTC):%Y-%m-%d %H:%M} UTC, Python {sys.version.split()[0]}"
    lines = ["# Slopes", "", f"Command: `zinnia-measure slopes`; {stamp}.", ""]
    lines += ["Each line is a least-squares fit through four sizes (size: value).", ""]
    lines += ["| quantity | slope | base | R² | points |", "| --- | --- | --- | --- | --- |"]
    for slope in found:
        points = ", ".join(f"{size:g}: {value:.4g}" for size, value in slope.points)
        per = f"{slope.slope:.4g} {slope.unit} per {slope.per}"
        lines.append(f"| {slope.name} | {per} | {slope.base:.4g} | {slope.fit:.4f} | {points} |")
    directory = Path(output)
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / "slopes.md"
    path.write_text("\n".join([*lines, ""]))
    rows = {"at": stamp, "slopes": [asdict(slope) for slope in found]}
    (directory / "slopes.json").write_text(json.dumps(rows, indent=1) + "\n")
    return path
