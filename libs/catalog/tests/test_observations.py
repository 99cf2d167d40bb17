import unittest

from zinnia_catalog.observations import OBSERVATION_S, Observation, ObservationBoard


class ObservationBoardTest(unittest.TestCase):
    def setUp(self):
        self.now = 10.0
        self.board = ObservationBoard(lambda: self.now)

    def test_newer_observation_replaces_an_older_one(self):
        """Guards against an old verdict that comes late and counts again."""
        self.board.merge([Observation("r", 8.0, 0.5)])
        self.assertEqual([], self.board.merge([Observation("r", 2.0, 1.0)]))
        self.assertEqual(1, len(self.board.merge([Observation("r", 3.0, 0.1)])))
        self.assertEqual(3.0, self.board.list_fresh()[0].slowness)

    def test_observation_ages_on_its_way(self):
        """Guards against an observation that VMs keep alive by telling it to each other."""
        self.board.merge([Observation("r", 8.0, 0.0)])
        self.now += OBSERVATION_S / 2
        told = self.board.list_fresh()
        self.assertAlmostEqual(OBSERVATION_S / 2, told[0].age_s)
        self.assertEqual([], self.board.merge(told))
        self.now += OBSERVATION_S
        self.assertEqual([], self.board.list_fresh())
