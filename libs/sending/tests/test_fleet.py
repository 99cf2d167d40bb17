import unittest

import trio
from fakes import make_entry, make_fleet, run_trio, suspend_replica

from zinnia_catalog.departures import Departure
from zinnia_catalog.releases import ReleaseOrder, ReleaseState
from zinnia_sending.answers import AnswerFacts
from zinnia_sending.versions import TRIAL_SLACK_FRACTION, USED_SHARE_FRACTION, ExposureBounds


class FleetTest(unittest.TestCase):
    def count_choices(self, fleet, service="s", count=200, tried=()):
        async def main():
            now = trio.current_time()
            chosen = [fleet.choose(service, tried, now) for _ in range(count)]
            return [replica.id for replica in chosen if replica is not None]

        return run_trio(main)

    def call_in_trio(self, function):
        async def main():
            return function()

        return run_trio(main)

    def test_replica_in_the_same_data_centre_is_preferred(self):
        """Guards against needless traffic between data centres."""
        entries = (make_entry("near"), make_entry("far", data_centre="dc2"))
        fleet = self.call_in_trio(lambda: make_fleet(*entries))
        self.assertEqual({"near"}, set(self.count_choices(fleet)))

    def choose_data_centre(self, *entries, prepare=lambda fleet: None, count=100):
        """Return the data centres that are chosen for a shard with these replicas."""

        def choose():
            fleet = make_fleet(*entries)
            prepare(fleet)
            return {fleet.choose_data_centre("s", trio.current_time()) for _ in range(count)}

        return self.call_in_trio(choose)

    def test_shard_with_a_local_replica_stays_in_this_data_centre(self):
        """Load pattern: five data centres, two replicas a shard. Guards against needless hops."""
        found = self.choose_data_centre(make_entry("a"), make_entry("b", data_centre="dc2"))
        self.assertEqual({"dc1"}, found)

    def test_shard_without_a_local_replica_is_spread_over_its_data_centres(self):
        """Load pattern: as above. Guards against one of two replicas that gets all requests."""
        entries = [make_entry(name, data_centre=name) for name in ("dc2", "dc3")]
        self.assertEqual({"dc2", "dc3"}, self.choose_data_centre(*entries))

    def test_shard_goes_to_no_data_centre_without_a_usable_replica(self):
        """Load pattern: a data centre is evacuated while replicas of another one drain."""
        entries = (
            make_entry("a", data_centre="dc2"),
            make_entry("b", data_centre="dc3", is_draining=True),
            make_entry("c", data_centre="dc4"),
        )
        found = self.choose_data_centre(
            *entries, prepare=lambda fleet: fleet.change_data_centre("dc2", True)
        )
        self.assertEqual({"dc4"}, found)
        self.assertEqual({None}, self.choose_data_centre(entries[1]))

    def test_shard_avoids_the_data_centre_of_a_suspended_replica(self):
        """Load pattern: replicas of many shards hang or crash.

        Guards against a VM that is asked for shards whose replicas there are known to fail.
        """
        entries = [make_entry(name, data_centre=name) for name in ("dc2", "dc3")]

        def suspend(fleet):
            suspend_replica(fleet.get_replica("dc2").health, trio.current_time())

        self.assertEqual({"dc3"}, self.choose_data_centre(*entries, prepare=suspend))

    def test_busy_replica_is_not_chosen(self):
        """Load pattern: a burst of requests to one replica."""
        entries = (make_entry("a"), make_entry("b"))
        fleet = self.call_in_trio(lambda: make_fleet(*entries))
        for key in range(2):
            fleet.get_replica("a").health.record_start(key, 0.02, 0.0)
        self.assertEqual({"b"}, set(self.count_choices(fleet)))

    def test_slow_replica_is_not_chosen_even_in_the_same_data_centre(self):
        """Load pattern: replicas become slow for some seconds."""
        entries = (make_entry("near"), make_entry("far", data_centre="dc2"))
        fleet = self.call_in_trio(lambda: make_fleet(*entries))
        for _ in range(10):
            fleet.get_replica("near").health.record_answer(8.0, 0.0)
        self.assertEqual({"far"}, set(self.count_choices(fleet)))

    def test_draining_replica_gets_no_requests(self):
        """Load pattern: replicas are drained and removed."""
        entries = (make_entry("a"), make_entry("b"))
        fleet = self.call_in_trio(lambda: make_fleet(*entries))
        self.call_in_trio(lambda: fleet.update_replica(make_entry("a", is_draining=True)))
        self.assertEqual({"b"}, set(self.count_choices(fleet)))

    def test_replica_that_drains_no_longer_gets_requests_again(self):
        """Load pattern: an operator takes back a drain, or the store goes back to before it.

        Guards against a replica that may have no connections until the next configuration.
        """
        fleet = self.call_in_trio(lambda: make_fleet(make_entry("a")))
        self.call_in_trio(lambda: fleet.update_replica(make_entry("a", is_draining=True)))
        self.assertEqual([], self.count_choices(fleet))
        self.call_in_trio(lambda: fleet.update_replica(make_entry("a")))
        self.assertEqual({"a"}, set(self.count_choices(fleet)))

    def test_excluded_data_centre_gets_no_requests(self):
        """Load pattern: a data centre is evacuated, and all of its replicas with it."""
        entries = (make_entry("a"), make_entry("b", data_centre="dc2"))
        fleet = self.call_in_trio(lambda: make_fleet(*entries))
        self.call_in_trio(lambda: fleet.change_data_centre("dc1", True))
        self.assertEqual({"b"}, set(self.count_choices(fleet)))
        self.call_in_trio(lambda: fleet.change_data_centre("dc2", True))
        self.assertEqual([], self.count_choices(fleet))

    def test_new_incarnation_of_a_replica_starts_without_recorded_health(self):
        """Load pattern: a replica restarts with the same id."""
        fleet = self.call_in_trio(lambda: make_fleet(make_entry("a")))
        known = fleet.get_replica("a")
        suspend_replica(known.health, 0.0)
        self.call_in_trio(lambda: fleet.update_replica(make_entry("a", started_ms=2)))
        self.assertIsNot(known, fleet.get_replica("a"))
        self.assertTrue(known.availability.is_gone)

    def test_cold_replica_gets_at_most_the_warmup_rate_share_of_this_vm(self):
        """Load pattern: replicas of a data centre return cold and all VMs send to them."""

        async def main():
            entry = make_entry("a", warmup_remaining_s=10.0)
            fleet = make_fleet(entry, warmup_rate_per_s=10.0, vms=5)
            sent = 0
            for _ in range(100):
                now = trio.current_time()
                replica = fleet.choose("s", (), now)
                if replica is not None:
                    fleet.record_send(replica, sent, 0.02, now)
                    replica.health.record_end(sent)
                    sent += 1
                await trio.sleep(0.05)
            return sent

        sent = run_trio(main)
        self.assertLessEqual(sent, 1 + 5 * 10.0 / 5)
        self.assertGreaterEqual(sent, 5)

    def test_new_version_gets_at_most_its_request_share(self):
        """Load pattern: a bad version starts beside a good one and answers faster."""

        async def main():
            entries = (make_entry("old", version="v1"), make_entry("new", version="v2"))
            fleet = make_fleet(*entries)
            fleet.get_replica("old").health.record_answer(8.0, 0.0)
            order = ReleaseOrder("s", "v2", 30.0, ReleaseState.RUNNING, 1)
            fleet.change_release("s", order)
            counts = {"old": 0, "new": 0}
            for _ in range(500):
                replica = fleet.choose("s", (), trio.current_time())
                fleet.record_send(replica, 0, 0.02, trio.current_time())
                replica.health.record_end(0)
                counts[replica.id] += 1
            return counts

        counts = run_trio(main)
        bounds = ExposureBounds()
        most = USED_SHARE_FRACTION * bounds.share * 500 + TRIAL_SLACK_FRACTION * bounds.slack
        self.assertLessEqual(counts["new"], most + 1)
        self.assertGreater(counts["new"], 0)

    def count_sends_in_a_release(self, old_slowness, prepare=lambda fleet: None):
        """Return the sends to an old and a new version, of 200 of which none fails."""

        async def main():
            entries = (make_entry("old", version="v1"), make_entry("new", version="v2"))
            fleet = make_fleet(*entries)
            fleet.change_release("s", ReleaseOrder("s", "v2", 30.0, ReleaseState.RUNNING, 1))
            prepare(fleet)
            counts = {"old": 0, "new": 0}
            for _ in range(200):
                fleet.get_replica("old").health.record_answer(old_slowness, 0.0)
                replica = fleet.choose("s", (), trio.current_time())
                fleet.record_send(replica, 0, 0.02, trio.current_time())
                replica.health.record_end(0)
                counts[replica.id] += 1
            return counts

        return run_trio(main)

    def test_new_version_gets_its_share_though_the_old_one_looks_better(self):
        """Load pattern: replicas of the old version answer faster than is typical.

        Guards against a version that is done without an answer of it.
        """
        counts = self.count_sends_in_a_release(old_slowness=0.3)
        self.assertGreaterEqual(counts["new"], 0.05 * 200)

    def test_new_version_that_can_get_no_request_takes_none_from_the_old_one(self):
        """Load pattern: replicas of the new version are drained before the move ends."""

        def drain(fleet):
            fleet.update_replica(make_entry("new", version="v2", is_draining=True))

        self.assertEqual({"old": 200, "new": 0}, self.count_sends_in_a_release(1.0, drain))

    def test_connection_limit_is_divided_among_the_vms(self):
        """Load pattern: many VMs keep connections to replicas that allow only a few."""
        fleet = self.call_in_trio(lambda: make_fleet(make_entry("a"), vms=6))
        self.assertLessEqual(fleet.get_replica("a").pool.limit * 6, 25)

    def test_obstacle_of_each_unusable_replica_is_found(self):
        """Guards against a refusal whose log does not state why each replica could not be used."""
        entries = (make_entry("a", is_draining=True), make_entry("b", data_centre="dc2"))
        fleet = self.call_in_trio(lambda: make_fleet(*entries, make_entry("c"), make_entry("d")))
        self.call_in_trio(lambda: fleet.change_data_centre("dc2", True))
        suspend_replica(fleet.get_replica("c").health, 0.0)
        obstacles = self.call_in_trio(lambda: fleet.find_obstacles("s", ("d",), 0.1))
        expected = {"a": "draining", "b": "data_centre_out", "c": "suspended", "d": "tried"}
        self.assertEqual(expected, obstacles)

    def make_leaving(self, *entries):
        """Return a fleet whose replica ``a`` has said that it leaves, and another replica."""
        fleet = make_fleet(make_entry("a"), make_entry("b", data_centre="dc2"), *entries)
        facts = AnswerFacts(b"", b"", False, False, False, is_leaving=True)
        fleet.notices.record_facts(fleet.get_replica("a"), facts)
        return fleet

    def test_replica_that_says_that_it_leaves_gets_nothing_more(self):
        """Load pattern: the store lists it as ready, late, or from an older copy."""

        def choose():
            fleet = self.make_leaving()
            fleet.update_replica(make_entry("a", warmup_remaining_s=1.0))
            found = {fleet.choose("s", (), trio.current_time()).id for _ in range(50)}
            fleet.remove_replica("a", "its entry lapsed")
            fleet.update_replica(make_entry("a"))
            return found | {fleet.choose("s", (), trio.current_time()).id for _ in range(50)}

        self.assertEqual({"b"}, self.call_in_trio(choose))

    def test_departure_that_another_vm_knows_holds_for_the_same_start_only(self):
        """Load pattern: a replica starts again under its id while VMs tell of its departure."""

        def choose(started_ms):
            fleet = make_fleet(make_entry("a", started_ms=started_ms))
            fleet.notices.apply_departures([Departure("a", 1, 2.0)], trio.current_time())
            return fleet.choose("s", (), trio.current_time())

        self.assertIsNone(self.call_in_trio(lambda: choose(1)))
        self.assertEqual("a", self.call_in_trio(lambda: choose(2)).id)

    def test_departure_that_is_known_before_the_entry_holds(self):
        """Load pattern: a VM starts and hears of a departure before it lists the replicas."""

        def choose():
            fleet = make_fleet()
            fleet.notices.apply_departures([Departure("a", 1, 2.0)], trio.current_time())
            fleet.update_replica(make_entry("a"))
            return fleet.choose("s", (), trio.current_time())

        self.assertIsNone(self.call_in_trio(choose))
