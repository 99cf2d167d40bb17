import unittest

from zinnia_catalog.releases import ReleaseOrder, ReleaseState
from zinnia_sending.events import NullSink
from zinnia_sending.versions import VersionShares


def make_order(state=ReleaseState.RUNNING):
    return ReleaseOrder("s", "v2", 30.0, state, 1)


class VersionSharesTest(unittest.TestCase):
    def setUp(self):
        self.shares = VersionShares(NullSink())
        self.shares.change_order("s", make_order(), 0.0)

    def record(self, version, good, bad, slowness=1.0):
        for number in range(good + bad):
            self.shares.record("s", version, number >= bad, slowness)

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
