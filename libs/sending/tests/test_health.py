import unittest

from fakes import suspend_replica

from zinnia_sending.health import (
    DECAY_HALF_LIFE_S,
    FIRST_SUSPENSION_S,
    Condition,
    ReplicaHealth,
)


class ReplicaHealthTest(unittest.TestCase):
    def setUp(self):
        self.health = ReplicaHealth(0.0)

    def test_replica_is_suspended_after_consecutive_failures(self):
        """Load pattern: replicas crash and refuse connections."""
        self.health.record_failure(1.0)
        self.assertIs(Condition.GOOD, self.health.get_condition(1.0))
        self.assertTrue(self.health.record_failure(1.1))
        self.assertIs(Condition.SUSPENDED, self.health.get_condition(1.2))

    def test_suspended_replica_gets_one_trial_request_at_a_time(self):
        """Guards against full load on a replica that may still be down."""
        suspend_replica(self.health, 1.0)
        now = 1.0 + FIRST_SUSPENSION_S
        self.assertIs(Condition.TRIAL_DUE, self.health.get_condition(now))
        self.health.start_trial(now)
        self.assertIs(Condition.SUSPENDED, self.health.get_condition(now))

    def test_answer_ends_the_suspension(self):
        """Guards against a replica that stays unused after it has recovered."""
        suspend_replica(self.health, 1.0)
        self.health.record_answer(1.0, 2.0)
        self.assertIs(Condition.GOOD, self.health.get_condition(2.0))

    def test_failures_that_alternate_with_answers_do_not_suspend_a_replica(self):
        """Guards against suspending a replica that answers most requests."""
        for at in range(10):
            self.health.record_failure(at)
            self.health.record_answer(1.0, at + 0.5)
        self.assertIs(Condition.GOOD, self.health.get_condition(10.0))

    def test_slowness_follows_answers_and_decays(self):
        """Load pattern: replicas become slow for some seconds."""
        for at in range(10):
            self.health.record_answer(8.0, at * 0.1)
        slow = self.health.get_slowness(1.0)
        self.assertGreater(slow, 5.0)
        last = self.health.get_slowness(0.9)
        later = self.health.get_slowness(0.9 + 2 * DECAY_HALF_LIFE_S)
        self.assertAlmostEqual(1.0 + (last - 1.0) / 4, later)

    def test_unfinished_exchange_counts_only_if_it_is_slower_than_the_average(self):
        """Guards against a slow replica that looks faster because a hedge ended its exchange."""
        for at in range(10):
            self.health.record_answer(8.0, at * 0.1)
        before = self.health.get_slowness(1.0)
        self.health.record_unfinished(2.0, 1.0)
        self.assertAlmostEqual(before, self.health.get_slowness(1.0))

    def test_rejections_raise_the_rejection_rate(self):
        """Load pattern: replicas shed a fraction of their requests while healthy."""
        for at in range(10):
            self.health.record_rejection(at * 0.05)
        self.assertGreater(self.health.get_rejection_rate(0.5), 0.6)

    def test_request_in_flight_raises_the_slowness_before_it_ends(self):
        """Load pattern: one replica of a service with few requests becomes slow.

        Guards against more requests to a replica whose first slow answer has not arrived yet.
        """
        self.health.record_start(1, 0.1, 1.0)
        self.assertEqual(1.0, self.health.get_slowness(1.05))
        self.assertAlmostEqual(4.0, self.health.get_slowness(1.4))
        self.health.record_end(1)
        self.assertEqual(1.0, self.health.get_slowness(1.4))

    def test_report_of_another_vm_counts_until_this_vm_has_a_newer_sample(self):
        """Load pattern: replicas of many shards are slow, and each VM rarely sends to each."""
        self.health.record_peer_report(8.0, 1.0)
        self.assertGreater(self.health.get_slowness(1.5), 5.0)
        self.health.record_answer(1.0, 2.0)
        self.assertEqual(1.0, self.health.get_slowness(2.1))

    def test_report_of_another_vm_is_not_reported_again(self):
        """Guards against VMs that keep an outdated slowness by reporting it to each other."""
        self.health.record_peer_report(8.0, 1.0)
        self.assertEqual(1.0, self.health.get_observed_slowness(1.1))

    def test_hanging_and_failing_replicas_are_reported(self):
        """Load pattern: replicas stop answering."""
        self.health.record_start(1, 0.02, 1.0)
        self.assertGreater(self.health.get_observed_slowness(1.5), 5.0)
        self.health.record_end(1)
        suspend_replica(self.health, 2.0)
        self.assertGreater(self.health.get_observed_slowness(3.0), 5.0)

    def test_short_pause_is_not_reported(self):
        """Load pattern: replicas pause for a moment, each at its own time.

        Guards against all VMs avoiding a replica that answers again at once.
        """
        self.health.record_start(1, 0.02, 1.0)
        self.assertEqual(1.0, self.health.get_observed_slowness(1.25))
