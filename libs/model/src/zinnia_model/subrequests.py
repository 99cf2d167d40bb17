"""Sub-requests from the planner to the owners of replicas, and their results."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from zinnia_model.ids import (
    AttemptId,
    Fingerprint,
    IdempotencyKey,
    ReplicaId,
    RequestId,
    RouteId,
    ServiceId,
    ShardId,
    SnapshotId,
    StartId,
    VersionId,
)
from zinnia_model.reasons import Outcome, Reason


@dataclass(frozen=True, slots=True)
class SubRequest:
    """One attempt to get the result of one shard from one replica."""

    attempt_id: AttemptId
    shard: ShardId
    replica: ReplicaId


@dataclass(frozen=True, slots=True)
class Batch:
    """All sub-requests of one request that go to replicas of the same owner.

    ``deadline_s`` is the remaining time in seconds when the batch is submitted.
    """

    request_id: RequestId
    service: ServiceId
    route: RouteId
    snapshot: SnapshotId
    body: bytes
    deadline_s: float
    repeatable: bool
    fingerprint: Fingerprint
    items: tuple[SubRequest, ...]
    idempotency_key: IdempotencyKey | None = None


@dataclass(frozen=True, slots=True)
class SubResult:
    """The final result of one attempt.

    ``service_time_s`` is the time on the backend server connection; ``queue_length`` and ``limit``
    are those of the replica at its owner when the result became final.
    """

    attempt_id: AttemptId
    outcome: Outcome
    shard: ShardId
    replica: ReplicaId
    reason: Reason | None = None
    body: bytes = b""
    snapshot: SnapshotId = SnapshotId("")
    start_id: StartId = StartId("")
    version: VersionId = VersionId("")
    service_time_s: float = 0.0
    queue_length: int = 0
    limit: int = 0
    cold: bool = False


class BatchSender(ABC):
    """Accepts batches and delivers exactly one result for each attempt.

    Implemented by the dispatcher of the owner, by links to peers and by fakes in tests.
    """

    @abstractmethod
    def submit(self, batch: Batch, deliver: Callable[[SubResult], None]) -> None:
        """Start the sub-requests; ``deliver`` is called once for each, on the same thread."""

    @abstractmethod
    def cancel(self, attempt_ids: Iterable[AttemptId]) -> None:
        """Cancel the given attempts; a result may still be delivered for each."""


@dataclass(frozen=True, slots=True)
class ReplicaView:
    """State of a replica as its owner last reported it to a planner."""

    replica: ReplicaId
    cold: bool = False
    draining: bool = False
    queue_length: int = 0
    in_flight: int = 0
    limit: int = 1
    start_id: StartId = StartId("")
    version: VersionId = VersionId("")
