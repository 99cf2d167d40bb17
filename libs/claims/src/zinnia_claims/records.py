"""Claim records in the platform's object store and the results that they hold."""

import base64
from dataclasses import dataclass
from enum import Enum
from typing import Self

import xxhash
from pydantic import BaseModel, ConfigDict, field_serializer, field_validator

from zinnia_model.ids import AttemptId, IdempotencyKey, ServiceId, ShardId, SnapshotId
from zinnia_model.reasons import Outcome, Reason

CLAIM_KIND = "claims"
# In base64, a record stays below a tenth of the platform's limit of 1 MB per value.
MAX_RECORDED_BODY_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class CommandResult:
    """Result of a non-repeatable request; ``body`` is the shard's answer.

    ``NOT_RUN`` refers to the attempt with this result, which never reached a backend server.
    """

    outcome: Outcome
    reason: Reason | None = None
    body: bytes = b""
    shard: ShardId = ShardId("")
    snapshot: SnapshotId = SnapshotId("")
    message: str = ""


class HolderState(Enum):
    """State of an attempt as known to the VM that made it.

    ``NOT_RUN``: the attempt did not run and never will. ``FORGOTTEN``: the VM does not know the
    attempt, for example after a restart, so it may have run.
    """

    RUNNING = "running"
    SETTLED = "settled"
    NOT_RUN = "not_run"
    FORGOTTEN = "forgotten"


@dataclass(frozen=True, slots=True)
class HolderAnswer:
    """Answer of a claim's holder to a peer; ``result`` is set if the attempt is settled."""

    state: HolderState
    result: CommandResult | None = None


class ClaimState(Enum):
    """State of a claim record.

    ``RELEASED``: the attempt did not run, and another one may claim the key.
    """

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"


class ClaimRecord(BaseModel):
    """Value of the object ``claims/<service>.<key hash>``.

    ``created_ms`` is the wall clock time of the claim in milliseconds since the epoch.
    ``truncated`` marks a body that was too large to store.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    attempt_id: AttemptId
    holder: str
    state: ClaimState
    fingerprint: str
    created_ms: int
    outcome: Outcome | None = None
    reason: Reason | None = None
    body: bytes = b""
    shard: str = ""
    snapshot: str = ""
    message: str = ""
    truncated: bool = False

    @field_validator("body", mode="before")
    @classmethod
    def decode_body(cls, value: bytes | str) -> bytes:
        """Return the body as bytes; in JSON it is base64 text."""
        return base64.b64decode(value) if isinstance(value, str) else value

    @field_serializer("body", when_used="json")
    def encode_body(self, value: bytes) -> str:
        """Return the body as base64 text for JSON."""
        return base64.b64encode(value).decode()

    def settle(self, result: CommandResult) -> Self:
        """Return the record with the result; only a NOT_RUN outcome releases the claim."""
        too_large = len(result.body) > MAX_RECORDED_BODY_BYTES
        released = result.outcome is Outcome.NOT_RUN
        return self.model_copy(
            update={
                "state": ClaimState.RELEASED if released else ClaimState.DONE,
                "outcome": result.outcome,
                "reason": result.reason,
                "body": b"" if too_large else result.body,
                "shard": result.shard,
                "snapshot": result.snapshot,
                "message": result.message,
                "truncated": too_large,
            }
        )

    def to_result(self) -> CommandResult:
        """Return the result in a settled record.

        If the answer was too large to store, the outcome is UNKNOWN, never a partial answer.
        """
        if self.truncated:
            message = "the request ran; its answer exceeds 64 KB and is not kept, do not repeat it"
            return CommandResult(Outcome.UNKNOWN, self.reason, message=message)
        outcome = self.outcome or Outcome.UNKNOWN
        shard, snapshot = ShardId(self.shard), SnapshotId(self.snapshot)
        return CommandResult(outcome, self.reason, self.body, shard, snapshot, self.message)


def compute_claim_name(service: ServiceId, key: IdempotencyKey) -> str:
    """Return the name of the claim record of an idempotency key."""
    return f"{service}.{xxhash.xxh3_128(key.encode()).hexdigest()}"
