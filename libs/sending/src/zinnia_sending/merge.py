"""Merges the records of parts into one answer."""

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Return the whole records of a part; a shorter remainder is no record."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]


def merge_records(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the greatest ``count`` records of all bodies, greatest first; equal ones all count."""
    records = [record for body in bodies for record in split_records(body)]
    return b"".join(heapq.nlargest(count, records))
