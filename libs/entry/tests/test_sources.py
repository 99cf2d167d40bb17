import unittest
from random import Random

import trio
import trio.testing
from fakes import FakeStore, RecordingSink, make_settings

from zinnia_catalog.members import SHARED_WATCHER_COUNT, Member, rank_names
from zinnia_catalog.objects import Listing, StoredObject, StoreError
from zinnia_entry.metrics import Metrics
from zinnia_entry.peersearch import parse_address
from zinnia_entry.sources import CURRENT_DATA_TIMEOUT_S, FOLLOWED_KINDS, SourceController
from zinnia_relay.client import PeerLostError
from zinnia_relay.store_cache import StoreCache

NAMES = [f"vm-{number}" for number in range(8)]
MEMBERS = {
    name: Member(name, f"127.0.0.1:{number + 1}", f"dc{number % 4}")
    for number, name in enumerate(NAMES)
}
WATCHERS = SHARED_WATCHER_COUNT


class FakePeer:
    """A watcher with data that is ``age_s`` seconds old, or without an answer if that is None."""

    def __init__(self, store_cache, age_s):
        self._store_cache = store_cache
        self._age_s = age_s

    async def __aenter__(self):
        if self._age_s is None:
            raise PeerLostError("refused")
        return self

    async def __aexit__(self, *_):
        pass

    async def poll(self, wait_s, margin_s=0.0):
        await trio.sleep(wait_s)
        for kind in FOLLOWED_KINDS:
            self._store_cache.confirm(kind, (), self._age_s)


