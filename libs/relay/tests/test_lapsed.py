import unittest
from unittest.mock import Mock

import trio
import trio.testing

from zinnia_catalog.catalog import Catalog
from zinnia_catalog.objects import Listing, ObjectKind, StoredObject
from zinnia_catalog.replicas import ReplicaEntry
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
            leader.note_failure(ObjectKind.REPLICAS)
            await trio.sleep(REMOVED_AT_S)
            leader.apply_listing(ObjectKind.REPLICAS, Listing((), 9))
            await trio.sleep(CHANGE_OF_SOURCE_S)
            request = follower.make_request("follower", 0.0)
            follower.apply_reply(await leader.answer_request("leader", request))
            return (catalog.find_expiry() or trio.current_time()) - started_at

        removed_at = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertLessEqual(removed_at, REMOVED_AT_S + DRAIN_TIMEOUT_S - UNDER_WAY_S)
