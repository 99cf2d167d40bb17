"""Streaming estimates of the latency quantiles of sub-requests."""

from dataclasses import dataclass
from math import exp, log

MIN_LATENCY_S = 0.0001  # lower bound of the histogram
BUCKET_RATIO = 1.05  # relative error of a quantile before interpolation
BUCKET_COUNT = 260  # covers up to 0.1 ms × 1.05^259, about 30 s
REFRESH_INTERVAL_SAMPLES = 64  # between two computations of the quantiles
MIN_SAMPLES = 128  # before the first estimate
HALVING_THRESHOLD_SAMPLES = 8192  # counts are halved at this total, which decays old samples

_BUCKETS_PER_E_FOLD = 1 / log(BUCKET_RATIO)
_BUCKET_OFFSET = -log(MIN_LATENCY_S) * _BUCKETS_PER_E_FOLD


@dataclass(frozen=True, slots=True)
class Quantiles:
    """Estimated latency quantiles in seconds."""

    p50: float
    p80: float
    p97: float


class LatencyEstimate:
    """Decaying histogram with logarithmic buckets; adding a sample takes less than a microsecond.

    ``quantiles`` is None until there are `MIN_SAMPLES` samples.
    """

    def __init__(self) -> None:
        self._counts = [0.0] * BUCKET_COUNT
        self._total = 0.0
        self._until_refresh = MIN_SAMPLES
        self.quantiles: Quantiles | None = None

    def record(self, latency_s: float) -> None:
        """Add the latency of one sub-request in seconds."""
        index = (
            int(log(latency_s) * _BUCKETS_PER_E_FOLD + _BUCKET_OFFSET)
            if latency_s > MIN_LATENCY_S
            else 0
        )
        self._counts[index if index < BUCKET_COUNT else BUCKET_COUNT - 1] += 1.0
        self._total += 1.0
        self._until_refresh -= 1
        if self._until_refresh <= 0:
            self._refresh()

    def record_unfinished(self, age_s: float) -> None:
        """Add the age in seconds of a cancelled sub-request, a lower bound of its latency.

        An age below p97 is dropped, because it tells nothing about the tail and would lower p97.
        """
        if self.quantiles is not None and age_s > self.quantiles.p97:
            self.record(age_s)

    def _refresh(self) -> None:
        self._until_refresh = REFRESH_INTERVAL_SAMPLES
        self.quantiles = Quantiles(*(self._find_quantile(q) for q in (0.50, 0.80, 0.97)))
        if self._total >= HALVING_THRESHOLD_SAMPLES:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def _find_quantile(self, quantile: float) -> float:
        """Return a quantile in seconds, interpolated within its bucket."""
        rank = quantile * self._total
        for index, count in enumerate(self._counts):
            if count and rank <= count:
                return exp((index + rank / count - _BUCKET_OFFSET) / _BUCKETS_PER_E_FOLD)
            rank -= count
        return exp((BUCKET_COUNT - _BUCKET_OFFSET) / _BUCKETS_PER_E_FOLD)
