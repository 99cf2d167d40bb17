import unittest
from itertools import product

from zinnia_entry.handler import choose_refusal_status, find_reason
from zinnia_sending.answers import ReplicaAnswer
from zinnia_sending.outcomes import RunOutcome, RunVerdict

# Statuses that tell the caller that its request has not run and will not run.
NOT_RUN_STATUSES = {408, 421, 429, 503}
# Verdicts of a run that ended without an answer and may have run at a replica.
VERDICTS_AFTER_A_SEND = (RunVerdict.FAILED, RunVerdict.EXPIRED)
VERDICTS_BEFORE_A_SEND = (RunVerdict.NO_REPLICA, RunVerdict.REJECTED, RunVerdict.EXPIRED)


def make_outcome(verdict, may_have_run, answers=()):
    return RunOutcome(verdict, answers, 1, None, may_have_run, 0.2, ())


class RefusalTest(unittest.TestCase):
    def find_status(self, outcome, is_fanout):
        return choose_refusal_status(find_reason(outcome, is_fanout), outcome)

    def test_request_whose_answer_was_lost_is_never_reported_as_not_run(self):
        """Load pattern: replicas run requests, and their answers are lost.

        Guards against a caller that repeats a booking because it was told that it had not run.
        """
        part = ReplicaAnswer(200, (), b"r" * 16, b"seal")
        for verdict, is_fanout, answers in product(
            VERDICTS_AFTER_A_SEND, (True, False), ((), (part,))
        ):
            with self.subTest(verdict=verdict, is_fanout=is_fanout):
                status, _ = self.find_status(make_outcome(verdict, True, answers), is_fanout)
                self.assertNotIn(status, NOT_RUN_STATUSES)

    def test_request_that_was_not_run_is_refused_with_a_time_to_come_back(self):
        """Guards against callers that wait for their deadline, or come back at once."""
        for verdict, is_fanout in product(VERDICTS_BEFORE_A_SEND, (True, False)):
            with self.subTest(verdict=verdict, is_fanout=is_fanout):
                status, retry_after_s = self.find_status(make_outcome(verdict, False), is_fanout)
                self.assertIn(status, NOT_RUN_STATUSES)
                self.assertGreater(retry_after_s, 0.0)
