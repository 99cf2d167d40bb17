import unittest

from zinnia_measure.deployment import pick_ports


class PickPortsTest(unittest.TestCase):
    def test_two_runs_get_different_ports(self):
        """Guards against two runs that start at the same time and listen on one port."""
        first, second = pick_ports(300), pick_ports(300)
        self.assertEqual(300, len(set(first)))
        self.assertEqual(set(), set(first) & set(second))

    def test_ports_lie_below_those_of_outgoing_connections(self):
        """Guards against a connection that takes a port before its process listens on it."""
        self.assertLess(max(pick_ports(600)), 32_768)
