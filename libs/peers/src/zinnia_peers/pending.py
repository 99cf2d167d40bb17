"""Attempts that were submitted over a link and have no result yet."""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from loguru import logger

from zinnia_model.ids import AttemptId
from zinnia_model.reasons import Outcome, Reason
from zinnia_model.subrequests import Batch, SubRequest, SubResult

# A result that arrives later than the deadline by more than this is no longer waited for.
RESULT_GRACE_S = 0.05

Deliver = Callable[[SubResult], None]


@dataclass(slots=True, eq=False)
class PendingBatch:
    """A submitted batch; ``handed`` is set once a byte of it may have reached the socket."""

    deliver: Deliver
    open_ids: set[AttemptId]
    handed: bool = False

    def mark_handed(self) -> None:
        """Record that the batch is about to be written."""
        self.handed = True


@dataclass(frozen=True, slots=True)
class _Attempt:
    item: SubRequest
    batch: PendingBatch


class PendingAttempts:
    """Delivers exactly one result for each attempt."""

    def __init__(self) -> None:
        self._attempts: dict[AttemptId, _Attempt] = {}
        self._expiries: list[tuple[float, int, PendingBatch]] = []
        self._count = 0

    def __len__(self) -> int:
        return len(self._attempts)

    def add(self, batch: Batch, deliver: Deliver, now: float) -> PendingBatch:
        """Register the attempts of a batch."""
        pending = PendingBatch(deliver, {item.attempt_id for item in batch.items})
        for item in batch.items:
            self._attempts[item.attempt_id] = _Attempt(item, pending)
        self._count += 1
        expires_at = now + batch.deadline_s + RESULT_GRACE_S
        heapq.heappush(self._expiries, (expires_at, self._count, pending))
        return pending

    def resolve(self, result: SubResult) -> bool | None:
        """Deliver a result.

        Returns
        -------
        bool or None
            None if no such attempt is open, False if the result belongs to another shard or
            replica than the attempt (it is not delivered), else True.
        """
        attempt = self._attempts.get(result.attempt_id)
        if attempt is None:
            return None
        if (result.shard, result.replica) != (attempt.item.shard, attempt.item.replica):
            return False
        self._settle(attempt, result)
        return True

    def expire(self, now: float) -> float | None:
        """Settle overdue attempts; return the time of the next expiry, or None."""
        while self._expiries:
            expires_at, _, batch = self._expiries[0]
            if batch.open_ids and expires_at > now:
                return expires_at
            heapq.heappop(self._expiries)
            self.settle_lost(batch.open_ids)
        return None

    def settle_all(self) -> None:
        """Settle every open attempt, because the link broke."""
        self.settle_lost(list(self._attempts))
        self._expiries.clear()

    def settle_lost(self, attempt_ids: Iterable[AttemptId]) -> None:
        """Settle attempts without an answer of the peer; NOT_RUN only if nothing was written."""
        for attempt_id in list(attempt_ids):
            attempt = self._attempts.get(attempt_id)
            if attempt is not None:
                self._settle(attempt, make_lost_result(attempt.item, attempt.batch.handed))

    def _settle(self, attempt: _Attempt, result: SubResult) -> None:
        del self._attempts[attempt.item.attempt_id]
        attempt.batch.open_ids.discard(attempt.item.attempt_id)
        try:
            attempt.batch.deliver(result)
        except Exception:
            # A fault in the code of one request must not settle the others on the link.
            logger.exception("delivering the result of {} failed", attempt.item.attempt_id)


def make_lost_result(item: SubRequest, handed: bool) -> SubResult:
    """Return the result of an attempt that the peer did not answer."""
    outcome = Outcome.UNKNOWN if handed else Outcome.NOT_RUN
    reason = Reason.PEER_LOST if handed else Reason.OWNER_UNREACHABLE
    return SubResult(item.attempt_id, outcome, item.shard, item.replica, reason)
