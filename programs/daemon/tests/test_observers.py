import unittest

from zinnia_model.messages import Heartbeat
from zinniarouterd.observers import Observers


def make_heartbeat(vm, incarnation="i", address="127.0.0.1:1", leaving=False):
    return Heartbeat(
        vm, incarnation, 1, 1, 1, leaving=leaving, peer_address=address, data_centre="east"
    )


class ObserversTest(unittest.TestCase):
    def setUp(self):
        self.observers = Observers()

    def find_longest_seen_vm(self, now):
        found = self.observers.find_longest_seen(now)
        return found.vm if found else None

    def test_longest_seen_observer_is_found_until_its_heartbeat_expires(self):
        self.observers.record_heartbeat(make_heartbeat("b"), 0.0)
        self.observers.record_heartbeat(make_heartbeat("a"), 0.5)
        self.observers.record_heartbeat(make_heartbeat("b"), 0.9)
        self.assertEqual("b", self.find_longest_seen_vm(1.4))
        self.observers.record_heartbeat(make_heartbeat("a"), 1.5)
        self.assertEqual("a", self.find_longest_seen_vm(2.0))
        self.assertIsNone(self.find_longest_seen_vm(2.6))

    def test_restarted_observer_counts_as_new(self):
        # Guards against a seat that is given to an incarnation which no longer runs.
        self.observers.record_heartbeat(make_heartbeat("b"), 0.0)
        self.observers.record_heartbeat(make_heartbeat("a"), 0.1)
        self.assertTrue(self.observers.record_heartbeat(make_heartbeat("b", "j"), 0.2))
        self.assertEqual("a", self.find_longest_seen_vm(0.3))

    def test_member_and_leaving_vm_get_no_seat(self):
        self.observers.record_heartbeat(make_heartbeat("a"), 0.0)
        self.observers.record_heartbeat(make_heartbeat("a", address=""), 0.1)
        self.observers.record_heartbeat(make_heartbeat("b", leaving=True), 0.1)
        self.assertIsNone(self.find_longest_seen_vm(0.2))
        self.assertEqual({"b": "127.0.0.1:1"}, self.observers.list_addresses(0.2))


if __name__ == "__main__":
    unittest.main()
