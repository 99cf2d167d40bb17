import unittest
from random import Random

from zinnia_catalog.evidence import AnswerCounts, Evidence
from zinnia_catalog.ids import ProcessId
from zinnia_catalog.releases import ReleaseOrder, ReleaseState
from zinnia_sending.events import NullSink
from zinnia_sending.versions import ExposureBounds, VersionShares

BOUNDS = ExposureBounds(share=0.1, slack=0.0)


def make_order(state=ReleaseState.RUNNING):
    return ReleaseOrder("s", "v2", 30.0, state, 1)


class VersionSharesTest(unittest.TestCase):
    def setUp(self):
        self.shares = VersionShares(NullSink())
        self.shares.change_order("s", make_order(), 0.0)

    def record(self, version, good, bad, slowness=1.0):
        for number in range(good + bad):
            failure = None if number >= bad else "status 500"
            self.shares.record("s", version, failure, slowness, 0.0)

    def test_failing_version_is_rejected(self):
        """Load pattern: a new version fails a fraction of its requests."""
        self.record("v1", 200, 0)
        self.record("v2", 10, 4)
        self.assertTrue(self.shares.list_moves()[0].is_rejected)
        self.assertEqual("v2", self.shares.find_excluded_version("s"))

    def test_slower_version_is_rejected(self):
        """Load pattern: a new version is several times slower."""
        self.record("v1", 200, 0)
        self.record("v2", 6, 0, slowness=5.0)
        self.assertTrue(self.shares.list_moves()[0].is_rejected)

    def test_no_version_is_rejected_for_failures_of_all_versions(self):
        """Load pattern: answers of all replicas are lost for some seconds."""
        self.record("v1", 60, 40)
        self.record("v2", 6, 4)
        self.assertFalse(self.shares.list_moves()[0].is_rejected)

    def test_rejected_version_stays_rejected_if_the_same_order_arrives_again(self):
        """Guards against a repeated order that reverts the rejection."""
        self.record("v1", 200, 0)
        self.record("v2", 0, 5)
        self.shares.change_order("s", make_order(), 5.0)
        self.assertTrue(self.shares.list_moves()[0].is_rejected)

    def test_new_version_may_get_all_requests_after_its_move_is_done(self):
        """Guards against a request share that stays small after the move is done."""
        self.shares.change_order("s", make_order(ReleaseState.DONE), 5.0)
        self.assertIsNone(self.shares.find_excluded_version("s"))

    def make_evidence(self, process, good, bad, is_rejected=False, target="v2"):
        counts = AnswerCounts(good, bad)
        return Evidence("s", target, process, counts, is_rejected, 2.0)

    def test_version_is_rejected_on_the_answers_of_several_processes(self):
        """Load pattern: each VM gets few answers of a bad version."""
        self.record("v2", 0, 1)
        self.shares.merge_evidence([self.make_evidence("b", 1, 2)], 1.0)
        self.assertFalse(self.shares.list_moves()[0].is_rejected)
        self.shares.merge_evidence([self.make_evidence("c", 1, 2)], 1.0)
        self.assertTrue(self.shares.list_moves()[0].is_rejected)

    def test_repeated_evidence_counts_once(self):
        """Guards against a good version that is rejected because one bad answer counts often."""
        self.record("v2", 1, 1)
        for _ in range(5):
            self.shares.merge_evidence([self.make_evidence("b", 1, 1)], 1.0)
            self.shares.merge_evidence([self.make_evidence(None, 2, 2)], 1.0)
        self.assertEqual(AnswerCounts(2, 2), self.shares.list_moves()[0].evidence.total)

    def test_own_counts_that_come_back_from_a_peer_count_once(self):
        """Guards against counting own answers again when a peer sends them on."""
        self.record("v2", 1, 1)
        own = self.shares.list_evidence(1.0)
        self.shares.merge_evidence(own, 1.0)
        self.assertEqual(AnswerCounts(1, 1), self.shares.list_moves()[0].evidence.total)

    def test_rejection_of_another_vm_holds_here(self):
        """Load pattern: another VM has rejected the version and can't write that to the store."""
        self.shares.merge_evidence([self.make_evidence("b", 4, 0, is_rejected=True)], 1.0)
        self.assertEqual("v2", self.shares.find_excluded_version("s"))

    def test_evidence_of_another_version_is_ignored(self):
        """Load pattern: a VM that was cut off still has the order before this one."""
        late = self.make_evidence("b", 0, 9, is_rejected=True, target="v1")
        self.shares.merge_evidence([late], 1.0)
        self.assertFalse(self.shares.list_moves()[0].is_rejected)

    def test_age_of_an_order_is_that_of_the_vm_that_knows_it_longest(self):
        """Load pattern: VMs restart during a release. Guards against a move that is never done."""
        self.shares.change_order("s", None, 9.0)
        self.shares.change_order("s", make_order(), 9.0)
        self.shares.merge_evidence([self.make_evidence("b", 1, 0)], 10.0)
        self.assertEqual(8.0, self.shares.list_moves()[0].started_at)

    def count_new_sends(self, processes, requests):
        """Return how many requests the new version gets if each process sends some."""
        sent_new = 0
        for number in range(processes):
            process = ProcessId(f"vm-{number}")
            shares = VersionShares(NullSink(), process, BOUNDS, Random(number))
            shares.change_order("s", make_order(), 0.0)
            for _ in range(requests):
                version = "v1" if shares.find_excluded_version("s") else "v2"
                sent_new += version == "v2"
                shares.count_send("s", version)
        return sent_new

    def test_processes_that_send_little_keep_the_share_together(self):
        """Load pattern: 195 VMs share few requests, or VMs are killed and start again in series.

        Guards against a bad version that gets the first request of each process.
        """
        for processes, requests in ((195, 1), (195, 4), (40, 20), (8, 300)):
            with self.subTest(processes=processes, requests=requests):
                sent_new = self.count_new_sends(processes, requests)
                self.assertLessEqual(sent_new, BOUNDS.share * processes * requests + 5)
                self.assertGreater(sent_new, 0.3 * BOUNDS.share * processes * requests)

    def test_end_of_a_move_outlasts_its_loss_in_the_store(self):
        """Load pattern: the store comes back from a copy in which the release is still running.

        Guards against a bad version that gets requests again, and against a good one that loses
        them although the old replicas are gone.
        """
        for state, share in ((ReleaseState.DONE, 1.0), (ReleaseState.TAKEN_BACK, 0.0)):
            with self.subTest(state=state):
                self.shares.change_order("s", None, 5.0)
                self.shares.change_order("s", make_order(), 5.0)
                self.shares.change_order("s", make_order(state), 6.0)
                self.shares.change_order("s", make_order(), 7.0)
                move = self.shares.list_moves()[0]
                self.assertEqual((share, state), (move.share, move.lost_state))
                self.shares.change_order("s", make_order(state), 8.0)
                self.assertIsNone(self.shares.list_moves()[0].lost_state)

    def test_version_that_was_taken_back_is_told_to_vms_that_do_not_know(self):
        """Load pattern: a VM restarts while the store has lost the end of a release."""
        self.shares.change_order("s", make_order(ReleaseState.TAKEN_BACK), 6.0)
        self.shares.change_order("s", make_order(), 7.0)
        restarted = VersionShares(NullSink())
        restarted.change_order("s", make_order(), 8.0)
        restarted.merge_evidence(self.shares.list_totals(8.0), 8.0)
        self.assertEqual("v2", restarted.find_excluded_version("s"))
        self.assertEqual(0.0, restarted.list_moves()[0].share)
