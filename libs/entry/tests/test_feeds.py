import unittest
from random import Random

import trio
import trio.testing
from fakes import FakeStore, RecordingSink

from zinnia_catalog.objects import (
    Change,
    Changes,
    HistoryLostError,
    Listing,
    ObjectKind,
    StoredObject,
    StoreError,
)
from zinnia_catalog.restores import REANNOUNCE_TIMEOUT_S
from zinnia_entry.feeds import BATCH_DELAY_S, StoreFeed
from zinnia_entry.metrics import Metrics
from zinnia_relay.store_cache import StoreCache

KIND = ObjectKind.REPLICAS


def make_object(name, revision):
    return StoredObject(name, revision, {})


def list_names(store_cache):
    """Return the names of the objects that the store has, as far as they are known."""
    return {item.name for item in store_cache.collections[KIND].make_listing().objects}


class RestoredStore(FakeStore):
    """A store that is restored after 0.5 s, and whose watches end after their wait."""

    async def list(self, kind, allow_stale=False):
        return Listing((), 7, self.era)

    async def watch(self, kind, revision, wait_s):
        await trio.sleep(0.2 if kind is KIND else wait_s)
        return Changes((), 7, self.era)

    @property
    def era(self):
        return 1 if trio.current_time() < 0.5 else 2


