import unittest

from hypothesis import given
from hypothesis import strategies as st

from zinnia_sending.merge import RECORD_BYTES, merge_records

records = st.binary(min_size=RECORD_BYTES, max_size=RECORD_BYTES)
parts = st.lists(st.lists(records, max_size=8), max_size=6)


class MergeTest(unittest.TestCase):
    @given(parts, st.integers(1, 10))
    def test_greatest_records_of_all_parts_come_first(self, rows, count):
        """Guards against an order or a choice of records that differs from byte order."""
        expected = sorted((record for row in rows for record in row), reverse=True)[:count]
        self.assertEqual(b"".join(expected), merge_records(map(b"".join, rows), count))

    def test_equal_records_all_count(self):
        """Guards against dropping records that two shards share."""
        record = b"r" * RECORD_BYTES
        self.assertEqual(record * 2, merge_records([record, record], 5))

    def test_remainder_is_no_record(self):
        """Guards against records made from the rest of a body."""
        record = b"r" * RECORD_BYTES
        self.assertEqual(record, merge_records([record + b"zzz"], 5))
