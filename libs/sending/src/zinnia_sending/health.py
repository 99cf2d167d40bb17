"""Health of one replica as seen by this VM: slowness, rejections, failures and suspension."""

from enum import Enum

# Weights of the newest sample in the exponential moving averages.
SLOWNESS_WEIGHT = 0.25
REJECTION_WEIGHT = 0.2
# A single sample counts as at most this many times the typical latency.
MAX_SLOWNESS = 12.0
# Without new samples, the excess slowness and the rejection rate decay with this half-life.
DECAY_HALF_LIFE_S = 2.5
# Observations of this VM are reported to other VMs until they are this old.
OBSERVATION_MAX_AGE_S = 1.0
# A request in flight for longer than this is reported to other VMs; short pauses of a replica are
# not reported.
MIN_REPORTED_SILENCE_S = 0.4
# After this many consecutive failures a replica gets only single trial requests.
FAILURES_TO_SUSPEND = 2
# A request that is given up without an answer counts as a failure, however short the wait was, if
# it is at least the fourth in a row.
SILENCES_TO_FAIL = 4
FIRST_SUSPENSION_S = 0.4
MAX_SUSPENSION_S = 3.0
# A trial request is left open for this long after its caller has the answer of another replica, and
# twice as long after each trial without an answer, so that few requests wait at a replica that
# stands still, and its first answer ends the suspension.
FIRST_TRIAL_PATIENCE_S = 0.5
MAX_TRIAL_PATIENCE_S = 24.0


class Condition(Enum):
    """Whether a replica may get requests, given its failures."""

    GOOD = "good"
    SUSPENDED = "suspended"
    TRIAL_DUE = "trial_due"


