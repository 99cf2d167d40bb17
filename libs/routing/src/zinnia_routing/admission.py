"""Adaptive limit on the concurrent queries of one service, driven by missed deadlines."""

from typing import NewType

INITIAL_LIMIT_QUERIES = 64.0
MIN_LIMIT_QUERIES = 4.0
MAX_LIMIT_QUERIES = 10_000.0
WINDOW_QUERIES = 50  # finished queries after which the limit may grow
MAX_MISSED_SHARE = 0.05  # of a window; more misses lower the limit
DECREASE_FACTOR = 0.9
INCREASE_QUERIES = 1.0  # per window in which the limit was reached
# A query that finishes with less than this share of its time left counts as a miss. Otherwise a
# queueing delay that just equals the deadline would be noticed only when every query is late.
MIN_TIME_LEFT_SHARE = 0.1

LimitEpoch = NewType("LimitEpoch", int)


class AdmissionLimit:
    """Limit on the concurrent queries of one service.

    The limit grows by addition and shrinks by multiplication (AIMD). Each decrease starts a new
    epoch.
    """

    def __init__(self, initial_limit: float = INITIAL_LIMIT_QUERIES) -> None:
        self.limit = initial_limit
        self.in_flight = 0
        self._epoch = LimitEpoch(0)
        self._finished = 0
        self._missed = 0
        self._limit_reached = False

    def acquire(self) -> LimitEpoch | None:
        """Admit one query and return the current epoch; None means that it must be refused."""
        if self.in_flight >= int(self.limit):
            self._limit_reached = True
            return None
        self.in_flight += 1
        if self.in_flight >= int(self.limit):
            self._limit_reached = True
        return self._epoch

    def release(self, epoch: LimitEpoch, time_left_share: float) -> None:
        """Release the place of a finished query and adjust the limit.

        Parameters
        ----------
        epoch : LimitEpoch
            Value that ``acquire`` returned for the query. Queries admitted before the last decrease
            are not counted, because they ran under the higher limit.
        time_left_share : float
            Time left at the answer divided by the time left at admission; 0 for a missed
            deadline.
        """
        self.in_flight -= 1
        if epoch != self._epoch:
            return
        self._finished += 1
        self._missed += time_left_share < MIN_TIME_LEFT_SHARE
        if self._missed > MAX_MISSED_SHARE * WINDOW_QUERIES:
            self._end_window(self.limit * DECREASE_FACTOR)
            self._epoch = LimitEpoch(self._epoch + 1)
        elif self._finished >= WINDOW_QUERIES:
            # A limit that was not reached shows nothing about capacity, so it does not grow.
            self._end_window(self.limit + (INCREASE_QUERIES if self._limit_reached else 0.0))

    def release_unmeasured(self) -> None:
        """Release the place of a query that tells nothing about load, such as a cancelled one."""
        self.in_flight -= 1

    def _end_window(self, limit: float) -> None:
        self.limit = min(MAX_LIMIT_QUERIES, max(MIN_LIMIT_QUERIES, limit))
        self._finished = self._missed = 0
        self._limit_reached = False
