"""Rate limits that keep the platform calls of this VM within its share of the fleet's budget."""

from collections import Counter
from enum import Enum

from zinnia_model.errors import PlatformBudgetError


class CallKind(Enum):
    """Kind of a platform call; a delete counts as a write, a listing as a read."""

    WRITE = "write"
    READ = "read"
    WATCH = "watch"


# Budget of the whole fleet. The platform can handle about 2,000 reads per second and counts an open
# watch as one call; 1,500 reads and 200 watches leave a margin.
FLEET_CALLS_PER_S = {CallKind.WRITE: 300.0, CallKind.READ: 1500.0, CallKind.WATCH: 200.0}
DEFAULT_FLEET_SIZE = 8
BURST_S = 1.0


class TokenBucket:
    """Token bucket that refills at a constant rate and can hold at least one token."""

    def __init__(self, tokens_per_s: float) -> None:
        self._tokens_per_s = tokens_per_s
        self._tokens = self.capacity
        self._updated_at: float | None = None

    @property
    def capacity(self) -> float:
        """Capacity in tokens: those of ``BURST_S`` seconds, but at least one."""
        return max(1.0, self._tokens_per_s * BURST_S)

    def set_rate(self, tokens_per_s: float, now: float) -> None:
        """Change the rate from ``now`` on; tokens beyond the new capacity are lost."""
        self._refill(now)
        self._tokens_per_s = tokens_per_s
        self._tokens = min(self._tokens, self.capacity)

    def take_token(self, now: float) -> bool:
        """Take one token; return False if there is none."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def compute_wait_s(self) -> float:
        """Return the seconds from the last refill until the next token is available."""
        return max(0.0, (1.0 - self._tokens) / self._tokens_per_s)

    def _refill(self, now: float) -> None:
        if self._updated_at is not None:
            refilled = max(0.0, now - self._updated_at) * self._tokens_per_s
            self._tokens = min(self.capacity, self._tokens + refilled)
        self._updated_at = now


class CallLimiter:
    """Rate limiter and counters of platform calls, with a token bucket for each kind.

    Parameters
    ----------
    fleet_size : int
        Number of VMs that share the budget of the fleet.

    Attributes
    ----------
    allowed, refused : Counter
        Number of calls that were within the share and beyond it, by `CallKind`.
    """

    def __init__(self, fleet_size: int = DEFAULT_FLEET_SIZE) -> None:
        self.allowed: Counter[CallKind] = Counter()
        self.refused: Counter[CallKind] = Counter()
        self._fleet_size = max(1, fleet_size)
        self._buckets = {
            kind: TokenBucket(tokens_per_s / self._fleet_size)
            for kind, tokens_per_s in FLEET_CALLS_PER_S.items()
        }

    def set_fleet_size(self, size: int, now: float) -> None:
        """Divide the budget among ``size`` VMs from ``now`` on."""
        size = max(1, size)
        if size == self._fleet_size:
            return
        self._fleet_size = size
        for kind, bucket in self._buckets.items():
            bucket.set_rate(FLEET_CALLS_PER_S[kind] / size, now)

    def acquire(self, kind: CallKind, now: float) -> None:
        """Take a token for a call and count the call.

        Raises
        ------
        PlatformBudgetError
            If the share of this VM is used up; the call must not be sent.
        """
        bucket = self._buckets[kind]
        if bucket.take_token(now):
            self.allowed[kind] += 1
            return
        self.refused[kind] += 1
        raise PlatformBudgetError(
            f"this VM's share of platform {kind.value} calls is used up; "
            f"retry after {bucket.compute_wait_s() * 1000:.0f} ms"
        )
