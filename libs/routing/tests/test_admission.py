import heapq
import unittest
from random import Random

from zinnia_routing.admission import LOWEST_LIMIT, AdmissionLimit

SLOTS, SERVICE_S, DEADLINE_S = 8, 0.02, 0.2  # 400 queries a second


def measure_goodput(offered: float, seed: int, seconds: float = 60.0) -> float:
    """Return met deadlines per second of a FIFO server that wastes its time on late queries."""
    random, limit = Random(seed), AdmissionLimit()
    free_at = [0.0] * SLOTS
    finishing: list[tuple[float, float, int]] = []
    now, good = 0.0, 0

    def settle(until: float) -> int:
        met = 0
        while finishing and finishing[0][0] <= until:
            done, started, epoch = heapq.heappop(finishing)
            left = max(0.0, started + DEADLINE_S - done)
            met += left > 0
            limit.leave(epoch, left / DEADLINE_S)
        return met

    while now < seconds:
        now += random.expovariate(offered)
        good += settle(now)
        epoch = limit.enter()
        if epoch is None:
            continue
        begin = max(now, heapq.heappop(free_at))
        done = begin + SERVICE_S * random.uniform(0.5, 1.5)
        heapq.heappush(free_at, done)
        heapq.heappush(finishing, (done, now, epoch))
    return good / seconds


class AdmissionLimitTest(unittest.TestCase):
    def test_goodput_does_not_fall_when_offered_load_doubles(self):
        """Guards against queues so long that the server only works on late queries."""
        capacity = SLOTS / SERVICE_S
        for seed in (1, 2, 3):
            once = measure_goodput(capacity, seed)
            twice = measure_goodput(2 * capacity, seed)
            self.assertGreaterEqual(twice, once, f"seed {seed}")

    def test_limit_recovers_after_misses_and_never_reaches_zero(self):
        """Guards against a service that stays shut after an overload."""
        limit = AdmissionLimit(5)
        for _ in range(200):
            limit.leave(limit.enter(), 0.0)
        self.assertEqual(LOWEST_LIMIT, limit.limit)
        for _ in range(200):
            epochs = [limit.enter() for _ in range(int(limit.limit))]
            for epoch in epochs:
                limit.leave(epoch, 0.5)
        self.assertGreater(limit.limit, LOWEST_LIMIT)
