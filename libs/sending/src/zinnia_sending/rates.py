"""Rates at which this VM may send to one replica, and its shares of the rates of all VMs."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from zinnia_catalog.replicas import ReplicaEntry

# The share of a limit is computed again after this time, as VMs come and go.
SHARE_LIFETIME_S = 1.0
# A replica that takes nothing still gets this rate of requests; their answers say when it does.
MIN_LIMIT_PER_S = 0.25


class TokenBucket:
    """Token bucket for a rate of requests.

    Parameters
    ----------
    rate_per_s : float
        Tokens added a second.
    now : float
        Monotonic time in seconds.
    burst : float
        Number of tokens that the bucket holds.
    tokens : float, optional
        Number of tokens at first; a full bucket if it is left out.
    """

    def __init__(
        self, rate_per_s: float, now: float, burst: float = 1.0, tokens: float | None = None
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst if tokens is None else tokens
        self._refilled_at = now

    def has_token(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        self._refill(now)
        return self._tokens >= 1.0

    def take_token(self, now: float) -> bool:
        """Take a token and return True if one is available, otherwise return False."""
        if not self.has_token(now):
            return False
        self._tokens -= 1.0
        return True

    def find_next_time(self, now: float) -> float:
        """Return the monotonic time at which a token is available."""
        self._refill(now)
        return now + max(0.0, 1.0 - self._tokens) / self.rate_per_s

    def change_rate(self, rate_per_s: float, burst: float, now: float) -> None:
        """Add tokens at another rate from now on."""
        self._refill(now)
        self.rate_per_s = rate_per_s
        self.burst = burst

    def _refill(self, now: float) -> None:
        added = (now - self._refilled_at) * self.rate_per_s
        self._tokens = min(self.burst, self._tokens + added)
        self._refilled_at = now


@dataclass(frozen=True, slots=True)
class RateShare:
    """The requests a second that one VM may send to a replica, and how many of them at once."""

    rate_per_s: float
    burst: float


class RateShares(ABC):
    """Divides the limits that replicas name among the VMs."""

    @abstractmethod
    def get_share(self, replica: ReplicaEntry, limit_per_s: float) -> RateShare:
        """Return this VM's share of a replica's limit; its rate is above 0."""


class EqualRateShares(RateShares):
    """Gives each VM the same share.

    Parameters
    ----------
    count_vms : Callable[[], int]
        Returns the number of VMs that may be sending requests.
    """

    def __init__(self, count_vms: Callable[[], int]) -> None:
        self._count_vms = count_vms

    def get_share(self, replica: ReplicaEntry, limit_per_s: float) -> RateShare:
        """Return this VM's share of a replica's limit."""
        return RateShare(max(MIN_LIMIT_PER_S, limit_per_s) / max(1, self._count_vms()), 1.0)


class RateLimit:
    """The limit that a replica names, and this VM's share of it.

    Parameters
    ----------
    limit_per_s : float
        Requests a second that the replica takes from all VMs.
    share : RateShare
        This VM's share.
    now : float
        Monotonic time in seconds.
    tokens : float
        Number of tokens at first. VMs learn of a limit at about the same time, so they start with
        different numbers.
    """

    def __init__(self, limit_per_s: float, share: RateShare, now: float, tokens: float) -> None:
        self.limit_per_s = limit_per_s
        self._bucket = TokenBucket(share.rate_per_s, now, share.burst, tokens)
        self._shared_at = now

    def needs_share(self, limit_per_s: float, now: float) -> bool:
        """Return whether the share is to be computed again."""
        return limit_per_s != self.limit_per_s or now >= self._shared_at + SHARE_LIFETIME_S

    def change_share(self, limit_per_s: float, share: RateShare, now: float) -> None:
        """Apply another limit or share."""
        self.limit_per_s = limit_per_s
        self._bucket.change_rate(share.rate_per_s, share.burst, now)
        self._shared_at = now

    def allows_send(self, now: float) -> bool:
        """Return whether this VM may send a request now."""
        return self._bucket.has_token(now)

    def count_send(self, now: float) -> None:
        """Count a request that is about to be sent."""
        self._bucket.take_token(now)

    def find_next_time(self, now: float) -> float:
        """Return the monotonic time at which this VM may send a request."""
        return self._bucket.find_next_time(now)
