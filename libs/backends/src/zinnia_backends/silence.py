"""When open connections count as silent (pure).

Idle: checked at most ``IDLE_CHECK_S`` + one sweep after the last response, with a limit of
``HEALTH_LIMIT_S``: 1.0 + 0.25 + 0.5 = 1.75 s. During a request: first probe at most
``MAX_PROBE_AGE_S`` after the request, ``HEALTH_LIMIT_S`` for its answer and ``SILENCE_S`` more:
0.95 + 0.5 + 0.5 s and one tick, within 2 s.
"""

from enum import Enum

IDLE_CHECK_S = 1.0
HEALTH_LIMIT_S = 0.5
SWEEP_S = 0.25  # interval of the sweep over idle connections
UNVERIFIED_S = IDLE_CHECK_S + SWEEP_S  # an idle connection beyond this age is not reused
PROBE_FACTOR = 5.0  # times the median service time
MIN_PROBE_AGE_S = 0.5
MAX_PROBE_AGE_S = 0.95  # a later first probe would miss the detection target of 2 s
SILENCE_S = 0.5


def compute_probe_age(median_s: float) -> float:
    """Return the age in seconds at which a running sub-request is probed."""
    return min(max(PROBE_FACTOR * median_s, MIN_PROBE_AGE_S), MAX_PROBE_AGE_S)


def is_check_due(verified_at: float, now: float) -> bool:
    """Return whether an idle connection needs a health request."""
    return now - verified_at >= IDLE_CHECK_S


class WatchAction(Enum):
    """What to do about a running exchange."""

    NONE = "none"
    PROBE = "probe"
    CLOSE = "close"


class SilenceWatch:
    """Watches one exchange; times are on the runtime's clock, in seconds."""

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

    def note_probe(self, answered: bool, running: bool, now: float) -> None:
        """Take the outcome of a probe on a new connection.

        ``running`` says that the backend server lists the request as running. Without an answer
        the backend server itself is slow or lost, which says nothing about the old connection.
        """
        self._probe_at = now + SILENCE_S
        if not answered or running:
            self._close_at = float("inf")
        elif self._close_at == float("inf"):
            self._close_at = now + SILENCE_S
