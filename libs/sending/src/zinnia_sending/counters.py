"""Interface for counting sends and their results."""

from abc import ABC, abstractmethod

from zinnia_sending.answers import AnswerFault, ExchangeResult, ReplicaNotice
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

    @abstractmethod
    def count_crash(self) -> None:
        """Count a crash of a replica by a request that has crashed others before."""

    @abstractmethod
    def count_notice(self, notice: ReplicaNotice) -> None:
        """Count an answer in which a replica says that it leaves or wants no requests."""


class NullCounters(SendCounters):
    """Counts nothing."""

    def count_send(self, reason: SendReason) -> None:
        """Ignore the attempt."""

    def count_result(self, result: ExchangeResult, duration_s: float) -> None:
        """Ignore the result."""

    def count_fault(self, fault: AnswerFault) -> None:
        """Ignore the answer."""

    def count_notice(self, notice: ReplicaNotice) -> None:
        """Ignore the answer."""

    def count_crash(self) -> None:
        """Ignore the crash."""
