import unittest

from hypothesis import given
from hypothesis import strategies as st

from zinnia_catalog.collections import Collection
from zinnia_catalog.objects import (
    Change,
    Changes,
    Listing,
    ObjectKind,
    StoredObject,
    StorePosition,
)
from zinnia_relay.messages import (
    FollowReply,
    FollowRequest,
    apply_update,
    decode,
    encode,
    make_update,
)

documents = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**40), 2**40) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=6,
)


def make_collection(*objects, revision=10):
    collection = Collection(ObjectKind.REPLICAS)
    collection.replace(Listing(objects, revision))
    return collection


def list_revisions(collection):
    return {item.name: item.revision for item in collection.make_listing().objects}


class MessageTest(unittest.TestCase):
    @given(st.dictionaries(st.text(min_size=1, max_size=5), documents, max_size=5))
    def test_follower_gets_the_same_objects(self, specs):
        """Guards against encoding that changes a document on its way to a peer."""
        rows = [StoredObject(name, 3, spec, {"a": 1}) for name, spec in specs.items()]
        leader = make_collection(*rows)
        reply = FollowReply("vm", [make_update(leader, StorePosition(), 5, -1)])
        follower = Collection(ObjectKind.REPLICAS)
        apply_update(follower, decode(FollowReply, encode(reply)).kinds[0])
        self.assertEqual(leader.objects, follower.objects)
        self.assertEqual(leader.revision, follower.revision)

    def test_follower_that_lacks_few_changes_gets_no_listing(self):
        """Guards against sending all objects after each change of one."""
        leader = make_collection(*(StoredObject(f"r{n}", 1, {}) for n in range(50)))
        leader.advance(Changes((Change(StoredObject("r3", 11, None), True),), 11))
        update = make_update(leader, StorePosition(0, 10), 0, -1)
        self.assertFalse(update.is_listing)
        self.assertEqual([("r3", True)], [(row.name, row.is_deleted) for row in update.records])

    def test_follow_request_keeps_its_positions(self):
        """Guards against sending a follower all objects with every reply."""
        positions = {ObjectKind.REPLICAS: StorePosition(3, 2**40)}
        request = decode(FollowRequest, encode(FollowRequest("vm", positions, 1000)))
        self.assertEqual(StorePosition(3, 2**40), request.get_position(ObjectKind.REPLICAS))
        self.assertEqual(StorePosition(), request.get_position(ObjectKind.RELEASES))
        self.assertEqual(1000, request.wait_ms)

    def test_follower_of_an_earlier_era_gets_all_objects(self):
        """Load pattern: the store was restored, and its revisions are higher than before again.

        Guards against a follower that gets only the changes after a revision of another era.
        """
        leader = make_collection(StoredObject("a", 8, {}), revision=10)
        follower = make_collection(StoredObject("a", 8, {}), StoredObject("b", 9, {}), revision=10)
        leader.replace(Listing((StoredObject("a", 7, {}),), 9, 1))
        leader.advance(Changes((Change(StoredObject("c", 12, {}), False),), 12, 1))
        update = make_update(leader, follower.position, 0, -1)
        apply_update(follower, decode(FollowReply, encode(FollowReply("vm", [update]))).kinds[0])
        self.assertEqual({"a": 7, "c": 12}, list_revisions(leader))
        self.assertEqual({"a": 7, "c": 12}, list_revisions(follower))
        self.assertEqual(leader.position, follower.position)

    def test_follower_that_has_started_after_a_restoration_adopts_what_is_held(self):
        """Load pattern: a VM starts before operators have written lost objects again.

        Guards against a VM that goes by an older copy of the store than all others.
        """
        leader = make_collection(StoredObject("a", 8, {}), StoredObject("gone", 3, {}), revision=9)
        leader.advance(Changes((Change(StoredObject("gone", 10, None), True),), 10))
        leader.replace(Listing((StoredObject("gone", 3, {}),), 5, 1), 100.0)
        update = make_update(leader, StorePosition(), 0, -1, 101.0)
        update = decode(FollowReply, encode(FollowReply("vm", [update]))).kinds[0]
        follower = Collection(ObjectKind.REPLICAS)
        apply_update(follower, update, 200.0)
        self.assertEqual({"a"}, set(follower.objects))
        self.assertAlmostEqual(leader.find_expiry() - 101.0, follower.find_expiry() - 200.0)
