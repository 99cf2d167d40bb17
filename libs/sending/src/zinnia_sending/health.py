"""What a VM has observed of one replica: speed, failures, and whether to leave it alone."""

from enum import Enum

# Weight of the newest sample in the running averages.
SPEED_WEIGHT = 0.25
REJECTION_WEIGHT = 0.2
# A single sample counts as at most this many times the usual latency.
MAX_SLOWNESS = 12.0
# Without new samples, half of what speaks against a replica is forgotten in this time, in seconds.
FORGET_HALF_LIFE_S = 2.5
# What a VM has seen itself is told to others for this long, in seconds.
RECENT_S = 1.0
# A request without an answer for this long is told to others; a short pause of a replica is not.
SILENCE_TOLD_S = 0.4
# Failures in a row after which a replica gets no work but single trials.
FAILURES_TO_SUSPEND = 2
FIRST_SUSPENSION_S = 0.4
MAX_SUSPENSION_S = 3.0


class Condition(Enum):
    """How a replica's health decides whether it gets work."""

    GOOD = "good"
    SUSPENDED = "suspended"
    TRIAL_DUE = "trial_due"


class ReplicaHealth:
    """Running averages of one replica; times are monotonic seconds.

    ``slowness`` is the latency relative to what is usual for the route; ``rejection_rate`` is the
    part of the requests that the replica did not run.
    """

    __slots__ = (
        "_failures",
        "_in_flight",
        "_rejections",
        "_reported_at",
        "_reported_slowness",
        "_sampled_at",
        "_slowness",
        "_suspended_until",
        "_suspension_s",
    )

    def __init__(self, now: float) -> None:
        self._in_flight: dict[int, tuple[float, float]] = {}
        self._slowness = 1.0
        self._rejections = 0.0
        self._sampled_at = now
        self._reported_slowness = 1.0
        self._reported_at = 0.0
        self._failures = 0
        self._suspended_until = 0.0
        self._suspension_s = FIRST_SUSPENSION_S

    @property
    def outstanding(self) -> int:
        """Requests that have not ended."""
        return len(self._in_flight)

    def begin(self, key: int, usual_s: float, now: float) -> None:
        """Note a request that starts and how long one of its route usually takes, in seconds."""
        self._in_flight[key] = (now, usual_s)

    def finish(self, key: int) -> None:
        """Note that a request has ended."""
        self._in_flight.pop(key, None)

    def get_slowness(self, now: float) -> float:
        """Return the relative latency; old samples count less and less.

        A request that is still in flight shows how slow the replica is at least.
        """
        known = self._recall_slowness(now) if self._slowness != 1.0 else 1.0
        if self._reported_slowness > known and self._reported_at > self._sampled_at:
            known = max(known, self._recall_report(now))
        if not self._in_flight:
            return known
        started_at, usual_s = next(iter(self._in_flight.values()))
        return max(known, min(MAX_SLOWNESS, (now - started_at) / usual_s))

    def take_report(self, slowness: float, seen_at: float) -> None:
        """Take what another VM saw; answers that this VM gets later count more."""
        self._reported_slowness = min(slowness, MAX_SLOWNESS)
        self._reported_at = seen_at

    def get_own_slowness(self, now: float) -> float:
        """Return what this VM itself has seen within ``RECENT_S``, 1.0 if nothing is unusual."""
        if self._failures >= FAILURES_TO_SUSPEND:
            return MAX_SLOWNESS
        if self._in_flight:
            started_at, usual_s = next(iter(self._in_flight.values()))
            if now - started_at > SILENCE_TOLD_S:
                return min(MAX_SLOWNESS, (now - started_at) / usual_s)
        if now - self._sampled_at > RECENT_S:
            return 1.0
        return self._recall_slowness(now)

    def get_rejection_rate(self, now: float) -> float:
        """Return the part of requests that the replica did not run, 0 to 1."""
        return self._rejections * self._fade(now) if self._rejections else 0.0

    def get_condition(self, now: float) -> Condition:
        """Return whether the replica gets work."""
        if self._failures < FAILURES_TO_SUSPEND:
            return Condition.GOOD
        return Condition.TRIAL_DUE if now >= self._suspended_until else Condition.SUSPENDED

    def get_trial_time(self) -> float:
        """Return when a suspended replica may be tried again."""
        return self._suspended_until

    def start_trial(self, now: float) -> None:
        """Let one request through; the next trial has to wait."""
        self._suspended_until = now + self._suspension_s

    def record_answer(self, slowness: float, now: float) -> None:
        """Note an answer and its latency relative to the usual one."""
        self._sample(min(slowness, MAX_SLOWNESS), 0.0, now)
        self._clear_failures()

    def record_rejection(self, now: float) -> None:
        """Note that the replica did not run a request."""
        self._sample(None, 1.0, now)

    def record_unfinished(self, slowness: float, now: float) -> None:
        """Note an exchange that was given up while it was slower than usual."""
        if slowness > self._recall_slowness(now):
            self._sample(min(slowness, MAX_SLOWNESS), None, now)

    def record_failure(self, now: float) -> bool:
        """Note a failure; return whether the replica is suspended by it."""
        self._failures += 1
        if self._failures < FAILURES_TO_SUSPEND:
            return False
        self._suspended_until = now + self._suspension_s
        self._suspension_s = min(MAX_SUSPENSION_S, self._suspension_s * 2)
        return True

    def _clear_failures(self) -> None:
        self._failures = 0
        self._suspension_s = FIRST_SUSPENSION_S

    def _sample(self, slowness: float | None, rejection: float | None, now: float) -> None:
        known_slowness = self._recall_slowness(now)
        known_rejections = self.get_rejection_rate(now)
        self._sampled_at = now
        self._slowness = _blend(known_slowness, slowness, SPEED_WEIGHT)
        self._rejections = _blend(known_rejections, rejection, REJECTION_WEIGHT)

    def _recall_report(self, now: float) -> float:
        fade = 0.5 ** ((now - self._reported_at) / FORGET_HALF_LIFE_S)
        return 1.0 + (self._reported_slowness - 1.0) * fade

    def _recall_slowness(self, now: float) -> float:
        return 1.0 + (self._slowness - 1.0) * self._fade(now)

    def _fade(self, now: float) -> float:
        return 0.5 ** ((now - self._sampled_at) / FORGET_HALF_LIFE_S)


def _blend(known: float, sample: float | None, weight: float) -> float:
    return known if sample is None else known + (sample - known) * weight
