import unittest

import trio
import trio.testing
from fakes import FakeStore, RecordingSink

from zinnia_catalog.objects import Listing, WriteConflictError
from zinnia_catalog.releases import ReleaseOrder, ReleaseState
from zinnia_entry.releases import (
    DONE_MARGIN_FRACTION,
    ENOUGH_ANSWERS,
    LAST_MARGIN_FRACTION,
    RANK_DELAY_S,
    ReleaseDriver,
)
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
        self.set_order(ReleaseState.RUNNING)

    def make_driver(self, rank):
        return ReleaseDriver(self.versions, self.store, lambda: rank, self.events, lambda: self.now)

    def set_order(self, state):
        self.versions.change_order("s", ReleaseOrder("s", "v2", DURATION_S, state, 3), self.now)

    def record(self, good, bad):
        for number in range(good + bad):
            failure = None if number >= bad else "status 500"
            self.versions.record("s", "v2", failure, 1.0, self.now)

    def choose_state(self, driver=None):
        return (driver or self.driver).choose_state(self.versions.list_moves()[0])

    def test_move_to_a_good_version_is_done_before_its_duration_ends(self):
        """Guards against a move that is still open at the end of its ordered duration."""
        self.record(good=ENOUGH_ANSWERS, bad=0)
        self.now = DURATION_S * (1.0 - DONE_MARGIN_FRACTION) - 0.1
        self.assertIsNone(self.choose_state())
        self.now = DURATION_S * (1.0 - DONE_MARGIN_FRACTION)
        self.assertIs(ReleaseState.DONE, self.choose_state())

    def test_move_with_few_answers_is_decided_later_but_in_time(self):
        """Load pattern: the service gets few requests. Guards against a choice on two answers."""
        self.record(good=ENOUGH_ANSWERS - 1, bad=0)
        self.now = DURATION_S * (1.0 - LAST_MARGIN_FRACTION) - 0.1
        self.assertIsNone(self.choose_state())
        self.now = DURATION_S * (1.0 - LAST_MARGIN_FRACTION)
        self.assertIs(ReleaseState.DONE, self.choose_state())

    def test_version_with_some_bad_answers_is_taken_back_at_the_end(self):
        """Load pattern: the service gets few requests, and one of two answers is bad.

        Guards against a version that takes over although most of what is known is against it.
        """
        self.record(good=1, bad=1)
        self.now = DURATION_S * (1.0 - LAST_MARGIN_FRACTION)
        self.assertIs(ReleaseState.TAKEN_BACK, self.choose_state())

    def test_rejected_version_is_taken_back_at_once_by_every_vm(self):
        """Load pattern: a bad version fails at once. Guards against waiting for rank 0."""
        for _ in range(5):
            self.versions.record("s", "v2", "status 500", 1.0, self.now)
        self.assertIs(ReleaseState.TAKEN_BACK, self.choose_state(self.make_driver(7)))

    def test_first_ranked_vm_acknowledges_an_order_first(self):
        """Guards against one write per VM for each order."""
        self.versions = VersionShares(NullSink())
        self.set_order(ReleaseState.ORDERED)
        self.assertIs(ReleaseState.RUNNING, self.choose_state(self.make_driver(0)))
        self.assertIsNone(self.choose_state(self.make_driver(1)))
        self.now = RANK_DELAY_S
        self.assertIs(ReleaseState.RUNNING, self.choose_state(self.make_driver(1)))

    def test_state_of_an_ended_move_is_not_changed(self):
        """Guards against overwriting the final state of a move."""
        self.set_order(ReleaseState.TAKEN_BACK)
        self.now = DURATION_S
        self.assertIsNone(self.choose_state())

    def test_end_state_that_the_store_has_lost_is_written_again(self):
        """Load pattern: the store was restored from a copy in which the move is running."""
        self.set_order(ReleaseState.DONE)
        self.set_order(ReleaseState.RUNNING)
        self.assertIs(ReleaseState.DONE, self.choose_state(self.make_driver(7)))

    def test_orders_are_read_again_after_a_write_conflict(self):
        """Load pattern: the copy of this VM is behind the store.

        Guards against a rejection that is never written because its revision is an old one.
        """
        self.store.write_error = WriteConflictError()
        self.store.lists = [Listing((), 9)] * 100
        self.now = DURATION_S
        listings = []
        driver = ReleaseDriver(
            self.versions, self.store, lambda: 0, self.events, lambda: self.now, listings.append
        )

        async def main():
            with trio.move_on_after(1.0):
                await driver.run()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(Listing((), 9), listings[0])

    def test_write_conflict_is_logged_and_not_raised(self):
        """Load pattern: two VMs write at the same time. Guards against ending the review task."""
        self.store.write_error = WriteConflictError()
        self.now = DURATION_S

        async def main():
            with trio.move_on_after(1.0):
                await self.driver.run()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertIn("release_conflict", self.events.list_events())
