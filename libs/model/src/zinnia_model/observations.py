"""Observations of backend server behaviour, used to judge releases."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from zinnia_model.ids import Fingerprint, ReplicaId, RouteId, ServiceId, VersionId


class ObservedResult(Enum):
    """How a backend server handled one sub-request."""

    OK = "ok"
    FAULT = "fault"
    CRASH = "crash"


@dataclass(frozen=True, slots=True)
class Observation:
    """The result of one finished sub-request, as observed by the owner of the replica.

    ``cold`` and ``suspect`` mark observations that must not count against a version.
    ``batch_size`` is the number of sub-requests of the same batch, whose times are not independent.
    ``service_time_s`` is None where it includes the cost of a new connection. ``at_s`` is the
    monotonic time of the answer, None where it does not matter.
    """

    service: ServiceId
    route: RouteId
    version: VersionId
    replica: ReplicaId
    result: ObservedResult
    fingerprint: Fingerprint
    service_time_s: float | None
    cold: bool = False
    suspect: bool = False
    batch_size: int = 1
    at_s: float | None = None


class Observer(ABC):
    """Receives observations from the dispatcher."""

    @abstractmethod
    def observe(self, observation: Observation) -> None:
        """Process one observation; must not block."""
