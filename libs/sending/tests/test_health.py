import unittest

from zinnia_sending.health import FIRST_SUSPENSION_S, Condition, ReplicaHealth


class ReplicaHealthTest(unittest.TestCase):
    def setUp(self):
        self.health = ReplicaHealth(0.0)

    def test_replica_that_fails_in_a_row_is_left_alone(self):
        """Load pattern: replicas crash and refuse connections."""
        self.health.record_failure(1.0)
        self.assertIs(Condition.GOOD, self.health.get_condition(1.0))
        self.assertTrue(self.health.record_failure(1.1))
        self.assertIs(Condition.SUSPENDED, self.health.get_condition(1.2))

    def test_suspended_replica_is_tried_again_one_request_at_a_time(self):
        """Guards against full load on a replica that may still be down."""
        self.health.suspend(1.0)
        now = 1.0 + FIRST_SUSPENSION_S
        self.assertIs(Condition.TRIAL_DUE, self.health.get_condition(now))
        self.health.start_trial(now)
        self.assertIs(Condition.SUSPENDED, self.health.get_condition(now))

    def test_answer_ends_the_suspension(self):
        """Guards against a replica that stays unused after it has recovered."""
        self.health.suspend(1.0)
        self.health.record_answer(1.0, 2.0)
        self.assertIs(Condition.GOOD, self.health.get_condition(2.0))

    def test_failures_that_alternate_with_answers_do_not_suspend(self):
        """Guards against losing a replica that answers most requests."""
        for at in range(10):
            self.health.record_failure(at)
            self.health.record_answer(1.0, at + 0.5)
        self.assertIs(Condition.GOOD, self.health.get_condition(10.0))

    def test_slowness_follows_answers_and_fades(self):
        """Load pattern: replicas turn slow for some seconds."""
        for at in range(10):
            self.health.record_answer(8.0, at * 0.1)
        slow = self.health.get_slowness(1.0)
        self.assertGreater(slow, 5.0)
        self.assertLess(self.health.get_slowness(6.0), 2.0)

    def test_unfinished_exchange_only_counts_if_it_is_slower_than_known(self):
        """Guards against a hedged replica that looks faster because its exchange was cut off."""
        for at in range(10):
            self.health.record_answer(8.0, at * 0.1)
        before = self.health.get_slowness(1.0)
        self.health.record_unfinished(2.0, 1.0)
        self.assertAlmostEqual(before, self.health.get_slowness(1.0))

    def test_rejections_lower_the_rank(self):
        """Load pattern: replicas shed part of their requests while healthy."""
        for at in range(10):
            self.health.record_rejection(at * 0.05)
        self.assertGreater(self.health.get_rejection_rate(0.5), 0.6)
