"""Running estimates of how long replicas take for a route."""

from math import exp, log

SMALLEST_S = 0.0005
BUCKET_RATIO = 1.06  # relative error of a quantile
BUCKETS = 180  # 0.5 ms × 1.06^179 is about 17 s
REFRESH_EVERY = 32  # samples between two computations of the quantiles
HALVE_AT = 2048  # the counts are halved at this total, so that old samples fade

_SCALE = 1 / log(BUCKET_RATIO)


class LatencyHistogram:
    """Decaying histogram with logarithmic buckets.

    Parameters
    ----------
    guess_s : float
        Median in seconds that is used until enough answers were seen.
    """

    MEDIAN = 0.5
    HEDGE = 0.9
    TAIL = 0.97

    def __init__(self, guess_s: float) -> None:
        self.median_s = guess_s
        self.hedge_s = guess_s * 2.5
        self.tail_s = guess_s * 4
        self._counts = [0.0] * BUCKETS
        self._total = 0.0
        self._until_refresh = REFRESH_EVERY

    def record(self, latency_s: float) -> None:
        """Add one sample in seconds."""
        index = int(log(latency_s / SMALLEST_S) * _SCALE) if latency_s > SMALLEST_S else 0
        self._counts[min(index, BUCKETS - 1)] += 1.0
        self._total += 1.0
        self._until_refresh -= 1
        if self._until_refresh <= 0:
            self._refresh()

    def _refresh(self) -> None:
        self._until_refresh = REFRESH_EVERY
        self.median_s = self._find(self.MEDIAN)
        self.hedge_s = self._find(self.HEDGE)
        self.tail_s = self._find(self.TAIL)
        if self._total >= HALVE_AT:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def _find(self, quantile: float) -> float:
        wanted = quantile * self._total
        for index, count in enumerate(self._counts):
            if wanted <= count:
                return SMALLEST_S * exp((index + 1) / _SCALE)
            wanted -= count
        return SMALLEST_S * exp(BUCKETS / _SCALE)
