import unittest

from zinnia_catalog.catalog import Catalog, CatalogListener, ObjectDecoder
from zinnia_catalog.objects import Change, ObjectKind, StoredObject
from zinnia_catalog.replicas import ReplicaEntry
from zinnia_catalog.restores import REANNOUNCE_TIMEOUT_S
from zinnia_catalog.routes import CallerLimits, Configuration


class FakeDecoder(ObjectDecoder):
    def decode_configuration(self, item):
        return Configuration(item.spec, (), {}, CallerLimits())

    def decode_replica(self, item):
        if item.spec is None:
            return None
        return ReplicaEntry(item.name, "s", "h", 1, "dc", "v1", 2, item.spec == "draining", 0.0, 0)

    def decode_release(self, item):
        return None

    def read_order_key(self, kind, item):
        return None


class FakeListener(CatalogListener):
    def __init__(self):
        self.events = []

    def adopt_configuration(self, configuration):
        self.events.append(("configuration", configuration.version))

    def update_replica(self, entry):
        self.events.append(("replica", entry.id))

    def remove_replica(self, replica, reason):
        self.events.append(("removed", replica))

    def hold_replica(self, replica, hold_s):
        self.events.append(("held", replica, round(hold_s, 3)))

    def change_data_centre(self, data_centre, is_out):
        self.events.append(("data_centre", data_centre, is_out))

    def change_release(self, service, order):
        self.events.append(("release", service))


class CatalogTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.listener = FakeListener()
        self.catalog = Catalog(FakeDecoder(), self.listener, lambda: self.now)

    def write(self, kind, name, spec):
        change = Change(StoredObject(name, 1, spec), False)
        self.catalog.apply(kind, (change,), None)

    def remove(self, name, after_outage):
        """Remove a replica; with ``after_outage``, an outage of the store has ended at time 0."""
        change = Change(StoredObject(name, 2, None), True)
        hold_until = REANNOUNCE_TIMEOUT_S if after_outage else None
        self.catalog.apply(ObjectKind.REPLICAS, (change,), hold_until)

    def test_older_configuration_is_never_adopted(self):
        """Guards against going back to an older configuration when the store serves a stale one."""
        self.write(ObjectKind.CONFIGURATION, "main", 7)
        self.write(ObjectKind.CONFIGURATION, "main", 6)
        self.assertEqual([("configuration", 7)], self.listener.events)

    def test_entry_that_lapsed_in_an_outage_is_kept_for_the_reannounce_timeout(self):
        """Guards against dropping running replicas whose entries lapsed during a store outage."""
        self.write(ObjectKind.REPLICAS, "r", "ready")
        self.remove("r", after_outage=True)
        self.now = REANNOUNCE_TIMEOUT_S - 0.1
        self.catalog.expire_lapsed()
        self.assertIn("r", self.catalog.replicas)
        self.now = REANNOUNCE_TIMEOUT_S
        self.catalog.expire_lapsed()
        self.assertNotIn("r", self.catalog.replicas)

    def test_replica_that_left_as_an_outage_ended_is_removed_before_it_stops_serving(self):
        """Load pattern: VMs are cut off from the store and learn 0.64 s late that a replica left.

        Guards against sending to a replica more than 3 s after its entry was removed. 0.2 s of them
        are allowed for a request that is already under way.
        """
        self.write(ObjectKind.REPLICAS, "r", "ready")
        self.now = 0.64
        self.remove("r", after_outage=True)
        self.now = self.catalog.find_expiry()
        self.catalog.expire_lapsed()
        self.assertNotIn("r", self.catalog.replicas)
        self.assertIsNone(self.catalog.find_expiry())
        self.assertLess(self.now, 3.0 - 0.2)

    def test_entry_is_held_from_the_end_of_the_outage(self):
        """Load pattern: a VM hears of a removal 1.5 s after the end of an outage, or later.

        Guards against a hold that begins anew with each VM, from the time at which it hears of it.
        """
        self.write(ObjectKind.REPLICAS, "r", "ready")
        self.now = 1.5
        self.remove("r", after_outage=True)
        self.assertEqual(("held", "r", 0.5), self.listener.events[-1])
        self.write(ObjectKind.REPLICAS, "r", "ready")
        self.now = REANNOUNCE_TIMEOUT_S
        self.remove("r", after_outage=True)
        self.assertEqual(("removed", "r"), self.listener.events[-1])

    def test_entry_that_is_rewritten_after_an_outage_is_kept(self):
        """Guards against removing a replica that registered again in time."""
        self.write(ObjectKind.REPLICAS, "r", "ready")
        self.remove("r", after_outage=True)
        self.write(ObjectKind.REPLICAS, "r", "ready")
        self.now = REANNOUNCE_TIMEOUT_S * 2
        self.catalog.expire_lapsed()
        self.assertIn("r", self.catalog.replicas)

    def test_entry_that_is_removed_without_an_outage_is_dropped_at_once(self):
        """Guards against sending requests to a replica that has left."""
        self.write(ObjectKind.REPLICAS, "r", "ready")
        self.remove("r", after_outage=False)
        self.assertEqual(("removed", "r"), self.listener.events[-1])

    def test_draining_entry_that_lapses_in_an_outage_is_dropped_at_once(self):
        """Guards against keeping a replica that announced its shutdown before the outage."""
        self.write(ObjectKind.REPLICAS, "r", "draining")
        self.remove("r", after_outage=True)
        self.assertNotIn("r", self.catalog.replicas)

    def test_invalid_entry_removes_only_its_own_replica(self):
        """Guards against losing all replicas because one entry is not valid."""
        self.write(ObjectKind.REPLICAS, "a", "ready")
        self.write(ObjectKind.REPLICAS, "b", "ready")
        self.write(ObjectKind.REPLICAS, "b", None)
        self.assertEqual({"a"}, set(self.catalog.replicas))
