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

    def test_good_version_is_rarely_rejected_though_many_answers_are_slow(self):
        """Load pattern: replicas pause, so that one in 20 answers of any version is slow.

        Guards against a good version that is rejected for chance: the answers of all VMs hold three
        slow ones more often than those of one VM.
        """
        states = [
            ReleaseFleet(8, REQUESTS_PER_S, 2 * DURATION_S, lambda now: 0.05, 0.05, seed=seed).run()
            for seed in range(20)
        ]
        self.assertGreaterEqual(states.count(ReleaseState.DONE), 19)

    def test_version_that_turns_bad_late_is_taken_back(self):
        """Load pattern: a new version is good for 20 s, and then fails half of its requests.

        Guards against early good answers that hide the late bad ones.
        """
        fleet = ReleaseFleet(72, 40.0, 32.0, lambda now: 0.5 if now > 20.0 else 0.0)
        self.assertIs(ReleaseState.TAKEN_BACK, fleet.run())

    def test_version_that_fails_a_part_of_few_requests_is_found(self):
        """Load pattern: a service gets 12 requests a second; two of five new answers are bad.

        Guards against a decision on ten answers, of which by chance only two are bad.
        """
        states = [
            ReleaseFleet(8, 12.0, DURATION_S, lambda now: 0.4, 0.02, seed=seed).run()
            for seed in range(20)
        ]
        self.assertGreaterEqual(states.count(ReleaseState.TAKEN_BACK), 19)

    def test_good_version_stays_within_its_share_until_it_is_done(self):
        """Load pattern: as above, with a good version, which might turn bad at any time."""
        for vms in FLEET_SIZES:
            fleet = ReleaseFleet(vms, REQUESTS_PER_S, DURATION_S, lambda now: 0.0)
            with self.subTest(vms=vms):
                fleet.run()
                self.assertLessEqual(fleet.new_sends_before_end, fleet.allowed_new_sends)
