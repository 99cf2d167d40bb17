import unittest
from math import inf
from types import SimpleNamespace

import trio
from fakes import (
    FakeDelegator,
    FakeSender,
    make_answered,
    make_entry,
    make_fleet,
    make_route,
    run_trio,
)

from zinnia_sending.answers import Exchange, ExchangeResult
from zinnia_sending.attempts import RunRequest
from zinnia_sending.budgets import RetryBounds, RetryBudget
from zinnia_sending.latency import LatencyHistogram
from zinnia_sending.outcomes import RunVerdict
from zinnia_sending.runs import RequestRun

SERVICE = "s"
CRASH = Exchange(ExchangeResult.BROKEN, 0.001, None, "closed", is_unanswered=True)
CRASHES = [(0.001, CRASH)]
ANSWERS = [(0.01, make_answered())]
COME_AGAIN_S = 1.5
# Longest time in which VMs tell each other of a crash.
TELL_S = 1.0


class RecordingSender(FakeSender):
    """Also records the results, as the real sender does."""

    def __init__(self, nursery, script, fleet):
        super().__init__(nursery, script)
        self._fleet = fleet

    async def _run_script(self, attempt):
        attempt.settle = self._record(attempt.settle)
        await super()._run_script(attempt)

    def _record(self, settle):
        def record(attempt, exchange):
            self._fleet.crashes.record_exchange(attempt, exchange)
            settle(attempt, exchange)

        return record


class CrashVm:
    """A VM whose requests are scripted by replica; ``start_replicas`` are as if they had served."""

    def __init__(self, nursery, entries, services, have_answered=True):
        self.fleet = make_fleet(*entries, services=services)
        self.budget = RetryBudget(RetryBounds(0.2, 1000.0, 10.0), lambda service: 1.0, -inf)
        self.sender = RecordingSender(nursery, {}, self.fleet)
        self.start_replicas(entries, have_answered)
        self._attempts = 0

    def start_replicas(self, entries, have_answered=True):
        for entry in entries:
            self.fleet.update_replica(entry)
            self.fleet.get_replica(entry.id).has_answered = have_answered

    def tell(self, other):
        other.fleet.crashes.apply_findings(self.fleet.crashes.list_findings())

    async def run(self, route, services, script, fingerprint="f"):
        """Run one attempt of a caller; return its verdict and the replicas that got it."""
        self._attempts += 1
        self.sender._script = {replica: list(rows) for replica, rows in script.items()}
        self.sender.sent.clear()
        now = trio.current_time()
        latency = LatencyHistogram(0.01)
        latency.hedge_s = 0.03
        request = RunRequest(
            f"{id(self)}-{self._attempts}",
            route,
            tuple(services),
            bool(route.shards),
            SimpleNamespace(fingerprint=fingerprint),
            now,
            now + 0.1,
            now + 1.0,
            latency,
        )
        run = RequestRun(request, self.fleet, self.budget, self.sender, FakeDelegator([]))
        outcome = await run.run()
        return outcome, [replica for replica, _ in self.sender.sent]


def make_shard_entries(services, started_ms=1):
    return [
        make_entry(f"{name}-{replica}", name, data_centre=dc, started_ms=started_ms)
        for name in services
        for replica, dc in (("a", "dc1"), ("b", "dc2"))
    ]


