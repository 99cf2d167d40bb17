"""Why a request was refused or failed."""

from enum import Enum


class RefusalReason(Enum):
    """Reasons of replies that are the tier's own; each is a metric label and a log field."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    NO_REPLICA = "no_replica"
    REJECTED_BY_REPLICAS = "rejected_by_replicas"
    SHARDS_MISSING = "shards_missing"
    REPLICA_FAILED = "replica_failed"
    EXPIRED = "expired"
    EXPIRED_UNSENT = "expired_unsent"
    BAD_DEADLINE = "bad_deadline"


class Phase(Enum):
    """Phases of a request: until the first send, until it is sealed, until its reply."""

    QUEUE = "queue"
    SEND = "send"
    MERGE = "merge"


class SubqueryOutcome(Enum):
    """How the shards that this VM ran for another one ended."""

    COMPLETE = "complete"
    PARTIAL = "partial"
    ENDED = "ended"  # the request was answered before all shards were in
    CANCELLED = "cancelled"  # the request was given up, or the other VM is gone


class RequestOutcome(Enum):
    """How a request ended, from its caller's view."""

    COMPLETE = "complete"
    PARTIAL = "partial"
    REPLICA_FAILURE = "replica_failure"
    REFUSED = "refused"
    CALLER_LEFT = "caller_left"
