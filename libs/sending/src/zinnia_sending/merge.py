"""Merges the records in the answers of shards into one answer."""

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Return the complete records in a body; an incomplete one at its end is ignored."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]


def merge_records(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the greatest ``count`` records, greatest first; duplicates are kept."""
    records = [record for body in bodies for record in split_records(body)]
    return b"".join(heapq.nlargest(count, records))
