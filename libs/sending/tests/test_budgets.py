import unittest

from hypothesis import given
from hypothesis import strategies as st

from zinnia_sending.budgets import MAX_UNREAD_S, RetryBounds, RetryBudget
from zinnia_sending.rates import TokenBucket

SLACK = 52.0
RATIO = 0.2
WINDOW_S = 10.0
VMS = 6
# A process that has run for longer than the window.
STARTED_AT = -WINDOW_S


def make_budget(bounds, share, started_at=STARTED_AT):
    return RetryBudget(bounds, lambda service: share, started_at)


def try_spend(budget, service, now, reserve=0.0):
    """Send if the budget allows it, as runs do; return whether it did."""
    is_allowed = budget.allows_send(service, now, reserve)
    if is_allowed:
        budget.spend(service, now)
    return is_allowed


class RetryBudgetTest(unittest.TestCase):
    def check_windows(self, extra, requests, vms):
        """Check each window that ends with an extra send, if ``vms`` VMs do the same."""
        for end in extra:
            within = [
                sum(end - WINDOW_S <= at <= end for at in times) for times in (extra, requests)
            ]
            self.assertLessEqual(vms * within[0], SLACK + RATIO * vms * within[1])

    @given(
        st.lists(st.tuples(st.booleans(), st.floats(0.0, 2.0)), max_size=300),
        st.sampled_from([6, 20, 50]),
    )
    def test_extra_sends_of_all_vms_stay_within_the_limit(self, sequence, vms):
        """Load pattern: replicas shed or lose most answers, and every VM retries at once.

        Guards against extra sends beyond the limit over all VMs in any window.
        """
        budget = make_budget(RetryBounds(RATIO, SLACK, WINDOW_S), 1 / vms)
        now = 0.0
        requests, extra = [], []
        for is_request, gap_s in sequence:
            now += gap_s
            if is_request:
                budget.count_request("s", now)
                requests.append(now)
            elif try_spend(budget, "s", now):
                extra.append(now)
        self.check_windows(extra, requests, vms)

    @given(
        st.lists(
            st.tuples(st.sampled_from(["request", "retry", "retry", "restart"]), st.floats(0, 1.0)),
            max_size=300,
        )
    )
    def test_extra_sends_stay_within_the_limit_while_vms_start_again(self, sequence):
        """Load pattern: replicas shed most requests, and all VMs are killed again and again.

        Guards against each new process using the share that its VM has used up already.
        """
        bounds = RetryBounds(RATIO, SLACK, WINDOW_S)
        budget = make_budget(bounds, 1 / VMS)
        now = 0.0
        requests, extra = [], []
        for event, gap_s in sequence:
            now += gap_s
            if event == "restart":
                budget = make_budget(bounds, 1 / VMS, now)
            elif event == "request":
                budget.count_request("s", now)
                requests.append(now)
            elif try_spend(budget, "s", now):
                extra.append(now)
        self.check_windows(extra, requests, VMS)

    def test_process_that_starts_again_has_no_second_share_of_the_slack(self):
        """Guards against one share of the slack for each process of a VM within a window."""
        bounds = RetryBounds(RATIO, SLACK, WINDOW_S)
        sends = 0
        for started_at in (STARTED_AT, 1.0, 2.0, 3.0):
            budget = make_budget(bounds, 1 / VMS, started_at)
            while try_spend(budget, "s", max(started_at, 0.0)):
                sends += 1
        self.assertLessEqual(VMS * sends, SLACK)
        self.assertTrue(try_spend(budget, "s", 3.0 + WINDOW_S))

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["request", "request", "retry", "unread", "go on"]),
                st.floats(0, 1.0),
            ),
            max_size=300,
        )
    )
    def test_sends_that_arrive_together_later_stay_within_the_limit(self, sequence):
        """Load pattern: a replica stands still for a time again and again, while others shed.

        Guards against sends that were paid for long ago and arrive when the replica goes on.
        """
        budget = make_budget(RetryBounds(RATIO, SLACK, WINDOW_S), 1 / VMS)
        now = 0.0
        requests, unread, extra = [], [], []
        for event, gap_s in sequence:
            now += gap_s
            if event == "request":
                budget.count_request("s", now)
                requests.append(now)
            elif event == "go on":
                extra += [now for sent_at in unread if sent_at > now - MAX_UNREAD_S]
                unread = []
                budget.record_read("s", "r", now, now)
            elif try_spend(budget, "s", now) and event == "retry":
                extra.append(now)
            elif event == "unread" and budget.measure_use("s", now).extra_sends > len(unread):
                budget.record_unread("s", "r", now, now, now)
                unread.append(now)
        self.check_windows(extra, requests, VMS)

    def test_sends_of_forty_seconds_that_arrive_at_once_stay_within_the_limit(self):
        """Load pattern: a replica stands still for 40 s while each VM sends all that it may.

        Guards against four windows of extra sends that arrive in one.
        """
        budget = make_budget(RetryBounds(RATIO, SLACK, WINDOW_S), 1 / VMS)
        unread = 0
        for step in range(400):
            now = step * 0.1
            budget.count_request("s", now)
            if try_spend(budget, "s", now):
                budget.record_unread("s", "r", now, now, now)
                unread += 1
        self.assertLessEqual(VMS * unread, SLACK + RATIO * VMS * WINDOW_S / 0.1)
        budget.record_read("s", "r", now, now)
        self.assertFalse(try_spend(budget, "s", now + 1.0))
        self.assertTrue(try_spend(budget, "s", now + WINDOW_S))

    def test_unread_send_counts_once_until_a_window_after_it_was_read(self):
        """Guards against hedges that a slow replica uses up, as they count twice."""
        budget = make_budget(RetryBounds(0.0, SLACK, WINDOW_S), 1 / VMS)
        budget.spend("s", 1.0)
        budget.record_unread("s", "r", 0.9, 1.0, 1.4)
        self.assertEqual(1, budget.measure_use("s", 30.0).extra_sends)
        budget.record_read("s", "other", 30.0, 30.0)
        budget.record_read("s", "r", 0.8, 30.0)
        self.assertEqual(1, budget.measure_use("s", 31.0).extra_sends)
        budget.record_read("s", "r", 30.0, 32.0)
        self.assertEqual(1, budget.measure_use("s", 32.0 + WINDOW_S - 0.1).extra_sends)
        self.assertEqual(0, budget.measure_use("s", 32.0 + WINDOW_S).extra_sends)

    def test_replica_that_is_never_back_uses_up_no_budget_for_ever(self):
        """Guards against callers that lose answers long after a replica was lost."""
        budget = make_budget(RetryBounds(0.0, SLACK, WINDOW_S), 1 / VMS)
        budget.spend("s", 1.0)
        budget.record_unread("s", "r", 0.9, 1.0, 1.4)
        self.assertEqual(0, budget.measure_use("s", 1.5 + MAX_UNREAD_S).extra_sends)

    def test_vms_that_join_at_once_stay_within_the_limit_with_the_others(self):
        """Load pattern: the tier doubles, and the others do not know the new VMs yet.

        Guards against a whole share of each new VM beside the undiminished shares of the others.
        """
        bounds = RetryBounds(RATIO, SLACK, WINDOW_S)
        sends = 0
        for vms, started_at in [(VMS, STARTED_AT)] * VMS + [(2 * VMS, 0.0)] * VMS:
            budget = make_budget(bounds, 1 / vms, started_at)
            if started_at == 0.0:
                budget.note_new_vm()
            before = sends
            while try_spend(budget, "s", 0.0):
                sends += 1
            self.assertGreater(sends, before)
        self.assertLessEqual(sends, SLACK)

    def test_process_that_starts_again_can_still_retry_part_of_its_requests(self):
        """Guards against callers that lose answers because a VM has just started."""
        budget = make_budget(RetryBounds(RATIO, SLACK, WINDOW_S), 1 / VMS, 0.0)
        for number in range(5):
            budget.count_request("s", number * 0.1)
        self.assertTrue(try_spend(budget, "s", 0.5))

    def test_vm_with_few_requests_can_hedge_and_still_retry(self):
        """Load pattern: fan-outs over 90 shards on 72 VMs, 0.3 requests a second for each shard.

        A tenth of the requests is hedged; then half of the replicas reset all answers for 4 s.
        Guards against hedges that use up the retries of a VM far below the limit over all VMs.
        """
        budget = make_budget(RetryBounds(RATIO, 184.0, WINDOW_S), 1 / 72)
        hedges = 0
        for number in range(100):
            now = number / 0.3
            budget.count_request("s", now)
            hedges += number % 10 == 0 and try_spend(budget, "s", now, reserve=0.15)
        self.assertEqual(10, hedges)
        self.assertTrue(try_spend(budget, "s", now + 1.0))
        self.assertTrue(try_spend(budget, "s", now + 3.0))

    def test_share_below_one_send_is_not_rounded_up(self):
        """Guards against one extra send by each VM of a tier that has more VMs than slack."""
        budget = make_budget(RetryBounds(RATIO, SLACK, WINDOW_S), 1 / 100)
        self.assertFalse(try_spend(budget, "s", 0.0))
        for number in range(4):
            budget.count_request("s", number * 0.1)
        self.assertTrue(try_spend(budget, "s", 0.5))

    def test_hedges_leave_a_reserve_for_retries(self):
        """Guards against hedges that use up the budget for retries after failures."""
        budget = make_budget(RetryBounds(RATIO, SLACK, WINDOW_S), 1 / VMS)
        while try_spend(budget, "s", 0.0, reserve=0.25):
            pass
        self.assertTrue(try_spend(budget, "s", 0.0))

    def test_each_service_has_its_own_budget(self):
        """Guards against one slow shard that uses up the hedges of all others."""
        budget = make_budget(RetryBounds(RATIO, SLACK, WINDOW_S), 1 / VMS)
        while try_spend(budget, "a", 0.0):
            pass
        self.assertTrue(try_spend(budget, "b", 0.0))


class TokenBucketTest(unittest.TestCase):
    @given(st.lists(st.floats(0.0, 0.3), max_size=200), st.floats(0.1, 50.0))
    def test_at_most_the_rate_plus_one_request_is_allowed_in_any_second(self, gaps, rate_per_s):
        """Guards against a burst of requests to a cold replica."""
        limiter = TokenBucket(rate_per_s, 0.0)
        now = 0.0
        taken = []
        for gap in gaps:
            now += gap
            if limiter.take_token(now):
                taken.append(now)
        for start in taken:
            inside = [at for at in taken if start <= at < start + 1.0]
            self.assertLessEqual(len(inside), rate_per_s + 1 + 1e-6)
