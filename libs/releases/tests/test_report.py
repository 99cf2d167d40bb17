import unittest

from simulation import START_MS, Simulation, behave_well, make_ramp

from zinnia_model.configuration import MoveState
from zinnia_releases.evidence import PooledEvidence
from zinnia_releases.moves import advance_moves
from zinnia_releases.report import report_moves


class ReportTest(unittest.TestCase):
    def test_report_of_a_done_move_has_due_time_steps_and_evidence(self):
        simulation = Simulation(1, behave_well)
        simulation.run(200)
        evidence = simulation.vms[0].evidence.pool(simulation.second)
        report = report_moves(simulation.document, evidence, {}, simulation.wall_ms)[0]
        self.assertEqual((MoveState.DONE, 1.0, 5, 5), (report.state, report.share, 5, report.steps))
        self.assertEqual(("2026-12-04 12:00", "Asia/Taipei"), (report.due, report.time_zone))
        self.assertTrue(report.settled.startswith("2026-12-04 11:00:"))
        self.assertEqual(["v1", "v2"], [row.version for row in report.evidence])
        self.assertGreater(report.evidence[1].answers, 900)

    def test_late_move_is_reported_as_taken_back_before_the_store_records_it(self):
        """Guards against a report of RAMPING while all VMs have returned to the old version.

        VMs take a move back at its due time on their own, also while the store is down.
        """
        document = advance_moves(make_ramp(), START_MS, PooledEvidence({}), {})
        due_ms = document.moves["n1.1"].due_ms
        report = report_moves(document, PooledEvidence({}), {}, due_ms)[0]
        self.assertEqual((MoveState.TAKEN_BACK, MoveState.RAMPING), (report.state, report.recorded))
        self.assertEqual(0.0, report.share)
        self.assertIn("not done at its hour", report.cause)
