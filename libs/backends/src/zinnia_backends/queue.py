"""The queue of attempts for one replica (no I/O)."""

from collections import deque
from collections.abc import Callable, Iterator

from zinnia_backends.attempts import Attempt
from zinnia_backends.crashes import CrashStatus
from zinnia_model.ids import AttemptId, Fingerprint
from zinnia_model.reasons import Reason

MAX_QUEUED_PER_SLOT = 64  # bounds memory; offer() usually refuses earlier, by deadline

Refusal = tuple[Attempt, Reason]


class ReplicaQueue:
    """Queues the attempts of one replica in order of arrival and counts those in flight.

    Callers pass the concurrency limit on every call, because it changes with the replica's
    temperature.
    """

    def __init__(self, bound: int):
        self.bound = bound
        self.in_flight = 0
        self._waiting: deque[Attempt] = deque()
        self._suspect_in_flight = False

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[Attempt]:
        return iter(self._waiting)

    def offer(self, attempt: Attempt, now: float, limit: int, median_s: float) -> Reason | None:
        """Append an attempt and return None, or return the reason for refusing it."""
        if len(self._waiting) >= self.bound:
            return Reason.QUEUE_FULL
        expected_wait_s = len(self._waiting) * median_s / max(1, limit)
        if now + expected_wait_s >= attempt.deadline_at:
            return Reason.DEADLINE
        self._waiting.append(attempt)
        return None

    def pop_next(
        self, now: float, limit: int, classify: Callable[[Fingerprint, float], CrashStatus]
    ) -> tuple[Attempt | None, list[Refusal]]:
        """Remove the next attempt to send and count it as in flight.

        Return it, or None if no attempt may start now, and the expired or refused attempts removed
        before it. A crash suspect runs alone: it waits until nothing is in flight, and no other
        attempt starts until it is released.
        """
        refused: list[Refusal] = []
        while self._waiting:
            head = self._waiting[0]
            status = classify(head.batch.fingerprint, now)
            if head.deadline_at <= now or status is CrashStatus.REFUSED:
                self._waiting.popleft()
                late = head.deadline_at <= now
                refused.append((head, Reason.DEADLINE if late else Reason.CRASHES_BACKENDS))
                continue
            suspect = status is CrashStatus.SUSPECT
            if self._suspect_in_flight or self.in_flight >= limit or (suspect and self.in_flight):
                break
            self._waiting.popleft()
            self.in_flight += 1
            head.suspect = self._suspect_in_flight = suspect
            return head, refused
        return None, refused

    def release(self, attempt: Attempt) -> None:
        """Stop counting an attempt as in flight."""
        self.in_flight -= 1
        if attempt.suspect:
            self._suspect_in_flight = False

    def put_back(self, attempt: Attempt) -> None:
        """Put an attempt that was not sent back at the head of the queue."""
        self.release(attempt)
        self._waiting.appendleft(attempt)

    def withdraw(self, attempt_id: AttemptId) -> Attempt | None:
        """Remove and return the queued attempt with this id, or return None."""
        return next(iter(self.remove(lambda a: a.sub.attempt_id == attempt_id)), None)

    def remove(self, matches: Callable[[Attempt], bool], keep: int = 0) -> list[Attempt]:
        """Remove and return the matching attempts, except among the first ``keep`` queued."""
        removed = [a for index, a in enumerate(self._waiting) if index >= keep and matches(a)]
        if removed:
            gone = set(map(id, removed))
            self._waiting = deque(a for a in self._waiting if id(a) not in gone)
        return removed
