import unittest

import trio
import trio.testing
from fakes import Harness, answer, fail

from zinnia_model.reasons import Outcome, Reason


def run_command(handle, prepare=lambda harness: None, **changes):
    """Run one command; return the harness and the result."""

    async def main():
        async with trio.open_nursery() as nursery:
            harness = Harness(nursery, handle)
            prepare(harness)
            query = harness.query(repeatable=False, shard="0", attempt_id="claim", **changes)
            result = await harness.executor.run_command(query)
            harness.took_s = trio.current_time() - query.deadline_at + 1.0
            nursery.cancel_scope.cancel()
        return harness, result

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class CommandTest(unittest.TestCase):
    def test_attempt_id_starts_with_the_id_of_the_claim(self):
        """Guards against attempt ids from which the claim cannot be found."""
        harness, result = run_command(lambda item, batch: (0.01, answer(item, batch)))
        self.assertEqual((Outcome.ANSWERED, b"0"), (result.outcome, result.body))
        self.assertEqual(["claim.1"], [item.attempt_id for item in harness.owners.items])

    def test_unknown_result_is_never_sent_again(self):
        """Guards against a second run: the first may have run before its connection was lost."""
        harness, result = run_command(
            lambda item, batch: (0.01, fail(item, Reason.CONNECTION_LOST, Outcome.UNKNOWN))
        )
        self.assertEqual((Outcome.UNKNOWN, Reason.CONNECTION_LOST), (result.outcome, result.reason))
        self.assertEqual(1, len(harness.owners.items))

    def test_slow_command_is_not_hedged_and_ends_as_unknown(self):
        """Guards against a second run by a hedge, and against NOT_RUN while it may still run."""
        harness, result = run_command(lambda item, batch: None, Harness.warm_up)
        self.assertEqual((Outcome.UNKNOWN, Reason.DEADLINE), (result.outcome, result.reason))
        self.assertEqual((1, ["claim.1"]), (len(harness.owners.items), harness.owners.cancelled))
        self.assertLessEqual(harness.took_s, 1.0)

    def test_command_that_did_not_run_is_retried_one_attempt_at_a_time(self):
        """Guards against failing commands that can be retried, and against two open attempts."""

        def handle(item, batch):
            first = item.attempt_id == "claim.1"
            return 0.01, fail(item, Reason.DRAINING) if first else answer(item, batch)

        harness, result = run_command(handle)
        self.assertEqual(Outcome.ANSWERED, result.outcome)
        self.assertEqual((2, 1), (len(harness.owners.items), harness.owners.max_open_attempts))
        self.assertEqual({Reason.DRAINING: 1}, harness.counters.retries)

    def test_result_is_not_run_if_no_attempt_ran(self):
        """Guards against UNKNOWN where nothing ran, since callers cannot retry after UNKNOWN."""
        harness, result = run_command(lambda item, batch: (0.01, fail(item, Reason.COLD)))
        self.assertEqual((Outcome.NOT_RUN, Reason.COLD), (result.outcome, result.reason))
        self.assertEqual({Reason.COLD: 1}, harness.counters.refusals)

    def test_refused_fingerprint_is_not_sent(self):
        """Guards against another crash by a request that already crashed backend servers."""

        def prepare(harness):
            harness.refusal = Reason.CRASHES_BACKENDS

        harness, result = run_command(lambda item, batch: (0.01, answer(item, batch)), prepare)
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.CRASHES_BACKENDS), (result.outcome, result.reason)
        )
        self.assertEqual([], harness.owners.items)
