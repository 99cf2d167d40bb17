import unittest
from math import inf

import trio
from fakes import (
    FakeSender,
    make_answered,
    make_entry,
    make_fleet,
    make_route,
    make_unanswered,
    run_trio,
)

from zinnia_sending.answers import ExchangeResult
from zinnia_sending.attempts import RunRequest
from zinnia_sending.budgets import RetryBounds, RetryBudget
from zinnia_sending.latency import LatencyHistogram
from zinnia_sending.subqueries import SubqueryReporter, SubqueryRun

SHARDS = [f"s{number}" for number in range(6)]
REPORT_S = 0.1
NO_ANSWER = []


class RecordingReporter(SubqueryReporter):
    """Records the reports; permits each send after ``permit_after_s`` seconds, None for never."""

    def __init__(self, nursery, permit_after_s):
        self.reports = []
        self.asked = []
        self.run = None
        self._nursery = nursery
        self._permit_after_s = permit_after_s
        self._started_at = trio.current_time()

    def report(self, result, is_last):
        self.reports.append((round(trio.current_time() - self._started_at, 3), result, is_last))

    def ask_permission(self, services):
        self.asked.append(services)
        if self._permit_after_s is not None:
            self._nursery.start_soon(self._permit, services)

    async def _permit(self, services):
        await trio.sleep(self._permit_after_s)
        self.run.permit_sends(services)


def make_answer(record):
    return (0.01, make_answered(body=record * 16, signature=record))


class SubqueryRunTest(unittest.TestCase):
    def run_subquery(
        self,
        change=None,
        without_replica=(),
        absent_shards_to_refuse=3,
        end_after_s=None,
        is_answered=False,
        permit_after_s=0.0,
        replicas="a",
    ):
        """Run six shards; ``change`` replaces scripts, and ``without_replica`` have no replica."""

        async def main():
            entries = [
                make_entry(f"{name}-{replica}", name)
                for name in SHARDS
                if name not in without_replica
                for replica in replicas
            ]
            fleet = make_fleet(*entries, services=SHARDS)
            script = {
                f"{name}-{replica}": [make_answer(name[1].encode())]
                for name in SHARDS
                for replica in replicas
            }
            script.update(change or {})
            budget = RetryBudget(RetryBounds(0.2, 50.0, 10.0), lambda service: 1.0, -inf)
            latency = LatencyHistogram(0.01)
            now = trio.current_time()

            async with trio.open_nursery() as nursery:
                sender = FakeSender(nursery, {key: row for key, row in script.items() if row})
                request = RunRequest(
                    "id",
                    make_route(SHARDS),
                    tuple(SHARDS),
                    True,
                    None,
                    now,
                    now + REPORT_S,
                    now + 1.0,
                    latency,
                )
                reporter = RecordingReporter(nursery, permit_after_s)
                run = reporter.run = SubqueryRun(
                    request,
                    fleet,
                    budget,
                    sender,
                    now + REPORT_S,
                    absent_shards_to_refuse,
                    reporter,
                )
                run.is_answered = is_answered
                has_run = None
                with trio.move_on_after(end_after_s or 5.0):
                    has_run = await run.run()
                nursery.cancel_scope.cancel()
            self.asked = reporter.asked
            return has_run, reporter.reports, sender

        return run_trio(main)

    def test_one_report_has_the_merged_answers_of_all_shards(self):
        """Guards against one report for each shard, and records that are not the greatest."""
        has_run, reports, _ = self.run_subquery()
        self.assertTrue(has_run)
        ((at_s, result, is_last),) = reports
        self.assertEqual((0.01, True), (at_s, is_last))
        self.assertEqual(
            [name.encode()[1:] for name in SHARDS], [row for _, row in result.signatures]
        )
        self.assertEqual([b"5", b"4", b"3"], [result.records[at : at + 1] for at in (0, 16, 32)])

    def test_slow_shard_is_reported_separately(self):
        """Load pattern: a replica is ten times slower than its typical latency.

        Guards against holding back the answers of the other shards until the answer is late.
        """
        _, reports, _ = self.run_subquery({"s3-a": [(0.4, make_answered(signature=b"3"))]})
        first, second = reports
        self.assertEqual((REPORT_S, 5, False), (first[0], len(first[1].signatures), first[2]))
        self.assertEqual((0.4, (("s3", b"3"),), True), (second[0], second[1].signatures, second[2]))

    def test_shard_without_a_replica_is_reported_as_not_sent(self):
        """Guards against giving up a shard that the delegating VM could still send itself."""
        _, reports, _ = self.run_subquery(without_replica=("s1",))
        self.assertEqual([("s1", 0)], [(row.service, row.sends) for row in reports[0][1].failures])

    def test_slow_shards_are_hedged_once_that_is_permitted(self):
        """Load pattern: the replicas of two shards are slow.

        Guards against sends that the delegating VM does not know of, and against a question for
        each shard.
        """
        slow = {name: [(0.4, make_answered())] for name in ("s1-a", "s4-a", "s1-b", "s4-b")}
        for permit_after_s, sends in ((0.02, 8), (None, 6)):
            with self.subTest(permit_after_s=permit_after_s):
                _, _, sender = self.run_subquery(
                    slow, end_after_s=0.09, permit_after_s=permit_after_s, replicas="ab"
                )
                self.assertEqual([["s1", "s4"]], self.asked)
                self.assertEqual(sends, len(sender.sent))

    def test_failed_shard_waits_for_its_permission(self):
        """Load pattern: a replica fails fast while the delegating VM is slow to reply.

        Guards against giving up a shard that may be sent again soon.
        """
        failing = {"s1-a": [(0.0, make_unanswered(ExchangeResult.FAILED)), make_answer(b"1")]}
        _, reports, _ = self.run_subquery(failing, permit_after_s=0.05)
        ((at_s, result, is_last),) = reports
        self.assertEqual((0.06, 6, True), (at_s, len(result.signatures), is_last))

    def test_permission_after_the_answer_sends_nothing(self):
        """Guards against load for a shard that has answered meanwhile."""
        slow = {name: [(0.05, make_answered(signature=b"1"))] for name in ("s1-a", "s1-b")}
        _, reports, sender = self.run_subquery(slow, permit_after_s=0.04, replicas="ab")
        self.assertEqual((6, 6), (len(sender.sent), len(reports[0][1].signatures)))

    def test_nothing_is_sent_if_too_few_shards_have_a_replica(self):
        """Guards against useless load for a request that cannot be answered."""
        has_run, reports, sender = self.run_subquery(without_replica=SHARDS[:3])
        self.assertFalse(has_run)
        self.assertEqual(([], []), (reports, sender.sent))

    def test_end_of_an_unanswered_request_cancels_its_attempts(self):
        """Guards against replicas that keep working for a caller that has disconnected."""
        slow = {f"{name}-a": [(0.9, make_answered())] for name in SHARDS}
        _, reports, sender = self.run_subquery(slow, end_after_s=0.05)
        self.assertEqual(([], 6, 0), (reports, len(sender.cancelled), len(sender.abandoned)))
        _, _, sender = self.run_subquery(slow, end_after_s=0.05, is_answered=True)
        self.assertEqual((0, 6), (len(sender.cancelled), len(sender.abandoned)))
