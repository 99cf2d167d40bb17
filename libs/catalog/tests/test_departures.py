import unittest

from zinnia_catalog.departures import MAX_DEPARTURES, TOLD_S, Departure, DepartureTable
from zinnia_catalog.replicas import ReplicaEntry


def make_entry(replica, started_ms):
    return ReplicaEntry(replica, "s", "127.0.0.1", 1, "dc1", "v1", 2, False, 0.0, started_ms)


class DepartureTableTest(unittest.TestCase):
    def setUp(self):
        self.table = DepartureTable()
        self.table.add("i-1", 5, 100.0)

    def test_replica_that_starts_again_under_its_id_is_not_leaving(self):
        """Guards against a restarted replica that gets nothing."""
        self.assertTrue(self.table.has(make_entry("i-1", 5)))
        self.assertFalse(self.table.has(make_entry("i-1", 6)))
        self.assertFalse(self.table.has(make_entry("i-2", 5)))

    def test_departure_is_told_for_a_time_and_remembered_for_longer(self):
        """Guards against a replica that is used again once its departure is old."""
        self.assertEqual([Departure("i-1", 5, 10.0)], self.table.list_recent(110.0))
        self.assertEqual([], self.table.list_recent(100.1 + TOLD_S))
        self.assertTrue(self.table.has(make_entry("i-1", 5)))

    def test_departure_keeps_its_age_when_it_is_passed_on(self):
        """Guards against VMs that tell each other of a departure for ever."""
        other = DepartureTable()
        told = self.table.list_recent(120.0)
        self.assertEqual(told, other.merge(told, 220.0))
        self.assertEqual([], other.merge(told, 225.0))
        self.assertEqual([], other.list_recent(200.1 + TOLD_S))

    def test_memory_is_bounded(self):
        """Load pattern: replicas are replaced for weeks while a VM runs."""
        for number in range(MAX_DEPARTURES + 10):
            self.table.add(f"r-{number}", 1, 200.0)
        self.assertFalse(self.table.has(make_entry("i-1", 5)))
        self.assertTrue(self.table.has(make_entry(f"r-{MAX_DEPARTURES + 9}", 1)))
