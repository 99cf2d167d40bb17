import unittest
from random import Random

import trio
import trio.testing

from zinnia_catalog.replicas import ReplicaEntry
from zinnia_catalog.routes import CallerLimits, Configuration, ServiceLimits
from zinnia_sending.answers import AnswerFacts
from zinnia_sending.events import NullSink
from zinnia_sending.fleet import Fleet

FLEET_SIZES = (6, 72, 195)
REPLICAS = ("a", "b", "c")
SHARD = "s"
TURN_AWAY_S = 2.0
# Requests of one VM between this time after a refusal and the end of the time that it names.
REACTION_S = 0.5
MAX_REQUESTS = 2
REQUESTS_PER_S = 400.0
TURNED_AWAY_UNTIL_S = 6.0
DURATION_S = 12.0
LATENCY_S = 0.02
TAKEN = AnswerFacts(b"", b"", False, False, False)
REFUSED = AnswerFacts(b"", b"", True, False, False, turn_away_s=TURN_AWAY_S)


class TurnedAwayFleet:
    """VMs whose replicas of one shard all ask for time, and take requests again later."""

    def __init__(self, vms):
        self.random = Random(vms)
        self.size = vms
        self.arrivals = []
        self.refusals = []
        self.served = []

    def run(self):
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(self._run, clock=clock)

    def make_fleet(self, number):
        fleet = Fleet("dc1", lambda: self.size, NullSink(), Random(number))
        limits = {SHARD: ServiceLimits(SHARD, 2000, 3.0, 0.0)}
        fleet.adopt_configuration(Configuration(1, (), limits, CallerLimits()))
        for name in REPLICAS:
            fleet.update_replica(
                ReplicaEntry(name, SHARD, "127.0.0.1", 1, "dc1", "v1", 2, False, 0.0, 1)
            )
        return fleet

    async def _run(self):
        self.started_at = trio.current_time()
        fleets = [self.make_fleet(number) for number in range(self.size)]
        async with trio.open_nursery() as nursery:
            for number in range(int(REQUESTS_PER_S * DURATION_S)):
                await trio.sleep_until(self.started_at + number / REQUESTS_PER_S)
                vm = self.random.randrange(self.size)
                nursery.start_soon(self.request, vm, fleets[vm], number)

    async def request(self, vm, fleet, key):
        """Send a request of a VM to a replica, or refuse it at once."""
        now = trio.current_time()
        replica = fleet.choose(SHARD, (), now)
        if replica is None:
            next_at = fleet.find_next_time(SHARD, now)
            self.refusals.append((now - self.started_at, next_at and next_at - now))
            return
        fleet.record_send(replica, key, LATENCY_S, now)
        self.arrivals.append((vm, replica.id, now - self.started_at))
        await trio.sleep(LATENCY_S)
        is_taken = now - self.started_at >= TURNED_AWAY_UNTIL_S
        fleet.notices.record_facts(replica, TAKEN if is_taken else REFUSED)
        replica.health.record_end(key)
        if is_taken:
            self.served.append(now - self.started_at)

    def find_most_in_a_refusal(self):
        """Return the most requests of a VM to a replica within the time of one refusal."""
        times = {}
        for vm, replica, at in self.arrivals:
            times.setdefault((vm, replica), []).append(at)
        most = 0
        for sent in times.values():
            for at in sent:
                if at >= TURNED_AWAY_UNTIL_S:
                    continue
                first, last = at + LATENCY_S + REACTION_S, at + LATENCY_S + TURN_AWAY_S
                most = max(most, sum(first < other < last for other in sent))
        return most


class TurnedAwayTest(unittest.TestCase):
    def run_fleets(self, check):
        for vms in FLEET_SIZES:
            fleet = TurnedAwayFleet(vms)
            fleet.run()
            with self.subTest(vms=vms):
                check(fleet)

    def test_every_replica_of_a_shard_asks_for_time(self):
        """Load pattern: all replicas of a shard turn away while 400 requests a second come.

        Guards against VMs that come back before the time, each of them a little.
        """

        def check(fleet):
            self.assertLessEqual(fleet.find_most_in_a_refusal(), MAX_REQUESTS)
            early = [at for _, _, at in fleet.arrivals if at < TURNED_AWAY_UNTIL_S]
            # Each VM asks each replica once, and once more after each time that it was told.
            rounds = 1 + TURNED_AWAY_UNTIL_S / TURN_AWAY_S
            most = rounds * fleet.size * len(REPLICAS)
            # Requests that are under way when the first answer arrives.
            most += REQUESTS_PER_S * LATENCY_S * len(REPLICAS) * rounds
            self.assertLessEqual(len(early), most)

        self.run_fleets(check)

    def test_callers_are_told_when_a_replica_takes_requests_again(self):
        """Load pattern: as above. Guards against callers that come back in vain, or too late."""

        def check(fleet):
            self.assertTrue(fleet.refusals)
            for _, retry_after_s in fleet.refusals:
                if retry_after_s is not None:
                    self.assertLessEqual(retry_after_s, 1.25 * TURN_AWAY_S)

        self.run_fleets(check)

    def test_all_requests_are_served_again_soon_after_the_time(self):
        """Guards against VMs that keep away from replicas that take requests."""

        def check(fleet):
            settled_at = TURNED_AWAY_UNTIL_S + 1.25 * TURN_AWAY_S + 1.0
            served = sum(at > settled_at for at in fleet.served)
            self.assertGreater(served, 0.95 * REQUESTS_PER_S * (DURATION_S - settled_at))

        self.run_fleets(check)
