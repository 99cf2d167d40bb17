"""Rates at which this VM may send to one replica, and its shares of the rates of all VMs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from math import ceil
from random import Random

from zinnia_catalog.replicas import ReplicaEntry

# The share of a limit is computed again after this time, as VMs come and go.
SHARE_LIFETIME_S = 1.0
# A replica that takes nothing still gets this rate of requests; their answers say when it does.
MIN_LIMIT_PER_S = 0.25
# A VM that rarely may send to a limited replica can use its permit for this time.
TRIAL_S = 1.0


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
        self._burst = burst
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

    def change_rate(self, rate_per_s: float, burst: float, now: float) -> None:
        """Add tokens at another rate from now on."""
        self._refill(now)
        self.rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = min(burst, self._tokens)

    def find_next_time(self, now: float) -> float:
        """Return the monotonic time at which a token is available."""
        self._refill(now)
        return now + max(0.0, 1.0 - self._tokens) / self.rate_per_s

    def _refill(self, now: float) -> None:
        added = (now - self._refilled_at) * self.rate_per_s
        self._tokens = min(self._burst, self._tokens + added)
        self._refilled_at = now


class RateShare(ABC):
    """The part of a replica's limit that one VM may use."""

    @abstractmethod
    def make_permits(self, now: float, random: Random) -> Permits:
        """Return the permits of this share from now on.

        VMs learn of a limit at about the same time, so they start with permits that differ at
        random.
        """

    @abstractmethod
    def change_permits(self, permits: Permits, now: float, random: Random) -> Permits:
        """Return permits of this share that follow those of another one.

        A change adds no permits: a limit may change with every answer.
        """


class Permits(ABC):
    """Says when this VM may send to a replica; times are monotonic seconds."""

    @abstractmethod
    def allows_send(self, now: float) -> bool:
        """Return whether a request may be sent now."""

    @abstractmethod
    def count_send(self, now: float) -> None:
        """Count a request that is about to be sent."""

    @abstractmethod
    def find_next_time(self, now: float) -> float:
        """Return the time from which a request may be sent."""


@dataclass(frozen=True, slots=True)
class SenderShare(RateShare):
    """Share of a VM that sends regularly: requests a second, and how many of them at once."""

    rate_per_s: float
    burst: float

    def make_permits(self, now: float, random: Random) -> Permits:
        """Return permits that are saved up to the burst while they are not used."""
        return BucketPermits(TokenBucket(self.rate_per_s, now, self.burst, random.random()))

    def change_permits(self, permits: Permits, now: float, random: Random) -> Permits:
        """Return the same bucket with another rate, or an empty one."""
        if isinstance(permits, BucketPermits):
            permits.change_rate(self.rate_per_s, self.burst, now)
            return permits
        return BucketPermits(TokenBucket(self.rate_per_s, now, self.burst, 0.0))


@dataclass(frozen=True, slots=True)
class TrialShare(RateShare):
    """Share of a VM that sends only to notice that the limit has ended: once in an interval."""

    interval_s: float

    def make_permits(self, now: float, random: Random) -> Permits:
        """Return permits that expire if they are not used."""
        return TrialPermits(self.interval_s, now + self.interval_s * random.random())

    def change_permits(self, permits: Permits, now: float, random: Random) -> Permits:
        """Return the same permits with another interval, or new ones."""
        if isinstance(permits, TrialPermits):
            permits.change_interval(self.interval_s)
            return permits
        return self.make_permits(now, random)


class BucketPermits(Permits):
    """Permits from a token bucket."""

    def __init__(self, bucket: TokenBucket) -> None:
        self._bucket = bucket

    def change_rate(self, rate_per_s: float, burst: float, now: float) -> None:
        """Add permits at another rate from now on."""
        self._bucket.change_rate(rate_per_s, burst, now)

    def allows_send(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return self._bucket.has_token(now)

    def count_send(self, now: float) -> None:
        """Count a request that is about to be sent."""
        self._bucket.take_token(now)

    def find_next_time(self, now: float) -> float:
        """Return the time from which a request may be sent."""
        return self._bucket.find_next_time(now)


class TrialPermits(Permits):
    """One permit in each interval, valid for ``TRIAL_S``.

    Unused permits expire: those of many VMs would otherwise pile up until all are used at once.

    Parameters
    ----------
    interval_s : float
        Time between two permits in seconds.
    first_at : float
        Monotonic time of the first permit.
    """

    def __init__(self, interval_s: float, first_at: float) -> None:
        self._interval_s = max(TRIAL_S, interval_s)
        self._next_at = first_at

    def change_interval(self, interval_s: float) -> None:
        """Change the time between two permits after the next one."""
        self._interval_s = max(TRIAL_S, interval_s)

    def allows_send(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        self._skip_expired(now)
        return now >= self._next_at

    def count_send(self, now: float) -> None:
        """Count a request that is about to be sent."""
        self._skip_expired(now)
        self._next_at += self._interval_s

    def find_next_time(self, now: float) -> float:
        """Return the time from which a request may be sent."""
        self._skip_expired(now)
        return max(now, self._next_at)

    def _skip_expired(self, now: float) -> None:
        if now >= self._next_at + TRIAL_S:
            self._next_at += self._interval_s * ceil(
                (now - TRIAL_S - self._next_at) / self._interval_s
            )


class RateShares(ABC):
    """Divides the limits that replicas name among the VMs."""

    @abstractmethod
    def get_share(self, replica: ReplicaEntry, limit_per_s: float) -> RateShare:
        """Return this VM's share of a replica's limit."""


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
        return SenderShare(max(MIN_LIMIT_PER_S, limit_per_s) / max(1, self._count_vms()), 1.0)


class RateLimit:
    """The limit that a replica names, and the requests that this VM may send within it.

    Parameters
    ----------
    limit_per_s : float
        Requests a second that the replica takes from all VMs.
    share : RateShare
        This VM's share.
    now : float
        Monotonic time in seconds.
    random : Random
        Source of the state in which the permits start.
    """

    def __init__(self, limit_per_s: float, share: RateShare, now: float, random: Random) -> None:
        self._random = random
        self._limit_per_s = limit_per_s
        self._share = share
        self._shared_at = now
        self._permits = share.make_permits(now, random)

    def needs_share(self, limit_per_s: float, now: float) -> bool:
        """Return whether the share is to be computed again."""
        return limit_per_s != self._limit_per_s or now >= self._shared_at + SHARE_LIFETIME_S

    def change_share(self, limit_per_s: float, share: RateShare, now: float) -> None:
        """Apply another limit or share."""
        self._limit_per_s = limit_per_s
        self._shared_at = now
        if share != self._share:
            self._share = share
            self._permits = share.change_permits(self._permits, now, self._random)

    def allows_send(self, now: float) -> bool:
        """Return whether this VM may send a request now."""
        return self._permits.allows_send(now)

    def count_send(self, now: float) -> None:
        """Count a request that is about to be sent."""
        self._permits.count_send(now)

    def find_next_time(self, now: float) -> float:
        """Return the time from which this VM or, on average, another one may send a request.

        A caller that comes back reaches another VM.
        """
        any_vm_at = now + 1.0 / max(MIN_LIMIT_PER_S, self._limit_per_s)
        return min(any_vm_at, self._permits.find_next_time(now))
