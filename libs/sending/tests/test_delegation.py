import unittest

import trio
from fakes import (
    FakeDelegator,
    RunHarness,
    answer,
    end,
    make_entry,
    make_fleet,
    make_route,
    run_trio,
)

from zinnia_sending.answers import ExchangeResult
from zinnia_sending.attempts import SendReason
from zinnia_sending.delegation import Assignment, DelegationEnd, PartialResult, ShardFailure
from zinnia_sending.runs import ACCEPT_TIMEOUT_S, REPORT_GRACE_S, RunVerdict

SHARDS = [f"s{number}" for number in range(20)]
FAST = (0.01, answer(body=b"here" * 4, signature=b"here"))
TARGET_S = 0.1
HEDGE_IN_S = 0.03


def make_result(services, records=b"r" * 32, failures=()):
    return PartialResult(
        tuple((name, name.encode()) for name in services), records, tuple(failures)
    )


class DelegatedRunTest(unittest.TestCase):
    """A fan-out of 20 of which another VM runs the last 15."""

    def play(self, act, max_attempts=2, slack=50.0, script=None, limit_s=1.0):
        """Run a request while ``act`` plays the other VM."""
        services = SHARDS[5:]

        async def main():
            entries = [make_entry(f"{name}-a", name) for name in SHARDS]
            entries += [make_entry(f"{name}-b", name, data_centre="dc2") for name in SHARDS]
            fleet = make_fleet(*entries, services=SHARDS)
            delegator = FakeDelegator([Assignment("vm-2", tuple(services))])
            replicas = {f"{name}-{copy}": [FAST] for name in SHARDS for copy in "ab"}
            replicas.update(script or {})
            bench = RunHarness(fleet, replicas, slack=slack, delegator=delegator)
            outcomes = []

            async def run():
                route = make_route(SHARDS, max_attempts, ratio=0.9)
                outcomes.append(await bench.run(route, SHARDS, TARGET_S, limit_s))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(run)
                await trio.testing.wait_all_tasks_blocked()
                await act(delegator.started[0], nursery)
            return bench, delegator, outcomes[0] if outcomes else None

        return run_trio(main)

    def test_parts_of_both_vms_make_the_answer(self):
        """Guards against parts that are counted but not merged, and sends that are made twice."""

        async def act(delegation, nursery):
            await trio.sleep(0.02)
            delegation.take(make_result(SHARDS[5:]))

        bench, delegator, outcome = self.play(act)
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)
        self.assertEqual(
            {f"{name}-a" for name in SHARDS[:5]}, {row for row, _ in bench.sender.sent}
        )
        bodies = b"".join(part.body for part in outcome.answers)
        self.assertEqual(1, bodies.count(b"r" * 32))
        self.assertEqual(20, len({part.signature for part in outcome.answers}) + 4)
        self.assertEqual([("vm-2", True)], delegator.finished)

    def test_refused_shards_are_sent_from_here_without_budget(self):
        """Guards against a VM that stops and takes the shards that it refuses with it."""

        async def act(delegation, nursery):
            delegation.end(DelegationEnd.REFUSED)

        bench, _, outcome = self.play(act, slack=0.0)
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)
        self.assertEqual({SendReason.FIRST}, {reason for _, reason in bench.sender.sent})

    def test_lost_vm_is_replaced_by_retries_that_the_budget_pays(self):
        """Load pattern: VMs are killed while they run parts of fan-outs.

        Guards against retries beyond the bound over all VMs.
        """

        async def act(delegation, nursery):
            delegation.accept(HEDGE_IN_S)
            await trio.sleep(0.02)
            delegation.end(DelegationEnd.LOST)

        bench, _, outcome = self.play(act)
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)
        reasons = [reason for _, reason in bench.sender.sent]
        self.assertEqual(15, reasons.count(SendReason.RETRY_DELEGATED))
        _, _, outcome = self.play(act, slack=0.0)
        self.assertIs(RunVerdict.FAILED, outcome.verdict)

    def test_vm_that_is_lost_after_its_hedges_counts_as_two_sends(self):
        """Guards against more sends of a shard than the route allows."""

        async def act(delegation, nursery):
            delegation.accept(HEDGE_IN_S)
            await trio.sleep(HEDGE_IN_S)
            delegation.end(DelegationEnd.LOST)

        bench, _, outcome = self.play(act, max_attempts=2)
        self.assertEqual(5, len(bench.sender.sent))
        self.assertIs(RunVerdict.FAILED, outcome.verdict)

    def test_vm_without_a_word_is_given_up_at_once(self):
        """Load pattern: VMs freeze or are cut off; their connections stay open.

        Guards against a request that waits for them until its target has passed.
        """

        async def act(delegation, nursery):
            await trio.sleep(ACCEPT_TIMEOUT_S + 0.001)

        bench, delegator, outcome = self.play(act)
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)
        self.assertLess(bench.took_s, ACCEPT_TIMEOUT_S + 0.02)
        self.assertEqual(["vm-2"], delegator.silent)

    def test_wait_for_a_word_begins_when_the_message_leaves(self):
        """Load pattern: a VM with half a core is busy for 30 ms with news of many replicas.

        Guards against VMs that are given up because this one had not asked them yet.
        """

        async def act(delegation, nursery):
            await trio.sleep(ACCEPT_TIMEOUT_S - 0.005)
            delegation.note_written()
            await trio.sleep(0.01)
            delegation.accept(HEDGE_IN_S)
            delegation.take(make_result(SHARDS[5:]))

        bench, delegator, outcome = self.play(act)
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)
        self.assertEqual(([], 5), (delegator.silent, len(bench.sender.sent)))

    def test_vm_that_accepted_and_fell_silent_is_given_up_after_the_seal(self):
        """Guards against an answer that never comes because a VM froze in the middle."""

        async def act(delegation, nursery):
            delegation.accept(1.0)

        bench, delegator, outcome = self.play(act, max_attempts=3)
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)
        self.assertLess(bench.took_s, TARGET_S + REPORT_GRACE_S + 0.02)
        self.assertEqual(["vm-2"], delegator.silent)

    def test_result_after_its_vm_was_given_up_is_dropped(self):
        """Guards against two answers of one shard in a reply."""

        async def act(delegation, nursery):
            delegation.end(DelegationEnd.LOST)
            delegation.take(make_result(SHARDS[5:]))

        _, _, outcome = self.play(act, max_attempts=3)
        self.assertTrue(all(part.signature == b"here" for part in outcome.answers))
        self.assertNotIn(b"r" * 32, b"".join(part.body for part in outcome.answers))

    def test_incomplete_report_is_sealed_in_time(self):
        """Load pattern: replicas of some shards are slow; the rest is in.

        Guards against waiting for the whole part of another VM.
        """

        async def act(delegation, nursery):
            delegation.accept(1.0)
            await trio.sleep(delegation.report_at - trio.current_time())
            delegation.take(make_result(SHARDS[5:18]))

        bench, delegator, outcome = self.play(act)
        self.assertIs(RunVerdict.PARTIAL, outcome.verdict)
        self.assertEqual((18, 2), (len(outcome.answers), outcome.missing))
        self.assertLess(bench.took_s, TARGET_S)
        self.assertEqual([("vm-2", True)], delegator.finished)

    def test_shards_that_failed_there_are_tried_here_within_their_sends(self):
        """Guards against a shard that is lost because one VM does not know its replicas."""

        async def act(delegation, nursery):
            failures = [ShardFailure("s18", 0), ShardFailure("s19", 2)]
            delegation.take(make_result(SHARDS[5:18], failures=failures))

        bench, _, outcome = self.play(act)
        sent = [row for row in bench.sender.sent if row[0].startswith(("s18", "s19"))]
        self.assertEqual([("s18-a", SendReason.FIRST)], sent)
        self.assertEqual(1, outcome.missing)

    def test_caller_that_leaves_ends_the_work_elsewhere(self):
        """Guards against replicas that work on for a caller who is gone."""

        async def act(delegation, nursery):
            nursery.cancel_scope.cancel()

        _, delegator, outcome = self.play(act)
        self.assertIsNone(outcome)
        self.assertEqual([("vm-2", False)], delegator.finished)

    def test_failure_after_a_delegation_may_have_run(self):
        """Guards against "not run" for a request that another VM has sent."""

        async def act(delegation, nursery):
            delegation.end(DelegationEnd.LOST)

        failing = {
            f"{name}-{copy}": [(0.0, end(ExchangeResult.NOT_RUN))]
            for name in SHARDS
            for copy in "ab"
        }
        _, _, outcome = self.play(act, script=failing)
        self.assertTrue(outcome.may_have_run)
        self.assertIs(RunVerdict.FAILED, outcome.verdict)
