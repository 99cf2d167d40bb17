"""Interface through which sends are counted."""

from abc import ABC, abstractmethod

from zinnia_sending.answers import ExchangeResult
from zinnia_sending.attempts import SendReason


class SendCounters(ABC):
    """Counts sends and their results."""

    @abstractmethod
    def count_send(self, reason: SendReason) -> None:
        """Count a request that is sent to a replica."""

    @abstractmethod
    def count_result(self, result: ExchangeResult, duration_s: float) -> None:
        """Count how an exchange ended, and how long it took in seconds."""