class ReplicaHealth:
    """Moving averages and suspension of one replica; times are monotonic seconds.

    Slowness is the latency relative to the typical latency of the route (1.0 is typical); the
    rejection rate is the fraction of requests that the replica did not run.
    """

    __slots__ = (
        "_failures",
        "_in_flight",
        "_rejections",
        "_reported_at",
        "_reported_slowness",
        "_sampled_at",
        "_silences",
        "_slowness",
        "_suspended_until",
        "_suspension_s",
        "trial_patience_s",
    )

    def __init__(self, now: float) -> None:
        self._in_flight: dict[int, tuple[float, float]] = {}
        self._slowness = 1.0
        self._rejections = 0.0
        self._sampled_at = now
        self._reported_slowness = 1.0
        self._reported_at = 0.0
        self._failures = 0
        self._silences = 0
        self._suspended_until = 0.0
        self._suspension_s = FIRST_SUSPENSION_S
        self.trial_patience_s = FIRST_TRIAL_PATIENCE_S

    @property
    def outstanding(self) -> int:
        """Number of requests in flight."""
        return len(self._in_flight)

    def record_start(self, key: int, typical_latency_s: float, now: float) -> None:
        """Record the start of a request, with the typical latency of its route in seconds."""
        self._in_flight[key] = (now, typical_latency_s)

    def record_end(self, key: int) -> None:
        """Record the end of a request."""
        self._in_flight.pop(key, None)

    def get_slowness(self, now: float) -> float:
        """Return the slowness, from samples of this VM and newer reports of other VMs.

        Both decay with age. The relative age of the oldest request in flight is a lower bound.
        """
        known = self._decay_slowness(now) if self._slowness != 1.0 else 1.0
        if self._reported_slowness > known and self._reported_at > self._sampled_at:
            known = max(known, self._decay_reported_slowness(now))
        if not self._in_flight:
            return known
        started_at, typical_latency_s = next(iter(self._in_flight.values()))
        return max(known, min(MAX_SLOWNESS, (now - started_at) / typical_latency_s))

    def record_peer_report(self, slowness: float, seen_at: float) -> None:
        """Record the slowness that another VM observed; newer samples of this VM override it."""
        self._reported_slowness = min(slowness, MAX_SLOWNESS)
        self._reported_at = seen_at

    def get_observed_slowness(self, now: float) -> float:
        """Return the slowness that this VM itself observed recently, 1.0 without observations.

        Reports of other VMs are left out; observations count for ``OBSERVATION_MAX_AGE_S``.
        """
        if self._failures >= FAILURES_TO_SUSPEND:
            return MAX_SLOWNESS
        if self._in_flight:
            started_at, typical_latency_s = next(iter(self._in_flight.values()))
            if now - started_at > MIN_REPORTED_SILENCE_S:
                return min(MAX_SLOWNESS, (now - started_at) / typical_latency_s)
        if now - self._sampled_at > OBSERVATION_MAX_AGE_S:
            return 1.0
        return self._decay_slowness(now)

    def get_rejection_rate(self, now: float) -> float:
        """Return the fraction (0 to 1) of requests that the replica did not run."""
        return self._rejections * self._compute_decay(now) if self._rejections else 0.0

    def get_condition(self, now: float) -> Condition:
        """Return whether the replica may get requests."""
        if self._failures < FAILURES_TO_SUSPEND:
            return Condition.GOOD
        return Condition.TRIAL_DUE if now >= self._suspended_until else Condition.SUSPENDED

    def get_trial_time(self) -> float:
        """Return the time from which a suspended replica may get a trial request."""
        return self._suspended_until

    def start_trial(self, now: float) -> None:
        """Start a trial and suspend the replica for another period until the next trial."""
        self._suspended_until = now + self._suspension_s

    def record_answer(self, slowness: float, now: float) -> None:
        """Record an answer with its relative latency, and reset the failures."""
        self._sample(min(slowness, MAX_SLOWNESS), 0.0, now)
        self._clear_failures()

    def record_rejection(self, now: float) -> None:
        """Record that the replica did not run a request."""
        self._silences = 0
        self._sample(None, 1.0, now)

    def record_unfinished(self, slowness: float, now: float) -> None:
        """Record a cancelled exchange if it was slower than the current average.

        Its duration is only a lower bound of the latency, so it must not lower the average.
        """
        if slowness > self._decay_slowness(now):
            self._sample(min(slowness, MAX_SLOWNESS), None, now)

    def record_silence(self) -> bool:
        """Record a request given up without an answer; return whether that is a failure."""
        self._silences += 1
        return self._silences >= SILENCES_TO_FAIL

    def record_silent_trial(self, now: float) -> None:
        """Record that a trial stayed without an answer; the next one may follow, and lasts longer.

        The time that the trial was left open took the place of the suspension.
        """
        self._suspended_until = now
        self.trial_patience_s = min(MAX_TRIAL_PATIENCE_S, self.trial_patience_s * 2)

    def record_return(self) -> None:
        """Record an answer that came long after its request was given up."""
        self._clear_failures()

    def record_failure(self, now: float) -> bool:
        """Record a failure; return whether it suspended the replica."""
        self._failures += 1
        if self._failures < FAILURES_TO_SUSPEND:
            return False
        self._suspended_until = now + self._suspension_s
        self._suspension_s = min(MAX_SUSPENSION_S, self._suspension_s * 2)
        return True

    def _clear_failures(self) -> None:
        self._failures = 0
        self._silences = 0
        self._suspension_s = FIRST_SUSPENSION_S
        self.trial_patience_s = FIRST_TRIAL_PATIENCE_S

    def _sample(self, slowness: float | None, rejection: float | None, now: float) -> None:
        known_slowness = self._decay_slowness(now)
        known_rejections = self.get_rejection_rate(now)
        self._sampled_at = now
        self._slowness = _update_average(known_slowness, slowness, SLOWNESS_WEIGHT)
        self._rejections = _update_average(known_rejections, rejection, REJECTION_WEIGHT)

    def _decay_reported_slowness(self, now: float) -> float:
        decay = 0.5 ** ((now - self._reported_at) / DECAY_HALF_LIFE_S)
        return 1.0 + (self._reported_slowness - 1.0) * decay

    def _decay_slowness(self, now: float) -> float:
        return 1.0 + (self._slowness - 1.0) * self._compute_decay(now)

    def _compute_decay(self, now: float) -> float:
        return 0.5 ** ((now - self._sampled_at) / DECAY_HALF_LIFE_S)


def _update_average(known: float, sample: float | None, weight: float) -> float:
    return known if sample is None else known + (sample - known) * weight
