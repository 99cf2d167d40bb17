"""Outcomes of requests and the reasons for refusals and retries."""

from enum import Enum


class Outcome(Enum):
    """Whether a backend server ran a request, as far as this tier knows."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(Enum):
    """Why a request was refused, or a sub-request failed, was retried or was hedged.

    The value is the label of the counter, the log field and the ``reason`` in a refusal.
    """

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUTE = "unknown_route"
    NO_CONFIGURATION = "no_configuration"
    NO_MAJORITY = "no_majority"
    SHUTTING_DOWN = "shutting_down"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    NO_REPLICA = "no_replica"
    NOT_OWNER = "not_owner"
    OWNER_WAITING = "owner_waiting"
    OWNER_UNREACHABLE = "owner_unreachable"
    PEER_LOST = "peer_lost"
    QUEUE_FULL = "queue_full"
    COLD = "cold"
    DRAINING = "draining"
    DATA_CENTRE_OUT = "data_centre_out"
    VERSION_OUT = "version_out"
    SNAPSHOT_GONE = "snapshot_gone"
    BACKEND_OVERLOADED = "backend_overloaded"
    BACKEND_FAULT = "backend_fault"
    BACKEND_CRASHED = "backend_crashed"
    BACKEND_MISMATCH = "backend_mismatch"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_LOST = "connection_lost"
    CONNECTION_SILENT = "connection_silent"
    CANCELLED = "cancelled"
    STRAGGLER = "straggler"
    RETRY_BUDGET_EMPTY = "retry_budget_empty"
    CRASHES_BACKENDS = "crashes_backends"
    CRASH_SUSPECT = "crash_suspect"
    KEY_MISSING = "key_missing"
    KEY_REUSE = "key_reuse"
    IN_PROGRESS = "in_progress"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    HOLDER_LOST = "holder_lost"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    PLATFORM_BUDGET = "platform_budget"
    CONFLICT = "conflict"
    INTERNAL = "internal"
