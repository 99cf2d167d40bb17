import unittest

from release_fleet import ReleaseFleet

from zinnia_catalog.releases import ReleaseState

FLEET_SIZES = (6, 72, 195)
DURATION_S = 12.0
REQUESTS_PER_S = 20.0


class ReleaseFleetTest(unittest.TestCase):
    def test_rarely_called_bad_version_is_taken_back(self):
        """Load pattern: a service gets 20 requests a second, whatever the number of VMs.

        Guards against a bad version that takes over because no VM alone has seen enough of it.
        """
        for vms in FLEET_SIZES:
            fleet = ReleaseFleet(vms, REQUESTS_PER_S, DURATION_S, lambda now: 0.5)
            with self.subTest(vms=vms):
                self.assertIs(ReleaseState.TAKEN_BACK, fleet.run())
                self.assertLessEqual(fleet.new_sends, fleet.allowed_new_sends)

    def test_good_version_is_done_in_time(self):
        """Load pattern: as above, and some answers of all versions are lost.

        Guards against a good version that is rejected or not done at its due time.
        """
        for vms in FLEET_SIZES:
            fleet = ReleaseFleet(vms, REQUESTS_PER_S, DURATION_S, lambda now: 0.02, 0.02)
            with self.subTest(vms=vms):
                self.assertIs(ReleaseState.DONE, fleet.run())

    def test_evidence_outlives_the_processes_that_have_counted_it(self):
        """Load pattern: half of the VMs are killed every two seconds of the release.

        Guards against a bad version that is never found because counts start again from zero.
        """
        for vms in FLEET_SIZES:
            fleet = ReleaseFleet(vms, REQUESTS_PER_S, DURATION_S, lambda now: 0.4)
            fleet.restarts_at = [2.0, 4.0, 6.0, 8.0]
            with self.subTest(vms=vms):
                self.assertIs(ReleaseState.TAKEN_BACK, fleet.run())
