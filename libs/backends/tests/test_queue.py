import unittest

from fakes import make_attempt
from hypothesis import given
from hypothesis import strategies as st

from zinnia_backends.crashes import CrashStatus
from zinnia_backends.queue import ReplicaQueue
from zinnia_model.reasons import Reason

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["offer", "take", "release", "cancel", "put_back"]),
        st.integers(0, 9),
        st.integers(0, 4),
    ),
    max_size=100,
)


def classify(fingerprint, _now):
    return {"7": CrashStatus.SUSPECT, "8": CrashStatus.REFUSED}.get(fingerprint, CrashStatus.NORMAL)


class ReplicaQueueTest(unittest.TestCase):
    def test_refuses_attempt_that_would_wait_past_its_deadline(self):
        """Guards against queuing work that will expire, which lowers goodput under overload."""
        queue = ReplicaQueue(bound=10)
        for name in "abcd":
            self.assertIsNone(queue.offer(make_attempt(name), 0.0, 2, 0.1))
        late = make_attempt("e", deadline_at=0.2)
        self.assertIs(Reason.DEADLINE, queue.offer(late, 0.0, 2, 0.1))
        self.assertIsNone(queue.offer(late, 0.0, 4, 0.1))

    def test_refuses_attempt_when_the_queue_is_full(self):
        """Guards against unbounded memory use while no service time is known yet."""
        queue = ReplicaQueue(bound=1)
        queue.offer(make_attempt("a"), 0.0, 1, 0.0)
        self.assertIs(Reason.QUEUE_FULL, queue.offer(make_attempt("b"), 0.0, 1, 0.0))

    @given(EVENTS)
    def test_limit_holds_and_every_attempt_is_removed_once(self, events):
        """Guards against more in flight than the limit, a suspect that runs beside others, and
        attempts that are lost or removed from the queue twice."""
        queue, in_flight, removed, offered = ReplicaQueue(bound=6), [], [], []
        for index, (event, number, limit) in enumerate(events):
            if event == "offer":
                attempt = make_attempt(str(index), 50.0 + number * 10, str(number))
                offered.append(attempt)
                if queue.offer(attempt, index, limit, 0.5) is not None:
                    removed.append(attempt)
            elif event == "take":
                before = len(in_flight)
                attempt, refused = queue.pop_next(index, limit, classify)
                removed += [late for late, _ in refused]
                if attempt is not None:
                    self.assertLess(before, limit)
                    self.assertFalse(any(other.suspect for other in in_flight))
                    self.assertFalse(attempt.suspect and in_flight)
                    in_flight.append(attempt)
            elif event == "cancel" and len(queue):
                removed.append(queue.withdraw(list(queue)[number % len(queue)].sub.attempt_id))
            elif in_flight and event == "release":
                removed.append(in_flight.pop(number % len(in_flight)))
                queue.release(removed[-1])
            elif in_flight and event == "put_back":
                queue.put_back(in_flight.pop())
            self.assertEqual(len(in_flight), queue.in_flight)
        all_ids = [a.sub.attempt_id for a in [*removed, *in_flight, *queue]]
        self.assertCountEqual([a.sub.attempt_id for a in offered], all_ids)


if __name__ == "__main__":
    unittest.main()
