import unittest

from hypothesis import given
from hypothesis import strategies as st

from zinnia_facts.table import Cursor, Fact, FactKind, FactTable


def make_fact(version: int, subject: str = "s", ttl_s: float = 10.0) -> Fact:
    return Fact(FactKind.VETO, subject, "vm-1", version, str(version), ttl_s)


def list_versions(table: FactTable) -> set[tuple[str, int]]:
    return {(fact.subject, fact.version) for fact in table.list_facts(FactKind.VETO, 0.0)}


class FactTableTest(unittest.TestCase):
    def test_older_version_that_arrives_late_is_ignored(self):
        table = FactTable()
        table.put(make_fact(2), now=0.0)
        self.assertFalse(table.put(make_fact(1), now=0.0))
        self.assertEqual("2", table.list_facts(FactKind.VETO, 0.0)[0].value)

    def test_delta_contains_only_changes_with_their_remaining_lifetime(self):
        table = FactTable()
        table.put(make_fact(1, "a"), now=0.0)
        _, cursor = table.changes_since(Cursor(0), 0.0)
        table.put(make_fact(1, "b"), now=4.0)
        delta, _ = table.changes_since(cursor, 6.0)
        self.assertEqual([("b", 8.0)], [(fact.subject, fact.ttl_s) for fact in delta])

    def test_expired_fact_is_neither_listed_nor_in_the_delta(self):
        table = FactTable()
        table.put(make_fact(1, ttl_s=1.0), now=0.0)
        self.assertEqual([], table.list_facts(FactKind.VETO, 2.0))
        self.assertEqual([], table.changes_since(Cursor(0), 2.0)[0])
        table.expire(2.0)
        self.assertEqual(0, len(table))

    @given(
        st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 9)), max_size=20), st.randoms()
    )
    def test_merge_order_does_not_matter(self, rows, random):
        facts = [make_fact(version, subject) for subject, version in rows]
        shuffled = facts * 2
        random.shuffle(shuffled)
        left, right = FactTable(), FactTable()
        left.merge(facts, 0.0)
        right.merge(shuffled, 0.0)
        self.assertEqual(list_versions(left), list_versions(right))


if __name__ == "__main__":
    unittest.main()
