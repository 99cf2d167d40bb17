"""Limit on concurrent queries of one service that follows met and missed deadlines."""

from typing import NewType

FIRST_LIMIT = 64.0  # concurrent queries
LOWEST_LIMIT = 4.0
HIGHEST_LIMIT = 10_000.0
WINDOW = 50  # queries
MISSED_SHARE = 0.05
DECREASE = 0.9
INCREASE = 1.0  # per window
# A query that leaves less than this part of its time counts as a miss: a queue that is exactly as
# long as the deadline would otherwise be noticed only when all of its queries are late.
TIGHT_PART = 0.1

Epoch = NewType("Epoch", int)


class AdmissionLimit:
    """AIMD limit on the concurrent queries of one service."""

    def __init__(self, first_limit: float = FIRST_LIMIT) -> None:
        self.limit = first_limit
        self.in_flight = 0
        self._epoch = Epoch(0)
        self._finished = 0
        self._missed = 0
        self._was_full = False

    def enter(self) -> Epoch | None:
        """Admit one query; None means that it must be refused."""
        if self.in_flight >= int(self.limit):
            self._was_full = True
            return None
        self.in_flight += 1
        if self.in_flight >= int(self.limit):
            self._was_full = True
        return self._epoch

    def leave(self, epoch: Epoch, part_left: float) -> None:
        """Settle one admitted query.

        Parameters
        ----------
        epoch : Epoch
            What ``enter`` returned. Queries admitted before the last decrease do not count, because
            they met the higher limit.
        part_left : float
            Time left at the answer divided by the time at the start; 0 for a missed deadline.
        """
        self.in_flight -= 1
        if epoch != self._epoch:
            return
        self._finished += 1
        self._missed += part_left < TIGHT_PART
        if self._missed > MISSED_SHARE * WINDOW:
            self._end_window(self.limit * DECREASE)
            self._epoch = Epoch(self._epoch + 1)
        elif self._finished >= WINDOW:
            # A limit that was not reached has not been tested and does not grow.
            self._end_window(self.limit + (INCREASE if self._was_full else 0.0))

    def abandon(self) -> None:
        """Settle a query that says nothing about load, for example a cancelled one."""
        self.in_flight -= 1

    def _end_window(self, limit: float) -> None:
        self.limit = min(HIGHEST_LIMIT, max(LOWEST_LIMIT, limit))
        self._finished = self._missed = 0
        self._was_full = False
