"""What a VM goes by after the store was restored from an older copy.

The copy lacks the latest writes, until operators and replicas have written theirs again. Where it
contradicts what was known before, a VM holds on to what it knew for a limited time.
"""

from dataclasses import dataclass
from math import inf

from zinnia_catalog.objects import ObjectKind, StoredObject

# Running replicas write entries that the store lacks again within this time after its return.
REANNOUNCE_TIMEOUT_S = 2.0
# Operators write theirs again within this time.
OPERATOR_REWRITE_S = 5.0
# The store removes the entry of a replica that misses this many heartbeats.
MISSED_HEARTBEATS = 3
LAPSE_MARGIN_S = 1.0
DEFAULT_HEARTBEAT_S = 1.2


def find_min_outage(heartbeat_s: float = DEFAULT_HEARTBEAT_S) -> float:
    """Return the shortest outage of the store, in seconds, in which an entry may lapse.

    The entry was written up to one heartbeat interval before the outage.
    """
    return (MISSED_HEARTBEATS - 1) * heartbeat_s


@dataclass(frozen=True, slots=True)
class HoldTimes:
    """Longest time, in seconds, for which a VM goes by what it knew instead of the copy.

    ``missing_s`` is for objects that the copy lacks, ``present_s`` for objects that it has in an
    earlier state, or that had been removed.
    """

    missing_s: float
    present_s: float


def find_hold_times(kind: ObjectKind, heartbeat_s: float = DEFAULT_HEARTBEAT_S) -> HoldTimes:
    """Return the hold times of a kind; replicas renew their entries every ``heartbeat_s``."""
    if kind is ObjectKind.CONFIGURATION:
        return HoldTimes(inf, inf)
    if kind is ObjectKind.REPLICAS:
        lapse_s = MISSED_HEARTBEATS * heartbeat_s + LAPSE_MARGIN_S
        return HoldTimes(REANNOUNCE_TIMEOUT_S, lapse_s)
    if kind is ObjectKind.MEMBERS:
        return HoldTimes(inf, OPERATOR_REWRITE_S)
    return HoldTimes(OPERATOR_REWRITE_S, OPERATOR_REWRITE_S)


@dataclass(frozen=True, slots=True)
class Hold:
    """An object for which a VM does not go by the store.

    ``listed`` is its state in the store, None if the store lacks it. The VM goes by it from
    ``until`` on, in monotonic seconds, unless the object is written before.
    """

    listed: StoredObject | None
    until: float


@dataclass(frozen=True, slots=True)
class PeerHold:
    """A hold of another VM: the object's name, its known and its listed state, and what is left.

    ``known`` is None if the VM goes by the removal of the object. ``left_s`` is in seconds.
    """

    name: str
    known: StoredObject | None
    listed: StoredObject | None
    left_s: float
