"""Processor time of the entry process for one sub-request of a fan-out."""

import gc
import statistics
import subprocess
import sys
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from math import inf
from random import Random

import trio

from zinnia_catalog.ids import (
    DataCentreId,
    Fingerprint,
    ReplicaId,
    RouteName,
    ServiceName,
    VersionId,
)
from zinnia_catalog.replicas import ReplicaEntry
from zinnia_catalog.routes import (
    CallerLimits,
    Configuration,
    Repeatability,
    Route,
    ServiceLimits,
)
from zinnia_measure import constant_server
from zinnia_sending.answers import AnswerFacts
from zinnia_sending.attempts import RunRequest
from zinnia_sending.budgets import RetryBounds, RetryBudget
from zinnia_sending.counters import NullCounters
from zinnia_sending.dispatcher import Dispatcher
from zinnia_sending.events import NullSink
from zinnia_sending.fleet import Fleet
from zinnia_sending.latency import LatencyHistogram
from zinnia_sending.outcomes import RunVerdict
from zinnia_sending.protocol import PreparedRequest, ReplicaProtocol
from zinnia_sending.runs import RequestRun

FAN_OUTS = (20, 50, 110, 135)
REPLICAS_PER_SHARD = 3
WARM_UP_REQUESTS = 30
REQUESTS_PER_ROUND = 20
ROUNDS = 8
LIMIT_S = 5.0
SERVER_END_S = 5.0
DATA_CENTRE = DataCentreId("dc1")
HEAD = b"GET /search/4711 HTTP/1.1\r\nhost: example\r\nx-request-id: 0123456789abcdef\r\n"


class PlainRequest(PreparedRequest):
    """A request of the size that callers send."""

    request_id = b"0123456789abcdef"
    is_head = False
    fingerprint = Fingerprint("0123456789abcdef")

    def render(self, replica: ReplicaId, remaining_s: float) -> bytes:
        """Return the bytes of the request."""
        return b"%sx-deadline-ms: %d\r\nx-expected: %s\r\n\r\n" % (
            HEAD,
            int(remaining_s * 1000),
            replica.encode(),
        )

    def pack(self) -> bytes:
        """Return nothing; requests stay on this VM."""
        return b""


class PlainProtocol(ReplicaProtocol):
    """Reads the headers that the constant server sends."""

    def read_facts(self, status: int, headers: Sequence[tuple[bytes, bytes]]) -> AnswerFacts:
        """Return request id and signature."""
        found = dict(headers)
        signature = found.get(b"x-signature", b"")
        return AnswerFacts(found.get(b"x-request-id", b""), signature, False, False, False)

    def unpack(self, data: bytes) -> PreparedRequest:
        """Return a request; none is ever packed."""
        return PlainRequest()


@dataclass(frozen=True, slots=True)
class EntryCost:
    """Processor time per sub-request in µs, and time of a whole request in ms; medians."""

    fan_out: int
    per_sub_request_us: float
    per_request_ms: float


@contextmanager
def run_constant_server() -> Iterator[int]:
    """Run the constant server and yield its port."""
    command = [sys.executable, "-m", constant_server.__name__]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as server:
        try:
            yield int(server.stdout.readline())
        finally:
            server.terminate()
            server.wait(SERVER_END_S)


class EntryFanOut:
    """One fleet of replicas, all at the address of the constant server."""

    def __init__(self, nursery: trio.Nursery, fan_out: int, port: int) -> None:
        names = [ServiceName(f"shard-{number}") for number in range(fan_out)]
        self._names = tuple(names)
        self._fleet = Fleet(DATA_CENTRE, lambda: 1, NullSink(), Random(1))
        limits = {name: ServiceLimits(name, 60, 3.0, 0.0) for name in names}
        self._fleet.adopt_configuration(Configuration(1, (), limits, CallerLimits()))
        for name in names:
            for number in range(REPLICAS_PER_SHARD):
                self._fleet.update_replica(make_entry(name, number, port))
        self._route = Route(
            RouteName("search"),
            "example",
            "/",
            Repeatability.IDEMPOTENT,
            LIMIT_S,
            LIMIT_S,
            0,
            2,
            (),
            self._names,
            10,
            0.95,
        )
        self._latency = LatencyHistogram(LIMIT_S)
        self._budget = RetryBudget(RetryBounds(0.2, 50.0, 10.0), lambda service: 1.0, -inf)
        self._sender = Dispatcher(nursery, self._fleet, PlainProtocol(), NullCounters(), NullSink())

    async def send(self) -> None:
        """Run one request over all shards."""
        now = trio.current_time()
        request = RunRequest(
            "0123456789abcdef",
            self._route,
            self._names,
            True,
            PlainRequest(),
            now,
            now + LIMIT_S,
            now + LIMIT_S,
            self._latency,
        )
        outcome = await RequestRun(request, self._fleet, self._budget, self._sender).run()
        if outcome.verdict is not RunVerdict.COMPLETE:
            raise RuntimeError(f"a request ended as {outcome.verdict.value}: {outcome.trace[-1:]}")


def make_entry(service: ServiceName, number: int, port: int) -> ReplicaEntry:
    """Return the entry of one replica; the first is in this data centre."""
    return ReplicaEntry(
        id=ReplicaId(f"{service}-{number}"),
        service=service,
        host="127.0.0.1",
        port=port,
        data_centre=DataCentreId(f"dc{number + 1}"),
        version=VersionId("v1"),
        slots=2,
        is_draining=False,
        warmup_remaining_s=0.0,
        started_ms=1,
    )


async def measure(fan_out: int, port: int, rounds: int = ROUNDS) -> EntryCost:
    """Return what a fan-out costs; requests run one after the other."""
    costs, times = [], []
    async with trio.open_nursery() as nursery:
        runner = EntryFanOut(nursery, fan_out, port)
        for _ in range(WARM_UP_REQUESTS):
            await runner.send()
        for _ in range(rounds):
            gc.collect()
            started, started_cpu = time.perf_counter(), time.process_time()
            for _ in range(REQUESTS_PER_ROUND):
                await runner.send()
            used_s = time.process_time() - started_cpu
            costs.append(used_s / REQUESTS_PER_ROUND / fan_out * 1e6)
            times.append((time.perf_counter() - started) / REQUESTS_PER_ROUND * 1e3)
        nursery.cancel_scope.cancel()
    return EntryCost(fan_out, statistics.median(costs), statistics.median(times))


def run_entry_cost(fan_outs: Sequence[int] = FAN_OUTS) -> list[EntryCost]:
    """Measure each fan-out in turn."""
    with run_constant_server() as port:
        return [trio.run(measure, fan_out, port) for fan_out in fan_outs]
