"""Outages of the store, as this VM and the VM that it follows have seen them."""

import trio

# A follower believes its source that the store was out if its own latest call failed at most this
# long before the outage ended. It calls the store more often than that without fresh data.
OWN_FAILURE_WINDOW_S = 4.0
# Failed calls in a row that are evidence of an outage. VMs that follow others call the store
# rarely, so one failed call between two served ones tells nothing about the time between these.
MIN_FAILED_CALLS = 2


class OutageTracker:
    """Knows when the latest outage of the store ended; times are monotonic seconds.

    An outage is a time without any served call that is so long that entries may lapse because they
    can't be renewed. A single call that fails between served ones is none. Neither is one that only
    a source of this VM has seen, as its link to the store may have been cut.

    Parameters
    ----------
    min_duration_s : float
        Shortest time without a served call that counts as an outage, in seconds.
    """

    def __init__(self, min_duration_s: float) -> None:
        self._min_duration_s = min_duration_s
        self._served_at: float | None = None
        self._failed_at: float | None = None
        self._failed_calls = 0  # since the latest served one
        self._ended_at: float | None = None

    @property
    def ended_at(self) -> float | None:
        """Time at which the latest outage ended, None if none is known."""
        return self._ended_at

    def record_served(self) -> None:
        """Record a call that the store has answered."""
        now = trio.current_time()
        if self._failed_calls >= MIN_FAILED_CALLS and self._has_lasted(now):
            self._ended_at = now
        self._served_at = now
        self._failed_calls = 0

    def record_failed(self) -> None:
        """Record a call that the store has not answered, or has rejected."""
        self._failed_at = trio.current_time()
        self._failed_calls += 1

    def adopt(self, ended_at: float | None) -> None:
        """Go by a source that has been served since: the end of the outage that it has seen."""
        self._ended_at = ended_at if self._has_seen(ended_at) else None

    def _has_lasted(self, now: float) -> bool:
        return self._served_at is not None and now - self._served_at >= self._min_duration_s

    def _has_seen(self, ended_at: float | None) -> bool:
        if ended_at is None or self._failed_at is None:
            return False
        return self._failed_at >= ended_at - OWN_FAILURE_WINDOW_S
