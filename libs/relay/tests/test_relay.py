import unittest

import trio
import trio.testing

from zinnia_catalog.objects import Listing, ObjectKind, StoredObject
from zinnia_relay.beliefs import Beliefs
from zinnia_relay.client import ANSWER_MARGIN_S, PeerConnection, PeerLostError
from zinnia_relay.frames import FrameStream
from zinnia_relay.server import RelayServer

KINDS = (ObjectKind.CONFIGURATION, ObjectKind.REPLICAS)
LIMITS_S = {ObjectKind.CONFIGURATION: 2.0, ObjectKind.REPLICAS: 2.0}


class Side:
    """Beliefs with a record of what was applied."""

    def __init__(self):
        self.applied = []
        self.beliefs = Beliefs(KINDS, self.apply)

    def apply(self, kind, changes, after_outage):
        names = [(change.object.name, change.is_deleted) for change in changes]
        self.applied.append((kind, names, after_outage))

    def learn(self, kind, name, revision, age_s=0.0):
        collection = self.beliefs.collections[kind]
        rows = [*collection.objects.values(), StoredObject(name, revision, {})]
        changes = collection.replace(Listing(tuple(rows), revision))
        self.beliefs.confirm(kind, changes, age_s)


class RelayTest(unittest.TestCase):
    def run_pair(self, test, answers=True):
        async def main():
            leader, follower = Side(), Side()
            near, far = trio.testing.memory_stream_pair()
            async with trio.open_nursery() as nursery:
                if answers:
                    server = RelayServer("leader", leader.beliefs)
                    nursery.start_soon(server.serve_stream, far)
                peer = PeerConnection("follower", "127.0.0.1", 1, follower.beliefs)
                peer._frames = FrameStream(near)
                await test(leader, follower, peer)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_first_frame_chooses_the_protocol(self):
        """Guards against requests of one protocol that are read as those of another."""
        greeted = []

        async def greet(frames):
            greeted.append(await frames.receive())

        async def main():
            near, far = trio.testing.memory_stream_pair()
            server = RelayServer("leader", Side().beliefs, {b"hello": greet})
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.serve_stream, far)
                await FrameStream(near).send(b"hello", b"first call")

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual([b"first call"], greeted)

    def test_follower_learns_what_its_peer_knows(self):
        """Load pattern: the store turns one VM away, and its peers know a new configuration."""

        async def test(leader, follower, peer):
            leader.learn(ObjectKind.CONFIGURATION, "main", 7)
            leader.learn(ObjectKind.REPLICAS, "r1", 8)
            await peer.poll(0.0)
            self.assertTrue(follower.beliefs.is_complete)
            self.assertTrue(follower.beliefs.is_fresh(LIMITS_S))

        self.run_pair(test)

    def test_news_wakes_a_waiting_follower(self):
        """Guards against a change that waits for the end of a poll."""

        async def test(leader, follower, peer):
            leader.learn(ObjectKind.CONFIGURATION, "main", 7)
            leader.learn(ObjectKind.REPLICAS, "r1", 8)
            await peer.poll(0.0)

            async def change():
                await trio.sleep(0.2)
                leader.learn(ObjectKind.REPLICAS, "r2", 9)

            started = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(change)
                await peer.poll(1.0)
            self.assertAlmostEqual(0.2, trio.current_time() - started, places=3)
            self.assertEqual([("r2", False)], follower.applied[-1][1])

        self.run_pair(test)

    def test_age_of_the_news_comes_along(self):
        """Guards against trust in a peer that has lost the store itself."""

        async def test(leader, follower, peer):
            leader.learn(ObjectKind.CONFIGURATION, "main", 7)
            leader.learn(ObjectKind.REPLICAS, "r1", 8)
            await trio.sleep(3.0)
            await peer.poll(0.0)
            self.assertTrue(follower.beliefs.is_complete)
            self.assertFalse(follower.beliefs.is_fresh(LIMITS_S))

        self.run_pair(test)

    def test_peer_that_knows_nothing_makes_nothing_known(self):
        """Load pattern: all VMs start again at once while the store is away."""

        async def test(leader, follower, peer):
            await peer.poll(0.0)
            self.assertFalse(follower.beliefs.is_complete)
            self.assertIsNone(follower.beliefs.get_age(ObjectKind.CONFIGURATION))

        self.run_pair(test)

    def test_removals_after_an_outage_are_told_as_such(self):
        """Load pattern: entries of living replicas lapse while the store is away."""

        async def test(leader, follower, peer):
            leader.learn(ObjectKind.REPLICAS, "r1", 8)
            await peer.poll(0.0)
            leader.beliefs.note_failure(ObjectKind.REPLICAS)
            await trio.sleep(1.0)
            collection = leader.beliefs.collections[ObjectKind.REPLICAS]
            leader.beliefs.confirm(ObjectKind.REPLICAS, collection.replace(Listing((), 9)))
            await peer.poll(0.0)
            self.assertEqual((ObjectKind.REPLICAS, [("r1", True)], True), follower.applied[-1])

        self.run_pair(test)

    def test_removal_from_a_peer_counts_by_the_peers_view_of_the_store(self):
        """Load pattern: the store turns one VM away while replicas leave without draining.

        Guards against holding a removal back as if the store had been away for everyone: the VM
        still sent to the replica 3.3 s after it had left (hunt of bellsound-search, trouble-1 with
        seed 358218551339).
        """

        async def test(leader, follower, peer):
            leader.learn(ObjectKind.REPLICAS, "r1", 8)
            await peer.poll(0.0)
            follower.beliefs.note_failure(ObjectKind.REPLICAS)
            collection = leader.beliefs.collections[ObjectKind.REPLICAS]
            leader.beliefs.confirm(ObjectKind.REPLICAS, collection.replace(Listing((), 9)))
            await peer.poll(0.0)
            self.assertEqual((ObjectKind.REPLICAS, [("r1", True)], False), follower.applied[-1])

        self.run_pair(test)

    def test_silent_peer_is_lost_soon(self):
        """Load pattern: a watcher freezes, or the connection to it goes silent."""

        async def test(leader, follower, peer):
            peer._answers = 1
            started = trio.current_time()
            with self.assertRaises(PeerLostError):
                await peer.poll(1.0)
            self.assertAlmostEqual(1.0 + ANSWER_MARGIN_S, trio.current_time() - started, places=3)

        self.run_pair(test, answers=False)

    def test_bytes_that_are_no_message_end_the_connection(self):
        """Guards against a VM that fails because something else connects to its peer port."""

        async def main():
            near, far = trio.testing.memory_stream_pair()
            server = RelayServer("vm", Side().beliefs)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.serve_stream, far)
                await near.send_all(b"\x00\x00\x00\x05GET /")
                self.assertEqual(b"", await near.receive_some(10))
            self.assertEqual(0, server.followers)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
