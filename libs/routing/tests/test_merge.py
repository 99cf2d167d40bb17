import unittest

from hypothesis import given
from hypothesis import strategies as st

from zinnia_model.reasons import Outcome, Reason
from zinnia_model.subrequests import SubResult
from zinnia_routing.merge import ResultMerge

SHARDS = ("a", "b", "c")
ATTEMPTS = {f"own.{n}": SHARDS[n % 3] for n in range(6)}
RESULTS = st.builds(
    lambda attempt, outcome, shard, snapshot: SubResult(
        attempt,
        outcome,
        shard,
        "r",
        body=f"{attempt}/{shard}/{snapshot}".encode(),
        snapshot=snapshot,
    ),
    st.sampled_from([*ATTEMPTS, "other.1", "other.2"]),
    st.sampled_from([Outcome.ANSWERED, Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.UNKNOWN]),
    st.sampled_from(SHARDS),
    st.sampled_from(["s1", "s1", "s2"]),
)


class ResultMergeTest(unittest.TestCase):
    @given(st.lists(RESULTS, max_size=30), st.lists(RESULTS, max_size=10))
    def test_sealed_answer_has_only_expected_bodies_of_one_snapshot(self, results, late):
        """Guards against bodies of other requests, shards or snapshots, and after sealing."""
        merge = ResultMerge("s1", SHARDS)
        for attempt, shard in ATTEMPTS.items():
            merge.expect(attempt, shard)
        for result in results:
            merge.accept(result)
        bodies, coverage = merge.seal()
        before = dict(bodies)
        for result in late:
            merge.accept(result)
        self.assertEqual(before, bodies)
        for shard, body in bodies.items():
            attempt, body_shard, snapshot = body.decode().split("/")
            self.assertEqual((ATTEMPTS.get(attempt), body_shard, snapshot), (shard, shard, "s1"))
        self.assertEqual(set(SHARDS) - set(bodies), set(coverage.missing))
        self.assertEqual((len(bodies), 3), (coverage.answered, coverage.asked))

    def test_matching_answer_is_merged_after_a_mismatched_one(self):
        """Guards against dropping an answer because a mismatched one settled its attempt."""
        merge = ResultMerge("s1", SHARDS)
        merge.expect("own.0", "a")
        merge.accept(SubResult("own.0", Outcome.ANSWERED, "b", "r", body=b"x", snapshot="s1"))
        merge.accept(SubResult("own.0", Outcome.ANSWERED, "a", "r", body=b"y", snapshot="s1"))
        merge.accept(SubResult("own.0", Outcome.NOT_RUN, "a", "r", Reason.CANCELLED))
        self.assertEqual({"a": b"y"}, merge.seal()[0])
