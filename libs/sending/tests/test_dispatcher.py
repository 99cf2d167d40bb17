import unittest

import trio
from fakes import make_answered, make_entry, make_fleet, make_route, run_trio

from zinnia_sending.answers import Exchange, ExchangeResult
from zinnia_sending.attempts import Attempt, RunRequest, SendReason, ShardProgress
from zinnia_sending.counters import NullCounters
from zinnia_sending.dispatcher import ABANDONED_ATTEMPT_TIMEOUT_S, Dispatcher
from zinnia_sending.events import NullSink
from zinnia_sending.health import Condition
from zinnia_sending.latency import LatencyHistogram

REQUEST_INTERVAL_S = 6 / 45
ANSWER_OF_HEDGE_S = 0.1


async def send_abandoned(fleet, dispatcher, until, tail_s=0.04):
    """Send requests that other replicas answer first; return how many this one got."""
    sends = 0
    while trio.current_time() < until:
        replica = fleet.choose("s", (), trio.current_time())
        if replica is not None:
            sends += 1
            attempt = make_attempt(replica, lambda *_: None)
            attempt.request.latency.tail_s = tail_s
            dispatcher.start(attempt)
            await trio.sleep(ANSWER_OF_HEDGE_S)
            dispatcher.abandon(attempt)
        await trio.sleep(REQUEST_INTERVAL_S)
    return sends


def make_attempt(replica, settle):
    """Return an attempt of a request that may take 2 s."""
    now = trio.current_time()
    route = make_route(["s"], fanout=False)
    latency = LatencyHistogram(0.01)
    request = RunRequest("id", route, ("s",), False, None, now, now + 0.1, now + 2.0, latency)
    return Attempt(ShardProgress("s"), replica, SendReason.FIRST, now, request, settle)


class HangingReplicaTest(unittest.TestCase):
    def run_attempts(self, count, act, error=None):
        """Send to a replica that never answers, or raises ``error``; return it and the results.

        ``act`` is called after the start of each attempt.
        """

        async def main():
            fleet = make_fleet(make_entry("r"))
            replica = fleet.get_replica("r")

            async def hang(*_):
                if error is not None:
                    raise error
                await trio.sleep_forever()

            replica.exchange = hang
            results = []
            async with trio.open_nursery() as nursery:
                dispatcher = Dispatcher(nursery, fleet, None, NullCounters(), NullSink())
                for _ in range(count):
                    attempt = make_attempt(replica, lambda _, exchange: results.append(exchange))
                    dispatcher.start(attempt)
                    await trio.testing.wait_all_tasks_blocked()
                    await act(dispatcher, attempt)
            return replica, results

        return run_trio(main)

    def test_replica_is_suspended_after_two_requests_without_an_answer(self):
        """Load pattern: replicas become unreachable and connections to them hang."""

        async def wait(dispatcher, attempt):
            await trio.sleep(2.1)

        replica, results = self.run_attempts(2, wait)
        self.assertEqual([ExchangeResult.CANCELLED] * 2, [row.result for row in results])
        self.assertIsNot(Condition.GOOD, replica.health.get_condition(0.0))
        self.assertEqual(0, replica.health.outstanding)

    def test_abandoned_attempt_ends_after_its_timeout(self):
        """Guards against a replica that keeps working for a caller that already has its answer."""

        async def abandon(dispatcher, attempt):
            dispatcher.abandon(attempt)
            await trio.sleep(ABANDONED_ATTEMPT_TIMEOUT_S + 0.01)

        _, results = self.run_attempts(1, abandon)
        self.assertAlmostEqual(ABANDONED_ATTEMPT_TIMEOUT_S, results[0].duration_s, places=3)

    def test_trial_goes_on_until_the_replica_answers(self):
        """Load pattern: a replica stands still for some seconds, and its requests are hedged.

        Guards against a replica that is back and gets nothing until the next trial is due.
        """

        async def main():
            fleet = make_fleet(make_entry("r"))
            replica = fleet.get_replica("r")
            back = trio.Event()

            async def exchange(*_):
                await back.wait()
                return make_answered()

            replica.exchange = exchange
            async with trio.open_nursery() as nursery:
                dispatcher = Dispatcher(nursery, fleet, None, NullCounters(), NullSink())
                await send_abandoned(fleet, dispatcher, trio.current_time() + 5.0)
                outstanding = replica.health.outstanding
                back.set()
                await trio.testing.wait_all_tasks_blocked()
            return outstanding, replica.health.get_condition(trio.current_time())

        self.assertEqual((1, Condition.GOOD), run_trio(main))

    def test_replica_that_stands_still_gets_few_requests(self):
        """Load pattern: a replica stands still for 90 s and takes connections; 45 requests a
        second at six VMs, hedged.

        Guards against requests that wait there and arrive together, beyond the retry budget.
        """
        self.assertLessEqual(6 * self.count_sends_to_hanging(0.04), 52 + 0.2 * 450)

    def count_sends_to_hanging(self, tail_s):
        """Return the requests that one VM sends to a replica that stands still for 90 s."""

        async def main():
            fleet = make_fleet(make_entry("r"))

            async def hang(*_):
                await trio.sleep_forever()

            fleet.get_replica("r").exchange = hang
            async with trio.open_nursery() as nursery:
                dispatcher = Dispatcher(nursery, fleet, None, NullCounters(), NullSink())
                until = trio.current_time() + 90.0
                sends = await send_abandoned(fleet, dispatcher, until, tail_s)
                nursery.cancel_scope.cancel()
            return sends

        return run_trio(main)

    def test_replica_that_stands_still_gets_few_requests_of_a_route_with_a_long_tail(self):
        """Load pattern: as above, and usual answers take up to 0.15 s.

        Guards against attempts that are given up too soon to count as unanswered, again and again.
        """
        self.assertLessEqual(6 * self.count_sends_to_hanging(0.15), 52 + 0.2 * 450)

    def test_cancelled_attempt_ends_at_once(self):
        """Load pattern: callers disconnect before their deadline."""

        async def cancel(dispatcher, attempt):
            dispatcher.cancel(attempt)
            await trio.sleep(0.01)

        _, results = self.run_attempts(1, cancel)
        self.assertIsInstance(results[0], Exchange)
        self.assertEqual(0.0, results[0].duration_s)

    def test_unexpected_error_breaks_only_one_exchange(self):
        """Guards against an error in one exchange that ends the process."""

        async def wait(dispatcher, attempt):
            await trio.sleep(0.01)

        _, results = self.run_attempts(1, wait, error=KeyError("header"))
        self.assertEqual([ExchangeResult.BROKEN], [row.result for row in results])
