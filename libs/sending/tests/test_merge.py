import unittest

from hypothesis import given
from hypothesis import strategies as st

from zinnia_sending.merge import RECORD_BYTES, merge_records

records = st.binary(min_size=RECORD_BYTES, max_size=RECORD_BYTES)
record_lists = st.lists(st.lists(records, max_size=8), max_size=6)


class MergeTest(unittest.TestCase):
    @given(record_lists, st.integers(1, 10))
    def test_greatest_records_of_all_bodies_come_first(self, bodies, count):
        """Guards against selecting or sorting records other than by byte order."""
        expected = sorted((record for body in bodies for record in body), reverse=True)[:count]
        self.assertEqual(b"".join(expected), merge_records(map(b"".join, bodies), count))

    def test_duplicate_records_are_kept(self):
        """Guards against dropping a record because two shards have the same one."""
        record = b"r" * RECORD_BYTES
        self.assertEqual(record * 2, merge_records([record, record], 5))

    def test_incomplete_record_is_ignored(self):
        """Guards against treating the remainder of a body as a record."""
        record = b"r" * RECORD_BYTES
        self.assertEqual(record, merge_records([record + b"zzz"], 5))
