"""Requests of callers and their answers."""

from dataclasses import dataclass

from zinnia_model.ids import (
    AttemptId,
    Fingerprint,
    IdempotencyKey,
    RequestId,
    RouteId,
    ServiceId,
    ShardId,
    SnapshotId,
)


@dataclass(frozen=True, slots=True)
class Query:
    """A validated request of a caller.

    ``deadline_at`` is on the runtime's clock, in seconds. ``shard`` limits the request to one
    shard, as commands do. ``attempt_id`` is set by the claim of a non-repeatable request.
    """

    request_id: RequestId
    service: ServiceId
    route: RouteId
    body: bytes
    deadline_at: float
    repeatable: bool
    fingerprint: Fingerprint
    idempotency_key: IdempotencyKey | None = None
    shard: ShardId | None = None
    attempt_id: AttemptId | None = None


@dataclass(frozen=True, slots=True)
class Coverage:
    """Shards of the pinned snapshot whose bodies are in the answer, and those that are missing."""

    answered: int
    asked: int
    missing: tuple[ShardId, ...] = ()


@dataclass(frozen=True, slots=True)
class Answer:
    """A final answer; ``results`` maps each answered shard to its body (JSON bytes)."""

    request_id: RequestId
    snapshot: SnapshotId
    coverage: Coverage
    results: dict[ShardId, bytes]
