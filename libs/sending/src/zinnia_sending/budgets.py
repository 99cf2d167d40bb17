"""Limits on sends over all VMs; each VM enforces its own share of a limit."""

from collections.abc import Callable
from dataclasses import dataclass

from zinnia_catalog.ids import ReplicaId, ServiceName

# Fraction of a limit on all VMs that the known VMs use together; the rest is for VMs that are not
# known yet.
USED_BOUND_FRACTION = 0.8
# Fraction of its share of the slack that a new VM uses in its first window, in which other VMs may
# not know it yet. As many VMs as there are may join at once: half a share of each fits into the
# part of the limit that is not used.
NEW_VM_FRACTION = 0.5
# A send that no replica is known to have read for this long counts no longer.
MAX_UNREAD_S = 60.0


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """Limit on the extra sends (hedges and retries) to a service over all VMs.

    In any window of ``window_s`` seconds, at most ``slack`` extra sends plus ``ratio`` extra sends
    per request for the service may arrive.
    """

    ratio: float
    slack: float
    window_s: float


@dataclass(frozen=True, slots=True)
class _UnreadSend:
    """A send to a replica that gave no sign of having read it; times are monotonic seconds."""

    replica: ReplicaId
    sent_at: float
    given_up_at: float


class _SendWindow:
    """Requests and extra sends of this VM to one service in the sliding window.

    ``extra_sends`` has the times of the extra sends, ``unread`` those that may arrive later.
    """

    __slots__ = ("_half_ends_at", "_last_half", "_this_half", "extra_sends", "unread")

    def __init__(self) -> None:
        self.extra_sends: list[float] = []
        self.unread: list[_UnreadSend] = []
        self._half_ends_at = 0.0
        self._this_half = 0
        self._last_half = 0

    def advance(self, now: float, window_s: float) -> None:
        """Remove extra sends older than the window, and start a new half window when one has ended.

        Requests are counted by half windows, so that they need no list of times.
        """
        while self.extra_sends and self.extra_sends[0] <= now - window_s:
            del self.extra_sends[0]
        while self.unread and self.unread[0].given_up_at <= now - MAX_UNREAD_S:
            del self.unread[0]
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

    def take_read(self, replica: ReplicaId, sent_before: float) -> int:
        """Remove the unread sends to a replica up to a time, and return how many there were."""
        kept = [
            send for send in self.unread if send.replica != replica or send.sent_at > sent_before
        ]
        count = len(self.unread) - len(kept)
        self.unread = kept
        return count

    @property
    def requests(self) -> int:
        """Number of requests in the current and the previous half window."""
        return self._this_half + self._last_half


@dataclass(frozen=True, slots=True)
class WindowUse:
    """What this VM has used of its share of the extra sends to one service.

    ``allowed`` is its share at present; it may be fractional.
    """

    requests: int
    extra_sends: int
    allowed: float


class RetryBudget:
    """Limits the sends of each service beyond the first of each request.

    Extra sends are counted over a sliding window, so that a VM that has sent few requests for a
    service can still use its whole share when many answers are lost at once.

    An earlier process of this VM may have used up its share of the slack just before it ended. So
    a process uses none of the slack in its first window, unless ``note_new_vm`` says that there was
    no earlier process. In place of it, it uses all that its own requests add.

    A replica that stands still takes bytes without reading them, and what was sent in a long time
    then arrives at once. So an extra send of a request of which no sign shows that it was read
    counts until there is one, and for a whole window from then on.

    Parameters
    ----------
    bounds : RetryBounds
        The limit on the extra sends of all VMs.
    get_share : Callable[[ServiceName], float]
        Returns the fraction (0 to 1) of the slack of a service that this VM may use.
    started_at : float
        Start of this process, in monotonic seconds.
    """

    def __init__(
        self,
        bounds: RetryBounds,
        get_share: Callable[[ServiceName], float],
        started_at: float,
    ) -> None:
        self.bounds = bounds
        self._get_share = get_share
        self._started_at = started_at
        self._first_window_fraction = 0.0
        self._windows: dict[ServiceName, _SendWindow] = {}

    def note_new_vm(self) -> None:
        """Use part of the slack from the start, as no earlier process has used any."""
        self._first_window_fraction = NEW_VM_FRACTION

    def count_request(self, service: ServiceName, now: float) -> None:
        """Count one request for a service."""
        self._advance(service, now).count_request()

    def spend(self, service: ServiceName, now: float) -> None:
        """Count an extra send that the budget allows."""
        self._advance(service, now).extra_sends.append(now)

    def record_unread(
        self, service: ServiceName, replica: ReplicaId, sent_at: float, spent_at: float, now: float
    ) -> None:
        """Keep counting the extra send of ``spent_at`` until a replica has read its request.

        The replica got the request at ``sent_at``, and may not have read it when it was given up.
        """
        window = self._advance(service, now)
        if spent_at in window.extra_sends:
            window.extra_sends.remove(spent_at)
        window.unread.append(_UnreadSend(replica, sent_at, now))

    def record_read(
        self, service: ServiceName, replica: ReplicaId, sent_at: float, now: float
    ) -> None:
        """Record that a replica has read what was sent to it until ``sent_at``."""
        window = self._windows.get(service)
        if window is not None and window.unread:
            count = window.take_read(replica, sent_at)
            window.extra_sends.extend([now] * count)

    def allows_send(self, service: ServiceName, now: float, reserve: float = 0.0) -> bool:
        """Return whether the budget allows an extra send.

        ``reserve`` is the fraction (0 to 1) of the budget that must remain after the send.
        """
        use = self.measure_use(service, now)
        return use.extra_sends + 1 <= use.allowed * (1.0 - reserve)

    def measure_use(self, service: ServiceName, now: float) -> WindowUse:
        """Return what this VM has used of its share in the window that ends now."""
        window = self._advance(service, now)
        slack = USED_BOUND_FRACTION * self.bounds.slack * self._get_share(service)
        earned = self.bounds.ratio * window.requests
        if now < self._started_at + self.bounds.window_s:
            allowed = self._first_window_fraction * slack + earned
        else:
            allowed = slack + USED_BOUND_FRACTION * earned
        extra_sends = len(window.extra_sends) + len(window.unread)
        return WindowUse(window.requests, extra_sends, allowed)

    def list_services(self) -> list[ServiceName]:
        """Return the services that had requests or extra sends since the start."""
        return list(self._windows)

    def _advance(self, service: ServiceName, now: float) -> _SendWindow:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _SendWindow()
        window.advance(now, self.bounds.window_s)
        return window
