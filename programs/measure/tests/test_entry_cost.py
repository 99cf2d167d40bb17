import unittest

import trio

from zinnia_measure.entry_cost import measure, run_constant_server


class EntryCostTest(unittest.TestCase):
    def test_every_sub_request_of_a_measured_fan_out_is_answered(self):
        """Guards against a cost that is low because requests were refused or left parts out."""
        with run_constant_server() as port:
            cost = trio.run(measure, 6, port, 1)
        self.assertEqual(6, cost.fan_out)
        self.assertGreater(cost.per_sub_request_us, 0)