class CrashingRequestTest(unittest.TestCase):
    """A request that crashes each replica that runs it, at three VMs in turn."""

    def run_vms(self, test, entries, services=(SERVICE,), have_answered=True):
        async def main():
            async with trio.open_nursery() as nursery:
                vms = [CrashVm(nursery, entries, services, have_answered) for _ in range(3)]
                result = await test(vms)
                nursery.cancel_scope.cancel()
            return result

        return run_trio(main)

    async def come_again(self, vms, count, route, services, script, entries, fingerprint="f"):
        """Let the request come to the VMs in turn; return verdicts, and replicas by coming."""
        verdicts, sent = [], []
        for number in range(count):
            vm = vms[number % len(vms)]
            outcome, replicas = await vm.run(route, services, script, fingerprint)
            verdicts.append(outcome.verdict)
            sent.append(replicas)
            await trio.sleep(TELL_S)
            for other in vms:
                vm.tell(other)
                # Replicas come back as new processes, and answer other requests.
                restarted = [entry for entry in entries if entry.id in replicas]
                other.start_replicas(
                    [
                        make_entry(e.id, e.service, e.data_centre, e.version, started_ms=number + 2)
                        for e in restarted
                    ]
                )
            await trio.sleep(COME_AGAIN_S - TELL_S)
        return verdicts, sent

    def test_request_that_crashes_replicas_is_not_retried_when_it_comes_again(self):
        """Load pattern: a caller sends it each 1.5 s, to any VM.

        Guards against replicas that crash three at a time for as long as it comes.
        """
        entries = [make_entry(f"r{number}") for number in range(7)]
        script = {entry.id: CRASHES for entry in entries}
        route = make_route([SERVICE], max_attempts=3, fanout=False)

        async def test(vms):
            return await self.come_again(vms, 20, route, [SERVICE], script, entries)

        verdicts, sent = self.run_vms(test, entries)
        self.assertEqual([3, 1, 1], [len(replicas) for replicas in sent[:3]])
        self.assertLessEqual(sum(map(len, sent)), 8, sent)
        self.assertEqual(RunVerdict.CRASHES_REPLICAS, verdicts[4])

    def test_fan_out_that_crashes_replicas_is_not_retried_at_all_shards(self):
        """Load pattern: each shard has two replicas, and each one crashes at once.

        Guards against a query that takes all replicas of all shards.
        """
        services = [f"s{number}" for number in range(20)]
        entries = make_shard_entries(services)
        script = {entry.id: CRASHES for entry in entries}
        route = make_route(services, max_attempts=3)

        async def test(vms):
            return await self.come_again(vms, 8, route, services, script, entries)

        verdicts, sent = self.run_vms(test, entries, services)
        self.assertLessEqual(len(sent[0]), 23, sent[0])
        self.assertEqual([1, 1], [len(replicas) for replicas in sent[1:3]])
        self.assertNotIn(RunVerdict.COMPLETE, verdicts)
        self.assertEqual(RunVerdict.CRASHES_REPLICAS, verdicts[4])

    def test_fan_out_is_complete_although_replicas_of_many_shards_crash(self):
        """Load pattern: replicas of 6 of 20 shards, or of all, crash by themselves at once.

        Guards against retries that are left out because of crashes the request has not caused.
        """
        services = [f"s{number}" for number in range(20)]
        entries = make_shard_entries(services)
        for crashed in (6, 20):
            with self.subTest(crashed=crashed):
                script = {entry.id: ANSWERS for entry in entries}
                script |= {f"s{number}-a": CRASHES for number in range(crashed)}

                async def test(vms, script=script):
                    return await vms[0].run(make_route(services), services, script)

                outcome, _ = self.run_vms(test, entries, services)
                self.assertIs(RunVerdict.COMPLETE, outcome.verdict)

    def test_sound_suspect_is_answered_and_cleared(self):
        """Load pattern: three replicas crash by themselves, each while the request is in flight.

        Guards against a sound request that is refused or not retried from then on.
        """
        services = [f"s{number}" for number in range(20)]
        entries = make_shard_entries(services)
        route = make_route(services)

        async def test(vms):
            crashing = {entry.id: CRASHES for entry in entries}
            await vms[0].run(route, services, crashing)
            vms[0].tell(vms[1])
            for vm in vms:
                vm.start_replicas(make_shard_entries(services, started_ms=2))
            script = {entry.id: ANSWERS for entry in entries}
            first = await vms[1].run(route, services, script)
            script |= {"s3-a": CRASHES}
            second = await vms[1].run(route, services, script)
            return first, second

        for outcome, sent in self.run_vms(test, entries, services):
            self.assertIs(RunVerdict.COMPLETE, outcome.verdict)
            self.assertIn(len(sent), (20, 21))

    def test_bad_version_does_not_get_a_sound_request_refused(self):
        """Load pattern: a new version crashes at each request, beside the old one.

        Guards against taking the fault of the version for that of the request.
        """
        entries = [make_entry(f"new{number}", version="v2") for number in range(4)]
        entries += [make_entry("old", version="v1", data_centre="dc2")]
        script = {entry.id: CRASHES for entry in entries} | {"old": ANSWERS}
        route = make_route([SERVICE], max_attempts=2, fanout=False)

        async def test(vms):
            return await self.come_again(vms, 12, route, [SERVICE], script, entries)

        verdicts, _ = self.run_vms(test, entries)
        self.assertNotIn(RunVerdict.CRASHES_REPLICAS, verdicts)
        self.assertGreaterEqual(verdicts.count(RunVerdict.COMPLETE), 3)

    def test_two_crashing_requests_at_once_leave_others_alone(self):
        """Load pattern: two requests that crash replicas, and a sound one with another path."""
        entries = [make_entry(f"r{number}") for number in range(7)]
        crashing = {entry.id: CRASHES for entry in entries}
        sound = {entry.id: ANSWERS for entry in entries}
        route = make_route([SERVICE], max_attempts=3, fanout=False)

        async def test(vms):
            sent = []
            for _ in range(8):
                for fingerprint in ("f", "g"):
                    rows = await self.come_again(
                        vms, 1, route, [SERVICE], crashing, entries, fingerprint
                    )
                    sent.append(len(rows[1][0]))
                    vms.append(vms.pop(0))
                outcome, replicas = await vms[0].run(route, [SERVICE], sound, "sound")
                self.assertEqual((RunVerdict.COMPLETE, 1), (outcome.verdict, len(replicas)))
            return sent

        sent = self.run_vms(test, entries)
        self.assertEqual([3, 3], sent[:2])
        self.assertLessEqual(max(sent[2:]), 1)

    def test_vm_that_starts_learns_of_suspects(self):
        """Load pattern: a VM restarts while a crashing request comes; guards against a new start
        of the count."""
        entries = [make_entry(f"r{number}") for number in range(7)]
        script = {entry.id: CRASHES for entry in entries}
        route = make_route([SERVICE], max_attempts=3, fanout=False)

        async def test(vms):
            await vms[0].run(route, [SERVICE], script)
            vms[0].tell(vms[1])
            vms[1].tell(vms[2])
            vms[2].start_replicas([make_entry(f"r{n}", started_ms=2) for n in range(7)])
            return await vms[2].run(route, [SERVICE], script)

        _, sent = self.run_vms(test, entries)
        self.assertEqual(1, len(sent))
