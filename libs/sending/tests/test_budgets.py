import unittest

from hypothesis import given
from hypothesis import strategies as st

from zinnia_sending.budgets import RetryBounds, RetryBudget, WarmupRateLimiter

SLACK = 52.0
RATIO = 0.2
WINDOW_S = 10.0
VMS = 6


class RetryBudgetTest(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.booleans(), st.floats(0.0, 2.0)), max_size=300),
        st.sampled_from([6, 20, 50]),
    )
    def test_all_vms_together_stay_within_the_bound(self, sequence, vms):
        """Load pattern: replicas shed or lose most answers, and every VM sends again at once.

        Guards against extra sends beyond the bound of the fleet in any window.
        """
        budget = RetryBudget(RetryBounds(RATIO, SLACK, WINDOW_S), lambda service: 1 / vms)
        now = 0.0
        requests, extra = [], []
        for is_request, gap_s in sequence:
            now += gap_s
            if is_request:
                budget.count_request("s", now)
                requests.append(now)
            elif budget.try_spend("s", now):
                extra.append(now)
        for end in extra:
            within = [
                sum(end - WINDOW_S <= at <= end for at in times) for times in (extra, requests)
            ]
            self.assertLessEqual(vms * within[0], SLACK + RATIO * vms * within[1])

    def test_a_vm_with_few_requests_hedges_and_still_has_retries(self):
        """Load pattern: fan-outs over 90 shards on 72 VMs, 0.3 requests a second for each shard.

        A tenth of the requests is hedged; then half of the replicas reset all answers for 4 s.
        Guards against retries that hedges have used up although the fleet's bound is far.
        """
        budget = RetryBudget(RetryBounds(RATIO, 184.0, WINDOW_S), lambda service: 1 / 72)
        hedges = 0
        for number in range(100):
            now = number / 0.3
            budget.count_request("s", now)
            hedges += number % 10 == 0 and budget.try_spend("s", now, reserve=0.15)
        self.assertEqual(10, hedges)
        self.assertTrue(budget.try_spend("s", now + 1.0))
        self.assertTrue(budget.try_spend("s", now + 3.0))

    def test_a_share_below_one_send_is_not_rounded_up(self):
        """Guards against a fleet larger than the slack in which each VM sends one extra request."""
        budget = RetryBudget(RetryBounds(RATIO, SLACK, WINDOW_S), lambda service: 1 / 100)
        self.assertFalse(budget.try_spend("s", 0.0))
        for number in range(4):
            budget.count_request("s", number * 0.1)
        self.assertTrue(budget.try_spend("s", 0.5))

    def test_hedges_leave_a_reserve_for_retries(self):
        """Guards against hedges that use up what failures need."""
        budget = RetryBudget(RetryBounds(RATIO, SLACK, WINDOW_S), lambda service: 1 / VMS)
        while budget.try_spend("s", 0.0, reserve=0.25):
            pass
        self.assertTrue(budget.try_spend("s", 0.0))

    def test_services_have_budgets_of_their_own(self):
        """Guards against one slow shard that takes the hedges of all others."""
        budget = RetryBudget(RetryBounds(RATIO, SLACK, WINDOW_S), lambda service: 1 / VMS)
        while budget.try_spend("a", 0.0):
            pass
        self.assertTrue(budget.try_spend("b", 0.0))


class RateShareTest(unittest.TestCase):
    @given(st.lists(st.floats(0.0, 0.3), max_size=200), st.floats(0.1, 50.0))
    def test_no_second_gets_more_than_the_rate_and_one(self, gaps, rate_per_s):
        """Guards against a burst at a cold replica."""
        limiter = WarmupRateLimiter(rate_per_s, 0.0)
        now = 0.0
        taken = []
        for gap in gaps:
            now += gap
            if limiter.take_token(now):
                taken.append(now)
        for start in taken:
            inside = [at for at in taken if start <= at < start + 1.0]
            self.assertLessEqual(len(inside), rate_per_s + 1 + 1e-6)
