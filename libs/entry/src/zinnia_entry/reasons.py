"""Outcomes, phases and refusal reasons of requests."""

from enum import Enum


class RefusalReason(Enum):
    """Why this tier itself rejected a request; the values are metric labels and log fields."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    NO_REPLICA = "no_replica"
    REJECTED_BY_REPLICAS = "rejected_by_replicas"
    SHARDS_MISSING = "shards_missing"
    REPLICA_FAILED = "replica_failed"
    EXPIRED = "expired"
    EXPIRED_UNSENT = "expired_unsent"
    BAD_DEADLINE = "bad_deadline"
    STOPPING = "stopping"
    CRASHES_REPLICAS = "crashes_replicas"


class Phase(Enum):
    """Phases of a request: until its first send, until its answer is sealed, until its reply."""

    QUEUE = "queue"
    SEND = "send"
    MERGE = "merge"


class SubqueryOutcome(Enum):
    """How a subquery ended, which is a part of a fan-out that this VM ran for another VM."""

    COMPLETE = "complete"
    PARTIAL = "partial"
    ENDED = "ended"  # the other VM answered the request before all shards had answered
    CANCELLED = "cancelled"  # the other VM abandoned the request or disconnected


class RequestOutcome(Enum):
    """How a request ended for its caller."""

    COMPLETE = "complete"
    PARTIAL = "partial"
    REPLICA_FAILURE = "replica_failure"
    REFUSED = "refused"
    CALLER_LEFT = "caller_left"
