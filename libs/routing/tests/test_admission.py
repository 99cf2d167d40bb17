import heapq
import unittest
from random import Random

from zinnia_routing.admission import MIN_LIMIT_QUERIES, AdmissionLimit

SLOTS, SERVICE_S, DEADLINE_S = 8, 0.02, 0.2  # capacity of 400 queries per second


def measure_goodput(offered: float, seed: int, seconds: float = 60.0) -> float:
    """Return the met deadlines per second of a FIFO server that also runs expired queries."""
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
            limit.release(epoch, left / DEADLINE_S)
        return met

    while now < seconds:
        now += random.expovariate(offered)
        good += settle(now)
        epoch = limit.acquire()
        if epoch is None:
            continue
        begin = max(now, heapq.heappop(free_at))
        done = begin + SERVICE_S * random.uniform(0.5, 1.5)
        heapq.heappush(free_at, done)
        heapq.heappush(finishing, (done, now, epoch))
    return good / seconds


class AdmissionLimitTest(unittest.TestCase):
    def test_goodput_does_not_fall_when_offered_load_doubles(self):
        """Guards against overload queues so long that the server runs only expired queries."""
        capacity = SLOTS / SERVICE_S
        for seed in (1, 2, 3):
            once = measure_goodput(capacity, seed)
            twice = measure_goodput(2 * capacity, seed)
            self.assertGreaterEqual(twice, once, f"seed {seed}")

    def test_limit_stays_above_zero_and_grows_again_after_missed_deadlines(self):
        """Guards against refusing queries forever after an overload lowered the limit."""
        limit = AdmissionLimit(5)
        for _ in range(200):
            limit.release(limit.acquire(), 0.0)
        self.assertEqual(MIN_LIMIT_QUERIES, limit.limit)
        for _ in range(200):
            epochs = [limit.acquire() for _ in range(int(limit.limit))]
            for epoch in epochs:
                limit.release(epoch, 0.5)
        self.assertGreater(limit.limit, MIN_LIMIT_QUERIES)