class StoreFeedTest(unittest.TestCase):
    def setUp(self):
        self.store = FakeStore()
        self.events = RecordingSink()
        self.applied = []

    def run_feed(self, seconds, calls=None):
        async def main():
            store_cache = StoreCache((KIND,), lambda *row: self.applied.append(row))
            feed = StoreFeed(KIND, self.store, store_cache, Metrics(), self.events, Random(1))
            with trio.move_on_after(seconds):
                await feed.run()
            store_cache.ages = {KIND: store_cache.get_age(KIND)}
            return store_cache

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def fail_after(self, replies):
        """Return replies followed by failures, so that the feed waits between its calls."""
        return [*replies, *[StoreError("unavailable")] * 1000]

    def test_watch_continues_from_the_revision_of_the_listing(self):
        """Guards against losing changes between a listing and the watch that follows."""
        self.store.lists = [Listing((make_object("a", 4),), 7)]
        update = Changes((Change(make_object("b", 8), False),), 8)
        self.store.watches = self.fail_after([update])
        self.run_feed(1.0)
        self.assertEqual([("list", KIND), ("watch", 7), ("watch", 8)], self.store.calls[:3])

    def test_lost_history_is_followed_by_a_new_listing(self):
        """Load pattern: the store discards its history. Guards against keeping removed objects."""
        self.store.lists = [Listing((make_object("a", 4),), 7), Listing((), 20)]
        self.store.watches = self.fail_after([HistoryLostError()])
        store_cache = self.run_feed(1.0)
        self.assertEqual({}, store_cache.collections[KIND].objects)

    def test_listing_at_a_lower_revision_is_logged_once(self):
        """Load pattern: the store was restored. Guards against a log that lacks the cause."""
        self.store.lists = [Listing((make_object("a", 4),), 7), *[Listing((), 6)] * 5]
        self.store.watches = [HistoryLostError()] * 5 + self.fail_after([])
        self.run_feed(2.0)
        self.assertEqual(1, self.events.list_events().count("store_behind"))

    def test_listing_that_is_behind_does_not_confirm_the_copy(self):
        """Guards against a copy that counts as current because an ignored call was answered."""
        self.store.lists = [Listing((), 7), *[Listing((), 6)] * 50]
        self.store.watches = [HistoryLostError()] + self.fail_after([])
        store_cache = self.run_feed(6.0)
        self.assertGreater(store_cache.ages[KIND], 5.0)
        self.assertLess(len(self.store.calls), 12)

    def test_restored_store_is_followed_at_its_lower_revisions(self):
        """Load pattern: the store was restored from a copy, and doesn't have the watched revision.

        Guards against VMs that ignore it until its revisions are as high as before.
        """
        self.store.lists = [
            Listing((make_object("a", 4),), 70, 1),
            Listing((make_object("b", 9),), 9, 2),
        ]
        update = Changes((Change(make_object("c", 10), False),), 10, 2)
        self.store.watches = [HistoryLostError(), update, *self.fail_after([])]
        store_cache = self.run_feed(1.0)
        self.assertEqual({"b", "c"}, list_names(store_cache))
        self.assertIn("store_restored", self.events.list_events())

    def test_watched_revision_that_was_given_out_again_is_noticed(self):
        """Load pattern: the store was restored, and has written as many changes as it had lost.

        Guards against a watch that goes on from a revision with other contents.
        """
        self.store.lists = [
            Listing((make_object("a", 4),), 7, 1),
            Listing((make_object("b", 7),), 7, 2),
        ]
        self.store.watches = [Changes((), 7, 2), *self.fail_after([])]
        store_cache = self.run_feed(1.0)
        self.assertEqual({"b"}, list_names(store_cache))

    def test_all_kinds_are_listed_as_soon_as_one_knows_of_a_new_era(self):
        """Load pattern: the store was restored; a kind that rarely changes is watched for 3 s.

        Guards against an evacuation that is ended unseen between the restoration and the listing.
        """

        async def main():
            kinds = (KIND, ObjectKind.DATA_CENTRES_OUT)
            store = RestoredStore()
            store_cache = StoreCache(kinds, lambda *_: None)
            feeds = [
                StoreFeed(kind, store, store_cache, Metrics(), self.events, Random(1))
                for kind in kinds
            ]
            with trio.move_on_after(1.0):
                async with trio.open_nursery() as nursery:
                    for feed in feeds:
                        nursery.start_soon(feed.run)
            return {kind: store_cache.collections[kind].position.era for kind in kinds}

        eras = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual({2}, set(eras.values()))

    def test_first_watch_after_an_outage_returns_at_once(self):
        """Load pattern: the store comes back from a copy and accepts the watched revision.

        Guards against learning of the new era at the end of the watch only.
        """
        self.store.lists = [Listing((), 7)]
        self.store.watches = [StoreError("unavailable"), Changes((), 7), *self.fail_after([])]
        self.store.waits = []
        self.run_feed(1.0)
        self.assertEqual(0.0, self.store.waits[1])
        self.assertGreater(self.store.waits[0], 1.0)

    def test_start_and_end_of_an_outage_are_each_logged_once(self):
        """Load pattern: the store is down for seconds. Guards against a log line for each retry."""
        self.store.lists = [StoreError("unavailable")] * 3 + [Listing((), 5)]
        self.store.watches = self.fail_after([])
        self.run_feed(2.5)
        names = self.events.list_events()
        self.assertEqual(["store_lost", "store_regained", "store_lost"], names)

    def test_delays_between_failed_calls_grow(self):
        """Guards against many calls during an outage; the store charges for failed calls, too."""
        self.store.lists = [StoreError("unavailable")] * 1000
        self.run_feed(10.0)
        self.assertLess(len(self.store.calls), 16)
        self.assertGreater(len(self.store.calls), 5)

    def test_removal_soon_after_an_outage_is_marked(self):
        """Load pattern: entries of running replicas expire during a store outage.

        Guards against treating these replicas as removed.
        """
        before, after = self.find_hold_ends([StoreError("unavailable")] * 6)
        self.assertIsNone(before)
        self.assertGreater(after, 2.4 + REANNOUNCE_TIMEOUT_S)

    def test_removal_soon_after_a_failed_call_is_not_marked(self):
        """Load pattern: a connection to the store is reset while replicas leave.

        Guards against taking one failed call for an outage, in which entries may lapse.
        """
        for failures in (1, 2):
            with self.subTest(failures=failures):
                self.applied.clear()
                ends = self.find_hold_ends([StoreError("unavailable")] * failures)
                self.assertEqual([None, None], ends)

    def find_hold_ends(self, failures):
        """Let calls fail between a listing and a removal; return what is applied with each."""
        removal = Changes((Change(make_object("a", 9), True),), 9)
        self.store.lists = [Listing((make_object("a", 4),), 7)]
        self.store.watches = self.fail_after([*failures, removal])
        self.run_feed(12.0)
        return [row[2] for row in self.applied]

    def test_changes_of_many_replicas_are_fetched_in_batches(self):
        """Load pattern: an index is repartitioned and many replicas register one by one.

        Guards against one call of the store per registration.
        """
        self.store.lists = [Listing((), 7)]
        self.store.watches = [
            Changes((Change(make_object(f"r{n}", n), False),), n) for n in range(8, 200)
        ]
        self.run_feed(1.0)
        self.assertLessEqual(len(self.store.calls), 2 + 1.0 / BATCH_DELAY_S[KIND])
