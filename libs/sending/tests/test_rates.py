import unittest
from random import Random

import trio
from fakes import make_entry, make_fleet, run_trio

from zinnia_sending.availability import Obstacle
from zinnia_sending.events import EventSink
from zinnia_sending.rates import RateLimit, TrialShare

LIMIT_PER_S = 4.0
VMS = 8
STEP_S = 0.01


class RecordingSink(EventSink):
    def __init__(self):
        self.rows = []

    def note(self, event, **fields):
        if event == "replica_limit_changed":
            self.rows.append(fields["limit_per_s"])


class LimitedReplicaTest(unittest.TestCase):
    """One VM of eight, and replicas that name a limit."""

    def run_fleet(self, test, *names):
        """Run ``test`` with a fleet of these replicas."""

        async def main():
            self.events = RecordingSink()
            fleet = make_fleet(*(make_entry(name) for name in names), vms=VMS, events=self.events)
            await test(fleet)

        run_trio(main)

    async def send(self, fleet, duration_s):
        """Send whenever a replica may be chosen; return the replicas."""
        sent = []
        for _ in range(round(duration_s / STEP_S)):
            replica = fleet.choose("s", (), trio.current_time())
            if replica is not None:
                fleet.record_send(replica, len(sent), 0.01, trio.current_time())
                replica.health.record_end(len(sent))
                sent.append(replica.id)
            await trio.sleep(STEP_S)
        return sent

    def test_other_replicas_get_what_a_limited_one_does_not_take(self):
        """Load pattern: one of two replicas names a limit below this VM's requests.

        Guards against requests that wait or fail while another replica is free.
        """

        async def test(fleet):
            fleet.record_rate_limit(fleet.get_replica("a"), LIMIT_PER_S)
            sent = await self.send(fleet, 10.0)
            self.assertEqual(1000, len(sent))
            self.assertLessEqual(sent.count("a"), LIMIT_PER_S / VMS * 10.0 + 1)
            self.assertGreaterEqual(sent.count("a"), 3)

        self.run_fleet(test, "a", "b")

    def test_request_without_a_permit_is_told_when_another_vm_has_one(self):
        """Load pattern: all replicas of a service name a limit.

        Guards against a time to come back that counts this VM's permits only: the caller reaches
        another VM then.
        """

        async def test(fleet):
            replica = fleet.get_replica("a")
            fleet.record_rate_limit(replica, LIMIT_PER_S)
            await self.send(fleet, 3.0)
            now = trio.current_time()
            obstacles = fleet.find_obstacles("s", (), now)
            self.assertEqual({"a": Obstacle.RATE_LIMITED.value}, obstacles)
            self.assertLessEqual(fleet.find_next_time("s", now) - now, 1.0 / LIMIT_PER_S)
            rare = RateLimit(LIMIT_PER_S, TrialShare(100.0), now, Random(1))
            self.assertAlmostEqual(now + 1.0 / LIMIT_PER_S, rare.find_next_time(now))

        self.run_fleet(test, "a")

    def test_service_with_a_free_replica_has_no_time_to_come_back(self):
        """Guards against a refusal of another shard whose Retry-After is too long."""

        async def test(fleet):
            fleet.record_rate_limit(fleet.get_replica("a"), 0.0)
            self.assertIsNone(fleet.find_next_time("s", trio.current_time()))

        self.run_fleet(test, "a", "b")

    def test_begin_and_end_of_a_limit_are_logged_once(self):
        """Guards against a line for each answer of a limited replica."""

        async def test(fleet):
            replica = fleet.get_replica("a")
            for limit_per_s in (None, 4.0, 4.0, 3.9, None, None):
                fleet.record_rate_limit(replica, limit_per_s)
            self.assertEqual([4.0, None], self.events.rows)
            self.assertEqual({}, fleet.find_obstacles("s", (), trio.current_time()))

        self.run_fleet(test, "a")

    def test_new_incarnation_has_no_limit(self):
        """Guards against a limit that a replica has named before its restart."""

        async def test(fleet):
            fleet.record_rate_limit(fleet.get_replica("a"), 0.0)
            fleet.update_replica(make_entry("a", started_ms=2))
            self.assertEqual({}, fleet.find_obstacles("s", (), trio.current_time()))

        self.run_fleet(test, "a")
