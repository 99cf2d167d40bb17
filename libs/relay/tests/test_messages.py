import unittest

from hypothesis import given
from hypothesis import strategies as st

from zinnia_catalog.collections import Collection
from zinnia_catalog.objects import Change, Changes, Listing, ObjectKind, StoredObject
from zinnia_relay.messages import Follow, Update, apply_update, decode, encode, make_update

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
        """Guards against a document that changes on its way to a peer."""
        rows = [StoredObject(name, 3, spec, {"a": 1}) for name, spec in specs.items()]
        leader = make_collection(*rows)
        update = Update("vm", [make_update(leader, 0, 5, -1)])
        follower = Collection(ObjectKind.REPLICAS)
        apply_update(follower, decode(Update, encode(update)).kinds[0])
        self.assertEqual(leader.objects, follower.objects)
        self.assertEqual(leader.revision, follower.revision)

    def test_follower_that_is_nearly_up_to_date_gets_changes_only(self):
        """Guards against all objects on the wire after each change of one."""
        leader = make_collection(*(StoredObject(f"r{n}", 1, {}) for n in range(50)))
        leader.advance(Changes((Change(StoredObject("r3", 11, None), True),), 11))
        update = make_update(leader, 10, 0, -1)
        self.assertFalse(update.is_listing)
        self.assertEqual([("r3", True)], [(row.name, row.is_deleted) for row in update.records])

    def test_follow_keeps_its_revisions(self):
        """Guards against a follower that is told everything again and again."""
        follow = decode(Follow, encode(Follow("vm", {"replicas": 2**40}, 1000)))
        self.assertEqual({"replicas": 2**40}, follow.revisions)
        self.assertEqual(1000, follow.wait_ms)
