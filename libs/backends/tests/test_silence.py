import unittest

from hypothesis import given
from hypothesis import strategies as st

from zinnia_backends.maintenance import TICK_INTERVAL_S
from zinnia_backends.silence import (
    HEALTH_TIMEOUT_S,
    SWEEP_INTERVAL_S,
    SilenceWatch,
    WatchAction,
    is_check_due,
)

DETECTION_TARGET_S = 2.0


class SilenceTest(unittest.TestCase):
    @given(st.floats(0, SWEEP_INTERVAL_S))
    def test_idle_silence_is_detected_within_two_seconds(self, phase):
        """Guards against intervals whose sum exceeds 2 s, whenever the sweep happens to run."""
        now = phase
        while not is_check_due(0.0, now):
            now += SWEEP_INTERVAL_S
        self.assertLessEqual(now + HEALTH_TIMEOUT_S, DETECTION_TARGET_S)

    @given(st.floats(0, 30), st.floats(0.001, HEALTH_TIMEOUT_S))
    def test_silence_during_a_request_is_detected_within_two_seconds(self, median_s, answer_s):
        """Guards against probing a slow service too late to detect silence within 2 s."""
        watch, now = SilenceWatch(0.0, median_s), 0.0
        while (action := watch.decide(now)) is not WatchAction.CLOSE:
            if action is WatchAction.PROBE:
                now += answer_s
                watch.record_probe_result(True, False, now)
            now += TICK_INTERVAL_S
        self.assertLessEqual(now, DETECTION_TARGET_S)
        self.assertGreaterEqual(now, 1.0)

    def test_listed_request_and_unanswered_probe_do_not_close(self):
        """Guards against closing a connection when the request is only long or the server slow."""
        watch = SilenceWatch(0.0, 0.01)
        for now in range(1, 20):
            watch.record_probe_result(True, True, now)
            self.assertIs(WatchAction.NONE, watch.decide(now + 0.4))
            watch.record_probe_result(False, False, now + 0.5)
            self.assertIsNot(WatchAction.CLOSE, watch.decide(now + 1))


if __name__ == "__main__":
    unittest.main()
