import unittest

import trio
import trio.testing
from fakes import (
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
from zinnia_sending.outcomes import RunVerdict
from zinnia_sending.shards import REQUEST_END_MARGIN_S

FAST_ANSWER = (0.01, make_answered())
NO_ANSWER = None


def make_shards(count):
    """Return a fleet and its shards, each with a local replica a and a remote replica b.

    The local replica is chosen first.
    """
    services = [f"s{number}" for number in range(count)]
    local = [make_entry(f"{name}-a", name) for name in services]
    remote = [make_entry(f"{name}-b", name, data_centre="dc2") for name in services]
    entries = local + remote
    return make_fleet(*entries, services=services), services


def make_scripts(services, pair=FAST_ANSWER):
    return {f"{name}-{replica}": [pair] for name in services for replica in "ab"}


class FanoutRunTest(unittest.TestCase):
    def run_fanout(self, count, change, **options):
        async def main():
            fleet, services = make_shards(count)
            script = make_scripts(services)
            script.update(change)
            harness = RunHarness(fleet, {key: pairs for key, pairs in script.items() if pairs})
            outcome = await harness.run(make_route(services), services, **options)
            return harness, outcome

        return run_trio(main)

    def test_answer_is_complete_if_all_replicas_answer(self):
        """Guards against sealing an answer before the last shard has answered."""
        harness, outcome = self.run_fanout(20, {})
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)
        self.assertEqual((20, 0), (len(outcome.answers), outcome.missing))
        self.assertEqual(20, len(harness.sender.sent))

    def test_paused_replica_is_hedged_before_the_target_latency(self):
        """Load pattern: short pauses of single replicas, each at its own time.

        Guards against one slow replica that delays the whole answer.
        """
        harness, outcome = self.run_fanout(20, {"s3-a": [(0.5, make_answered())]})
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)
        self.assertLess(harness.took_s, 0.1)

    def test_received_answers_count_even_if_they_are_read_late(self):
        """Load pattern: fan-outs over 135 shards on half a core, which reads answers late.

        Guards against hedging shards whose answers have arrived, and against leaving them out.
        """

        async def main(clock):
            fleet, services = make_shards(20)
            harness = RunHarness(fleet, make_scripts(services, (0.05, make_answered())))
            outcomes = []

            async def run():
                outcomes.append(await harness.run(make_route(services), services))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(run)
                await trio.testing.wait_all_tasks_blocked()
                clock.jump(0.2)
            return harness, outcomes[0]

        clock = trio.testing.MockClock()
        harness, outcome = trio.run(main, clock, clock=clock)
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)
        self.assertEqual(20, len(harness.sender.sent))

    def test_incomplete_answer_is_sealed_before_the_target_latency(self):
        """Load pattern: all replicas of one shard hang.

        Guards against an answer that waits for a hanging shard beyond the target latency.
        """
        harness, outcome = self.run_fanout(20, {"s3-a": NO_ANSWER, "s3-b": NO_ANSWER})
        self.assertIs(RunVerdict.PARTIAL, outcome.verdict)
        self.assertEqual(1, outcome.missing)
        self.assertLess(harness.took_s, 0.1)

    def test_request_waits_beyond_the_target_until_enough_shards_have_answered(self):
        """Load pattern: replicas of several shards are slow at once.

        Guards against failing a request at the target latency although answers may still arrive.
        """
        late = {
            f"s{n}-{replica}": [(0.2 + n / 100, make_answered())]
            for n in range(4)
            for replica in "ab"
        }
        harness, outcome = self.run_fanout(20, late)
        self.assertIs(RunVerdict.PARTIAL, outcome.verdict)
        self.assertEqual(2, outcome.missing)
        self.assertAlmostEqual(0.21, harness.took_s, places=3)

    def test_request_fails_at_once_if_enough_shards_can_no_longer_answer(self):
        """Load pattern: replicas of many shards crash.

        Guards against keeping a request until its deadline that can no longer be answered.
        """
        broken = {
            f"s{n}-{replica}": [(0.01, make_unanswered(ExchangeResult.BROKEN))]
            for n in range(3)
            for replica in "ab"
        }
        harness, outcome = self.run_fanout(20, broken)
        self.assertIs(RunVerdict.FAILED, outcome.verdict)
        self.assertTrue(outcome.may_have_run)
        self.assertLess(harness.took_s, 0.05)

    def test_nothing_is_sent_if_too_few_shards_have_a_replica(self):
        """Load pattern: all VMs restart while the entries of most replicas have expired.

        Guards against useless load, and a refusal that cannot state that the request was not run.
        """

        async def main():
            fleet, services = make_shards(20)
            for name in services[:3]:
                for replica in "ab":
                    fleet.remove_replica(f"{name}-{replica}", "lapsed")
            harness = RunHarness(fleet, make_scripts(services))
            return harness, await harness.run(make_route(services), services)

        harness, outcome = run_trio(main)
        self.assertIs(RunVerdict.NO_REPLICA, outcome.verdict)
        self.assertFalse(outcome.may_have_run)
        self.assertEqual([], harness.sender.sent)

    def test_failure_with_a_signature_is_not_merged(self):
        """Guards against merging an error answer of a replica into the answer."""
        failing = {
            "s3-a": [(0.01, make_answered(status=500))],
            "s3-b": [(0.01, make_answered(status=500))],
        }
        _, outcome = self.run_fanout(20, failing)
        self.assertEqual(1, outcome.missing)

    def test_shard_gets_at_most_max_attempts_sends(self):
        """Guards against running a request at a shard more often than its route allows."""
        broken = {
            f"s3-{replica}": [(0.005, make_unanswered(ExchangeResult.BROKEN))] for replica in "ab"
        }
        harness, _ = self.run_fanout(20, broken)
        sends = [replica for replica, _ in harness.sender.sent if replica.startswith("s3-")]
        self.assertEqual(2, len(sends))

    def test_attempts_in_flight_are_abandoned_not_cancelled_after_an_answer(self):
        """Guards against a new connection for each hedge.

        Cancelling the slower attempt closes its connection; an abandoned one may keep it.
        """
        harness, _ = self.run_fanout(20, {"s3-a": NO_ANSWER, "s3-b": NO_ANSWER})
        self.assertTrue(harness.sender.abandoned)
        self.assertFalse(harness.sender.cancelled)


