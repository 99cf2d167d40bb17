"""Interface for counting sends and their results."""

from abc import ABC, abstractmethod

from zinnia_sending.answers import AnswerFault, ExchangeResult
from zinnia_sending.attempts import SendReason


class SendCounters(ABC):
    """Counts sends and their results."""

    @abstractmethod
    def count_send(self, reason: SendReason) -> None:
        """Count an attempt that is started."""

    @abstractmethod
    def count_result(self, result: ExchangeResult, duration_s: float) -> None:
        """Count the result of an exchange and its duration in seconds."""

    @abstractmethod
    def count_fault(self, fault: AnswerFault) -> None:
        """Count an answer that was rejected because of its bytes."""
