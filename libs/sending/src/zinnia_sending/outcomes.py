"""How the run of a caller's request ended, and when."""

from dataclasses import dataclass
from enum import Enum

from zinnia_sending.answers import ReplicaAnswer
from zinnia_sending.shards import TraceStep


class RunVerdict(Enum):
    """How a run ended."""

    COMPLETE = "complete"
    PARTIAL = "partial"
    FAILED = "failed"
    EXPIRED = "expired"
    NO_REPLICA = "no_replica"
    REJECTED = "rejected"
    CRASHES_REPLICAS = "crashes_replicas"


@dataclass(slots=True)
class RunTiming:
    """Monotonic times of the first send and of the seal of a run, None if it did not happen."""

    sent_at: float | None = None
    sealed_at: float | None = None


@dataclass(frozen=True, slots=True)
class RunOutcome:
    """The answers of a run and how it ended.

    ``answers`` holds the answers of the shards, and ``missing`` counts the shards without one.
    ``failure`` is an error answer of a replica, passed on to the caller if there is no better one.
    ``may_have_run`` is set if the request may have run at a replica. ``retry_after_s`` is the time
    in seconds after which suspended replicas may be available again. ``planned_seal_at`` is the
    planned monotonic time of the seal, None if the answer was sealed for another reason.
    """

    verdict: RunVerdict
    answers: tuple[ReplicaAnswer, ...]
    missing: int
    failure: ReplicaAnswer | None
    may_have_run: bool
    retry_after_s: float
    trace: tuple[TraceStep, ...]
    planned_seal_at: float | None = None
