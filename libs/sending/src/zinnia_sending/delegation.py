"""Delegation of some shards of a fan-out to other VMs, and the results that they report."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import trio

from zinnia_catalog.departures import Departure
from zinnia_catalog.ids import DataCentreId, ServiceName, VmName

if TYPE_CHECKING:
    from zinnia_sending.attempts import RunRequest, ShardProgress


class DelegationEnd(Enum):
    """Reason why another VM does not complete its delegated shards."""

    REFUSED = "refused"  # the other VM reports that it has sent nothing
    NOT_SENT = "not_sent"  # the delegation message was not written
    SILENT = "silent"  # the other VM did not reply in time; it may have sent requests
    LOST = "lost"  # the connection ended; the other VM may have sent requests

    @property
    def may_have_sent(self) -> bool:
        """Whether the other VM may have sent the request to replicas."""
        return self in (DelegationEnd.SILENT, DelegationEnd.LOST)


@dataclass(frozen=True, slots=True)
class ShardFailure:
    """A shard that another VM has no answer for, with the number of sends that it made.

    ``has_crashed`` and ``has_misdirected`` are as in ``ShardProgress``.
    """

    service: ServiceName
    sends: int
    has_crashed: bool = False
    has_misdirected: bool = False


@dataclass(frozen=True, slots=True)
class PartialResult:
    """Merged answers of some shards.

    ``signatures`` holds each shard that has answered, with the signature of its answer; ``records``
    holds the greatest records of these answers; ``failures`` lists the shards without an answer.
    ``departures`` lists replicas that have said that they leave.
    """

    signatures: tuple[tuple[ServiceName, bytes], ...]
    records: bytes
    failures: tuple[ShardFailure, ...] = ()
    departures: tuple[Departure, ...] = ()


@dataclass(frozen=True, slots=True)
class Assignment:
    """The shards of a request that are assigned to one other VM in ``data_centre``.

    The VM reports the answers that it has ``report_lead_s`` seconds before an incomplete answer is
    sealed.
    """

    vm: VmName
    services: tuple[ServiceName, ...]
    data_centre: DataCentreId
    report_lead_s: float


class DelegationListener(ABC):
    """Receives the results and the end of a delegation."""

    @abstractmethod
    def handle_result(self, delegation: Delegation, result: PartialResult) -> None:
        """Handle a partial result; more may follow for shards that have not answered yet."""

    @abstractmethod
    def permit_sends(
        self, delegation: Delegation, services: Sequence[ServiceName]
    ) -> list[ServiceName]:
        """Permit one more send for each of these shards; return those for which it is permitted."""

    @abstractmethod
    def handle_delegation_end(self, delegation: Delegation, end: DelegationEnd) -> None:
        """Handle the failure of a delegation; the other VM reports nothing more."""


@dataclass(slots=True, eq=False)
class Delegation:
    """An assignment that another VM is running; times are monotonic seconds.

    The other VM may send the request once for each shard, and asks before each further send. So the
    sends that this VM has permitted bound those that were made, however the delegation ends.

    ``written_at`` is when this VM wrote the message, which is later than the start of the
    delegation if this VM is busy. ``report_at`` is when the other VM reports the answers that it
    has. The other VM refuses the delegation if at least ``absent_shards_to_refuse`` of the shards
    have no usable replica. ``is_awaited`` is set if the VM is overdue, but its work can't be
    replaced.
    """

    assignment: Assignment
    request: RunRequest
    shards: dict[ServiceName, ShardProgress]
    report_at: float
    absent_shards_to_refuse: int
    listener: DelegationListener
    written_at: float
    is_accepted: bool = False
    has_reported: bool = False
    is_awaited: bool = False
    is_over: bool = False

    def record_write_time(self) -> None:
        """Record the time at which the message was written."""
        self.written_at = trio.current_time()

    def accept(self) -> None:
        """Record that the other VM has accepted."""
        self.is_accepted = True

    def permit_sends(self, services: Sequence[ServiceName]) -> list[ServiceName]:
        """Permit one more send for each of these shards; return those for which it is permitted."""
        return [] if self.is_over else self.listener.permit_sends(self, services)

    def handle_result(self, result: PartialResult) -> None:
        """Pass a partial result to the listener, unless the delegation is over."""
        if self.is_over:
            return
        self.is_accepted = self.has_reported = True
        self.listener.handle_result(self, result)

    def end(self, end: DelegationEnd) -> None:
        """Mark the delegation as over and notify the listener; later calls do nothing."""
        if self.is_over:
            return
        self.is_over = True
        self.listener.handle_delegation_end(self, end)


class Delegator(ABC):
    """Delegates shards of a request to other VMs."""

    @abstractmethod
    def assign(self, services: Sequence[ServiceName]) -> list[Assignment]:
        """Return the assignments to other VMs; this VM runs the remaining shards."""

    @abstractmethod
    def start(self, delegation: Delegation) -> None:
        """Send a delegation to the assigned VM."""

    @abstractmethod
    def finish(self, delegation: Delegation, is_answered: bool) -> None:
        """Notify the assigned VM that the request has ended, and whether it was answered."""

    @abstractmethod
    def record_silence(self, delegation: Delegation) -> None:
        """Use the assigned VM for no other request until it replies, as its reply is overdue."""