class BudgetRunTest(unittest.TestCase):
    def test_no_hedge_is_sent_while_the_retry_budget_is_spent(self):
        """Load pattern: all replicas of many shards become slow at once.

        Guards against hedges that double the load of a service that is already slow.
        """

        async def main():
            fleet, services = make_shards(1)
            harness = RunHarness(
                fleet, make_scripts(services, (0.2, make_answered())), slack=2.5, ratio=0.0
            )
            hedges = 0
            for _ in range(10):
                await harness.run(make_route(services, ratio=0.5), services)
                hedges += sum(r is SendReason.HEDGE for _, r in harness.sender.sent)
            return hedges

        self.assertEqual(1, run_trio(main))

    def test_retries_after_refusals_by_other_replicas_draw_on_the_retry_budget(self):
        """Load pattern: all replicas are replaced, and others get their addresses.

        Guards against requests that reach one replica after the other, paid for by nothing.
        """

        async def main():
            fleet = make_fleet(*(make_entry(name) for name in "abc"))
            script = {
                name: [(0.01, make_unanswered(ExchangeResult.WRONG_REPLICA))] for name in "abc"
            }
            harness = RunHarness(fleet, script, slack=2.5, ratio=0.0)
            retries, verdicts = 0, set()
            for _ in range(5):
                outcome = await harness.run(make_route(["s"], fanout=False), ["s"])
                verdicts.add(outcome.verdict)
                retries += len(harness.sender.sent) - 1
            return retries, verdicts

        retries, verdicts = run_trio(main)
        self.assertEqual(2, retries)
        self.assertEqual({RunVerdict.REJECTED}, verdicts)

    def test_hedge_counts_until_the_replica_that_stood_still_goes_on(self):
        """Load pattern: a replica stands still for longer than the window, and its requests wait.

        Guards against hedges that are forgotten when what they replaced arrives.
        """

        async def main():
            fleet, services = make_shards(1)
            script = make_scripts(services)
            script["s0-a"] = [(0.5, make_unanswered(ExchangeResult.CANCELLED))]
            harness = RunHarness(fleet, script)
            counts = []
            for pause_s in (20.0, 1.0, 20.0):
                await harness.run(make_route(services, ratio=0.5), services, linger_s=pause_s)
                harness.script["s0-a"] = [FAST_ANSWER]
                counts.append(harness.budget.measure_use("s0", trio.current_time()).extra_sends)
            return counts

        self.assertEqual([1, 1, 0], run_trio(main))

    def test_retries_of_unsent_requests_are_free(self):
        """Load pattern: replicas accept no connections while the retry budget is spent.

        Guards against callers that lose answers for sends that have reached no replica.
        """
        script = {name: [(0.01, make_unanswered(ExchangeResult.NOT_SENT))] for name in "ab"}
        script["c"] = [FAST_ANSWER]

        async def main():
            fleet = make_fleet(*(make_entry(name) for name in "abc"))
            harness = RunHarness(fleet, script, slack=0.0, ratio=0.0)
            return await harness.run(make_route(["s"], fanout=False), ["s"])

        self.assertIs(RunVerdict.COMPLETE, run_trio(main).verdict)


