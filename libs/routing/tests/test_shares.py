import unittest

from hypothesis import given
from hypothesis import strategies as st

from zinnia_routing.shares import ShareAccumulator

SHARES = st.lists(st.sampled_from([0.0, 0.01, 0.05, 0.29, 0.5, 0.99]), min_size=1, max_size=200)


class ShareAccumulatorTest(unittest.TestCase):
    @given(SHARES, st.lists(st.booleans(), min_size=200, max_size=200))
    def test_no_prefix_exceeds_share_when_steps_change_and_shards_cross(self, shares, crossings):
        """Guards against a new version getting more than its share at a step or by fall-over."""
        accumulator, used, allowed = ShareAccumulator(), 0, 0
        last = 0.0
        for share, crosses in zip(shares, crossings, strict=False):
            if share < last:
                used, allowed = 0, 0
            last = share
            allowed += int(share * 1_000_000)
            version = accumulator.pick({"old": 1 - share, "new": share}, "old")
            used += version == "new" or (crosses and accumulator.take("new"))
            self.assertLessEqual(used * 1_000_000, allowed)

    def test_share_is_reached(self):
        """Guards against a bound that starves the new version, so that its move never ends."""
        accumulator = ShareAccumulator()
        picks = [accumulator.pick({"old": 0.75, "new": 0.25}, "old") for _ in range(400)]
        self.assertEqual(100, picks.count("new"))

    def test_share_of_zero_takes_effect_at_once(self):
        """Guards against credit earned before a veto being spent after it."""
        accumulator = ShareAccumulator()
        for _ in range(19):
            accumulator.pick({"old": 0.95, "new": 0.05}, "old")
        self.assertEqual("old", accumulator.pick({"old": 1.0, "new": 0.0}, "old"))
        self.assertFalse(accumulator.take("new"))
