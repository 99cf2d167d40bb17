import unittest

import trio
from fakes import make_entry, make_fleet, make_route, run_trio

from zinnia_sending.answers import Exchange, ExchangeResult
from zinnia_sending.attempts import Attempt, RunRequest, SendReason, ShardProgress
from zinnia_sending.counters import NullCounters
from zinnia_sending.dispatcher import ABANDONED_ATTEMPT_TIMEOUT_S, Dispatcher
from zinnia_sending.events import NullSink
from zinnia_sending.health import Condition
from zinnia_sending.latency import LatencyHistogram


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
                    now = trio.current_time()
                    route = make_route(["s"], fanout=False)
                    request = RunRequest(
                        "id",
                        route,
                        ("s",),
                        False,
                        None,
                        now,
                        now + 0.1,
                        now + 2.0,
                        LatencyHistogram(0.01),
                    )
                    attempt = Attempt(
                        ShardProgress("s"),
                        replica,
                        SendReason.FIRST,
                        now,
                        request,
                        lambda _, exchange: results.append(exchange),
                    )
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
