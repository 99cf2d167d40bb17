"""Open-loop load on the callers' interface, with latency from the intended send time."""

import json
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

import httpcore
import trio
from hdrh.histogram import HdrHistogram

LOWEST_US, HIGHEST_US, DIGITS = 1, 60_000_000, 3
READY_POLL_S = 0.1
CALLER_MARGIN_S = 2.0
IN_FLIGHT_LIMIT = 4000  # bounds the sockets of an overloaded run


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """What to send: arrivals are Poisson with ``rate`` queries a second for ``duration_s``."""

    service: str
    rate: float
    duration_s: float
    deadline_ms: int
    seed: int
    routes: tuple[str, ...] = ("search",)


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


@dataclass(slots=True)
class LoadResult:
    """What the callers saw; ``latency`` holds answered queries only, in microseconds."""

    latency: HdrHistogram = field(default_factory=make_histogram)
    sent: int = 0
    answered: int = 0
    whole_in_time: int = 0
    shards_asked: int = 0
    shards_answered: int = 0
    refusals: Counter[str] = field(default_factory=Counter)
    elapsed_s: float = 0.0
    late_sends: int = 0


def plan_arrivals(plan: LoadPlan) -> list[float]:
    """Return the intended send times in seconds from the start."""
    random, at, times = Random(plan.seed), 0.0, []
    while (at := at + random.expovariate(plan.rate)) < plan.duration_s:
        times.append(at)
    return times


class Balancer:
    """Spreads queries over the daemons that report ready, as the platform's balancer does."""

    def __init__(self, addresses: Sequence[str]) -> None:
        self._pools = {a: httpcore.AsyncConnectionPool(max_connections=None) for a in addresses}
        self._ready = list(addresses)
        self._turn = 0

    def pick(self) -> str:
        """Return the next ready daemon."""
        self._turn += 1
        ready = self._ready or list(self._pools)
        return ready[self._turn % len(ready)]

    async def post(self, address: str, value: dict, timeout_s: float) -> tuple[int, dict]:
        """Send one query."""
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)
        response = await self._pools[address].request(
            "POST",
            f"http://{address}/v1/query",
            content=json.dumps(value).encode(),
            extensions={"timeout": timeout},
        )
        return response.status, json.loads(response.content)

    async def follow_readiness(self) -> None:
        """Ask every daemon whether it is ready, until cancelled."""
        while True:
            ready = []
            for address in self._pools:
                if await self._is_ready(address):
                    ready.append(address)
            self._ready = ready
            await trio.sleep(READY_POLL_S)

    async def _is_ready(self, address: str) -> bool:
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), 1.0)
        try:
            response = await self._pools[address].request(
                "GET", f"http://{address}/readyz", extensions={"timeout": timeout}
            )
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            return False
        return response.status == 200

    async def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            await pool.aclose()


class LoadRun:
    """Sends the arrivals of one plan without waiting for earlier answers."""

    def __init__(self, plan: LoadPlan, balancer: Balancer) -> None:
        self._plan = plan
        self._balancer = balancer
        self._in_flight = 0
        self.result = LoadResult()

    async def run(self) -> LoadResult:
        """Send everything and wait for the last answer."""
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number, at in enumerate(plan_arrivals(self._plan)):
                await trio.sleep_until(start + at)
                self.result.sent += 1
                if self._in_flight >= IN_FLIGHT_LIMIT:
                    self.result.refusals["not_sent"] += 1
                    continue
                nursery.start_soon(self._send, number, start + at)
        self.result.elapsed_s = self._plan.duration_s
        return self.result

    async def _send(self, number: int, intended_at: float) -> None:
        plan, result = self._plan, self.result
        route = plan.routes[number % len(plan.routes)]
        value = {
            "service": plan.service,
            "route": route,
            "deadline_ms": plan.deadline_ms,
            "body": {"seed": plan.seed, "number": number},
        }
        self._in_flight += 1
        try:
            timeout_s = plan.deadline_ms / 1000 + CALLER_MARGIN_S
            status, answer = await self._balancer.post(self._balancer.pick(), value, timeout_s)
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            result.refusals[f"caller_{type(error).__name__}"] += 1
            return
        finally:
            self._in_flight -= 1
        if status != 200:
            result.refusals[answer.get("reason", str(status))] += 1
            return
        latency_s = trio.current_time() - intended_at
        self._count_answer(answer["coverage"], latency_s)

    def _count_answer(self, coverage: dict, latency_s: float) -> None:
        result = self.result
        result.latency.record_value(max(LOWEST_US, int(latency_s * 1e6)))
        result.answered += 1
        result.shards_asked += coverage["asked"]
        result.shards_answered += coverage["answered"]
        whole = not coverage["missing"]
        result.whole_in_time += whole and latency_s <= self._plan.deadline_ms / 1000


async def run_load(plan: LoadPlan, addresses: Sequence[str], events=()) -> LoadResult:
    """Run one plan against all daemons.

    Parameters
    ----------
    events : sequence of (float, callable)
        Calls to make in a thread at these seconds from the start.
    """
    balancer = Balancer(addresses)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(balancer.follow_readiness)
        load = LoadRun(plan, balancer)
        async with trio.open_nursery() as events_nursery:
            for at_s, call in events:
                events_nursery.start_soon(_call_later, at_s, call)
            await load.run()
        nursery.cancel_scope.cancel()
    with trio.CancelScope(shield=True):
        await balancer.close()
    return load.result


async def _call_later(at_s: float, call) -> None:
    await trio.sleep(at_s)
    await trio.to_thread.run_sync(call)
