"""Ownership of replicas by VMs."""

from enum import Enum


class OwnershipState(Enum):
    """Whether this VM may send to a replica, and if not, why.

    ``WAITING`` means that this VM is the owner but work of the previous owner may still be running.
    ``DEGRADED`` allows half the slots of a warm replica and no sub-requests to a cold one.
    """

    OWNER = "owner"
    WAITING = "waiting"
    DEGRADED = "degraded"
    NOT_OWNER = "not_owner"
    NO_MAJORITY = "no_majority"
