"""Why a replica gets no request from this VM now, and from when on it may get one."""

from enum import Enum
from math import inf
from random import Random

from zinnia_sending.health import Condition, ReplicaHealth
from zinnia_sending.rates import RateLimit, TokenBucket

# A VM does not obey a replica that turns it away for longer than this.
MAX_TURN_AWAY_S = 60.0
# A VM returns to the replica later by up to this fraction of the time, so that VMs that were told
# the same time do not return in one moment.
RETURN_SPREAD_FRACTION = 0.25
MAX_RETURN_SPREAD_S = 2.0


class Obstacle(Enum):
    """Reason why a replica cannot get a request now."""

    DRAINING = "draining"
    GONE = "gone"
    TRIED = "tried"
    DATA_CENTRE_OUT = "data_centre_out"
    VERSION_SHARE = "version_share"
    TURNED_AWAY = "turned_away"
    WARMING_UP = "warming_up"
    RATE_LIMITED = "rate_limited"
    SUSPENDED = "suspended"
    TRIAL_RUNNING = "trial_running"
    CONNECTIONS_BUSY = "connections_busy"


class Availability:
    """All that keeps requests of this VM from one replica; times are monotonic seconds.

    ``rate_limit`` is the limit that the replica's last answer named, if any. ``warmup_rate_per_s``
    of the methods is this VM's share of the requests a second that the cold replica takes, 0
    without a limit.

    Parameters
    ----------
    health : ReplicaHealth
        Failures of the replica, for which it is suspended.
    is_draining : bool
        Whether the replica has registered itself as draining.
    warm_at : float
        Time at which the replica has warmed up.
    """

    def __init__(self, health: ReplicaHealth, is_draining: bool, warm_at: float) -> None:
        self.is_draining = is_draining
        self.is_gone = False
        self.rate_limit: RateLimit | None = None
        self._health = health
        self._warm_at = warm_at
        self._warmup_limiter: TokenBucket | None = None
        self._turned_away_until = -inf
        self._needs_trial = False

    def turn_away(self, duration_s: float, now: float, random: Random) -> None:
        """Send nothing for ``duration_s`` seconds and a little longer, and then one request."""
        spread_s = min(MAX_RETURN_SPREAD_S, RETURN_SPREAD_FRACTION * duration_s) * random.random()
        until = now + min(MAX_TURN_AWAY_S, duration_s) + spread_s
        self._turned_away_until = max(self._turned_away_until, until)
        self._needs_trial = True

    def record_taken(self, now: float) -> None:
        """Record that the replica took a request, which ends a trial but not a time it named."""
        if now >= self._turned_away_until:
            self._needs_trial = False

    def is_cold(self, now: float) -> bool:
        """Whether the replica is still warming up."""
        return now < self._warm_at

    def mark_cold(self, duration_s: float, now: float) -> None:
        """Treat the replica as cold for at least ``duration_s`` seconds from now."""
        self._warm_at = max(self._warm_at, now + duration_s)

    def find_lasting_obstacle(self) -> Obstacle | None:
        """Return an obstacle that holds for requests of all VMs, None without one."""
        if self.is_draining:
            return Obstacle.DRAINING
        return Obstacle.GONE if self.is_gone else None

    def find_refusal(self, now: float) -> Obstacle | None:
        """Return why not even a request that was chosen for the replica is to be sent, or None."""
        if now < self._turned_away_until:
            return self.find_lasting_obstacle() or Obstacle.TURNED_AWAY
        return self.find_lasting_obstacle()

    def find_obstacle(self, now: float, warmup_rate_per_s: float) -> Obstacle | None:
        """Return the obstacle for a request of this VM now, None without one."""
        if now < self._turned_away_until:
            return Obstacle.TURNED_AWAY
        if self._needs_trial and self._health.outstanding:
            return Obstacle.TRIAL_RUNNING
        if self._is_warmup_spent(now, warmup_rate_per_s):
            return Obstacle.WARMING_UP
        if self.rate_limit is not None and not self.rate_limit.allows_send(now):
            return Obstacle.RATE_LIMITED
        condition = self._health.get_condition(now)
        if condition is Condition.SUSPENDED:
            return Obstacle.SUSPENDED
        if condition is Condition.TRIAL_DUE and self._health.outstanding:
            return Obstacle.TRIAL_RUNNING
        return None

    def find_next_time(self, now: float) -> float | None:
        """Return the time from which a request may be sent again, None if nothing tells."""
        if self.find_lasting_obstacle() is not None:
            return None
        times = []
        if now < self._turned_away_until:
            times.append(self._turned_away_until)
        if self._health.get_condition(now) is Condition.SUSPENDED:
            times.append(self._health.get_trial_time())
        if self.rate_limit is not None:
            times.append(self.rate_limit.find_next_time(now))
        return max(times, default=None)

    def count_send(self, now: float, warmup_rate_per_s: float) -> None:
        """Count a request that is about to be sent."""
        if self._health.get_condition(now) is Condition.TRIAL_DUE:
            self._health.start_trial(now)
        if self.is_cold(now) and warmup_rate_per_s > 0:
            self._get_warmup_limiter(warmup_rate_per_s, now).take_token(now)
        if self.rate_limit is not None:
            self.rate_limit.count_send(now)

    def _is_warmup_spent(self, now: float, rate_per_s: float) -> bool:
        if not self.is_cold(now) or rate_per_s <= 0:
            return False
        return not self._get_warmup_limiter(rate_per_s, now).has_token(now)

    def _get_warmup_limiter(self, rate_per_s: float, now: float) -> TokenBucket:
        if self._warmup_limiter is None:
            self._warmup_limiter = TokenBucket(rate_per_s, now)
        self._warmup_limiter.rate_per_s = rate_per_s
        return self._warmup_limiter
