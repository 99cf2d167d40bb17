import unittest

import trio
from fakes import (
    FakeDelegator,
    RunHarness,
    make_answered,
    make_entry,
    make_fleet,
    make_route,
    make_unanswered,
    run_trio,
)

from zinnia_sending.answers import ExchangeResult
from zinnia_sending.attempts import SendReason
from zinnia_sending.delegation import Assignment, DelegationEnd, PartialResult, ShardFailure
from zinnia_sending.runs import ACCEPT_TIMEOUT_S, REPORT_GRACE_S, RunVerdict

SHARDS = [f"s{number}" for number in range(20)]
FAST_ANSWER = (0.01, make_answered(body=b"here" * 4, signature=b"here"))
TARGET_S = 0.1
REPORT_LEAD_S = 0.004


def make_result(services, records=b"r" * 32, failures=()):
    return PartialResult(
        tuple((name, name.encode()) for name in services), records, tuple(failures)
    )


class DelegatedRunTest(unittest.TestCase):
    """Runs a fan-out over 20 shards, of which the last 15 are delegated to another VM."""

    def run_delegated(self, act_as_peer, max_attempts=2, slack=50.0, script=None, limit_s=1.0):
        """Run a request; ``act_as_peer`` calls the delegation in place of the other VM."""
        services = SHARDS[5:]

        async def main():
            entries = [make_entry(f"{name}-a", name) for name in SHARDS]
            entries += [make_entry(f"{name}-b", name, data_centre="dc2") for name in SHARDS]
            fleet = make_fleet(*entries, services=SHARDS)
            delegator = FakeDelegator([Assignment("vm-2", tuple(services), "dc1", REPORT_LEAD_S)])
            replicas = {f"{name}-{replica}": [FAST_ANSWER] for name in SHARDS for replica in "ab"}
            replicas.update(script or {})
            harness = RunHarness(fleet, replicas, slack=slack, delegator=delegator)
            outcomes = []

            async def run():
                route = make_route(SHARDS, max_attempts, ratio=0.9)
                outcomes.append(await harness.run(route, SHARDS, TARGET_S, limit_s))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(run)
                await trio.testing.wait_all_tasks_blocked()
                await act_as_peer(delegator.started[0], nursery)
            return harness, delegator, outcomes[0] if outcomes else None

        return run_trio(main)

    def test_answers_of_both_vms_are_merged(self):
        """Guards against answers that are counted but not merged, and against duplicate sends."""

        async def act_as_peer(delegation, nursery):
            await trio.sleep(0.02)
            delegation.handle_result(make_result(SHARDS[5:]))

        harness, delegator, outcome = self.run_delegated(act_as_peer)
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)
        self.assertEqual(
            {f"{name}-a" for name in SHARDS[:5]}, {row for row, _ in harness.sender.sent}
        )
        bodies = b"".join(answer.body for answer in outcome.answers)
        self.assertEqual(1, bodies.count(b"r" * 32))
        self.assertEqual(20, len({answer.signature for answer in outcome.answers}) + 4)
        self.assertEqual([("vm-2", True)], delegator.finished)

    def test_refused_shards_are_run_locally_without_retry_budget(self):
        """Guards against losing the shards that a stopping VM refuses."""

        async def act_as_peer(delegation, nursery):
            delegation.end(DelegationEnd.REFUSED)

        harness, _, outcome = self.run_delegated(act_as_peer, slack=0.0)
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)
        self.assertEqual({SendReason.FIRST}, {reason for _, reason in harness.sender.sent})

    def test_shards_of_a_lost_vm_are_retried_within_the_retry_budget(self):
        """Load pattern: VMs are killed while they run delegated shards.

        Guards against retries beyond the limit over all VMs.
        """

        async def act_as_peer(delegation, nursery):
            delegation.accept()
            await trio.sleep(0.02)
            delegation.end(DelegationEnd.LOST)

        harness, _, outcome = self.run_delegated(act_as_peer)
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)
        reasons = [reason for _, reason in harness.sender.sent]
        self.assertEqual(15, reasons.count(SendReason.RETRY_DELEGATED))
        _, _, outcome = self.run_delegated(act_as_peer, slack=0.0)
        self.assertIs(RunVerdict.FAILED, outcome.verdict)

    def test_shards_that_another_vm_has_misdirected_draw_on_the_retry_budget(self):
        """Load pattern: replicas are replaced, and others get their addresses.

        Guards against a send of each of two VMs that counts as the first.
        """

        async def act_as_peer(delegation, nursery):
            failures = [ShardFailure(name, 0, has_misdirected=True) for name in SHARDS[5:]]
            delegation.handle_result(make_result([], failures=failures))

        harness, _, outcome = self.run_delegated(act_as_peer)
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)
        reasons = [reason for _, reason in harness.sender.sent]
        self.assertEqual(15, reasons.count(SendReason.RETRY_WRONG_REPLICA))
        harness, _, outcome = self.run_delegated(act_as_peer, slack=0.0)
        self.assertEqual({SendReason.FIRST}, {reason for _, reason in harness.sender.sent})
        self.assertEqual(5, len(harness.sender.sent))

    def test_permitted_sends_of_a_lost_vm_count(self):
        """Guards against more sends to a shard than the route allows."""

        async def act_as_peer(delegation, nursery):
            delegation.accept()
            self.assertEqual(SHARDS[5:], delegation.permit_sends(SHARDS[5:]))
            self.assertEqual([], delegation.permit_sends(SHARDS[5:]))
            delegation.end(DelegationEnd.LOST)
            self.assertEqual([], delegation.permit_sends(SHARDS[5:]))

        harness, _, outcome = self.run_delegated(act_as_peer, max_attempts=2)
        self.assertEqual(5, len(harness.sender.sent))
        self.assertIs(RunVerdict.FAILED, outcome.verdict)

    def test_no_send_is_permitted_for_a_shard_that_is_sent_from_here(self):
        """Guards against two VMs that use the same attempt of a shard."""
        permitted = []

        async def act_as_peer(delegation, nursery):
            delegation.handle_result(make_result((), failures=[ShardFailure("s18", 1)]))
            permitted.extend(delegation.permit_sends(["s18", "s19", "unknown"]))
            delegation.handle_result(make_result(SHARDS[5:18]))

        self.run_delegated(act_as_peer)
        self.assertEqual(["s19"], permitted)

    def test_vm_that_does_not_accept_in_time_is_treated_as_lost(self):
        """Load pattern: VMs freeze or are partitioned off; their connections stay open.

        Guards against a request that waits for such a VM beyond its target latency.
        """

        async def act_as_peer(delegation, nursery):
            await trio.sleep(ACCEPT_TIMEOUT_S + 0.001)

        harness, delegator, outcome = self.run_delegated(act_as_peer)
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)
        self.assertLess(harness.took_s, ACCEPT_TIMEOUT_S + 0.02)
        self.assertEqual(["vm-2"], delegator.silent)

    def test_accept_timeout_starts_when_the_message_is_written(self):
        """Load pattern: a VM with half a core is busy for 30 ms with updates of many replicas.

        Guards against treating VMs as lost to which this VM has not written the message yet.
        """

        async def act_as_peer(delegation, nursery):
            await trio.sleep(ACCEPT_TIMEOUT_S - 0.005)
            delegation.record_write_time()
            await trio.sleep(0.01)
            delegation.accept()
            delegation.handle_result(make_result(SHARDS[5:]))

        harness, delegator, outcome = self.run_delegated(act_as_peer)
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)
        self.assertEqual(([], 5), (delegator.silent, len(harness.sender.sent)))

    def test_vm_that_accepted_but_does_not_report_is_treated_as_lost_after_the_planned_seal(self):
        """Guards against a request without an answer because a VM froze after it had accepted."""

        async def act_as_peer(delegation, nursery):
            delegation.accept()

        harness, delegator, outcome = self.run_delegated(act_as_peer, max_attempts=3)
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)
        self.assertLess(harness.took_s, TARGET_S + REPORT_GRACE_S + 0.02)
        self.assertEqual(["vm-2"], delegator.silent)

    def test_work_of_a_silent_vm_is_not_given_up_while_its_shards_are_needed(self):
        """Load pattern: a VM is slow to accept while the retry budget is spent.

        Guards against withdrawing running work that nothing can replace.
        """

        async def act_as_peer(delegation, nursery):
            await trio.sleep(ACCEPT_TIMEOUT_S + 0.015)
            delegation.handle_result(make_result(SHARDS[5:]))

        harness, delegator, outcome = self.run_delegated(act_as_peer, slack=0.0)
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)
        self.assertEqual(5, len(harness.sender.sent))
        self.assertEqual(["vm-2"], delegator.silent)
        self.assertEqual([("vm-2", True)], delegator.finished)

    def test_late_report_of_a_vm_that_accepted_is_used(self):
        """Load pattern: a VM pauses between accepting and reporting; it may send again.

        Guards against a failure at the planned seal although the answers come soon after it.
        """

        async def act_as_peer(delegation, nursery):
            delegation.accept()
            delegation.permit_sends(SHARDS[5:])
            await trio.sleep(TARGET_S + REPORT_GRACE_S + 0.02)
            delegation.handle_result(make_result(SHARDS[5:]))

        harness, _, outcome = self.run_delegated(act_as_peer)
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)
        self.assertEqual(5, len(harness.sender.sent))

    def test_awaited_vm_that_turns_out_to_be_lost_ends_the_request(self):
        """Guards against a request that waits for its deadline once the VM is known to be lost."""

        async def act_as_peer(delegation, nursery):
            delegation.accept()
            delegation.permit_sends(SHARDS[5:])
            await trio.sleep(TARGET_S + REPORT_GRACE_S + 0.02)
            delegation.end(DelegationEnd.LOST)

        harness, _, outcome = self.run_delegated(act_as_peer)
        self.assertIs(RunVerdict.FAILED, outcome.verdict)
        self.assertTrue(outcome.may_have_run)
        self.assertLess(harness.took_s, TARGET_S + REPORT_GRACE_S + 0.03)

    def test_result_of_a_vm_that_was_treated_as_lost_is_ignored(self):
        """Guards against merging two answers of one shard."""

        async def act_as_peer(delegation, nursery):
            delegation.end(DelegationEnd.LOST)
            delegation.handle_result(make_result(SHARDS[5:]))

        _, _, outcome = self.run_delegated(act_as_peer, max_attempts=3)
        self.assertTrue(all(answer.signature == b"here" for answer in outcome.answers))
        self.assertNotIn(b"r" * 32, b"".join(answer.body for answer in outcome.answers))

    def test_answer_with_an_incomplete_report_is_sealed_before_the_target_latency(self):
        """Load pattern: replicas of some shards are slow; all others have answered.

        Guards against waiting for all shards of another VM.
        """

        async def act_as_peer(delegation, nursery):
            delegation.accept()
            await trio.sleep(delegation.report_at - trio.current_time())
            delegation.handle_result(make_result(SHARDS[5:18]))

        harness, delegator, outcome = self.run_delegated(act_as_peer)
        self.assertIs(RunVerdict.PARTIAL, outcome.verdict)
        self.assertEqual((18, 2), (len(outcome.answers), outcome.missing))
        self.assertLess(harness.took_s, TARGET_S)
        self.assertEqual([("vm-2", True)], delegator.finished)

    def test_shards_that_failed_on_another_vm_are_run_locally_within_max_attempts(self):
        """Guards against giving up a shard because another VM does not know its replicas."""

        async def act_as_peer(delegation, nursery):
            failures = [ShardFailure("s18", 0), ShardFailure("s19", 2)]
            delegation.handle_result(make_result(SHARDS[5:18], failures=failures))

        harness, _, outcome = self.run_delegated(act_as_peer)
        sent = [row for row in harness.sender.sent if row[0].startswith(("s18", "s19"))]
        self.assertEqual([("s18-a", SendReason.FIRST)], sent)
        self.assertEqual(1, outcome.missing)

    def test_delegation_ends_if_the_caller_disconnects(self):
        """Guards against replicas that keep working for a caller that has disconnected."""

        async def act_as_peer(delegation, nursery):
            nursery.cancel_scope.cancel()

        _, delegator, outcome = self.run_delegated(act_as_peer)
        self.assertIsNone(outcome)
        self.assertEqual([("vm-2", False)], delegator.finished)

    def test_failure_after_a_lost_delegation_counts_as_may_have_run(self):
        """Guards against reporting "not run" for a request that another VM may have sent."""

        async def act_as_peer(delegation, nursery):
            delegation.end(DelegationEnd.LOST)

        failing = {
            f"{name}-{replica}": [(0.0, make_unanswered(ExchangeResult.NOT_RUN))]
            for name in SHARDS
            for replica in "ab"
        }
        _, _, outcome = self.run_delegated(act_as_peer, script=failing)
        self.assertTrue(outcome.may_have_run)
        self.assertIs(RunVerdict.FAILED, outcome.verdict)
