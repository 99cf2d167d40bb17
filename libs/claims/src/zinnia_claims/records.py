"""Records of claims in the platform and the results that they keep."""

import base64
from dataclasses import dataclass
from enum import Enum
from typing import Self

import xxhash
from pydantic import BaseModel, ConfigDict, field_serializer, field_validator

from zinnia_model.ids import AttemptId, IdempotencyKey, ServiceId, ShardId, SnapshotId
from zinnia_model.reasons import Outcome, Reason

CLAIM_KIND = "claims"
# With base64 a record stays below a tenth of the platform's limit of 1 MB for a value.
MAX_RECORDED_BODY_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The result of a non-repeatable request; ``body`` is the shard's answer.

    ``NOT_RUN`` speaks of the attempt that got this result: it never reached a backend server.
    """

    outcome: Outcome
    reason: Reason | None = None
    body: bytes = b""
    shard: ShardId = ShardId("")
    snapshot: SnapshotId = SnapshotId("")
    message: str = ""


class HolderState(Enum):
    """What a VM knows about an attempt of its own.

    ``NOT_RUN``: the attempt did not run and never will. ``FORGOTTEN``: the VM has no memory of the
    attempt, as after a restart, and cannot tell.
    """

    RUNNING = "running"
    SETTLED = "settled"
    NOT_RUN = "not_run"
    FORGOTTEN = "forgotten"


@dataclass(frozen=True, slots=True)
class HolderAnswer:
    """Answer of a holder to a peer; ``result`` is given if the attempt is settled."""

    state: HolderState
    result: CommandResult | None = None


class ClaimState(Enum):
    """``RELEASED`` means that the attempt did not run; another may take the record."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"


class ClaimRecord(BaseModel):
    """Object ``claims/<service>.<key hash>``; ``created_ms`` is wall clock time of the claim.

    ``truncated`` marks an answer that was too large to keep.
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
        """Read base64, the form of the body in JSON."""
        return base64.b64decode(value) if isinstance(value, str) else value

    @field_serializer("body", when_used="json")
    def encode_body(self, value: bytes) -> str:
        """Write base64."""
        return base64.b64encode(value).decode()

    def settle(self, result: CommandResult) -> Self:
        """Return the record with the result; only a run that surely did not happen releases it."""
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
        """Return the recorded result of a settled record.

        An answer that was too large to keep is reported as unknown, never as a partial answer.
        """
        if self.truncated:
            message = "the request ran; its answer exceeds 64 KB and is not kept, do not repeat it"
            return CommandResult(Outcome.UNKNOWN, self.reason, message=message)
        outcome = self.outcome or Outcome.UNKNOWN
        shard, snapshot = ShardId(self.shard), SnapshotId(self.snapshot)
        return CommandResult(outcome, self.reason, self.body, shard, snapshot, self.message)


def compute_claim_name(service: ServiceId, key: IdempotencyKey) -> str:
    """Return the name of the record of a key."""
    return f"{service}.{xxhash.xxh3_128(key.encode()).hexdigest()}"
