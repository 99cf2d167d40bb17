import unittest

from zinnia_catalog.collections import MAX_HISTORY_CHANGES, Collection
from zinnia_catalog.objects import (
    Change,
    Changes,
    Listing,
    ObjectKind,
    StoredObject,
    StorePosition,
)


def make_object(name, revision, spec=None):
    return StoredObject(name, revision, spec)


def make_collection(*objects, revision=10):
    collection = Collection(ObjectKind.REPLICAS)
    collection.replace(Listing(tuple(objects), revision))
    return collection


class CollectionTest(unittest.TestCase):
    def test_listing_reports_added_changed_and_removed_objects(self):
        """Guards against keeping a replica that the listing no longer contains."""
        collection = make_collection(make_object("a", 1), make_object("b", 2))
        changes = collection.replace(Listing((make_object("b", 12), make_object("c", 11)), 20))
        found = [(change.object.name, change.is_deleted) for change in changes]
        self.assertEqual([("a", True), ("b", False), ("c", False)], found)

    def test_older_listing_changes_nothing(self):
        """Guards against a stale read that reverts the collection."""
        collection = make_collection(make_object("a", 15), revision=20)
        self.assertEqual((), collection.replace(Listing((), 19)))
        self.assertIn("a", collection.objects)

    def test_removal_that_is_older_than_the_object_is_ignored(self):
        """Guards against a late update from a peer that removes a rewritten entry."""
        collection = make_collection(make_object("a", 15), revision=15)
        update = Changes(
            (Change(make_object("a", 12), True), Change(make_object("a", 15), False)), 15
        )
        self.assertEqual((), collection.advance(update))
        self.assertIn("a", collection.objects)

    def test_object_removed_and_rewritten_in_one_update_is_kept(self):
        """Guards against losing a replica whose removal and new entry arrive together."""
        collection = make_collection(make_object("a", 5))
        update = Changes(
            (Change(make_object("a", 11), True), Change(make_object("a", 12), False)), 12
        )
        self.assertEqual(2, len(collection.advance(update)))
        self.assertEqual(12, collection.objects["a"].revision)

    def test_changes_since_a_revision_are_kept_for_peers(self):
        """Guards against sending each follower a full listing after each change."""
        collection = make_collection(make_object("a", 5))
        collection.advance(Changes((Change(make_object("b", 11), False),), 11))
        collection.advance(Changes((Change(make_object("c", 12), False),), 12))
        names = [
            change.object.name for change in collection.find_changes(StorePosition(0, 11)).changes
        ]
        self.assertEqual(["c"], names)

    def test_revision_before_the_history_needs_a_listing(self):
        """Guards against a follower that misses changes dropped from the history."""
        collection = make_collection(revision=10)
        self.assertIsNone(collection.find_changes(StorePosition(0, 9)))
        for revision in range(11, 11 + MAX_HISTORY_CHANGES + 1):
            collection.advance(Changes((Change(make_object("a", revision), False),), revision))
        self.assertIsNone(collection.find_changes(StorePosition(0, 10)))

    def test_listing_after_a_lost_history_is_recorded_as_changes(self):
        """Load pattern: the store drops its history while many VMs follow a watcher.

        Guards against sending all objects to each follower.
        """
        collection = make_collection(make_object("a", 5), make_object("b", 6))
        collection.replace(Listing((make_object("b", 6), make_object("c", 15)), 20))
        found = collection.find_changes(StorePosition(0, 10)).changes
        self.assertEqual(
            [("a", True), ("c", False)], [(c.object.name, c.is_deleted) for c in found]
        )

    def test_only_the_last_change_of_an_object_is_returned(self):
        """Load pattern: replicas that warm up change their entries with each heartbeat.

        Guards against sending followers every intermediate state.
        """
        collection = make_collection(make_object("a", 5))
        for revision in range(11, 20):
            update = Changes((Change(make_object("a", revision), False),), revision)
            collection.advance(update)
        found = collection.find_changes(StorePosition(0, 10)).changes
        self.assertEqual([19], [change.object.revision for change in found])

    def test_listing_of_a_new_era_counts_though_its_revision_is_lower(self):
        """Load pattern: the store was restored from a copy and gives its revisions out again.

        Guards against a VM that ignores the store until its revisions are as high as before.
        """
        collection = Collection(ObjectKind.REPLICAS, lambda item: (item.spec,))
        collection.replace(Listing((make_object("a", 15, 1),), 20))
        changes = collection.replace(Listing((make_object("a", 12, 2),), 13, era=1))
        self.assertEqual([2], [change.object.spec for change in changes])
        update = Changes((Change(make_object("a", 14, 3), False),), 14, era=1)
        self.assertEqual(1, len(collection.advance(update)))

    def test_revision_of_another_era_needs_a_listing(self):
        """Load pattern: a follower has revision 20 of the era before; the store is at 25 again.

        Guards against a follower that gets only the changes after a revision that it never had.
        """
        collection = make_collection(make_object("a", 15), revision=20)
        collection.replace(Listing((make_object("a", 12),), 13, era=1))
        collection.advance(Changes((Change(make_object("b", 25), False),), 25, era=1))
        self.assertIsNone(collection.find_changes(StorePosition(0, 20)))
        self.assertIsNone(collection.find_changes(StorePosition(1, 12)))
        self.assertEqual(1, len(collection.find_changes(StorePosition(1, 13)).changes))

    def test_late_replies_of_an_earlier_era_change_nothing(self):
        """Guards against a reply from before the store was restored that arrives after it."""
        collection = make_collection(revision=20)
        collection.replace(Listing((), 13, era=1))
        self.assertEqual((), collection.replace(Listing((make_object("a", 30),), 30)))
        update = Changes((Change(make_object("a", 31), False),), 31)
        self.assertEqual((), collection.advance(update))
        self.assertEqual({}, collection.objects)
