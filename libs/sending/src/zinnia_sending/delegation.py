"""Parts of a request over many shards that other VMs send, and what they report."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import TYPE_CHECKING

import trio

from zinnia_catalog.ids import ServiceName, VmName

if TYPE_CHECKING:
    from zinnia_sending.attempts import RunRequest, ShardProgress


class DelegationEnd(Enum):
    """Why another VM does not run its shards to the end."""

    REFUSED = "refused"  # it says that it has sent nothing
    NOT_SENT = "not_sent"  # the request for it was not written
    SILENT = "silent"  # no word in time; it may have sent
    LOST = "lost"  # the connection ended; it may have sent

    @property
    def may_have_sent(self) -> bool:
        """Whether replicas may have got the request from the other VM."""
        return self in (DelegationEnd.SILENT, DelegationEnd.LOST)


@dataclass(frozen=True, slots=True)
class ShardFailure:
    """A shard without an answer, and how many sends another VM made for it."""

    service: ServiceName
    sends: int


@dataclass(frozen=True, slots=True)
class PartialResult:
    """Answers of some shards, merged.

    ``signatures`` names the shards that are in, each with the signature of its answer; ``records``
    holds the greatest records of all of them.
    """

    signatures: tuple[tuple[ServiceName, bytes], ...]
    records: bytes
    failures: tuple[ShardFailure, ...] = ()


@dataclass(frozen=True, slots=True)
class Assignment:
    """The shards of one request that one other VM is to run."""

    vm: VmName
    services: tuple[ServiceName, ...]


class DelegationListener(ABC):
    """Told how a delegation goes on."""

    @abstractmethod
    def take_result(self, delegation: Delegation, result: PartialResult) -> None:
        """Take answers; more may follow for the shards that are not in yet."""

    @abstractmethod
    def end_delegation(self, delegation: Delegation, end: DelegationEnd) -> None:
        """Note that nothing more comes from the other VM."""


@dataclass(slots=True, eq=False)
class Delegation:
    """One assignment on its way; times are monotonic seconds.

    ``written_at`` is when its message left this VM, which a busy VM does late. ``report_at`` is
    when the other VM is asked to report what is in, and ``hedge_at`` when it hedges. ``max_absent``
    is the number of shards without a replica from which on it is to refuse.
    """

    assignment: Assignment
    request: RunRequest
    shards: dict[ServiceName, ShardProgress]
    report_at: float
    max_absent: int
    listener: DelegationListener
    written_at: float
    hedge_at: float = inf
    is_accepted: bool = False
    has_reported: bool = False
    is_over: bool = False

    def note_written(self) -> None:
        """Note that the message has left this VM."""
        self.written_at = trio.current_time()

    def accept(self, hedge_in_s: float) -> None:
        """Note that the other VM has begun and when it will hedge."""
        self.is_accepted = True
        self.hedge_at = trio.current_time() + hedge_in_s

    def count_sends(self, end: DelegationEnd, now: float) -> int:
        """Return how many replicas of a shard may have got the request from the other VM."""
        if not end.may_have_sent:
            return 0
        return 2 if now >= self.hedge_at else 1

    def take(self, result: PartialResult) -> None:
        """Pass answers on, unless the delegation is over."""
        if self.is_over:
            return
        self.is_accepted = self.has_reported = True
        self.listener.take_result(self, result)

    def end(self, end: DelegationEnd) -> None:
        """Pass on that the other VM is out, once."""
        if self.is_over:
            return
        self.is_over = True
        self.listener.end_delegation(self, end)


class Delegator(ABC):
    """Has other VMs of the data centre run shards of a request."""

    @abstractmethod
    def assign(self, services: Sequence[ServiceName]) -> list[Assignment]:
        """Return which VMs run which shards; this VM runs the shards that are not named."""

    @abstractmethod
    def start(self, delegation: Delegation) -> None:
        """Send a delegation to its VM."""

    @abstractmethod
    def finish(self, delegation: Delegation, is_answered: bool) -> None:
        """Tell the VM that the request has ended, and whether it was answered."""

    @abstractmethod
    def note_silence(self, delegation: Delegation) -> None:
        """Note that the VM has not said anything in time."""
