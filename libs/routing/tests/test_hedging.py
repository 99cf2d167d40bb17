import heapq
import math
import unittest
from random import Random

import trio
import trio.testing
from fakes import FakeOwners, Harness, answer, make_map

from zinnia_routing.execution import Switches

MEAN_S = 0.005
SLOW_SHARE, SLOWDOWN = 0.02, 20
QUERIES, QUERIES_PER_S = 1000, 100.0
TICK_S = 0.0005  # results are delivered in ticks, because each step of the mock clock is slow


class ScheduledOwners(FakeOwners):
    """Delivers all results from one task, which is faster than one task per result."""

    def __init__(self, draw_delay) -> None:
        self._draw_delay = draw_delay
        self._queue = []
        self._changed = trio.Event()
        self.sent = 0

    def submit(self, batch, deliver):
        now = trio.current_time()
        for item in batch.items:
            self.sent += 1
            due_at = math.ceil((now + self._draw_delay()) / TICK_S) * TICK_S
            entry = (due_at, self.sent, answer(item, batch), deliver)
            heapq.heappush(self._queue, entry)
        self._changed.set()

    def cancel(self, attempt_ids):
        pass

    async def pump(self):
        while True:
            self._changed = trio.Event()
            with trio.move_on_at(self._queue[0][0] if self._queue else float("inf")):
                await self._changed.wait()
            while self._queue and self._queue[0][0] <= trio.current_time():
                _, _, result, deliver = heapq.heappop(self._queue)
                deliver(result)


def draw_exponential(random):
    return random.expovariate(1 / MEAN_S)


def draw_lognormal(random):
    return MEAN_S * math.exp(0.5 * random.gauss(0, 1))


def measure(fan_out, seed, slow_share, replicas=3, draw=draw_exponential, hedging=True):
    """Return p99 in seconds, the share of extra sub-requests, and if coverage was always full."""
    random = Random(seed)
    times, full = [], []

    def draw_delay():
        return draw(random) * (SLOWDOWN if random.random() < slow_share else 1)

    async def main():
        owners = ScheduledOwners(draw_delay)
        harness = Harness(
            None, None, make_map(fan_out, replicas), seed=seed, switches=Switches(hedging=hedging)
        )
        harness.executor.context.sender_for = lambda vm: owners

        async def run_one():
            started = trio.current_time()
            sealed = await harness.executor.run(harness.query(2.0))
            times.append(trio.current_time() - started)
            full.append(sealed.coverage.answered == fan_out)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(owners.pump)
            async with trio.open_nursery() as queries:
                for _ in range(QUERIES):
                    queries.start_soon(run_one)
                    await trio.sleep(random.expovariate(QUERIES_PER_S))
            nursery.cancel_scope.cancel()
        return owners.sent / (QUERIES * fan_out) - 1

    extra = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return sorted(times)[int(0.99 * QUERIES)], extra, all(full)


class HedgingTest(unittest.TestCase):
    def check(self, fan_out, seeds=(1, 2, 3), replicas=3, draw=draw_exponential):
        for seed in seeds:
            with self.subTest(seed=seed):
                clean, _, _ = measure(fan_out, seed, 0.0, replicas, draw)
                p99, extra, full = measure(fan_out, seed, SLOW_SHARE, replicas, draw)
                self.assertLessEqual(p99, 1.5 * clean)
                self.assertLessEqual(extra, 0.05)
                self.assertTrue(full)

    def test_p99_and_load_stay_bounded_with_stragglers_at_fan_out_20(self):
        """Guards against a high p99 if 1 in 50 sub-requests is slow, and against extra load."""
        self.check(20)

    def test_p99_and_load_stay_bounded_with_stragglers_at_fan_out_50(self):
        """Guards against a high p99 if 1 in 50 sub-requests is slow, and against extra load."""
        self.check(50)

    def test_p99_and_load_stay_bounded_with_two_replicas_at_fan_out_50(self):
        """Guards against waiting for a slow hedge because no other replica is left for a second."""
        self.check(50, seeds=(1,), replicas=2)

    def test_p99_and_load_stay_bounded_with_lognormal_times_and_two_replicas(self):
        """Guards against a hedge delay that works only for service times with a long tail."""
        self.check(20, seeds=(1,), replicas=2, draw=draw_lognormal)
