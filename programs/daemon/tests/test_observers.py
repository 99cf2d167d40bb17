import unittest

from zinnia_model.messages import Heartbeat
from zinniarouterd.observers import Observers


def beat(vm, incarnation="i", address="127.0.0.1:1", leaving=False):
    return Heartbeat(
        vm, incarnation, 1, 1, 1, leaving=leaving, peer_address=address, data_centre="east"
    )


class ObserversTest(unittest.TestCase):
    def setUp(self):
        self.observers = Observers()

    def find(self, now):
        found = self.observers.find_longest_heard(now)
        return found.vm if found else None

    def test_longest_heard_observer_is_found_while_it_is_heard(self):
        self.observers.note(beat("b"), 0.0)
        self.observers.note(beat("a"), 0.5)
        self.observers.note(beat("b"), 0.9)
        self.assertEqual("b", self.find(1.4))
        self.observers.note(beat("a"), 1.5)
        self.assertEqual("a", self.find(2.0))
        self.assertIsNone(self.find(2.6))

    def test_restart_begins_the_time_anew(self):
        # Guards against a seat for an incarnation that no longer runs.
        self.observers.note(beat("b"), 0.0)
        self.observers.note(beat("a"), 0.1)
        self.assertTrue(self.observers.note(beat("b", "j"), 0.2))
        self.assertEqual("a", self.find(0.3))

    def test_member_and_leaving_vm_get_no_seat(self):
        self.observers.note(beat("a"), 0.0)
        self.observers.note(beat("a", address=""), 0.1)
        self.observers.note(beat("b", leaving=True), 0.1)
        self.assertIsNone(self.find(0.2))
        self.assertEqual({"b": "127.0.0.1:1"}, self.observers.list_addresses(0.2))


if __name__ == "__main__":
    unittest.main()
