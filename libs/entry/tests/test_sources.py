import unittest
from random import Random

import trio
import trio.testing
from fakes import FakeStore, RecordingSink, make_settings

from zinnia_catalog.members import SHARED_WATCHER_COUNT, Member, rank_names
from zinnia_catalog.objects import Listing, StoredObject, StoreError
from zinnia_entry.metrics import Metrics
from zinnia_entry.sources import FOLLOWED_KINDS, SourceController, parse_address
from zinnia_relay.client import PeerLostError
from zinnia_relay.store_cache import StoreCache

NAMES = [f"vm-{number}" for number in range(8)]
MEMBERS = {
    name: Member(name, f"127.0.0.1:{number + 1}", f"dc{number % 4}")
    for number, name in enumerate(NAMES)
}
WATCHERS = SHARED_WATCHER_COUNT


class FakePeer:
    """A watcher that confirms all kinds with news of ``age_s`` seconds, or does not answer."""

    def __init__(self, store_cache, age_s):
        self._store_cache = store_cache
        self._age_s = age_s

    async def __aenter__(self):
        if self._age_s is None:
            raise PeerLostError("refused")
        return self

    async def __aexit__(self, *_):
        pass

    async def poll(self, wait_s):
        await trio.sleep(wait_s)
        for kind in FOLLOWED_KINDS:
            self._store_cache.confirm(kind, (), self._age_s)


class SourceControllerTest(unittest.TestCase):
    def run_controller(self, vm, age_s, seconds=3.0, known=True, gone=(), store=None):
        """Run a VM whose peers are ``age_s`` behind, or ``gone``; return the sources it takes."""

        async def main():
            store_cache = StoreCache(FOLLOWED_KINDS, lambda *_: None)
            if known:
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
            absent = {MEMBERS[name].peer_address for name in gone}
            controller._connect = lambda address, _=0.0: FakePeer(
                store_cache, None if str(address) in absent else age_s
            )
            with trio.move_on_after(seconds):
                await controller.run()
            return [fields["source"] for name, fields in events.events if name == "source_changed"]

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_few_vms_watch_and_the_others_follow(self):
        """Load pattern: many VMs, and every call to the store is priced."""
        ranked = rank_names(NAMES)
        direct = [name for name in NAMES if self.run_controller(name, 0.5)[:1] == ["store"]]
        self.assertEqual(sorted(ranked[:WATCHERS]), direct)

    def test_vm_whose_watchers_are_gone_asks_the_store(self):
        """Load pattern: watchers are killed."""
        follower = rank_names(NAMES)[-1]
        self.assertEqual(["store"], self.run_controller(follower, None))

    def test_vm_whose_watchers_are_cut_off_from_the_store_asks_it_itself(self):
        """Load pattern: the store turns some machines away and serves the others."""
        follower = rank_names(NAMES)[-1]
        self.assertEqual(["store"], self.run_controller(follower, 10.0))

    def test_deputy_asks_the_store_before_the_others_do(self):
        """Load pattern: all watchers are gone and many VMs follow them.

        Guards against a burst of calls by every follower at once.
        """
        ranked = rank_names(NAMES)
        gone = set(ranked[:WATCHERS])
        deputy, last = ranked[WATCHERS], ranked[-1]
        self.assertEqual(["store"], self.run_controller(deputy, 0.5, gone=gone))
        self.assertEqual([deputy], self.run_controller(last, 0.5, gone={*gone, *ranked[3:]}))

    def test_store_that_is_away_gets_few_calls_from_followers(self):
        """Load pattern: the store is down, and every call is priced, also a refused one."""
        store = SlowStore()
        store.watches = [StoreError("away")] * 1000
        follower = rank_names(NAMES)[-1]
        self.run_controller(follower, 10.0, seconds=10.0, store=store)
        self.assertLess(len(store.calls), 12)

    def test_vm_that_knows_nothing_asks_the_store_first(self):
        """Load pattern: all VMs start again at once."""
        follower = rank_names(NAMES)[-1]
        self.assertEqual("store", self.run_controller(follower, 0.5, known=False)[0])

    def test_vm_that_starts_with_others_lists_the_store_and_then_follows(self):
        """Load pattern: 72 VMs start at once while replicas register, and every call is priced."""
        store = SlowStore()
        follower = rank_names(NAMES)[-1]
        sources = self.run_controller(follower, 0.5, seconds=6.0, known=False, store=store)
        self.assertEqual("store", sources[0])
        self.assertIn(sources[-1], NAMES)
        self.assertEqual([], store.started)

    def test_address_of_a_registration_is_read(self):
        """Guards against a peer that cannot be reached because of its registration."""
        self.assertEqual("10.0.0.1:80", str(parse_address("10.0.0.1:80")))


class SlowStore(FakeStore):
    """Serves each call after a moment, as a store does."""

    async def list(self, kind, allow_stale=False):
        await trio.sleep(0.005)
        return await super().list(kind)

    def __init__(self):
        super().__init__()
        self.started = []

    async def watch(self, kind, revision, wait_s):
        self.started.append(kind)
        await trio.sleep(wait_s)
        return await super().watch(kind, revision, wait_s)
