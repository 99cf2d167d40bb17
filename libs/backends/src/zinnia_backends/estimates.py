"""Running estimates of service times and connect cost."""

from bisect import bisect_left, insort
from collections import deque

MEDIAN_WINDOW_ANSWERS = 64  # the median follows a change after half as many answers
CONNECT_COST_WEIGHT = 0.2  # weight of the newest measurement in the mean


class ServiceTimes:
    """The median of the last ``MEDIAN_WINDOW_ANSWERS`` service times of one replica, in seconds."""

    def __init__(self) -> None:
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def __len__(self) -> int:
        return len(self._recent)

    def add(self, seconds: float) -> None:
        """Add one service time and drop the oldest if the window is full."""
        self._recent.append(seconds)
        insort(self._sorted, seconds)
        if len(self._recent) > MEDIAN_WINDOW_ANSWERS:
            del self._sorted[bisect_left(self._sorted, self._recent.popleft())]

    @property
    def median_s(self) -> float:
        """The median in seconds; 0 before the first answer."""
        return self._sorted[len(self._sorted) // 2] if self._sorted else 0.0


class ConnectCost:
    """Exponentially weighted mean of the time to open a connection, in seconds."""

    def __init__(self, expected_s: float):
        self.mean_s = expected_s

    def add(self, seconds: float) -> None:
        """Add one measurement, in seconds."""
        self.mean_s += CONNECT_COST_WEIGHT * (seconds - self.mean_s)
