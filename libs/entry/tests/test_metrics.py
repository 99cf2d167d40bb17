import unittest

from zinnia_entry.metrics import Metrics
from zinnia_entry.reasons import Phase
from zinnia_sending.outcomes import RunTiming


class PhaseMetricsTest(unittest.TestCase):
    def record_phases(self, timing):
        """Return count and sum (s) of each phase for one request received at 10, ended at 11 s."""
        metrics = Metrics()
        metrics.count_phases(10.0, timing, 11.0)
        name = "zinnia_request_phase_seconds"
        get = metrics.registry.get_sample_value
        return {
            phase: (get(f"{name}_count", labels), round(get(f"{name}_sum", labels), 3))
            for phase in Phase
            for labels in [{"phase": phase.value}]
        }

    def test_answered_request_is_counted_in_every_phase(self):
        """Guards against attributing the time of a slow merge to the replicas."""
        found = self.record_phases(RunTiming(sent_at=10.1, sealed_at=10.7))
        self.assertEqual(
            {Phase.QUEUE: (1, 0.1), Phase.SEND: (1, 0.6), Phase.MERGE: (1, 0.3)}, found
        )

    def test_request_that_was_not_sent_is_counted_as_queued_only(self):
        """Guards against refusals that lower the measured latency of replicas."""
        found = self.record_phases(RunTiming(sealed_at=10.9))
        self.assertEqual({Phase.QUEUE: (1, 1.0), Phase.SEND: (0, 0), Phase.MERGE: (0, 0)}, found)

    def test_request_whose_caller_left_is_counted_until_then(self):
        """Guards against dropping the times of requests that callers abandoned as too slow."""
        found = self.record_phases(RunTiming(sent_at=10.25))
        self.assertEqual(
            {Phase.QUEUE: (1, 0.25), Phase.SEND: (1, 0.75), Phase.MERGE: (0, 0)}, found
        )
