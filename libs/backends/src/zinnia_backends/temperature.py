"""Cold start of a replica: computes its concurrency limit from evidence."""

from collections import deque
from enum import Enum

from zinnia_backends.estimates import ServiceTimes
from zinnia_model.ids import StartId

GOOD_ANSWERS_PER_STEP = 5  # consecutive good answers that raise the limit by one
SLOW_ANSWER_FACTOR = 4.0  # times the median service time
SLOW_ANSWERS_UNTIL_COLD = 3  # consecutive
MIN_MEDIAN_SAMPLES = 16  # the median of fewer service times is too uncertain
MAX_PAST_START_IDS = 8
# Times the median from before the cold start. A slower answer shows that the cold start continues,
# even if the replica reports itself as warm.
STILL_COLD_FACTOR = 1.5
# After this many good answers in a cold start, a longer service time counts as the new normal.
MAX_COMPARED_ANSWERS = 40


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
    """Cold or warm state of one replica and its concurrency limit; it begins cold.

    Parameters
    ----------
    slots : int
        Concurrency limit of the warm replica.
    cold_concurrency : int
        Concurrency limit at the beginning of a cold start.
    """

    def __init__(self, slots: int, cold_concurrency: int):
        self._slots = slots
        self._cold_limit = min(cold_concurrency, slots)
        self._good_in_a_row = 0
        self._slow_in_a_row = 0
        self._cold_since = float("-inf")
        self._cold_answers = 0
        self._warm_median_s = 0.0
        self._past_start_ids: deque[StartId] = deque(maxlen=MAX_PAST_START_IDS)
        self.times = ServiceTimes()
        self.start_id = StartId("")
        self.cold = True
        self.limit = self._cold_limit

    def configure(self, slots: int, cold_concurrency: int) -> None:
        """Apply new limits; an increase of slots goes through the ramp, a decrease is immediate."""
        self._cold_limit = min(cold_concurrency, slots)
        if slots > self._slots:
            self.cold = True
        self._slots = slots
        self.limit = max(self._cold_limit, min(self.limit, slots))

    def restore(self, cold: bool, limit: int, start_id: StartId) -> None:
        """Apply the state that the last owner published or handed over."""
        self.start_id = start_id
        self.cold = cold
        self.limit = max(self._cold_limit, min(limit, self._slots)) if cold else self._slots
        self._good_in_a_row = 0

    def mark_cold(self, evidence: ColdEvidence, now: float) -> None:
        """Mark as cold and restart the ramp; all kinds of evidence have the same effect."""
        if not self.cold and len(self.times) >= MIN_MEDIAN_SAMPLES:
            self._warm_median_s = self.times.median_s
        self._cold_answers = 0
        self.cold = True
        self.limit = self._cold_limit
        self._cold_since = now
        self._good_in_a_row = 0
        self._slow_in_a_row = 0

    def update_start_id(self, start_id: StartId, now: float, asked_at: float | None = None) -> bool:
        """Compare a start id with the last one; return whether the replica restarted.

        ``asked_at`` is when the request was sent, or None for a health answer, which may be
        outdated. A start id seen earlier is ignored unless its request was sent after the last
        cold evidence.
        """
        if not start_id or start_id == self.start_id:
            return False
        late = asked_at is None or asked_at < self._cold_since
        if late and start_id in self._past_start_ids:
            return False
        restarted = bool(self.start_id)
        if restarted:
            self._past_start_ids.append(self.start_id)
        self.start_id = start_id
        self.mark_cold(ColdEvidence.NEW_START, now)
        return restarted

    def record_good_answer(self, sent_at: float, service_time_s: float, now: float) -> None:
        """Record a good answer; mark the replica cold after several slow answers in a row.

        Otherwise the answer counts towards the ramp if it was sent after the last cold evidence. An
        answer that is still slow compared with those before the cold start resets that count.
        """
        if self._is_slow(service_time_s):
            self.mark_cold(ColdEvidence.SLOW, now)
            return
        if not self.cold or sent_at < self._cold_since:
            return
        if self._is_still_cold(service_time_s):
            self._good_in_a_row = 0
            return
        self._good_in_a_row += 1
        if self._good_in_a_row < GOOD_ANSWERS_PER_STEP:
            return
        self._good_in_a_row = 0
        self.limit = min(self.limit + 1, self._slots)
        self.cold = self.limit < self._slots

    def reset_good_answers(self) -> None:
        """Reset the count of consecutive good answers."""
        self._good_in_a_row = 0

    def _is_still_cold(self, service_time_s: float) -> bool:
        """Return whether an answer is slow compared with those before the cold start, if known."""
        self._cold_answers += 1
        if self._warm_median_s == 0.0 or self._cold_answers > MAX_COMPARED_ANSWERS:
            return False
        return service_time_s > STILL_COLD_FACTOR * self._warm_median_s

    def _is_slow(self, service_time_s: float) -> bool:
        median_s = self.times.median_s
        judged = len(self.times) >= MIN_MEDIAN_SAMPLES
        self.times.add(service_time_s)
        slow = judged and service_time_s > SLOW_ANSWER_FACTOR * median_s
        self._slow_in_a_row = self._slow_in_a_row + 1 if slow else 0
        return self._slow_in_a_row >= SLOW_ANSWERS_UNTIL_COLD