class SingleRunTest(unittest.TestCase):
    def run_single(self, script, idempotent, replicas="ab", **options):
        async def main():
            fleet = make_fleet(*(make_entry(name) for name in replicas))
            harness = RunHarness(fleet, script, **options)
            route = make_route(["s"], idempotent=idempotent, fanout=False)
            return harness, await harness.run(route, ["s"])

        return run_trio(main)

    def test_request_that_may_have_run_is_not_retried_if_not_idempotent(self):
        """Load pattern: replicas run requests and lose the answers.

        Guards against a second run of a request that must run at most once.
        """
        script = {name: [(0.01, make_unanswered(ExchangeResult.BROKEN))] for name in "ab"}
        harness, outcome = self.run_single(script, idempotent=False)
        self.assertEqual(1, len(harness.sender.sent))
        self.assertIs(RunVerdict.FAILED, outcome.verdict)
        self.assertTrue(outcome.may_have_run)

    def test_lost_answer_of_any_kind_may_have_run(self):
        """Guards against a refusal as not run after an answer was lost on its way."""
        for result in ExchangeResult:
            if not result.may_have_run or result is ExchangeResult.ANSWERED:
                continue
            with self.subTest(result):
                script = {name: [(0.01, make_unanswered(result))] for name in "ab"}
                harness, outcome = self.run_single(script, idempotent=False)
                self.assertEqual(1, len(harness.sender.sent))
                self.assertTrue(outcome.may_have_run)
                self.assertIn(outcome.verdict, (RunVerdict.FAILED, RunVerdict.EXPIRED))

    def test_request_that_was_not_run_is_retried_even_if_not_idempotent(self):
        """Guards against refusing a request although another replica has capacity."""
        script = {name: [(0.01, make_unanswered(ExchangeResult.NOT_RUN))] for name in "ab"}
        harness, outcome = self.run_single(script, idempotent=False)
        self.assertEqual(2, len(harness.sender.sent))
        self.assertIs(RunVerdict.REJECTED, outcome.verdict)
        self.assertFalse(outcome.may_have_run)

    def test_request_that_is_not_idempotent_is_never_hedged(self):
        """Guards against two concurrent runs of a request that must run at most once."""
        script = {name: [(0.5, make_answered())] for name in "ab"}
        harness, outcome = self.run_single(script, idempotent=False)
        self.assertEqual(1, len(harness.sender.sent))
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)

    def test_idempotent_request_is_retried_at_another_replica_after_a_lost_answer(self):
        """Load pattern: replicas reset connections before they answer."""
        script = {name: [(0.01, make_unanswered(ExchangeResult.BROKEN))] for name in "ab"}
        harness, _ = self.run_single(script, idempotent=True)
        self.assertEqual({"a", "b"}, {replica for replica, _ in harness.sender.sent})

    def test_request_is_retried_at_the_only_replica_after_a_lost_answer(self):
        """Guards against failing a request while the only replica of its service is running."""
        script = {"a": [(0.01, make_unanswered(ExchangeResult.BROKEN)), FAST_ANSWER]}
        _, outcome = self.run_single(script, idempotent=True, replicas="a")
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)

    def test_undelivered_request_does_not_count_as_an_attempt(self):
        """Load pattern: replicas are unreachable and accept no connections."""
        script = {"a": [(0.01, make_unanswered(ExchangeResult.NOT_SENT))]}
        script |= {"b": script["a"], "c": [FAST_ANSWER]}
        _, outcome = self.run_single(script, idempotent=False, replicas="abc")
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)

    def test_request_without_a_replica_is_refused_at_once(self):
        """Load pattern: all replicas of a service have been removed."""
        harness, outcome = self.run_single({}, idempotent=True, replicas="")
        self.assertIs(RunVerdict.NO_REPLICA, outcome.verdict)
        self.assertEqual((0.0, False), (harness.took_s, outcome.may_have_run))

    def test_error_answer_of_a_replica_is_kept_for_the_caller(self):
        """Guards against replacing an error answer of a replica by an error of this tier."""
        script = {name: [(0.01, make_answered(status=500))] for name in "ab"}
        _, outcome = self.run_single(script, idempotent=True)
        self.assertEqual(500, outcome.failure.status)

    def test_request_without_an_answer_ends_before_its_deadline(self):
        """Guards against a request that gets no reply until the timeout of its route."""
        harness, outcome = self.run_single({}, idempotent=False)
        self.assertIs(RunVerdict.EXPIRED, outcome.verdict)
        self.assertAlmostEqual(1.0 - REQUEST_END_MARGIN_S, harness.took_s, places=3)
        self.assertEqual(1, len(harness.sender.cancelled))
