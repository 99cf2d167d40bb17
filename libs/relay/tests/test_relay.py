import unittest

import trio
import trio.testing

from zinnia_catalog.objects import Changes, Listing, ObjectKind, StoredObject
from zinnia_catalog.restores import REANNOUNCE_TIMEOUT_S
from zinnia_relay.client import ANSWER_MARGIN_S, PeerConnection, PeerSilentError
from zinnia_relay.frames import LENGTH_PREFIX, FrameStream
from zinnia_relay.messages import FollowReply, encode
from zinnia_relay.outages import MIN_FAILED_CALLS
from zinnia_relay.server import RelayServer
from zinnia_relay.store_cache import StoreCache

KINDS = (ObjectKind.CONFIGURATION, ObjectKind.REPLICAS)
# Entries lapse in an outage of this length.
OUTAGE_S = 3.0
LIMITS_S = {ObjectKind.CONFIGURATION: 2.0, ObjectKind.REPLICAS: 2.0}


class RecordingPeer:
    """A VM's copy of the store that records the changes applied to it."""

    def __init__(self):
        self.applied = []
        self.store_cache = StoreCache(KINDS, self.apply)

    def apply(self, kind, changes, hold_until):
        names = [(change.object.name, change.is_deleted) for change in changes]
        self.applied.append((kind, names, hold_until))

    async def lose_store(self):
        """Let calls fail after a served one, for as long as an outage takes."""
        self.store_cache.note_served()
        for _ in range(MIN_FAILED_CALLS):
            self.store_cache.note_failure()
        await trio.sleep(OUTAGE_S)

    def store(self, kind, name, revision, age_s=0.0):
        collection = self.store_cache.collections[kind]
        rows = [*collection.objects.values(), StoredObject(name, revision, {})]
        changes = collection.replace(Listing(tuple(rows), revision))
        self.store_cache.confirm(kind, changes, age_s)


