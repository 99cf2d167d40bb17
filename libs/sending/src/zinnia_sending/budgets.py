"""Limits that hold over all VMs, kept by giving each VM a fixed share."""

from collections.abc import Callable
from dataclasses import dataclass

from zinnia_catalog.ids import ServiceName

# Part of a fleet-wide bound that the VMs use together; the rest covers VMs that are not known yet.
USED_PART = 0.8


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """Extra sends that a service may get over all VMs, in any window.

    ``ratio`` is per request for the service, ``slack`` is a number of sends.
    """

    ratio: float
    slack: float


class RetryBudget:
    """Token bucket per service for sends beyond the first of each request.

    Parameters
    ----------
    bounds : RetryBounds
        The bound over all VMs.
    count_vms : Callable[[], int]
        Number of VMs that may be sending.
    """

    def __init__(self, bounds: RetryBounds, count_vms: Callable[[], int]) -> None:
        self.bounds = bounds
        self._count_vms = count_vms
        self._tokens: dict[ServiceName, float] = {}

    @property
    def capacity(self) -> float:
        """Tokens that one service can save up on this VM."""
        return max(1.0, self.bounds.slack * USED_PART / max(1, self._count_vms()))

    def earn(self, service: ServiceName) -> None:
        """Count one request for a service."""
        capacity = self.capacity
        tokens = self._tokens.get(service, capacity)
        self._tokens[service] = min(capacity, tokens + self.bounds.ratio * USED_PART)

    def take(self, service: ServiceName, reserve: float = 0.0) -> bool:
        """Take a token unless fewer than ``reserve`` (0 to 1 of the capacity) would remain."""
        capacity = self.capacity
        tokens = self._tokens.get(service, capacity)
        if tokens - 1.0 < reserve * capacity:
            return False
        self._tokens[service] = tokens - 1.0
        return True


class RateShare:
    """This VM's share of a rate over all VMs, as a token bucket with a small burst.

    Parameters
    ----------
    rate_per_s : float
        Requests a second that this VM may send.
    now : float
        Monotonic time in seconds.
    """

    BURST = 1.0

    def __init__(self, rate_per_s: float, now: float) -> None:
        self.rate_per_s = rate_per_s
        self._tokens = self.BURST
        self._at = now

    def has_token(self, now: float) -> bool:
        """Whether a request may be sent now."""
        self._tokens = min(self.BURST, self._tokens + (now - self._at) * self.rate_per_s)
        self._at = now
        return self._tokens >= 1.0

    def take(self, now: float) -> bool:
        """Take a token if there is one."""
        if not self.has_token(now):
            return False
        self._tokens -= 1.0
        return True