class SourceControllerTest(unittest.TestCase):
    def run_controller(self, vm, age_s, seconds=3.0, has_cache=True, lost=(), store=None):
        """Run a VM, with peers that are ``age_s`` behind or ``lost``; return its sources."""

        async def main():
            controller, events = self.make_controller(vm, age_s, has_cache, lost, store)
            with trio.move_on_after(seconds):
                await controller.run()
            return [fields["source"] for name, fields in events.events if name == "source_changed"]

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def make_controller(self, vm, age_s, has_cache, lost, store):
        store_cache = StoreCache(FOLLOWED_KINDS, lambda *_: None)
        if has_cache:
            for kind in FOLLOWED_KINDS:
                collection = store_cache.collections[kind]
                collection.replace(Listing((StoredObject("a", 1, {}),), 5))
        events = RecordingSink()
        controller = SourceController(
            make_settings(vm=vm, data_centre=MEMBERS[vm].data_centre),
            store_cache,
            store or SlowStore(),
            lambda: MEMBERS,
            Metrics(),
            events,
            Random(1),
        )
        lost_addresses = {MEMBERS[name].peer_address for name in lost}
        controller._connect = lambda address, _=0.0: FakePeer(
            store_cache, None if str(address) in lost_addresses else age_s
        )
        return controller, events

    def find_start_time(self, age_s, store=None):
        """Return when a VM that has received its data from a peer has started, in seconds."""

        async def main():
            vm = rank_names(NAMES)[-1]
            controller, _ = self.make_controller(vm, age_s, True, (), store)
            started = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(controller.run)
                while not controller.has_started():  # noqa: ASYNC110 - polled like a probe
                    await trio.sleep(0.05)
                nursery.cancel_scope.cancel()
            return trio.current_time() - started

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_restarted_vm_does_not_serve_with_the_old_data_of_a_peer(self):
        """Load pattern: a VM restarts while some VMs are cut off from the store.

        Guards against sending to replicas that have left, because a cut-off VM still lists them.
        """
        store = SlowStore()
        start_s = self.find_start_time(30.0, store)
        self.assertEqual(set(FOLLOWED_KINDS), set(store.watched_kinds))
        self.assertLess(start_s, CURRENT_DATA_TIMEOUT_S / 2)

    def test_restarted_vm_serves_at_once_with_current_data_of_a_peer(self):
        """Guards against a start that waits although a peer has current data."""
        self.assertLess(self.find_start_time(0.5), 0.2)

    def test_restarted_vm_serves_with_old_data_while_the_store_is_down(self):
        """Load pattern: the store is down; guards against VMs that never take requests then."""
        store = SlowStore()
        store.lists = store.watches = [StoreError("unavailable")] * 1000
        start_s = self.find_start_time(30.0, store)
        self.assertAlmostEqual(CURRENT_DATA_TIMEOUT_S, start_s, delta=0.1)

    def test_few_vms_watch_and_the_others_follow(self):
        """Load pattern: many VMs, and the store charges for every call.

        Guards against more watchers than needed.
        """
        ranked = rank_names(NAMES)
        direct = [name for name in NAMES if self.run_controller(name, 0.5)[:1] == ["store"]]
        self.assertEqual(sorted(ranked[:WATCHERS]), direct)

    def test_vm_whose_watchers_are_lost_watches_the_store(self):
        """Load pattern: watchers are killed. Guards against followers without changes."""
        follower = rank_names(NAMES)[-1]
        self.assertEqual(["store"], self.run_controller(follower, None))

    def test_vm_whose_watchers_have_old_data_watches_the_store(self):
        """Load pattern: the store rejects some VMs and serves the others.

        Guards against followers of rejected watchers without changes.
        """
        follower = rank_names(NAMES)[-1]
        self.assertEqual(["store"], self.run_controller(follower, 10.0))

    def test_deputy_turns_to_the_store_before_other_followers(self):
        """Load pattern: all watchers are lost while many VMs follow them.

        Guards against a burst of store calls by all followers at once.
        """
        ranked = rank_names(NAMES)
        lost = set(ranked[:WATCHERS])
        deputy, last = ranked[WATCHERS], ranked[-1]
        self.assertEqual(["store"], self.run_controller(deputy, 0.5, lost=lost))
        self.assertEqual([deputy], self.run_controller(last, 0.5, lost={*lost, *ranked[3:]}))

    def test_followers_call_an_unavailable_store_rarely(self):
        """Load pattern: the store is down, and charges for every call, also for rejected ones.

        Guards against followers that retry without a delay.
        """
        store = SlowStore()
        store.watches = [StoreError("unavailable")] * 1000
        follower = rank_names(NAMES)[-1]
        self.run_controller(follower, 10.0, seconds=10.0, store=store)
        self.assertLess(len(store.calls), 12)

    def test_vm_with_an_empty_cache_calls_the_store_first(self):
        """Load pattern: all VMs restart at once. Guards against waiting for peers without data."""
        follower = rank_names(NAMES)[-1]
        self.assertEqual("store", self.run_controller(follower, 0.5, has_cache=False)[0])

    def test_vm_that_starts_with_others_lists_the_store_and_then_follows(self):
        """Load pattern: 72 VMs start at once while replicas register.

        Guards against each of them watching the store, which charges for every call.
        """
        store = SlowStore()
        follower = rank_names(NAMES)[-1]
        sources = self.run_controller(follower, 0.5, seconds=6.0, has_cache=False, store=store)
        self.assertEqual("store", sources[0])
        self.assertIn(sources[-1], NAMES)
        self.assertEqual([], store.watched_kinds)

    def test_address_of_a_registration_is_parsed(self):
        """Guards against peers that can't be reached because their address is misread."""
        self.assertEqual("10.0.0.1:80", str(parse_address("10.0.0.1:80")))


class SlowStore(FakeStore):
    """A store with latency that records which kinds are watched."""

    async def list(self, kind, allow_stale=False):
        await trio.sleep(0.005)
        return await super().list(kind)

    def __init__(self):
        super().__init__()
        self.watched_kinds = []

    async def watch(self, kind, revision, wait_s):
        self.watched_kinds.append(kind)
        await trio.sleep(wait_s)
        return await super().watch(kind, revision, wait_s)
