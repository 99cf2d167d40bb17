import unittest

from hypothesis import given
from hypothesis import strategies as st

from zinnia_routing.shares import ShareAccumulator

SHARES = st.lists(st.sampled_from([0.0, 0.01, 0.05, 0.29, 0.5, 0.99]), min_size=1, max_size=200)


class ShareAccumulatorTest(unittest.TestCase):
    @given(SHARES, st.lists(st.booleans(), min_size=200, max_size=200))
    def test_version_never_exceeds_its_share_when_shares_change_and_other_queries_use_it(
        self, shares, charge_flags
    ):
        """Guards against excess queries on a new version: after a change of share, or because
        queries counted for the old version use it.
        """
        accumulator, used, allowed = ShareAccumulator(), 0, 0
        last = 0.0
        for share, is_charged in zip(shares, charge_flags, strict=False):
            if share < last:
                used, allowed = 0, 0
            last = share
            allowed += int(share * 1_000_000)
            version = accumulator.pick_version({"old": 1 - share, "new": share}, "old")
            used += version == "new" or (is_charged and accumulator.try_charge("new"))
            self.assertLessEqual(used * 1_000_000, allowed)

    def test_version_gets_its_full_share(self):
        """Guards against a limit so low that the move to the new version never ends."""
        accumulator = ShareAccumulator()
        picks = [accumulator.pick_version({"old": 0.75, "new": 0.25}, "old") for _ in range(400)]
        self.assertEqual(100, picks.count("new"))

    def test_share_of_zero_takes_effect_at_once(self):
        """Guards against spending credit after a veto that was earned before it."""
        accumulator = ShareAccumulator()
        for _ in range(19):
            accumulator.pick_version({"old": 0.95, "new": 0.05}, "old")
        self.assertEqual("old", accumulator.pick_version({"old": 1.0, "new": 0.0}, "old"))
        self.assertFalse(accumulator.try_charge("new"))
