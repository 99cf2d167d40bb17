import unittest

import trio
import trio.testing
from fakes import Harness, answer

from zinnia_routing.baselines import RandomChoice, RoundRobinChoice


class BaselineTest(unittest.TestCase):
    def run_query(self, choice):
        """Run a query whose first four attempts take 0.9 s; return the harness and the seconds."""

        async def main():
            async with trio.open_nursery() as nursery:
                harness = Harness(
                    nursery,
                    lambda item, batch: (
                        0.9 if len(harness.owners.items) <= 4 else 0.01,
                        answer(item, batch),
                    ),
                    choice=choice,
                )
                harness.warm_up()
                started = trio.current_time()
                sealed = await harness.executor.run(harness.query())
                self.assertEqual(4, sealed.coverage.answered)
                took_s = trio.current_time() - started
                nursery.cancel_scope.cancel()
            return harness, took_s

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_round_robin_cancels_and_resends_once_after_the_timeout(self):
        """Guards against a baseline that sends more or less often than documented."""
        harness, took_s = self.run_query(RoundRobinChoice(0.05))
        self.assertAlmostEqual(0.06, took_s, delta=0.001)
        self.assertEqual((8, 4), (len(harness.owners.items), len(harness.owners.cancelled)))

    def test_random_choice_never_hedges(self):
        """Guards against hedges that would distort measurements of the baseline."""
        harness, took_s = self.run_query(RandomChoice())
        self.assertAlmostEqual(0.9, took_s, delta=0.001)
        self.assertEqual(4, len(harness.owners.items))
