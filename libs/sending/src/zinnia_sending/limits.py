"""Limits on the bytes of answers that a VM buffers."""

from dataclasses import dataclass, field

# Largest body of a replica's answer that is passed on to a caller.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
# Largest body of the answer of one shard: 16,384 records.
MAX_PART_BYTES = 256 * 1024
# Largest head of an answer. Framing and trailers of a body may have as many bytes, and more in
# proportion to the body.
MAX_HEAD_BYTES = 64 * 1024
# Bytes of framing per byte of the body; chunks with one byte of data have five.
FRAMING_BYTES_PER_BODY_BYTE = 8
# Headers of an answer that are not counted towards the memory of the VM; each further one counts
# with its bytes and with those of the objects that hold it.
UNCOUNTED_HEADERS = 64
HEADER_OBJECT_BYTES = 160
# Limit of all answers in progress on the smallest VM, which has 200 MB.
DEFAULT_MEMORY_BYTES = 24 * 1024 * 1024


class AnswerMemory:
    """Limits the bytes of all answers that are received at the same time.

    Parameters
    ----------
    limit : int
        Largest number of bytes.
    """

    def __init__(self, limit: int = DEFAULT_MEMORY_BYTES) -> None:
        self.used = 0
        self._limit = limit

    def reserve(self, size: int) -> bool:
        """Count ``size`` bytes and return True if they are within the limit, otherwise False."""
        if self.used + size > self._limit:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Return bytes that were reserved."""
        self.used -= size


@dataclass(frozen=True, slots=True)
class AnswerLimits:
    """Limits of one answer: the largest body in bytes, and the memory that all answers share."""

    max_body_bytes: int = MAX_ANSWER_BYTES
    memory: AnswerMemory = field(default_factory=AnswerMemory)
