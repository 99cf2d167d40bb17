"""Limits that hold over all VMs, kept by giving each VM a share."""

from collections.abc import Callable
from dataclasses import dataclass

from zinnia_catalog.ids import ServiceName

# Part of a fleet-wide bound that the VMs use together; the rest covers VMs that are not known yet.
USED_PART = 0.8


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """Extra sends that a service may get over all VMs, in any window of ``window_s`` seconds.

    ``ratio`` is per request for the service, ``slack`` is a number of sends.
    """

    ratio: float
    slack: float
    window_s: float


class _Window:
    """What one service got from this VM in the last seconds."""

    __slots__ = ("_half_ends_at", "_last_half", "_this_half", "extra_sends")

    def __init__(self) -> None:
        self.extra_sends: list[float] = []
        self._half_ends_at = 0.0
        self._this_half = 0
        self._last_half = 0

    def advance(self, now: float, window_s: float) -> None:
        """Forget what is older than the window."""
        while self.extra_sends and self.extra_sends[0] <= now - window_s:
            del self.extra_sends[0]
        if now < self._half_ends_at:
            return
        half_s = window_s / 2
        is_next = now < self._half_ends_at + half_s
        self._last_half = self._this_half if is_next else 0
        self._this_half = 0
        self._half_ends_at = self._half_ends_at + half_s if is_next else now + half_s

    def count_request(self) -> None:
        """Count one request."""
        self._this_half += 1

    @property
    def requests(self) -> int:
        """Requests since the start of the last half, all of them within the window."""
        return self._this_half + self._last_half


class RetryBudget:
    """Limits the sends of each service beyond the first of each request.

    Extra sends are counted over a sliding window: a VM that has sent few requests for a service
    still has its whole share when many answers are lost at once.

    Parameters
    ----------
    bounds : RetryBounds
        The bound over all VMs.
    get_share : Callable[[ServiceName], float]
        Part of the slack of a service that this VM may use, 0 to 1.
    """

    def __init__(self, bounds: RetryBounds, get_share: Callable[[ServiceName], float]) -> None:
        self.bounds = bounds
        self._get_share = get_share
        self._windows: dict[ServiceName, _Window] = {}

    def count_request(self, service: ServiceName, now: float) -> None:
        """Count one request for a service."""
        self._advance(service, now).count_request()

    def take(self, service: ServiceName, now: float, reserve: float = 0.0) -> bool:
        """Count an extra send if it is allowed; ``reserve`` is the part that must be left over."""
        window = self._advance(service, now)
        share = self.bounds.slack * self._get_share(service)
        allowed = USED_PART * (share + self.bounds.ratio * window.requests)
        if len(window.extra_sends) + 1 > allowed * (1.0 - reserve):
            return False
        window.extra_sends.append(now)
        return True

    def _advance(self, service: ServiceName, now: float) -> _Window:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window()
        window.advance(now, self.bounds.window_s)
        return window


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
