import unittest

import trio
import trio.testing

from zinnia_entry.stopping import NON_IDEMPOTENT_FACTOR, PlannedStop

GRACE_S = 6.0


class PlannedStopTest(unittest.TestCase):
    def run_stop(self, after_s, latency_s, is_idempotent):
        async def main():
            stop = PlannedStop()
            stop.begin(GRACE_S)
            await trio.sleep(after_s)
            return stop.is_too_late_for(latency_s, is_idempotent)

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_no_request_is_too_late_before_the_stop(self):
        """Guards against refusals by a VM that is not stopping."""

        async def main():
            return PlannedStop().is_too_late_for(3600.0, False)

        self.assertFalse(trio.run(main))

    def test_request_that_fits_into_the_rest_of_the_grace_period_is_taken(self):
        """Guards against refusing what can be served in time."""
        self.assertFalse(self.run_stop(3.0, 2.0, True))
        self.assertTrue(self.run_stop(3.0, 2.5, True))

    def test_request_that_may_not_be_repeated_needs_more_time(self):
        """Guards against a request whose caller can't know whether it has run."""
        latency_s = 2.2 / NON_IDEMPOTENT_FACTOR
        self.assertFalse(self.run_stop(3.0, latency_s, False))
        self.assertTrue(self.run_stop(3.2, latency_s, False))

    def test_every_request_is_too_late_at_the_end(self):
        """Guards against a request that is passed on as the process ends."""
        self.assertTrue(self.run_stop(5.4, 0.0, True))
