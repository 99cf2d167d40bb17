"""The token bucket that bounds hedges and retries."""

from collections import Counter

from zinnia_model.reasons import Reason

EARNED_PER_SUBREQUEST = 0.048  # with the burst this stays under 5% extra load
BURST = 20.0  # tokens


class ExtraBudget:
    """Tokens for hedges and retries of one VM; each extra sub-request costs one.

    Parameters
    ----------
    bounded : bool
        False grants everything, for measurements.
    """

    def __init__(self, bounded: bool = True) -> None:
        self._bounded = bounded
        self._tokens = BURST
        self.granted: Counter[Reason] = Counter()
        self.denied: Counter[Reason] = Counter()

    @property
    def tokens(self) -> float:
        """Tokens left."""
        return self._tokens

    @property
    def strain(self) -> float:
        """Return 0 while at least half of the burst is left, rising to 1 without tokens."""
        return max(0.0, 1 - self._tokens / (BURST / 2)) if self._bounded else 0.0

    def earn(self, subrequests: int) -> None:
        """Add the tokens for first sub-requests that were sent; hedges and retries earn none."""
        self._tokens = min(BURST, self._tokens + EARNED_PER_SUBREQUEST * subrequests)

    def take(self, reason: Reason) -> bool:
        """Spend one token if there is one, and count the decision under its reason."""
        if self._bounded and self._tokens < 1:
            self.denied[reason] += 1
            return False
        self._tokens = max(0.0, self._tokens - 1)
        self.granted[reason] += 1
        return True
