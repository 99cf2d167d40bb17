"""Merges the results of one plan of a query into one answer."""

from collections.abc import Iterable
from enum import Enum

from zinnia_model.ids import AttemptId, ShardId, SnapshotId
from zinnia_model.queries import Coverage
from zinnia_model.reasons import Outcome
from zinnia_model.shardmaps import ShardMap
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


class QueryMerges:
    """The merges of all plans of one query; the one with the best coverage becomes its answer."""

    def __init__(self) -> None:
        self._merges: list[ResultMerge] = []

    @property
    def count(self) -> int:
        """Number of plans that were started."""
        return len(self._merges)

    def start(self, snapshot: SnapshotId, shards: Iterable[ShardId]) -> ResultMerge:
        """Return the merge of a new plan."""
        merge = ResultMerge(snapshot, shards)
        self._merges.append(merge)
        return merge

    def find_untried_map(self, newest: ShardMap | None, is_expired: bool) -> ShardMap | None:
        """Return a shard map whose snapshot was not used yet, None if there is none.

        It is the newest one, or after the wait for it (``is_expired``) the previous one if the
        newest is not served yet.
        """
        tried = {merge.snapshot for merge in self._merges}
        shard_map = newest
        if shard_map is not None and is_expired and shard_map.snapshot in tried:
            shard_map = shard_map.previous
        return None if shard_map is None or shard_map.snapshot in tried else shard_map

    def seal(self) -> ResultMerge:
        """Seal all merges and return the one with the best coverage, the newest on a tie."""
        for merge in self._merges:
            merge.seal()
        return max(reversed(self._merges), key=lambda merge: merge.answered)
