"""Counters of sub-requests, hedges, retries and refusals."""

from abc import ABC, abstractmethod
from collections import Counter

from zinnia_model.reasons import Reason


class Counters(ABC):
    """Interface through which the executor counts its decisions."""

    @abstractmethod
    def count_refusal(self, reason: Reason) -> None:
        """Count a refused request or one without a known outcome."""

    @abstractmethod
    def count_retry(self, reason: Reason) -> None:
        """Count a sub-request that was sent again."""

    @abstractmethod
    def count_hedge(self, reason: Reason) -> None:
        """Count a hedge that was sent."""

    @abstractmethod
    def count_subrequest(self, count: int = 1) -> None:
        """Count sub-requests that were sent, hedges and retries included."""


class InMemoryCounters(Counters):
    """Counters kept in memory, by reason."""

    def __init__(self) -> None:
        self.refusals: Counter[Reason] = Counter()
        self.retries: Counter[Reason] = Counter()
        self.hedges: Counter[Reason] = Counter()
        self.subrequests = 0

    def count_refusal(self, reason: Reason) -> None:
        """Count a refused request or one without a known outcome."""
        self.refusals[reason] += 1

    def count_retry(self, reason: Reason) -> None:
        """Count a sub-request that was sent again."""
        self.retries[reason] += 1

    def count_hedge(self, reason: Reason) -> None:
        """Count a hedge that was sent."""
        self.hedges[reason] += 1

    def count_subrequest(self, count: int = 1) -> None:
        """Count sub-requests that were sent, hedges and retries included."""
        self.subrequests += count
