"""Running estimates of the latency of sub-requests."""

from dataclasses import dataclass
from math import exp, log

SMALLEST_S = 0.0001
BUCKET_RATIO = 1.05  # relative error of a quantile before interpolation
BUCKETS = 260  # 0.1 ms × 1.05^259 is about 30 s
REFRESH_EVERY = 64  # samples between two computations of the quantiles
WARM_UP_SAMPLES = 128  # no estimate is given before this many samples
HALVE_AT = 8192  # the counts are halved at this total, so that old samples fade

_SCALE = 1 / log(BUCKET_RATIO)
_OFFSET = -log(SMALLEST_S) * _SCALE


@dataclass(frozen=True, slots=True)
class Quantiles:
    """Estimated quantiles in seconds."""

    p50: float
    p80: float
    p97: float


class LatencyEstimate:
    """Decaying histogram with logarithmic buckets; an update costs less than a microsecond."""

    def __init__(self) -> None:
        self._counts = [0.0] * BUCKETS
        self._total = 0.0
        self._until_refresh = WARM_UP_SAMPLES
        self.quantiles: Quantiles | None = None

    def record(self, latency_s: float) -> None:
        """Add one sample in seconds."""
        index = int(log(latency_s) * _SCALE + _OFFSET) if latency_s > SMALLEST_S else 0
        self._counts[index if index < BUCKETS else BUCKETS - 1] += 1.0
        self._total += 1.0
        self._until_refresh -= 1
        if self._until_refresh <= 0:
            self._refresh()

    def record_unfinished(self, age_s: float) -> None:
        """Add the age of a cancelled sub-request, which would have taken longer.

        A younger age than p97 is left out: it says nothing about the tail and would lower p97.
        """
        if self.quantiles is not None and age_s > self.quantiles.p97:
            self.record(age_s)

    def _refresh(self) -> None:
        self._until_refresh = REFRESH_EVERY
        self.quantiles = Quantiles(*(self._find_quantile(q) for q in (0.50, 0.80, 0.97)))
        if self._total >= HALVE_AT:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def _find_quantile(self, quantile: float) -> float:
        """Return a quantile in seconds, interpolated within its bucket."""
        wanted = quantile * self._total
        for index, count in enumerate(self._counts):
            if count and wanted <= count:
                return exp((index + wanted / count - _OFFSET) / _SCALE)
            wanted -= count
        return exp((BUCKETS - _OFFSET) / _SCALE)
