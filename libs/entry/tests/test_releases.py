import unittest

import trio
import trio.testing
from fakes import FakeStore, RecordingSink

from zinnia_catalog.objects import WriteConflictError
from zinnia_catalog.releases import ReleaseOrder, ReleaseState
from zinnia_entry.releases import DONE_PART, RANK_DELAY_S, ReleaseDriver
from zinnia_sending.events import NullSink
from zinnia_sending.versions import VersionShares

DURATION_S = 12.0


class ReleaseDriverTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.store = FakeStore()
        self.events = RecordingSink()
        self.versions = VersionShares(NullSink())
        self.driver = self.make_driver(0)
        self.order(ReleaseState.RUNNING)

    def make_driver(self, rank):
        return ReleaseDriver(self.versions, self.store, lambda: rank, self.events, lambda: self.now)

    def order(self, state):
        self.versions.change_order("s", ReleaseOrder("s", "v2", DURATION_S, state, 3), self.now)

    def decide(self, driver=None):
        return (driver or self.driver).decide(self.versions.list_moves()[0])

    def test_good_version_is_done_before_its_time_is_over(self):
        """Guards against a move that is still open at its named hour."""
        self.now = DURATION_S * DONE_PART - 0.1
        self.assertIsNone(self.decide())
        self.now = DURATION_S * DONE_PART
        self.assertIs(ReleaseState.DONE, self.decide())

    def test_rejected_version_is_taken_back_at_once_by_any_vm(self):
        """Load pattern: a bad version fails at once. Guards against waiting for the first VM."""
        for _ in range(5):
            self.versions.record("s", "v2", False, 1.0)
        self.assertIs(ReleaseState.TAKEN_BACK, self.decide(self.make_driver(7)))

    def test_order_is_acknowledged_by_one_vm_first(self):
        """Guards against a write by every VM for each order."""
        self.versions = VersionShares(NullSink())
        self.order(ReleaseState.ORDERED)
        self.assertIs(ReleaseState.RUNNING, self.decide(self.make_driver(0)))
        self.assertIsNone(self.decide(self.make_driver(1)))
        self.now = RANK_DELAY_S
        self.assertIs(ReleaseState.RUNNING, self.decide(self.make_driver(1)))

    def test_ended_move_is_left_alone(self):
        """Guards against a verdict that is written over another."""
        self.order(ReleaseState.TAKEN_BACK)
        self.now = DURATION_S
        self.assertIsNone(self.decide())

    def test_lost_race_is_no_error(self):
        """Load pattern: two VMs decide at the same moment."""
        self.store.write_error = WriteConflictError()
        self.now = DURATION_S

        async def main():
            with trio.move_on_after(1.0):
                await self.driver.run()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertIn("release_conflict", self.events.list_events())
