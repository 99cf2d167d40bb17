"""Rules for when an open connection is considered silent (no I/O).

Silence is detected within 2 s. An idle connection is checked at most ``IDLE_CHECK_INTERVAL_S`` +
``SWEEP_INTERVAL_S`` after its last response, with a timeout of ``HEALTH_TIMEOUT_S``:
1.0 + 0.25 + 0.5 = 1.75 s. A running request is probed at most ``MAX_PROBE_AGE_S`` after it was
sent. The probe is answered within ``HEALTH_TIMEOUT_S``; if it does not list the request, the
connection is closed ``SILENCE_TIMEOUT_S`` later: 0.95 + 0.5 + 0.5 = 1.95 s plus one tick.
"""

from enum import Enum

IDLE_CHECK_INTERVAL_S = 1.0
HEALTH_TIMEOUT_S = 0.5
SWEEP_INTERVAL_S = 0.25  # interval between checks of idle connections
# An idle connection that was verified longer ago is not reused.
MAX_UNVERIFIED_S = IDLE_CHECK_INTERVAL_S + SWEEP_INTERVAL_S
PROBE_FACTOR = 5.0  # times the median service time
MIN_PROBE_AGE_S = 0.5
MAX_PROBE_AGE_S = 0.95  # a later first probe would miss the detection target of 2 s
SILENCE_TIMEOUT_S = 0.5


def compute_probe_age(median_s: float) -> float:
    """Return the age in seconds at which a running sub-request is probed."""
    return min(max(PROBE_FACTOR * median_s, MIN_PROBE_AGE_S), MAX_PROBE_AGE_S)


def is_check_due(verified_at: float, now: float) -> bool:
    """Return whether an idle connection needs a health request."""
    return now - verified_at >= IDLE_CHECK_INTERVAL_S


class WatchAction(Enum):
    """What to do about a running exchange: wait, send a probe, or close the connection."""

    NONE = "none"
    PROBE = "probe"
    CLOSE = "close"


class SilenceWatch:
    """Detects silence during one exchange; times are on trio's clock, in seconds."""

    def __init__(self, sent_at: float, median_s: float):
        self._probe_at = sent_at + compute_probe_age(median_s)
        self._close_at = float("inf")

    def decide(self, now: float) -> WatchAction:
        """Return the action that is due."""
        if now >= self._close_at:
            return WatchAction.CLOSE
        if now >= self._probe_at:
            return WatchAction.PROBE
        return WatchAction.NONE

    def record_probe_result(self, answered: bool, running: bool, now: float) -> None:
        """Record the result of a probe, which was sent on a new connection.

        ``running`` is whether the backend server lists the request as running. If the probe was
        not answered, the whole backend server is slow or unreachable, which is no evidence against
        the watched connection.
        """
        self._probe_at = now + SILENCE_TIMEOUT_S
        if not answered or running:
            self._close_at = float("inf")
        elif self._close_at == float("inf"):
            self._close_at = now + SILENCE_TIMEOUT_S
