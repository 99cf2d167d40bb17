"""Keeps the calls of this VM within its share of the fleet's call budget."""

from collections import Counter
from enum import Enum

from zinnia_model.errors import PlatformBudgetError


class CallKind(Enum):
    """Kinds of platform calls; a delete is a write, a listing is a read."""

    WRITE = "write"
    READ = "read"
    WATCH = "watch"


# Calls per second of the whole fleet. The platform bears about 2,000 reads a second and counts a
# waiting watch as one call; 1,500 reads and 200 watches leave a margin.
FLEET_RATES = {CallKind.WRITE: 300.0, CallKind.READ: 1500.0, CallKind.WATCH: 200.0}
DEFAULT_FLEET_SIZE = 8
BURST_S = 1.0


class TokenBucket:
    """Earns tokens at a rate per second up to a burst of at least one."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = self.burst
        self._updated_at: float | None = None

    @property
    def burst(self) -> float:
        """Most tokens that the bucket holds."""
        return max(1.0, self._rate * BURST_S)

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate from now on."""
        self._earn(now)
        self._rate = rate
        self._tokens = min(self._tokens, self.burst)

    def take(self, now: float) -> bool:
        """Take one token if there is one."""
        self._earn(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def wait_s(self) -> float:
        """Return the seconds until the next token, as of the last call."""
        return max(0.0, (1.0 - self._tokens) / self._rate)

    def _earn(self, now: float) -> None:
        if self._updated_at is not None:
            earned = max(0.0, now - self._updated_at) * self._rate
            self._tokens = min(self.burst, self._tokens + earned)
        self._updated_at = now


class CallLimiter:
    """Token buckets and counters for each kind of call.

    Parameters
    ----------
    fleet_size : int
        VMs that share the fleet budget.

    Attributes
    ----------
    allowed, refused : Counter
        Calls by `CallKind`.
    """

    def __init__(self, fleet_size: int = DEFAULT_FLEET_SIZE) -> None:
        self.allowed: Counter[CallKind] = Counter()
        self.refused: Counter[CallKind] = Counter()
        self._fleet_size = max(1, fleet_size)
        self._buckets = {
            kind: TokenBucket(rate / self._fleet_size) for kind, rate in FLEET_RATES.items()
        }

    def set_fleet_size(self, size: int, now: float) -> None:
        """Share the budget among ``size`` VMs from now on."""
        size = max(1, size)
        if size == self._fleet_size:
            return
        self._fleet_size = size
        for kind, bucket in self._buckets.items():
            bucket.set_rate(FLEET_RATES[kind] / size, now)

    def take(self, kind: CallKind, now: float) -> None:
        """Count a call.

        Raises
        ------
        PlatformBudgetError
            The share of this VM is used up; the call must not be sent.
        """
        bucket = self._buckets[kind]
        if bucket.take(now):
            self.allowed[kind] += 1
            return
        self.refused[kind] += 1
        raise PlatformBudgetError(
            f"this VM's share of platform {kind.value} calls is used up; "
            f"retry after {bucket.wait_s() * 1000:.0f} ms"
        )
