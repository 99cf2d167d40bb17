import unittest

from zinnia_catalog.evidence import RECENT_CHANGE_S, AnswerCounts, EvidencePool


class EvidencePoolTest(unittest.TestCase):
    def setUp(self):
        self.pool = EvidencePool(AnswerCounts(1, 1))

    def test_total_keeps_the_counts_of_a_lost_watcher(self):
        """Load pattern: the VM that has collected all counts is killed.

        Guards against totals that fall when another VM collects them from the start.
        """
        self.pool.merge_total(AnswerCounts(10, 4))
        self.pool.merge_total(AnswerCounts(2, 1))
        self.assertEqual(AnswerCounts(10, 4), self.pool.total)

    def test_late_counts_of_a_process_do_not_replace_newer_ones(self):
        """Load pattern: two VMs send on the counts of a third one that has changed its watcher."""
        self.pool.merge_process("b", AnswerCounts(5, 2), 1.0)
        self.pool.merge_process("b", AnswerCounts(3, 2), 2.0)
        self.assertEqual(AnswerCounts(6, 3), self.pool.total)

    def test_unchanged_counts_are_not_sent_on_for_long(self):
        """Load pattern: 195 VMs count answers of a release that lasts for hours.

        Guards against sending all counts in each message between VMs that watch the store.
        """
        self.pool.merge_process("b", AnswerCounts(5, 2), 1.0)
        self.pool.merge_process("b", AnswerCounts(5, 2), 1.0 + RECENT_CHANGE_S)
        self.assertEqual(1, len(self.pool.list_recent(1.0 + RECENT_CHANGE_S)))
        self.assertEqual([], self.pool.list_recent(1.1 + RECENT_CHANGE_S))
