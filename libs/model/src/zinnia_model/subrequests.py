"""Messages of the path from the planner to the owner of a replica."""

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
    """One attempt to get one shard's part of an answer from one replica."""

    attempt_id: AttemptId
    shard: ShardId
    replica: ReplicaId


@dataclass(frozen=True, slots=True)
class Batch:
    """All sub-requests of one request that go to replicas of the same owner.

    ``deadline_s`` is the time left in seconds when the batch is handed over.
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
    """The settled result of one attempt.

    ``service_time_s`` is the time on the backend server connection, ``queue_length`` and ``limit``
    are the owner's view of the replica when the result was settled.
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
    """Takes batches and delivers exactly one result for each attempt.

    Implemented by the dispatcher of the owner, by links to peers and by fakes in tests.
    """

    @abstractmethod
    def submit(self, batch: Batch, deliver: Callable[[SubResult], None]) -> None:
        """Start the sub-requests; ``deliver`` is called once for each, on the same thread."""

    @abstractmethod
    def cancel(self, attempt_ids: Iterable[AttemptId]) -> None:
        """Give up the named attempts; a result may still be delivered for each."""


@dataclass(frozen=True, slots=True)
class ReplicaView:
    """What a planner knows about a replica, as last told by its owner."""

    replica: ReplicaId
    cold: bool = False
    draining: bool = False
    queue_length: int = 0
    in_flight: int = 0
    limit: int = 1
    start_id: StartId = StartId("")
    version: VersionId = VersionId("")
