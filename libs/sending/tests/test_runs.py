import unittest

import trio
import trio.testing
from fakes import RunHarness, answer, end, make_entry, make_fleet, make_route, run_trio

from zinnia_sending.answers import ExchangeResult
from zinnia_sending.attempts import SendReason
from zinnia_sending.runs import RunVerdict
from zinnia_sending.shards import REQUEST_END_MARGIN_S

FAST = (0.01, answer())
NEVER = None


def make_shards(count):
    """Return a fleet and its shards; replica a of each is near and so chosen first, b is far."""
    services = [f"s{number}" for number in range(count)]
    near = [make_entry(f"{name}-a", name) for name in services]
    far = [make_entry(f"{name}-b", name, data_centre="dc2") for name in services]
    entries = near + far
    return make_fleet(*entries, services=services), services


def make_scripts(services, pair=FAST):
    return {f"{name}-{copy}": [pair] for name in services for copy in "ab"}


class FanoutRunTest(unittest.TestCase):
    def run_fanout(self, count, change, **options):
        async def main():
            fleet, services = make_shards(count)
            script = make_scripts(services)
            script.update(change)
            bench = RunHarness(fleet, {key: pairs for key, pairs in script.items() if pairs})
            outcome = await bench.run(make_route(services), services, **options)
            return bench, outcome

        return run_trio(main)

    def test_all_parts_are_in_when_all_replicas_answer(self):
        """Guards against an answer that is sealed before its last part."""
        bench, outcome = self.run_fanout(20, {})
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)
        self.assertEqual((20, 0), (len(outcome.answers), outcome.missing))
        self.assertEqual(20, len(bench.sender.sent))

    def test_paused_replica_is_hedged_before_the_target(self):
        """Load pattern: short pauses of single replicas, each at its own time.

        Guards against a straggler that makes the whole answer late.
        """
        bench, outcome = self.run_fanout(20, {"s3-a": [(0.5, answer())]})
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)
        self.assertLess(bench.took_s, 0.1)

    def test_answers_that_are_in_count_when_the_process_is_behind(self):
        """Load pattern: fan-outs of 135 on half a core, which reads answers late.

        Guards against hedges of shards that have answered, and against leaving their parts out.
        """

        async def main(clock):
            fleet, services = make_shards(20)
            bench = RunHarness(fleet, make_scripts(services, (0.05, answer())))
            outcomes = []

            async def run():
                outcomes.append(await bench.run(make_route(services), services))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(run)
                await trio.testing.wait_all_tasks_blocked()
                clock.jump(0.2)
            return bench, outcomes[0]

        clock = trio.testing.MockClock()
        bench, outcome = trio.run(main, clock, clock=clock)
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)
        self.assertEqual(20, len(bench.sender.sent))

    def test_shard_without_an_answer_is_left_out_at_the_target(self):
        """Load pattern: all replicas of one shard hang.

        Guards against an answer that waits for a hanging shard beyond its target.
        """
        bench, outcome = self.run_fanout(20, {"s3-a": NEVER, "s3-b": NEVER})
        self.assertIs(RunVerdict.PARTIAL, outcome.verdict)
        self.assertEqual(1, outcome.missing)
        self.assertLess(bench.took_s, 0.1)

    def test_too_few_parts_at_the_target_wait_for_the_next_one(self):
        """Load pattern: replicas of several shards are slow at once.

        Guards against a failure while parts that are needed are still on their way.
        """
        late = {f"s{n}-{copy}": [(0.2 + n / 100, answer())] for n in range(4) for copy in "ab"}
        bench, outcome = self.run_fanout(20, late)
        self.assertIs(RunVerdict.PARTIAL, outcome.verdict)
        self.assertEqual(2, outcome.missing)
        self.assertAlmostEqual(0.21, bench.took_s, places=3)

    def test_answer_that_cannot_get_enough_parts_is_given_up_at_once(self):
        """Load pattern: replicas of many shards crash.

        Guards against holding a request to its deadline that already cannot be answered.
        """
        broken = {
            f"s{n}-{copy}": [(0.01, end(ExchangeResult.BROKEN))] for n in range(3) for copy in "ab"
        }
        bench, outcome = self.run_fanout(20, broken)
        self.assertIs(RunVerdict.FAILED, outcome.verdict)
        self.assertTrue(outcome.may_have_run)
        self.assertLess(bench.took_s, 0.05)

    def test_nothing_is_sent_if_too_few_shards_have_a_replica(self):
        """Load pattern: all VMs restart while the entries of most replicas have lapsed.

        Guards against load without use, and a refusal that cannot say that nothing has run.
        """

        async def main():
            fleet, services = make_shards(20)
            for name in services[:3]:
                for copy in "ab":
                    fleet.remove_replica(f"{name}-{copy}", "lapsed")
            bench = RunHarness(fleet, make_scripts(services))
            return bench, await bench.run(make_route(services), services)

        bench, outcome = run_trio(main)
        self.assertIs(RunVerdict.NO_REPLICA, outcome.verdict)
        self.assertFalse(outcome.may_have_run)
        self.assertEqual([], bench.sender.sent)

    def test_failure_with_a_signature_is_no_part(self):
        """Guards against merging a replica's failure."""
        failing = {"s3-a": [(0.01, answer(status=500))], "s3-b": [(0.01, answer(status=500))]}
        _, outcome = self.run_fanout(20, failing)
        self.assertEqual(1, outcome.missing)

    def test_no_shard_gets_more_sends_than_attempts(self):
        """Guards against a shard at which a request runs more often than its route allows."""
        broken = {f"s3-{copy}": [(0.005, end(ExchangeResult.BROKEN))] for copy in "ab"}
        bench, _ = self.run_fanout(20, broken)
        sends = [replica for replica, _ in bench.sender.sent if replica.startswith("s3-")]
        self.assertEqual(2, len(sends))

    def test_losers_of_a_sealed_answer_may_end_by_themselves(self):
        """Guards against a new connection for each hedge, because its loser's was closed."""
        bench, _ = self.run_fanout(20, {"s3-a": NEVER, "s3-b": NEVER})
        self.assertTrue(bench.sender.abandoned)
        self.assertFalse(bench.sender.cancelled)


