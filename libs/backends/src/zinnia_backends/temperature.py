"""Cold start of a replica: evidence in, concurrency limit out."""

from collections import deque
from enum import Enum

from zinnia_backends.estimates import ServiceTimes
from zinnia_model.ids import StartId

RAMP_SUCCESSES = 5  # good answers in a row that raise the limit by one
SLOW_FACTOR = 4.0  # times the median
SLOW_ANSWERS = 3  # in a row
SLOW_MIN_SAMPLES = 16  # a median over fewer answers is too uncertain to judge by
REMEMBERED_STARTS = 8
# An answer above this many times the median from before the cold start shows that it goes on, also
# when the replica's own word says otherwise.
STILL_COLD_FACTOR = 1.5
# After this many good answers a longer service time is taken as the replica's new normal.
MAX_COLD_ANSWERS = 40


class ColdEvidence(Enum):
    """Why a replica is treated as cold."""

    NEW_START = "new_start"
    CONNECT_REFUSED = "connect_refused"
    CONNECTIONS_RESET = "connections_reset"
    ANSWER = "answer"
    SHED_BELOW_SLOTS = "shed_below_slots"
    SLOW = "slow"
    HEALTH = "health"
    TAKEOVER = "takeover"


class Temperature:
    """State machine of one replica; it begins cold.

    Parameters
    ----------
    slots : int
        Sub-requests that the warm replica bears at a time.
    cold_concurrency : int
        Sub-requests that it bears at a time in cold start.
    """

    def __init__(self, slots: int, cold_concurrency: int):
        self._slots = slots
        self._cold_limit = min(cold_concurrency, slots)
        self._successes = 0
        self._slow_in_a_row = 0
        self._cold_since = float("-inf")
        self._cold_answers = 0
        self._warm_median_s = 0.0
        self._past_starts: deque[StartId] = deque(maxlen=REMEMBERED_STARTS)
        self.times = ServiceTimes()
        self.start_id = StartId("")
        self.cold = True
        self.limit = self._cold_limit

    def configure(self, slots: int, cold_concurrency: int) -> None:
        """Take over new limits; more slots are reached by the ramp, fewer at once."""
        self._cold_limit = min(cold_concurrency, slots)
        if slots > self._slots:
            self.cold = True
        self._slots = slots
        self.limit = max(self._cold_limit, min(self.limit, slots))

    def restore(self, cold: bool, limit: int, start_id: StartId) -> None:
        """Take over the state that the last owner handed over."""
        self.start_id = start_id
        self.cold = cold
        self.limit = max(self._cold_limit, min(limit, self._slots)) if cold else self._slots
        self._successes = 0

    def note_cold(self, evidence: ColdEvidence, now: float) -> None:
        """Mark as cold and start the ramp again; any evidence counts the same."""
        if not self.cold and len(self.times) >= SLOW_MIN_SAMPLES:
            self._warm_median_s = self.times.median_s
        self._cold_answers = 0
        self.cold = True
        self.limit = self._cold_limit
        self._cold_since = now
        self._successes = 0
        self._slow_in_a_row = 0

    def note_start(self, start_id: StartId, now: float, asked_at: float | None = None) -> bool:
        """Compare a start id with the last one; return whether the replica restarted.

        ``asked_at`` is when the request was sent; None for health answers, which lag. An earlier
        start id counts only if it was asked for after the last cold evidence.
        """
        if not start_id or start_id == self.start_id:
            return False
        late = asked_at is None or asked_at < self._cold_since
        if late and start_id in self._past_starts:
            return False
        restarted = bool(self.start_id)
        if restarted:
            self._past_starts.append(self.start_id)
        self.start_id = start_id
        self.note_cold(ColdEvidence.NEW_START, now)
        return restarted

    def note_good(self, sent_at: float, service_time_s: float, now: float) -> None:
        """Count a good answer; those sent before the last cold evidence do not raise the limit."""
        if self._is_slow(service_time_s):
            self.note_cold(ColdEvidence.SLOW, now)
            return
        if not self.cold or sent_at < self._cold_since:
            return
        if self._is_still_cold(service_time_s):
            self._successes = 0
            return
        self._successes += 1
        if self._successes < RAMP_SUCCESSES:
            return
        self._successes = 0
        self.limit = min(self.limit + 1, self._slots)
        self.cold = self.limit < self._slots

    def note_bad(self) -> None:
        """Interrupt the row of good answers."""
        self._successes = 0

    def _is_still_cold(self, service_time_s: float) -> bool:
        """Compare an answer with the time from before the cold start, if it is known."""
        self._cold_answers += 1
        if self._warm_median_s == 0.0 or self._cold_answers > MAX_COLD_ANSWERS:
            return False
        return service_time_s > STILL_COLD_FACTOR * self._warm_median_s

    def _is_slow(self, service_time_s: float) -> bool:
        median_s = self.times.median_s
        judged = len(self.times) >= SLOW_MIN_SAMPLES
        self.times.add(service_time_s)
        slow = judged and service_time_s > SLOW_FACTOR * median_s
        self._slow_in_a_row = self._slow_in_a_row + 1 if slow else 0
        return self._slow_in_a_row >= SLOW_ANSWERS
