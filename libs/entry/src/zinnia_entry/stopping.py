"""Times of a planned stop, and which requests still fit into it."""

from math import inf

import trio

# Time before the end of the grace period at which the process stops waiting for requests.
GRACE_PERIOD_MARGIN_S = 0.5
# Requests end this long before that, so that their replies are written.
REPLY_MARGIN_S = 0.2
# A request that may not be repeated needs this many times the latency that few requests exceed: an
# answer that comes too late leaves its caller without a way to know whether it has run.
NON_IDEMPOTENT_FACTOR = 2.0


class PlannedStop:
    """The planned stop of this process, which begins with a stop signal."""

    def __init__(self) -> None:
        self.wait_until = inf
        self.requests_end_at = inf

    @property
    def has_begun(self) -> bool:
        """Whether the process is stopping."""
        return self.wait_until < inf

    def begin(self, grace_period_s: float) -> None:
        """Begin the stop; the process is killed after ``grace_period_s`` seconds."""
        self.wait_until = trio.current_time() + grace_period_s - GRACE_PERIOD_MARGIN_S
        self.requests_end_at = self.wait_until - REPLY_MARGIN_S

    def is_too_late_for(self, latency_s: float, is_idempotent: bool) -> bool:
        """Return whether a request may not be answered in time.

        ``latency_s`` is a latency that few requests exceed.
        """
        if not self.has_begun:
            return False
        needed_s = latency_s if is_idempotent else latency_s * NON_IDEMPOTENT_FACTOR
        return trio.current_time() + needed_s >= self.requests_end_at
