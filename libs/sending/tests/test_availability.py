import unittest
from math import inf, nan
from random import Random

import trio
from fakes import make_entry, make_fleet, run_trio

from zinnia_sending.answers import AnswerFacts
from zinnia_sending.availability import (
    MAX_RETURN_SPREAD_S,
    MAX_TURN_AWAY_S,
    RETURN_SPREAD_FRACTION,
    Availability,
    Obstacle,
)
from zinnia_sending.health import ReplicaHealth
from zinnia_sending.rates import RateLimit, SenderShare


class AvailabilityTest(unittest.TestCase):
    def setUp(self):
        self.health = ReplicaHealth(0.0)
        self.availability = Availability(self.health, False, 0.0)

    def find(self, now):
        return self.availability.find_obstacle(now, 0.0)

    def test_replica_that_turns_away_gets_nothing_for_the_time(self):
        """Guards against more than the two requests that it may get."""
        self.availability.turn_away(2.0, 10.0, Random(1))
        self.assertIs(Obstacle.TURNED_AWAY, self.find(10.0))
        self.assertIs(Obstacle.TURNED_AWAY, self.find(12.0))
        self.assertIs(Obstacle.TURNED_AWAY, self.availability.find_refusal(11.9))
        self.assertIsNone(self.find(12.0 + RETURN_SPREAD_FRACTION * 2.0))

    def test_shorter_time_does_not_end_a_longer_one(self):
        """Load pattern: requests in flight are turned away with different times."""
        self.availability.turn_away(3.0, 10.0, Random(1))
        self.availability.turn_away(0.1, 10.1, Random(1))
        self.assertIs(Obstacle.TURNED_AWAY, self.find(12.9))

    def test_first_request_after_the_time_is_alone(self):
        """Guards against a burst at a replica that may turn away again."""
        self.availability.turn_away(1.0, 10.0, Random(1))
        self.health.record_start(1, 0.1, 12.0)
        self.assertIs(Obstacle.TRIAL_RUNNING, self.find(12.1))
        self.health.record_end(1)
        self.availability.record_taken(12.2)
        self.health.record_start(2, 0.1, 12.3)
        self.assertIsNone(self.find(12.4))

    def test_answer_to_an_earlier_request_does_not_end_the_time(self):
        """Load pattern: a request that was sent before is answered while others are turned away."""
        self.availability.turn_away(1.0, 10.0, Random(1))
        self.availability.record_taken(10.2)
        self.assertIs(Obstacle.TURNED_AWAY, self.find(10.9))

    def test_return_is_spread(self):
        """Load pattern: many VMs are told the same time in one moment."""
        times = set()
        for number in range(50):
            availability = Availability(ReplicaHealth(0.0), False, 0.0)
            availability.turn_away(4.0, 10.0, Random(number))
            times.add(availability.find_next_time(10.0))
        self.assertGreater(max(times) - min(times), 0.8 * RETURN_SPREAD_FRACTION * 4.0)
        self.assertGreaterEqual(min(times), 14.0)
        self.assertLessEqual(max(times), 14.0 + MAX_RETURN_SPREAD_S)

    def test_next_time_is_that_of_the_last_obstacle(self):
        """Load pattern: a replica names a limit, fails and turns away at once."""
        self.availability.rate_limit = RateLimit(0.5, SenderShare(0.1, 1.0), 10.0, Random(1))
        self.availability.turn_away(30.0, 10.0, Random(1))
        for _ in range(2):
            self.health.record_failure(10.0)
        self.assertGreaterEqual(self.availability.find_next_time(10.0), 40.0)


class TurnedAwayFleetTest(unittest.TestCase):
    def turn_away(self, *named_s):
        """Return the obstacle of a replica and the seconds that remain after it names times."""

        def run():
            fleet = make_fleet(make_entry("a"))
            for value in named_s:
                facts = AnswerFacts(b"", b"", True, False, False, turn_away_s=value)
                fleet.notices.record_facts(fleet.get_replica("a"), facts)
            now = trio.current_time()
            next_at = fleet.find_next_time("s", now)
            obstacle = fleet.find_obstacles("s", (), now).get("a")
            return obstacle, None if next_at is None else next_at - now

        async def main():
            return run()

        return run_trio(main)

    def test_time_is_obeyed(self):
        """Guards against a fraction of a second that is dropped."""
        obstacle, left_s = self.turn_away(0.5)
        self.assertEqual("turned_away", obstacle)
        self.assertGreaterEqual(left_s, 0.5)

    def test_odd_times_are_bounded(self):
        """Load pattern: replicas name times that no replica would mean.

        Guards against a replica that gets nothing for hours, and against an unhandled error.
        """
        for value in (nan, -5.0, -inf, 0.0):
            with self.subTest(value=value):
                self.assertEqual((None, None), self.turn_away(value))
        for value in (inf, 1e300, 86_400.0):
            with self.subTest(value=value):
                obstacle, left_s = self.turn_away(value)
                self.assertEqual("turned_away", obstacle)
                self.assertLessEqual(left_s, MAX_TURN_AWAY_S + MAX_RETURN_SPREAD_S)