class BudgetRunTest(unittest.TestCase):
    def test_hedges_stop_while_the_budget_is_spent(self):
        """Load pattern: all replicas of many shards turn slow at once.

        Guards against hedges that double the load of a service that is already slow.
        """

        async def main():
            fleet, services = make_shards(1)
            bench = RunHarness(fleet, make_scripts(services, (0.2, answer())), slack=2.5, ratio=0.0)
            hedges = 0
            for _ in range(10):
                await bench.run(make_route(services, ratio=0.5), services)
                hedges += sum(r is SendReason.HEDGE for _, r in bench.sender.sent)
            return hedges

        self.assertEqual(1, run_trio(main))


class SingleRunTest(unittest.TestCase):
    def run_single(self, script, idempotent, replicas="ab", **options):
        async def main():
            fleet = make_fleet(*(make_entry(name) for name in replicas))
            bench = RunHarness(fleet, script, **options)
            route = make_route(["s"], idempotent=idempotent, fanout=False)
            return bench, await bench.run(route, ["s"])

        return run_trio(main)

    def test_request_that_may_have_run_is_not_sent_again_if_not_idempotent(self):
        """Load pattern: replicas run requests and lose the answers.

        Guards against a second run of a request that may run once at most.
        """
        script = {name: [(0.01, end(ExchangeResult.BROKEN))] for name in "ab"}
        bench, outcome = self.run_single(script, idempotent=False)
        self.assertEqual(1, len(bench.sender.sent))
        self.assertIs(RunVerdict.FAILED, outcome.verdict)
        self.assertTrue(outcome.may_have_run)

    def test_request_that_was_not_run_is_sent_again_even_if_not_idempotent(self):
        """Guards against a refusal although another replica has room."""
        script = {name: [(0.01, end(ExchangeResult.NOT_RUN))] for name in "ab"}
        bench, outcome = self.run_single(script, idempotent=False)
        self.assertEqual(2, len(bench.sender.sent))
        self.assertIs(RunVerdict.REJECTED, outcome.verdict)
        self.assertFalse(outcome.may_have_run)

    def test_request_that_is_not_idempotent_is_never_hedged(self):
        """Guards against two runs at the same time."""
        script = {name: [(0.5, answer())] for name in "ab"}
        bench, outcome = self.run_single(script, idempotent=False)
        self.assertEqual(1, len(bench.sender.sent))
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)

    def test_lost_answer_of_an_idempotent_request_is_asked_for_elsewhere(self):
        """Load pattern: answers are lost to resets."""
        script = {name: [(0.01, end(ExchangeResult.BROKEN))] for name in "ab"}
        bench, _ = self.run_single(script, idempotent=True)
        self.assertEqual({"a", "b"}, {replica for replica, _ in bench.sender.sent})

    def test_only_replica_is_asked_again_after_a_lost_answer(self):
        """Guards against a failure while the one replica of a service is alive."""
        script = {"a": [(0.01, end(ExchangeResult.BROKEN)), FAST]}
        _, outcome = self.run_single(script, idempotent=True, replicas="a")
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)

    def test_unsent_request_costs_no_attempt(self):
        """Load pattern: replicas are dark and accept no connections."""
        script = {"a": [(0.01, end(ExchangeResult.NOT_SENT))]}
        script |= {"b": script["a"], "c": [FAST]}
        _, outcome = self.run_single(script, idempotent=False, replicas="abc")
        self.assertIs(RunVerdict.COMPLETE, outcome.verdict)

    def test_request_without_a_replica_is_refused_at_once(self):
        """Load pattern: all replicas of a service are gone."""
        bench, outcome = self.run_single({}, idempotent=True, replicas="")
        self.assertIs(RunVerdict.NO_REPLICA, outcome.verdict)
        self.assertEqual((0.0, False), (bench.took_s, outcome.may_have_run))

    def test_replicas_own_failure_is_kept_for_the_caller(self):
        """Guards against replacing a replica's failure by one of the tier's own."""
        script = {name: [(0.01, answer(status=500))] for name in "ab"}
        _, outcome = self.run_single(script, idempotent=True)
        self.assertEqual(500, outcome.failure.status)

    def test_request_ends_before_its_time_is_over(self):
        """Guards against a request that stays unanswered at the timeout of its route."""
        bench, outcome = self.run_single({}, idempotent=False)
        self.assertIs(RunVerdict.EXPIRED, outcome.verdict)
        self.assertAlmostEqual(1.0 - REQUEST_END_MARGIN_S, bench.took_s, places=3)
        self.assertEqual(1, len(bench.sender.cancelled))
