import unittest

from hypothesis import given
from hypothesis import strategies as st

from zinnia_backends.silence import (
    HEALTH_LIMIT_S,
    SWEEP_S,
    SilenceWatch,
    WatchAction,
    is_check_due,
)
from zinnia_backends.upkeep import TICK_S

DETECTION_S = 2.0


class SilenceTest(unittest.TestCase):
    @given(st.floats(0, SWEEP_S))
    def test_idle_silence_is_detected_within_two_seconds(self, phase):
        """Guards against intervals whose sum misses the target; the sweep has any phase."""
        now = phase
        while not is_check_due(0.0, now):
            now += SWEEP_S
        self.assertLessEqual(now + HEALTH_LIMIT_S, DETECTION_S)

    @given(st.floats(0, 30), st.floats(0.001, HEALTH_LIMIT_S))
    def test_silence_during_a_request_is_detected_within_two_seconds(self, median_s, answer_s):
        """Guards against a slow service whose probes come too late for the target."""
        watch, now = SilenceWatch(0.0, median_s), 0.0
        while (action := watch.decide(now)) is not WatchAction.CLOSE:
            if action is WatchAction.PROBE:
                now += answer_s
                watch.note_probe(True, False, now)
            now += TICK_S
        self.assertLessEqual(now, DETECTION_S)
        self.assertGreaterEqual(now, 1.0)

    def test_listed_request_and_unanswered_probe_do_not_close(self):
        """Guards against closing a long-running request or blaming one connection for a slow
        server."""
        watch = SilenceWatch(0.0, 0.01)
        for now in range(1, 20):
            watch.note_probe(True, True, now)
            self.assertIs(WatchAction.NONE, watch.decide(now + 0.4))
            watch.note_probe(False, False, now + 0.5)
            self.assertIsNot(WatchAction.CLOSE, watch.decide(now + 1))


if __name__ == "__main__":
    unittest.main()
