"""Running estimates of the latency of replicas for a route."""

from math import exp, log

MIN_LATENCY_S = 0.0005
BUCKET_RATIO = 1.06  # relative error of a quantile
BUCKET_COUNT = 180  # 0.5 ms × 1.06^179 is about 17 s
REFRESH_INTERVAL_SAMPLES = 32  # the quantiles are recomputed after this many samples
HALVING_THRESHOLD = 2048  # counts are halved at this total, so that old samples lose weight

_LOG_SCALE = 1 / log(BUCKET_RATIO)  # buckets per unit of the natural logarithm


class LatencyHistogram:
    """Histogram of latencies with logarithmic buckets, in which old samples lose weight.

    ``median_s`` is the typical latency, ``hedge_s`` the time after which a hedge is sent, and
    ``tail_s`` a latency that few requests exceed.

    Parameters
    ----------
    initial_median_s : float
        Median in seconds that is used until ``REFRESH_INTERVAL_SAMPLES`` samples are recorded.
    """

    MEDIAN_QUANTILE = 0.5
    HEDGE_QUANTILE = 0.9
    TAIL_QUANTILE = 0.97

    def __init__(self, initial_median_s: float) -> None:
        self.median_s = initial_median_s
        self.hedge_s = initial_median_s * 2.5
        self.tail_s = initial_median_s * 4
        self._counts = [0.0] * BUCKET_COUNT
        self._total = 0.0
        self._samples_until_refresh = REFRESH_INTERVAL_SAMPLES

    def record(self, latency_s: float) -> None:
        """Add a sample."""
        index = int(log(latency_s / MIN_LATENCY_S) * _LOG_SCALE) if latency_s > MIN_LATENCY_S else 0
        self._counts[min(index, BUCKET_COUNT - 1)] += 1.0
        self._total += 1.0
        self._samples_until_refresh -= 1
        if self._samples_until_refresh <= 0:
            self._refresh()

    def _refresh(self) -> None:
        self._samples_until_refresh = REFRESH_INTERVAL_SAMPLES
        self.median_s = self._find_quantile(self.MEDIAN_QUANTILE)
        self.hedge_s = self._find_quantile(self.HEDGE_QUANTILE)
        self.tail_s = self._find_quantile(self.TAIL_QUANTILE)
        if self._total >= HALVING_THRESHOLD:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def _find_quantile(self, quantile: float) -> float:
        remaining = quantile * self._total
        for index, count in enumerate(self._counts):
            if remaining <= count:
                return MIN_LATENCY_S * exp((index + 1) / _LOG_SCALE)
            remaining -= count
        return MIN_LATENCY_S * exp(BUCKET_COUNT / _LOG_SCALE)
