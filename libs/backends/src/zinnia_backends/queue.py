"""The queue of one replica (pure)."""

from collections import deque
from collections.abc import Callable, Iterator

from zinnia_backends.attempts import Attempt
from zinnia_backends.crashes import CrashStatus
from zinnia_model.ids import AttemptId, Fingerprint
from zinnia_model.reasons import Reason

QUEUE_PER_SLOT = 64  # bounds memory; the deadline rule rejects far earlier

Refusal = tuple[Attempt, Reason]


class ReplicaQueue:
    """Orders the attempts of one replica and counts those in flight.

    The limit is passed in on every call, because it follows the replica's temperature.
    """

    def __init__(self, bound: int):
        self.bound = bound
        self.in_flight = 0
        self._waiting: deque[Attempt] = deque()
        self._alone = False

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[Attempt]:
        return iter(self._waiting)

    def offer(self, attempt: Attempt, now: float, limit: int, median_s: float) -> Reason | None:
        """Append an attempt, or return why it is refused."""
        if len(self._waiting) >= self.bound:
            return Reason.QUEUE_FULL
        expected_wait_s = len(self._waiting) * median_s / max(1, limit)
        if now + expected_wait_s >= attempt.deadline_at:
            return Reason.DEADLINE
        self._waiting.append(attempt)
        return None

    def take(
        self, now: float, limit: int, classify: Callable[[Fingerprint, float], CrashStatus]
    ) -> tuple[Attempt | None, list[Refusal]]:
        """Return the next attempt to send, now counted as in flight, and those to refuse.

        A suspect waits until nothing is in flight and nothing starts beside it.
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
            if self._alone or self.in_flight >= limit or (suspect and self.in_flight):
                break
            self._waiting.popleft()
            self.in_flight += 1
            head.suspect = self._alone = suspect
            return head, refused
        return None, refused

    def release(self, attempt: Attempt) -> None:
        """Give back the place of an attempt that was taken."""
        self.in_flight -= 1
        if attempt.suspect:
            self._alone = False

    def put_back(self, attempt: Attempt) -> None:
        """Return an attempt that was taken but not sent to the head of the queue."""
        self.release(attempt)
        self._waiting.appendleft(attempt)

    def withdraw(self, attempt_id: AttemptId) -> Attempt | None:
        """Remove a waiting attempt by its id."""
        return next(iter(self.remove(lambda a: a.sub.attempt_id == attempt_id)), None)

    def remove(self, matches: Callable[[Attempt], bool], keep: int = 0) -> list[Attempt]:
        """Remove and return the matching attempts behind the first ``keep``."""
        removed = [a for index, a in enumerate(self._waiting) if index >= keep and matches(a)]
        if removed:
            gone = set(map(id, removed))
            self._waiting = deque(a for a in self._waiting if id(a) not in gone)
        return removed
