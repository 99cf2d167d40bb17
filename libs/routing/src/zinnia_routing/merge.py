"""Merges the results of one plan of a query into one answer."""

from collections.abc import Iterable
from enum import Enum

from zinnia_model.ids import AttemptId, ShardId, SnapshotId
from zinnia_model.queries import Coverage
from zinnia_model.reasons import Outcome
from zinnia_model.subrequests import SubResult


class Verdict(Enum):
    """Effect of one result on the merge.

    ``MERGED``: its body is in the answer. ``FAILED``: the attempt ended without an answer.
    ``MISMATCHED``: it names another shard or snapshot. ``IGNORED``: it is unexpected, late or a
    duplicate.
    """

    MERGED = "merged"
    FAILED = "failed"
    MISMATCHED = "mismatched"
    IGNORED = "ignored"


class ResultMerge:
    """Collects the bodies of one snapshot, at most one per shard.

    A result is merged only if its attempt was registered with ``expect`` and its shard and snapshot
    are those of the attempt. Nothing is merged after ``seal``.
    """

    def __init__(self, snapshot: SnapshotId, shards: Iterable[ShardId]) -> None:
        self.snapshot = snapshot
        self._shards = tuple(shards)
        self._bodies: dict[ShardId, bytes] = {}
        self._expected: dict[AttemptId, ShardId] = {}
        self._sealed = False

    @property
    def answered(self) -> int:
        """Number of shards whose bodies were merged."""
        return len(self._bodies)

    def expect(self, attempt_id: AttemptId, shard: ShardId) -> None:
        """Register an attempt that is about to be sent."""
        self._expected[attempt_id] = shard

    def accept(self, result: SubResult) -> Verdict:
        """Merge a result if it is expected; the first matching result settles its attempt.

        An answer for another shard or snapshot leaves the attempt open, because the matching answer
        may still arrive.
        """
        shard = self._expected.get(result.attempt_id)
        if shard is None or self._sealed:
            return Verdict.IGNORED
        if result.outcome is not Outcome.ANSWERED:
            del self._expected[result.attempt_id]
            return Verdict.FAILED
        if result.shard != shard or result.snapshot != self.snapshot:
            return Verdict.MISMATCHED
        del self._expected[result.attempt_id]
        if shard in self._bodies:
            return Verdict.IGNORED
        self._bodies[shard] = result.body
        return Verdict.MERGED

    def seal(self) -> tuple[dict[ShardId, bytes], Coverage]:
        """Stop merging and return the bodies by shard and their coverage."""
        self._sealed = True
        missing = tuple(shard for shard in self._shards if shard not in self._bodies)
        return self._bodies, Coverage(len(self._bodies), len(self._shards), missing)
