import unittest

from hypothesis import given
from hypothesis import strategies as st

from zinnia_catalog.collections import Collection
from zinnia_catalog.objects import Change, Changes, Listing, ObjectKind, StoredObject
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


class MessageTest(unittest.TestCase):
    @given(st.dictionaries(st.text(min_size=1, max_size=5), documents, max_size=5))
    def test_follower_gets_the_same_objects(self, specs):
        """Guards against encoding that changes a document on its way to a peer."""
        rows = [StoredObject(name, 3, spec, {"a": 1}) for name, spec in specs.items()]
        leader = make_collection(*rows)
        reply = FollowReply("vm", [make_update(leader, 0, 5, -1)])
        follower = Collection(ObjectKind.REPLICAS)
        apply_update(follower, decode(FollowReply, encode(reply)).kinds[0])
        self.assertEqual(leader.objects, follower.objects)
        self.assertEqual(leader.revision, follower.revision)

    def test_follower_that_lacks_few_changes_gets_no_listing(self):
        """Guards against sending all objects after each change of one."""
        leader = make_collection(*(StoredObject(f"r{n}", 1, {}) for n in range(50)))
        leader.advance(Changes((Change(StoredObject("r3", 11, None), True),), 11))
        update = make_update(leader, 10, 0, -1)
        self.assertFalse(update.is_listing)
        self.assertEqual([("r3", True)], [(row.name, row.is_deleted) for row in update.records])

    def test_follow_request_keeps_its_revisions(self):
        """Guards against sending a follower all objects with every reply."""
        request = decode(FollowRequest, encode(FollowRequest("vm", {"replicas": 2**40}, 1000)))
        self.assertEqual({"replicas": 2**40}, request.revisions)
        self.assertEqual(1000, request.wait_ms)
