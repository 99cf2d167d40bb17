import unittest

from zinnia_catalog.observations import OBSERVATION_TTL_S, Observation, ObservationTable


class ObservationTableTest(unittest.TestCase):
    def setUp(self):
        self.now = 10.0
        self.table = ObservationTable(lambda: self.now)

    def test_newer_observation_replaces_an_older_one(self):
        """Guards against a delayed old observation that replaces a newer one."""
        self.table.merge([Observation("r", 8.0, 0.5)])
        self.assertEqual([], self.table.merge([Observation("r", 2.0, 1.0)]))
        self.assertEqual(1, len(self.table.merge([Observation("r", 3.0, 0.1)])))
        self.assertEqual(3.0, self.table.list_fresh()[0].slowness)

    def test_observation_keeps_its_age_when_exchanged(self):
        """Guards against an observation that never expires because VMs pass it back and forth."""
        self.table.merge([Observation("r", 8.0, 0.0)])
        self.now += OBSERVATION_TTL_S / 2
        sent = self.table.list_fresh()
        self.assertAlmostEqual(OBSERVATION_TTL_S / 2, sent[0].age_s)
        self.assertEqual([], self.table.merge(sent))
        self.now += OBSERVATION_TTL_S
        self.assertEqual([], self.table.list_fresh())
