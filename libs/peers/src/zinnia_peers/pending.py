"""Attempts that were submitted over a connection and have no result yet."""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from loguru import logger

from zinnia_model.ids import AttemptId
from zinnia_model.reasons import Outcome, Reason
from zinnia_model.subrequests import Batch, SubRequest, SubResult

# How long after the deadline of a batch its attempts still wait for a result.
RESULT_GRACE_PERIOD_S = 0.05

Deliver = Callable[[SubResult], None]


@dataclass(slots=True, eq=False)
class PendingBatch:
    """A submitted batch; ``write_started`` is set once a byte of it may have reached the socket."""

    deliver: Deliver
    open_ids: set[AttemptId]
    write_started: bool = False

    def mark_write_started(self) -> None:
        """Record that the batch is about to be written, so the peer may run it."""
        self.write_started = True


@dataclass(frozen=True, slots=True)
class _Attempt:
    item: SubRequest
    batch: PendingBatch


class PendingAttempts:
    """Delivers exactly one result for each attempt."""

    def __init__(self) -> None:
        self._attempts: dict[AttemptId, _Attempt] = {}
        self._expiries: list[tuple[float, int, PendingBatch]] = []
        self._batch_count = 0

    def __len__(self) -> int:
        return len(self._attempts)

    def add(self, batch: Batch, deliver: Deliver, now: float) -> PendingBatch:
        """Register the attempts of a batch; ``now`` is trio's clock in seconds."""
        pending = PendingBatch(deliver, {item.attempt_id for item in batch.items})
        for item in batch.items:
            self._attempts[item.attempt_id] = _Attempt(item, pending)
        self._batch_count += 1
        expires_at = now + batch.deadline_s + RESULT_GRACE_PERIOD_S
        heapq.heappush(self._expiries, (expires_at, self._batch_count, pending))
        return pending

    def resolve(self, result: SubResult) -> bool | None:
        """Deliver a result that the peer sent.

        Returns
        -------
        bool or None
            None if no such attempt is open; False if the result names another shard or replica than
            the attempt, in which case it is not delivered; else True.
        """
        attempt = self._attempts.get(result.attempt_id)
        if attempt is None:
            return None
        if (result.shard, result.replica) != (attempt.item.shard, attempt.item.replica):
            return False
        self._settle(attempt, result)
        return True

    def expire(self, now: float) -> float | None:
        """Deliver lost results for expired batches; return when the next one expires, or None."""
        while self._expiries:
            expires_at, _, batch = self._expiries[0]
            if batch.open_ids and expires_at > now:
                return expires_at
            heapq.heappop(self._expiries)
            self.settle_lost(batch.open_ids)
        return None

    def settle_all(self) -> None:
        """Deliver a lost result for every open attempt, because the connection broke."""
        self.settle_lost(list(self._attempts))
        self._expiries.clear()

    def settle_lost(self, attempt_ids: Iterable[AttemptId]) -> None:
        """Deliver lost results for attempts; NOT_RUN only if their write never started."""
        for attempt_id in list(attempt_ids):
            attempt = self._attempts.get(attempt_id)
            if attempt is not None:
                self._settle(attempt, make_lost_result(attempt.item, attempt.batch.write_started))

    def _settle(self, attempt: _Attempt, result: SubResult) -> None:
        del self._attempts[attempt.item.attempt_id]
        attempt.batch.open_ids.discard(attempt.item.attempt_id)
        try:
            attempt.batch.deliver(result)
        except Exception:
            # A failing callback must not break the connection and so end its other attempts.
            logger.exception("delivering the result of attempt {} failed", attempt.item.attempt_id)


def make_lost_result(item: SubRequest, write_started: bool) -> SubResult:
    """Return the result of an attempt that the peer did not answer.

    The outcome is NOT_RUN only if the write never started, else UNKNOWN.
    """
    outcome = Outcome.UNKNOWN if write_started else Outcome.NOT_RUN
    reason = Reason.PEER_LOST if write_started else Reason.OWNER_UNREACHABLE
    return SubResult(item.attempt_id, outcome, item.shard, item.replica, reason)
