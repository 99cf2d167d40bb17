import unittest

from zinnia_measure.delegation_cost import measure_delegation


class DelegationCostTest(unittest.TestCase):
    def test_cost_of_one_part_is_measured(self):
        """Guards against a slope of the capacity page that nobody can repeat."""
        cost = measure_delegation(45, repetitions=5)
        self.assertEqual(45, cost.shards)
        self.assertGreater(cost.sent_bytes, 45 * len("shard-0"))
        self.assertGreater(cost.received_bytes, 45 * 30)
        self.assertGreater(cost.runner_us, 0.0)
