import unittest
from random import Random

from zinnia_model.reasons import Reason
from zinnia_routing.budget import BURST_TOKENS, RetryBudget
from zinnia_routing.latency import MIN_SAMPLES, LatencyEstimate


class LatencyEstimateTest(unittest.TestCase):
    def test_quantiles_are_accurate_and_follow_a_change_of_latency(self):
        """Guards against hedging too early or too late, also after a service becomes faster."""
        random, estimate = Random(1), LatencyEstimate()
        for mean_s in (0.1, 0.01):
            for _ in range(40_000):
                estimate.record(random.expovariate(1 / mean_s))
            self.assertAlmostEqual(1, estimate.quantiles.p50 / (0.693 * mean_s), delta=0.1)
            self.assertAlmostEqual(1, estimate.quantiles.p97 / (3.219 * mean_s), delta=0.15)

    def test_no_estimate_before_enough_samples(self):
        """Guards against a burst of hedges that is based on a few samples."""
        estimate = LatencyEstimate()
        for _ in range(MIN_SAMPLES - 1):
            estimate.record(0.01)
        self.assertIsNone(estimate.quantiles)


class RetryBudgetTest(unittest.TestCase):
    def test_granted_tokens_stay_within_5_percent_and_the_burst(self):
        """Guards against hedges and retries that double the load when all replicas are slow."""
        budget = RetryBudget()
        granted = 0
        for _ in range(1000):
            budget.earn_tokens(20)
            granted += sum(budget.take_token(Reason.STRAGGLER) for _ in range(20))
        self.assertLessEqual(granted, 0.05 * 20_000 + BURST_TOKENS)
        self.assertEqual(20_000, granted + budget.denied[Reason.STRAGGLER])
