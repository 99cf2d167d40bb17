import unittest
from random import Random

import trio
import trio.testing
from fakes import FakeStore, RecordingSink

from zinnia_catalog.collections import Collection
from zinnia_catalog.members import Member
from zinnia_catalog.objects import Listing, ObjectKind, StoredObject, StoreError
from zinnia_entry.registration import FIRST_MEMBERS_INTERVAL_S, MEMBERS_INTERVAL_S, Registration
from zinnia_relay.store_cache import StoreCache

OWN = Member("vm-1", "127.0.0.1:1", "dc1")
OTHER = Member("vm-2", "127.0.0.1:2", "dc1")


class MembersStore(FakeStore):
    """Keeps registrations in one era; replies with ``error`` if there is one."""

    def __init__(self):
        super().__init__()
        self.era = 1
        self.names = ["vm-2"]
        # Registered, but missing in stale listings.
        self.unlisted = []
        self.error = None

    async def list(self, kind, allow_stale=False):
        self.calls.append(("list", trio.current_time()))
        if self.error is not None:
            raise self.error
        rows = tuple(StoredObject(name, 5, OTHER.write()) for name in self.names)
        return Listing(rows, 5, self.era)

    async def create(self, kind, name, spec):
        await super().create(kind, name, spec)
        self.names.append(name)
        return name not in self.unlisted


class FakeCatalog:
    def __init__(self):
        self.members = set()

    def apply(self, kind, changes, hold_until):
        for change in changes:
            self.members.add(change.object.name)


class RegistrationTest(unittest.TestCase):
    def run_registration(self, act, seconds, listed=(), unlisted=()):
        self.store, self.catalog, self.events = MembersStore(), FakeCatalog(), RecordingSink()
        self.store.names += listed
        self.store.unlisted += unlisted
        self.notes_of_new_vm = 0

        def note_new_vm():
            self.notes_of_new_vm += 1

        async def main():
            store_cache = StoreCache((ObjectKind.CONFIGURATION,), lambda *_: None)
            store_cache.apply_listing(ObjectKind.CONFIGURATION, Listing((), 3, 1))
            registration = self.registration = Registration(
                OWN,
                self.store,
                Collection(ObjectKind.MEMBERS),
                self.catalog,
                store_cache,
                self.events,
                Random(1),
                note_new_vm,
            )
            with trio.move_on_after(seconds):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(registration.run)
                    await act(store_cache)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def count_registrations(self):
        return self.store.calls.count(("create", "vm-1"))

    async def do_nothing(self, store_cache):
        pass

    def test_vm_registers_once_and_lists_the_others(self):
        """Guards against a write to the store with each listing."""
        self.run_registration(self.do_nothing, 3 * MEMBERS_INTERVAL_S)
        self.assertEqual(1, self.count_registrations())
        self.assertIn("vm-2", self.catalog.members)
        self.assertTrue(self.registration.has_listed)

    def test_vm_is_new_only_if_it_was_never_registered(self):
        """Guards against a process that takes a share which the one before it has used up."""
        self.run_registration(self.do_nothing, 1.0)
        self.assertEqual(1, self.notes_of_new_vm)
        self.run_registration(self.do_nothing, 1.0, listed=["vm-1"])
        self.assertEqual(0, self.notes_of_new_vm)
        self.run_registration(self.do_nothing, 1.0, unlisted=["vm-1"])
        self.assertEqual(0, self.notes_of_new_vm)

    def test_vm_registers_again_after_the_store_was_restored(self):
        """Load pattern: the copy is from before VMs have registered.

        Guards against VMs that started later and count too few others.
        """

        async def restore(store_cache):
            await trio.sleep(4.0)
            self.store.era, self.store.names = 2, []
            store_cache.apply_listing(ObjectKind.CONFIGURATION, Listing((), 2, 2))

        self.run_registration(restore, 4.0 + 2.5 * FIRST_MEMBERS_INTERVAL_S)
        self.assertEqual(2, self.count_registrations())
        self.assertEqual(["vm-1"], self.store.names)
        self.assertEqual(1, self.notes_of_new_vm)

    def test_stale_listing_of_the_era_before_does_not_count(self):
        """Load pattern: a stale read right after the restoration still has the registration."""

        async def restore(store_cache):
            await trio.sleep(4.0)
            store_cache.apply_listing(ObjectKind.CONFIGURATION, Listing((), 2, 2))
            await trio.sleep(1.5)
            self.store.era, self.store.names = 2, []

        self.run_registration(restore, 4.0 + 5.0 * FIRST_MEMBERS_INTERVAL_S)
        self.assertEqual(["vm-1"], self.store.names)

    def test_unavailable_store_is_called_rarely(self):
        """Load pattern: the store is down; guards against many calls by all VMs."""

        async def fail(store_cache):
            self.store.error = StoreError("unavailable")

        self.run_registration(fail, 30.0)
        self.assertIn("members_unknown", self.events.list_events())
        self.assertFalse(self.registration.has_listed)
        self.assertLess(len(self.store.calls), 8)
