"""Whether a VM may send to a replica."""

from enum import Enum


class Standing(Enum):
    """The right of this VM to send to one replica at one moment.

    ``WAITING`` means that this VM is the owner but work of the last owner may still be running.
    ``DEGRADED`` allows half the slots of a warm replica and nothing to a cold one.
    """

    OWNER = "owner"
    WAITING = "waiting"
    DEGRADED = "degraded"
    NOT_OWNER = "not_owner"
    NO_MAJORITY = "no_majority"
