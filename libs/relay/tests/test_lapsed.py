import unittest
from unittest.mock import Mock

import trio
import trio.testing

from zinnia_catalog.catalog import Catalog
from zinnia_catalog.objects import Listing, ObjectKind, StoredObject
from zinnia_catalog.replicas import ReplicaEntry
from zinnia_catalog.restores import REANNOUNCE_TIMEOUT_S
from zinnia_relay.store_cache import StoreCache

KINDS = (ObjectKind.REPLICAS,)
# A VM may send to a replica for this long after the store has acknowledged that it has left, of
# which the last part is for a request that is already under way.
DRAIN_TIMEOUT_S = 3.0
UNDER_WAY_S = 0.2
# Time of the store's return, and after it until a follower has found another source.
REMOVED_AT_S = 0.2
CHANGE_OF_SOURCE_S = 1.6


class LapsedEntryTest(unittest.TestCase):
    def test_follower_that_changes_its_source_keeps_a_replica_that_has_left_no_longer(self):
        """Load pattern: a replica leaves as an outage ends; a follower's source has stale data.

        Guards against a hold of lapsed entries that begins anew with each VM that hears of it.
        """
        entry = ReplicaEntry("r", "s", "h", 1, "dc", "v1", 2, False, 0.0, 0)
        decoder = Mock(decode_replica=Mock(return_value=entry))
        decoder.read_order_key.return_value = None

        async def main():
            catalog = Catalog(decoder, Mock(), trio.current_time)
            leader = StoreCache(KINDS, Mock())
            follower = StoreCache(KINDS, catalog.apply)
            started_at = trio.current_time()
            for cache in (leader, follower):
                item = StoredObject("r", 8, {})
                cache.apply_listing(ObjectKind.REPLICAS, Listing((item,), 8))
            leader.note_failure()
            await trio.sleep(REMOVED_AT_S)
            leader.apply_listing(ObjectKind.REPLICAS, Listing((), 9))
            await trio.sleep(CHANGE_OF_SOURCE_S)
            request = follower.make_request("follower", 0.0)
            follower.apply_reply(await leader.answer_request("leader", request))
            return (catalog.find_expiry() or trio.current_time()) - started_at

        removed_at = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertLessEqual(removed_at, REMOVED_AT_S + DRAIN_TIMEOUT_S - UNDER_WAY_S)

    def find_removal_time(self, outage_s, failures, hear_after_s):
        """Return when a follower has removed a replica, in seconds from the removal of its entry.

        Both VMs have failed calls of the store; the entry is removed as the store is back, and the
        follower hears of it later.
        """
        entry = ReplicaEntry("r", "s", "h", 1, "dc", "v1", 2, False, 0.0, 0)
        decoder = Mock(decode_replica=Mock(return_value=entry))
        decoder.read_order_key.return_value = None

        async def main():
            catalog = Catalog(decoder, Mock(), trio.current_time)
            leader = StoreCache(KINDS, Mock())
            follower = StoreCache(KINDS, catalog.apply)
            for cache in (leader, follower):
                item = StoredObject("r", 8, {})
                cache.apply_listing(ObjectKind.REPLICAS, Listing((item,), 8))
            for _ in range(failures):
                await trio.sleep(outage_s / failures)
                leader.note_failure()
                follower.note_failure()
            leader.apply_listing(ObjectKind.REPLICAS, Listing((), 9))
            removed_at = trio.current_time()
            await trio.sleep(hear_after_s)
            request = follower.make_request("follower", 0.0)
            follower.apply_reply(await leader.answer_request("leader", request))
            return (catalog.find_expiry() or trio.current_time()) - removed_at

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_entry_that_lapsed_in_an_outage_is_kept_until_replicas_have_written_again(self):
        """Load pattern: the store is out so long that entries lapse.

        Guards against dropping running replicas, and against a hold that counts from the time at
        which a VM hears of the removal.
        """
        for hear_after_s in (0.0, 0.5, 1.6):
            with self.subTest(hear_after_s=hear_after_s):
                removal_s = self.find_removal_time(4.0, 4, hear_after_s)
                self.assertAlmostEqual(REANNOUNCE_TIMEOUT_S, removal_s, places=2)

    def test_single_failed_call_is_no_outage(self):
        """Load pattern: connections to the store are reset, or one call is slow; replicas leave.

        Guards against a replica that is kept although its entry can't have lapsed.
        """
        for outage_s, failures in ((0.2, 4), (2.0, 8), (6.0, 1)):
            with self.subTest(outage_s=outage_s, failures=failures):
                self.assertAlmostEqual(0.5, self.find_removal_time(outage_s, failures, 0.5))
