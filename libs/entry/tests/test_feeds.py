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
from zinnia_entry.feeds import GATHER_S, StoreFeed
from zinnia_entry.metrics import Metrics
from zinnia_relay.store_cache import StoreCache

KIND = ObjectKind.REPLICAS


def make_object(name, revision):
    return StoredObject(name, revision, {})


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
            return store_cache

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def stop_after(self, replies):
        """Let the store fail for ever after some replies, so that the feed pauses."""
        return [*replies, *[StoreError("away")] * 1000]

    def test_watch_goes_on_from_the_listing(self):
        """Guards against changes that are missed between a listing and the watch."""
        self.store.lists = [Listing((make_object("a", 4),), 7)]
        news = Changes((Change(make_object("b", 8), False),), 8)
        self.store.watches = self.stop_after([news])
        self.run_feed(1.0)
        self.assertEqual([("list", KIND), ("watch", 7), ("watch", 8)], self.store.calls[:3])

    def test_lost_history_leads_to_a_listing(self):
        """Load pattern: the store forgets its history."""
        self.store.lists = [Listing((make_object("a", 4),), 7), Listing((), 20)]
        self.store.watches = self.stop_after([HistoryLostError()])
        store_cache = self.run_feed(1.0)
        self.assertEqual({}, store_cache.collections[KIND].objects)

    def test_outage_is_told_once_and_its_end_too(self):
        """Load pattern: the store is down for some seconds. Guards against a line for each try."""
        self.store.lists = [StoreError("away")] * 3 + [Listing((), 5)]
        self.store.watches = self.stop_after([])
        self.run_feed(2.5)
        names = self.events.names()
        self.assertEqual(["store_lost", "store_regained", "store_lost"], names)

    def test_pauses_between_failed_calls_grow(self):
        """Guards against calls that are priced and cannot succeed."""
        self.store.lists = [StoreError("away")] * 1000
        self.run_feed(10.0)
        self.assertLess(len(self.store.calls), 16)
        self.assertGreater(len(self.store.calls), 5)

    def test_removal_soon_after_an_outage_is_told_as_such(self):
        """Load pattern: entries of living replicas lapse while the store is away."""
        gone = Changes((Change(make_object("a", 9), True),), 9)
        self.store.lists = [Listing((make_object("a", 4),), 7)]
        self.store.watches = self.stop_after([StoreError("away"), gone])
        self.run_feed(2.0)
        self.assertEqual([False, True], [row[2] for row in self.applied])

    def test_changes_of_many_replicas_are_gathered(self):
        """Load pattern: an index is repartitioned and many replicas register one by one.

        Guards against a call to the store for each of them.
        """
        self.store.lists = [Listing((), 7)]
        self.store.watches = [
            Changes((Change(make_object(f"r{n}", n), False),), n) for n in range(8, 200)
        ]
        self.run_feed(1.0)
        self.assertLessEqual(len(self.store.calls), 2 + 1.0 / GATHER_S[KIND])