class RelayTest(unittest.TestCase):
    def run_pair(self, test, answers=True):
        async def main():
            leader, follower = RecordingPeer(), RecordingPeer()
            near, far = trio.testing.memory_stream_pair()
            async with trio.open_nursery() as nursery:
                if answers:
                    server = RelayServer("leader", leader.store_cache)
                    nursery.start_soon(server.serve_stream, far)
                peer = PeerConnection("follower", "127.0.0.1", 1, follower.store_cache)
                peer._frames = FrameStream(near)
                await test(leader, follower, peer)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_first_frame_chooses_the_protocol(self):
        """Guards against reading requests of one protocol as those of another."""
        received = []

        async def handle(frames):
            received.append(await frames.receive())

        async def main():
            near, far = trio.testing.memory_stream_pair()
            server = RelayServer("leader", RecordingPeer().store_cache, {b"hello": handle})
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.serve_stream, far)
                await FrameStream(near).send(b"hello", b"first call")

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual([b"first call"], received)

    def test_follower_gets_all_objects_of_its_peer(self):
        """Load pattern: the store rejects one VM while its peers have a new configuration.

        Guards against a VM that keeps the old configuration.
        """

        async def test(leader, follower, peer):
            leader.store(ObjectKind.CONFIGURATION, "main", 7)
            leader.store(ObjectKind.REPLICAS, "r1", 8)
            await peer.poll(0.0)
            self.assertTrue(follower.store_cache.is_complete)
            self.assertTrue(follower.store_cache.is_fresh(LIMITS_S))

        self.run_pair(test)

    def test_change_ends_the_wait_of_a_follower(self):
        """Guards against delaying a change until the long poll times out."""

        async def test(leader, follower, peer):
            leader.store(ObjectKind.CONFIGURATION, "main", 7)
            leader.store(ObjectKind.REPLICAS, "r1", 8)
            await peer.poll(0.0)

            async def change():
                await trio.sleep(0.2)
                leader.store(ObjectKind.REPLICAS, "r2", 9)

            started = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(change)
                await peer.poll(1.0)
            self.assertAlmostEqual(0.2, trio.current_time() - started, places=3)
            self.assertEqual([("r2", False)], follower.applied[-1][1])

        self.run_pair(test)

    def test_follower_takes_over_the_age_of_its_peers_copy(self):
        """Guards against treating the copy of a peer as fresh after that peer lost the store."""

        async def test(leader, follower, peer):
            leader.store(ObjectKind.CONFIGURATION, "main", 7)
            leader.store(ObjectKind.REPLICAS, "r1", 8)
            await trio.sleep(3.0)
            await peer.poll(0.0)
            self.assertTrue(follower.store_cache.is_complete)
            self.assertFalse(follower.store_cache.is_fresh(LIMITS_S))

        self.run_pair(test)

    def test_follower_of_an_empty_peer_stays_incomplete(self):
        """Load pattern: all VMs restart at once during a store outage.

        Guards against taking a peer's empty copy for the contents of the store.
        """

        async def test(leader, follower, peer):
            await peer.poll(0.0)
            self.assertFalse(follower.store_cache.is_complete)
            self.assertIsNone(follower.store_cache.get_age(ObjectKind.CONFIGURATION))

        self.run_pair(test)

    def test_follower_learns_that_removals_follow_an_outage(self):
        """Load pattern: entries of running replicas lapse during a store outage.

        Guards against dropping these replicas because a peer reported them as removed.
        """

        async def test(leader, follower, peer):
            leader.store(ObjectKind.REPLICAS, "r1", 8)
            await peer.poll(0.0)
            await leader.lose_store()
            follower.store_cache.note_failure()
            leader.store_cache.apply_listing(ObjectKind.REPLICAS, Listing((), 9))
            ended_at = trio.current_time()
            await trio.sleep(1.0)
            await peer.poll(0.0)
            kind, names, hold_until = follower.applied[-1]
            self.assertEqual((ObjectKind.REPLICAS, [("r1", True)]), (kind, names))
            self.assertAlmostEqual(ended_at + REANNOUNCE_TIMEOUT_S, hold_until, places=2)

        self.run_pair(test)

    def test_removal_from_a_peer_uses_the_peers_outage_state(self):
        """Load pattern: the store rejects one VM while replicas leave without draining.

        Guards against delaying a removal as if the store had failed for all VMs: the VM still sent
        to the replica 3.3 s after it had left (fault search of bellsound-search, trouble-1 with
        seed 358218551339).
        """

        async def test(leader, follower, peer):
            leader.store(ObjectKind.REPLICAS, "r1", 8)
            await peer.poll(0.0)
            await follower.lose_store()
            follower.store_cache.note_served()
            collection = leader.store_cache.collections[ObjectKind.REPLICAS]
            leader.store_cache.confirm(ObjectKind.REPLICAS, collection.replace(Listing((), 9)))
            await peer.poll(0.0)
            self.assertEqual((ObjectKind.REPLICAS, [("r1", True)], None), follower.applied[-1])

        self.run_pair(test)

    def test_removal_from_a_peer_that_was_cut_off_is_no_lapse(self):
        """Load pattern: the links of the VM that watches the store are cut; its followers are well.

        Guards against followers that send to a replica for longer as only its link had failed.
        """

        async def test(leader, follower, peer):
            leader.store(ObjectKind.REPLICAS, "r1", 8)
            await peer.poll(0.0)
            await leader.lose_store()
            leader.store_cache.apply_listing(ObjectKind.REPLICAS, Listing((), 9))
            self.assertIsNotNone(leader.applied[-1][2])
            await peer.poll(0.0)
            self.assertEqual((ObjectKind.REPLICAS, [("r1", True)], None), follower.applied[-1])

        self.run_pair(test)

    def test_peer_without_newer_data_does_not_end_a_hold(self):
        """Load pattern: two VMs watch the store, and one of them hears first that it is back.

        Guards against dropping running replicas since the other one knows of no end of the outage.
        """

        async def test(leader, follower, peer):
            leader.store(ObjectKind.REPLICAS, "r1", 8)
            await peer.poll(0.0)
            await follower.lose_store()
            changes = Changes((), 8)
            follower.store_cache.apply_changes(ObjectKind.REPLICAS, changes)
            await trio.sleep(0.1)
            await peer.poll(0.0)
            follower.store_cache.apply_listing(ObjectKind.REPLICAS, Listing((), 9))
            self.assertIsNotNone(follower.applied[-1][2])

        self.run_pair(test)

    def test_silent_peer_is_lost_after_the_answer_margin(self):
        """Load pattern: a watcher freezes, or its connection stops delivering data.

        Guards against followers that wait for it without a time limit.
        """

        async def test(leader, follower, peer):
            started = trio.current_time()
            with self.assertRaises(PeerSilentError):
                await peer.poll(1.0)
            self.assertAlmostEqual(1.0 + ANSWER_MARGIN_S, trio.current_time() - started, places=3)

        self.run_pair(test, answers=False)

    def test_answer_that_has_begun_may_take_longer(self):
        """Load pattern: a listing of all objects arrives over a link with low bandwidth.

        Guards against a follower that breaks off each of these answers and asks again.
        """

        async def answer_slowly(far):
            await FrameStream(far).receive()
            payload = encode(FollowReply("leader"))
            await far.send_all(LENGTH_PREFIX.pack(len(payload)))
            for byte in payload:
                await trio.sleep(2 * ANSWER_MARGIN_S / len(payload))
                await far.send_all(bytes([byte]))

        async def main():
            near, far = trio.testing.memory_stream_pair()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(answer_slowly, far)
                peer = PeerConnection("follower", "127.0.0.1", 1, RecordingPeer().store_cache)
                peer._frames = FrameStream(near)
                started = trio.current_time()
                await peer.poll(0.0)
                self.assertGreater(trio.current_time() - started, ANSWER_MARGIN_S)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_malformed_message_ends_the_connection(self):
        """Guards against a VM that fails because a foreign client connects to its peer port."""

        async def main():
            near, far = trio.testing.memory_stream_pair()
            server = RelayServer("vm", RecordingPeer().store_cache)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.serve_stream, far)
                await near.send_all(b"\x00\x00\x00\x05GET /")
                self.assertEqual(b"", await near.receive_some(10))
            self.assertEqual(0, server.followers)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_peer_of_an_earlier_era_confirms_nothing(self):
        """Load pattern: a VM that is cut off from the store answers one that knows the new era.

        Guards against data of before the restoration that counts as current, or comes back.
        """

        async def test(leader, follower, peer):
            leader.store(ObjectKind.REPLICAS, "gone", 30)
            collection = follower.store_cache.collections[ObjectKind.REPLICAS]
            collection.replace(Listing((), 9, era=1))
            await peer.poll(0.0)
            self.assertEqual({}, collection.objects)
            self.assertIsNone(follower.store_cache.get_age(ObjectKind.REPLICAS))

        self.run_pair(test)

    def test_new_era_ends_the_wait_of_a_follower(self):
        """Load pattern: the store was restored; guards against followers that learn of it late."""

        async def test(leader, follower, peer):
            leader.store(ObjectKind.REPLICAS, "r1", 30)
            leader.store(ObjectKind.CONFIGURATION, "main", 30)
            await peer.poll(0.0)

            async def restore():
                await trio.sleep(0.2)
                listing = Listing((StoredObject("r1", 7, {}),), 9, era=1)
                leader.store_cache.apply_listing(ObjectKind.REPLICAS, listing)

            started = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(restore)
                await peer.poll(1.0)
            self.assertAlmostEqual(0.2, trio.current_time() - started, places=3)
            self.assertEqual(1, follower.store_cache.collections[ObjectKind.REPLICAS].position.era)

        self.run_pair(test)
