import unittest

from hypothesis import given
from hypothesis import strategies as st

from zinnia_sending.budgets import RateShare, RetryBounds, RetryBudget

SLACK = 52.0
RATIO = 0.2
VMS = 6


class RetryBudgetTest(unittest.TestCase):
    @given(st.lists(st.booleans(), max_size=2000))
    def test_all_vms_together_stay_within_the_bound(self, sequence):
        """Load pattern: replicas shed or lose most answers, and every VM sends again at once.

        Guards against extra sends beyond the bound of the fleet in any window.
        """
        budget = RetryBudget(RetryBounds(RATIO, SLACK), lambda: VMS)
        requests = extra = 0
        for is_request in sequence:
            if is_request:
                budget.earn("s")
                requests += 1
            else:
                extra += budget.take("s")
        self.assertLessEqual(VMS * extra, SLACK + RATIO * VMS * requests)

    def test_hedges_leave_a_reserve_for_retries(self):
        """Guards against hedges that use up what failures need."""
        budget = RetryBudget(RetryBounds(RATIO, SLACK), lambda: VMS)
        while budget.take("s", reserve=0.25):
            pass
        self.assertTrue(budget.take("s"))

    def test_services_have_budgets_of_their_own(self):
        """Guards against one slow shard that takes the hedges of all others."""
        budget = RetryBudget(RetryBounds(RATIO, SLACK), lambda: VMS)
        while budget.take("a"):
            pass
        self.assertTrue(budget.take("b"))


class RateShareTest(unittest.TestCase):
    @given(st.lists(st.floats(0.0, 0.3), max_size=200), st.floats(0.1, 50.0))
    def test_no_second_gets_more_than_the_rate_and_one(self, gaps, rate_per_s):
        """Guards against a burst at a cold replica."""
        share = RateShare(rate_per_s, 0.0)
        now = 0.0
        taken = []
        for gap in gaps:
            now += gap
            if share.take(now):
                taken.append(now)
        for start in taken:
            inside = [at for at in taken if start <= at < start + 1.0]
            self.assertLessEqual(len(inside), rate_per_s + 1 + 1e-6)
