"""Token bucket that limits hedges and retries."""

from collections import Counter

from zinnia_model.reasons import Reason

TOKENS_PER_SUBREQUEST = 0.048  # keeps the extra load, burst included, under 5%
BURST_TOKENS = 20.0


class RetryBudget:
    """Token bucket of one VM; each hedge or retry costs one token.

    Parameters
    ----------
    bounded : bool
        False grants every request for a token, for measurements.
    """

    def __init__(self, bounded: bool = True) -> None:
        self._bounded = bounded
        self._tokens = BURST_TOKENS
        self.granted: Counter[Reason] = Counter()
        self.denied: Counter[Reason] = Counter()

    @property
    def tokens(self) -> float:
        """Number of tokens left, with fractions."""
        return self._tokens

    @property
    def depletion(self) -> float:
        """Return how far the second half of the bucket is spent, 0 to 1.

        It is 0 while at least half of the tokens are left.
        """
        return max(0.0, 1 - self._tokens / (BURST_TOKENS / 2)) if self._bounded else 0.0

    def earn_tokens(self, subrequests: int) -> None:
        """Add the tokens that first sub-requests earn; hedges and retries earn none."""
        self._tokens = min(BURST_TOKENS, self._tokens + TOKENS_PER_SUBREQUEST * subrequests)

    def take_token(self, reason: Reason) -> bool:
        """Spend one token if one is left, count the decision by reason and return whether it is."""
        if self._bounded and self._tokens < 1:
            self.denied[reason] += 1
            return False
        self._tokens = max(0.0, self._tokens - 1)
        self.granted[reason] += 1
        return True
