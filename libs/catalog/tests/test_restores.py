import unittest
from math import inf

from zinnia_catalog.collections import Collection
from zinnia_catalog.objects import Change, Changes, Listing, ObjectKind, StoredObject
from zinnia_catalog.restores import find_hold_times

HEARTBEAT_S = 1.2
READY, DRAINING = 0, 1


def read_key(item):
    return item.spec if isinstance(item.spec, tuple) else None


class RestoredCollectionTest(unittest.TestCase):
    """The store comes back from a copy at revision 50; it was at revision 60 before.

    Objects of the kinds with an order have their key as spec.
    """

    def make_collection(self, kind, *rows, revision=60):
        collection = Collection(kind, read_key, find_hold_times(kind, HEARTBEAT_S))
        collection.replace(self.make_listing(*rows, revision=revision, era=1))
        return collection

    def make_listing(self, *rows, revision=50, era=2):
        return Listing(tuple(StoredObject(*row) for row in rows), revision, era)

    def restore(self, collection, *rows, revision=50, era=2, now=0.0):
        changes = collection.replace(self.make_listing(*rows, revision=revision, era=era), now)
        return [(change.object.name, change.is_deleted) for change in changes]

    def write(self, collection, name, revision, spec, is_deleted=False):
        change = Change(StoredObject(name, revision, spec), is_deleted)
        collection.advance(Changes((change,), revision, collection.position.era))

    def get_specs(self, collection):
        return {name: item.spec for name, item in collection.objects.items()}

    def test_confirmed_configuration_does_not_go_back(self):
        """Load pattern: the copy has the configuration before the newest one."""
        collection = self.make_collection(ObjectKind.CONFIGURATION, ("main", 58, (12,)))
        self.assertEqual([], self.restore(collection, ("main", 40, (10,))))
        self.assertEqual({"main": (12,)}, self.get_specs(collection))
        self.write(collection, "main", 51, (11,))
        self.assertEqual({"main": (12,)}, self.get_specs(collection))
        self.write(collection, "main", 52, (14,))
        self.assertEqual({"main": (14,)}, self.get_specs(collection))
        self.assertIsNone(collection.find_expiry())

    def test_missing_configuration_is_kept_until_it_is_written_again(self):
        """Load pattern: the copy is from before the first configuration."""
        collection = self.make_collection(ObjectKind.CONFIGURATION, ("main", 58, (12,)))
        self.restore(collection)
        self.assertEqual((), collection.expire_holds(3600.0))
        self.assertEqual({"main": (12,)}, self.get_specs(collection))

    def test_leaving_replica_stays_leaving(self):
        """Load pattern: the copy is from before a replica was draining.

        Guards against requests to it until it writes its entry again.
        """
        collection = self.make_collection(ObjectKind.REPLICAS, ("r", 58, (5, DRAINING)))
        self.assertEqual([], self.restore(collection, ("r", 30, (5, READY))))
        self.assertEqual({"r": (5, DRAINING)}, self.get_specs(collection))
        self.write(collection, "r", 51, (5, DRAINING))
        self.assertEqual({"r": (5, DRAINING)}, self.get_specs(collection))

    def test_restarted_replica_is_used_though_it_was_leaving_before(self):
        """Guards against a replica that starts again under its id and gets nothing."""
        collection = self.make_collection(ObjectKind.REPLICAS, ("r", 58, (5, DRAINING)))
        self.restore(collection, ("r", 30, (5, READY)))
        self.write(collection, "r", 51, (6, READY))
        self.assertEqual({"r": (6, READY)}, self.get_specs(collection))

    def test_replica_that_had_left_does_not_come_back(self):
        """Load pattern: the copy still has the entry of a replica that has ended.

        Guards against requests to it until its entry lapses again.
        """
        collection = self.make_collection(ObjectKind.REPLICAS, ("r", 30, (5, READY)), revision=55)
        self.write(collection, "r", 58, (5, DRAINING))
        self.write(collection, "r", 60, None, is_deleted=True)
        self.assertEqual([], self.restore(collection, ("r", 30, (5, READY))))
        self.assertEqual({}, self.get_specs(collection))
        self.write(collection, "r", 55, (5, READY), is_deleted=True)
        self.assertEqual((), collection.expire_holds(60.0))
        self.assertEqual({}, self.get_specs(collection))

    def test_replica_whose_entry_had_lapsed_is_used_if_it_renews_its_entry(self):
        """Load pattern: a replica was cut off before, and renews its restored entry unchanged.

        Guards against a running replica that gets nothing for good.
        """
        collection = self.make_collection(ObjectKind.REPLICAS, ("r", 30, (5, READY)))
        self.write(collection, "r", 61, None, is_deleted=True)
        self.restore(collection, ("r", 30, (5, READY)), now=100.0)
        due = collection.find_expiry()
        self.assertGreater(due, 100.0 + 3 * HEARTBEAT_S)
        self.assertEqual(1, len(collection.expire_holds(due)))
        self.assertEqual({"r": (5, READY)}, self.get_specs(collection))

    def test_replica_that_the_copy_lacks_is_kept_until_it_is_written_again(self):
        """Load pattern: replicas that have started after the copy was made write again in 2 s."""
        collection = self.make_collection(ObjectKind.REPLICAS, ("r", 58, (5, READY)))
        self.assertEqual([], self.restore(collection))
        self.write(collection, "r", 51, (5, READY))
        self.assertEqual((), collection.expire_holds(60.0))
        self.assertEqual({"r": (5, READY)}, self.get_specs(collection))

    def test_replica_that_is_not_written_again_is_gone(self):
        """Guards against requests to a replica that has crashed while the store was away."""
        collection = self.make_collection(ObjectKind.REPLICAS, ("r", 58, (5, READY)))
        self.restore(collection, now=100.0)
        self.assertEqual((), collection.expire_holds(101.9))
        removed = collection.expire_holds(102.0)
        self.assertEqual([("r", True)], [(row.object.name, row.is_deleted) for row in removed])

    def test_data_centre_stays_out_until_its_evacuation_is_written_again(self):
        """Load pattern: the copy is from before an evacuation."""
        collection = self.make_collection(ObjectKind.DATA_CENTRES_OUT, ("dc1", 58, {}))
        self.assertEqual([], self.restore(collection))
        self.assertEqual({"dc1": {}}, self.get_specs(collection))
        self.write(collection, "dc1", 51, {})
        self.write(collection, "dc1", 52, {}, is_deleted=True)
        self.assertEqual({}, self.get_specs(collection))

    def test_evacuation_that_was_ended_does_not_come_back(self):
        """Load pattern: the copy still has an evacuation that its operator has ended."""
        collection = self.make_collection(ObjectKind.DATA_CENTRES_OUT, ("dc1", 40, {}))
        self.write(collection, "dc1", 61, {}, is_deleted=True)
        self.assertEqual([], self.restore(collection, ("dc1", 40, {})))
        self.assertEqual({}, self.get_specs(collection))
        self.write(collection, "dc1", 51, {}, is_deleted=True)
        self.assertIsNone(collection.find_expiry())

    def test_evacuation_that_is_ordered_after_the_restoration_counts(self):
        """Load pattern: an evacuation is ended, the store is restored, and it is ordered anew.

        Guards against a new order that is taken for the old one.
        """
        collection = self.make_collection(ObjectKind.DATA_CENTRES_OUT, ("dc1", 40, {}))
        self.write(collection, "dc1", 61, {}, is_deleted=True)
        self.assertEqual([("dc1", False)], self.restore(collection, ("dc1", 51, {}), revision=51))

    def test_release_stays_ordered_until_it_is_written_again(self):
        """Load pattern: the copy is from before an order; guards against a version in full use."""
        collection = self.make_collection(ObjectKind.RELEASES, ("s", 58, {"target": "v2"}))
        self.assertEqual([], self.restore(collection))
        self.assertEqual({"s": {"target": "v2"}}, self.get_specs(collection))

    def test_order_before_the_newest_one_does_not_come_back(self):
        """Load pattern: the copy has the order before the newest one."""
        collection = self.make_collection(ObjectKind.RELEASES, ("s", 58, {"target": "v3"}))
        self.assertEqual([], self.restore(collection, ("s", 40, {"target": "v2"})))
        self.assertEqual({"s": {"target": "v3"}}, self.get_specs(collection))
        self.write(collection, "s", 51, {"target": "v4"})
        self.assertEqual({"s": {"target": "v4"}}, self.get_specs(collection))

    def test_members_that_the_copy_lacks_are_kept(self):
        """Guards against VMs that count each other as lost and use larger shares."""
        collection = self.make_collection(ObjectKind.MEMBERS, ("vm-1", 58, {}))
        self.restore(collection)
        collection.expire_holds(3600.0)
        self.assertEqual({"vm-1": {}}, self.get_specs(collection))

    def test_two_restorations_in_a_row_keep_what_was_known(self):
        """Load pattern: the store comes back from a copy, and soon again from the same one."""
        collection = self.make_collection(ObjectKind.DATA_CENTRES_OUT, ("dc1", 58, {}))
        self.restore(collection, now=100.0)
        self.assertEqual([], self.restore(collection, era=3, now=104.0))
        self.assertEqual((), collection.expire_holds(106.0))
        self.assertEqual({"dc1": {}}, self.get_specs(collection))

    def test_later_listing_of_the_same_era_keeps_the_holds(self):
        """Load pattern: the store drops its history soon after it was restored."""
        collection = self.make_collection(
            ObjectKind.DATA_CENTRES_OUT, ("dc1", 58, {}), ("dc2", 40, {})
        )
        self.write(collection, "dc2", 61, {}, is_deleted=True)
        self.restore(collection, ("dc2", 40, {}))
        self.assertEqual([], self.restore(collection, ("dc2", 40, {}), revision=53))
        self.assertEqual({"dc1": {}}, self.get_specs(collection))
        self.assertEqual([("dc1", False)], self.restore(collection, ("dc1", 54, {}), revision=54))
        self.assertIsNone(collection.find_expiry())

    def test_vm_that_starts_meanwhile_adopts_the_holds_of_a_peer(self):
        """Load pattern: a VM starts between the store's return and the writes that it has lost."""
        known = self.make_collection(ObjectKind.DATA_CENTRES_OUT, ("dc1", 58, {}), ("dc2", 40, {}))
        self.write(known, "dc2", 61, {}, is_deleted=True)
        self.restore(known, ("dc2", 40, {}), now=100.0)
        started = Collection(ObjectKind.DATA_CENTRES_OUT)
        self.restore(started, ("dc2", 40, {}))
        changes = started.adopt_holds(known.list_holds(103.0), 103.0)
        self.assertEqual(2, len(changes))
        self.assertEqual({"dc1": {}}, self.get_specs(started))
        self.assertEqual(known.find_expiry(), started.find_expiry())

    def test_expired_hold_of_a_peer_is_not_adopted_again(self):
        """Guards against VMs that pass a hold back and forth so that it never ends."""
        known = self.make_collection(ObjectKind.DATA_CENTRES_OUT, ("dc1", 58, {}))
        self.restore(known, now=100.0)
        late = known.list_holds(102.0)
        known.expire_holds(105.0)
        self.assertEqual((), known.adopt_holds(late, 105.0))
        self.assertEqual({}, self.get_specs(known))

    def test_configuration_hold_has_no_end(self):
        """Guards against an older configuration that comes into force after a time."""
        self.assertEqual(inf, find_hold_times(ObjectKind.CONFIGURATION).present_s)
