import unittest
from dataclasses import replace

from simulation import START_MS, Vm, make_ramp

from zinnia_facts.table import Cursor, FactKind
from zinnia_model.observations import Observation, ObservedResult
from zinnia_releases.evidence import EVIDENCE_TTL_S, Counts, PooledEvidence, find_bucket
from zinnia_releases.moves import advance_moves

GOOD = Observation("tune", "identify", "v2", "r1", ObservedResult.OK, "f1", 0.01)
CRASH = replace(GOOD, result=ObservedResult.CRASH)


class EvidenceTest(unittest.TestCase):
    def setUp(self):
        self.document = advance_moves(make_ramp(), START_MS, PooledEvidence({}), {})
        self.vm = Vm("vm-1.a")
        self.vm.evidence.adopt(self.document)

    def pool_new_version(self, now: float) -> Counts:
        return self.vm.evidence.pool(now).sum_counts("n1.1", "v2")

    def test_cold_and_suspect_answers_and_services_without_a_move_are_not_counted(self):
        """Guards against vetoes because of cold starts, or of requests that crash any version."""
        for observation in (
            replace(CRASH, cold=True),
            replace(CRASH, suspect=True),
            replace(CRASH, service="other"),
        ):
            self.vm.evidence.observe(observation)
        self.assertEqual([], self.vm.evidence.publish(0.0))

    def test_facts_are_published_at_most_every_500_ms(self):
        self.vm.evidence.observe(GOOD)
        self.assertEqual([1], [fact.version for fact in self.vm.evidence.publish(0.0)])
        self.vm.evidence.observe(GOOD)
        self.assertEqual([], self.vm.evidence.publish(0.4))
        self.assertEqual([2], [fact.version for fact in self.vm.evidence.publish(0.5)])
        self.assertEqual([], self.vm.evidence.publish(1.0))
        self.assertEqual(2, self.pool_new_version(1.0).ok)

    def test_crashed_replica_counts_as_one_fault(self):
        """Guards against a veto because one replica crashed with several requests in flight."""
        for fingerprint in ("a", "b", "c"):
            self.vm.evidence.observe(replace(CRASH, fingerprint=fingerprint))
        self.vm.evidence.publish(0.0)
        self.assertEqual(1, self.pool_new_version(0.0).faults)

    def test_counts_from_before_and_after_a_restart_are_added(self):
        """Guards against losing the faults before a restart, after which counts start from zero."""
        other = Vm("vm-1.b")
        other.evidence.adopt(self.document)
        for vm in (self.vm, other):
            vm.evidence.observe(replace(GOOD, result=ObservedResult.FAULT))
            vm.evidence.publish(0.0)
        self.vm.table.merge(other.table.changes_since(Cursor(0), 0.0)[0], 0.0)
        self.assertEqual(2, self.pool_new_version(0.0).faults)

    def test_unchanged_counts_are_published_again_before_their_facts_expire(self):
        self.vm.evidence.observe(GOOD)
        for second in range(0, int(EVIDENCE_TTL_S) * 2, 600):
            self.vm.evidence.publish(float(second))
        self.assertEqual(1, self.pool_new_version(EVIDENCE_TTL_S * 2 - 1).ok)

    def test_fact_stays_small_with_100_distinct_fingerprints(self):
        for number in range(100):
            fault = replace(GOOD, result=ObservedResult.FAULT, fingerprint=f"{number:08d}")
            self.vm.evidence.observe(fault)
        self.vm.evidence.publish(0.0)
        facts = self.vm.table.list_facts(FactKind.FAULT_COUNTS, 0.0)
        self.assertLess(len(facts[0].value), 300)

    def test_quantile_needs_100_answers(self):
        counts = Counts(ok=99, buckets={3: 99})
        self.assertIsNone(counts.find_quantile(0.95))
        counts = Counts(ok=100, buckets={3: 94, 7: 6})
        self.assertEqual(7, counts.find_quantile(0.95))
        self.assertEqual(6, counts.count_above(3))
        self.assertEqual(0, find_bucket(0.0))
