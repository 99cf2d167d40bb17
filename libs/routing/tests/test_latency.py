import unittest
from random import Random

from zinnia_model.reasons import Reason
from zinnia_routing.budget import BURST, ExtraBudget
from zinnia_routing.latency import WARM_UP_SAMPLES, LatencyEstimate


class LatencyEstimateTest(unittest.TestCase):
    def test_quantiles_are_near_the_true_ones_and_follow_a_change(self):
        """Guards against hedges at a wrong age, also after a service becomes faster."""
        random, estimate = Random(1), LatencyEstimate()
        for mean_s in (0.1, 0.01):
            for _ in range(40_000):
                estimate.record(random.expovariate(1 / mean_s))
            self.assertAlmostEqual(1, estimate.quantiles.p50 / (0.693 * mean_s), delta=0.1)
            self.assertAlmostEqual(1, estimate.quantiles.p97 / (3.219 * mean_s), delta=0.15)

    def test_no_estimate_before_enough_samples(self):
        """Guards against a burst of hedges on the strength of a few samples."""
        estimate = LatencyEstimate()
        for _ in range(WARM_UP_SAMPLES - 1):
            estimate.record(0.01)
        self.assertIsNone(estimate.quantiles)


class ExtraBudgetTest(unittest.TestCase):
    def test_extra_load_stays_under_the_bound(self):
        """Guards against hedges and retries that double the load when everything is slow."""
        budget = ExtraBudget()
        granted = 0
        for _ in range(1000):
            budget.earn(20)
            granted += sum(budget.take(Reason.STRAGGLER) for _ in range(20))
        self.assertLessEqual(granted, 0.05 * 20_000 + BURST)
        self.assertEqual(20_000, granted + budget.denied[Reason.STRAGGLER])
