"""Registered VMs of the tier, and the choice of those that watch the store for the others."""

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from zinnia_catalog.ids import DataCentreId, VmName

# A watcher is a VM that watches the store; the other VMs follow a watcher. A data centre with at
# least this many VMs has its own watcher, which saves traffic between data centres; VMs of smaller
# data centres share watchers.
MIN_VMS_FOR_LOCAL_WATCHER = 4
LOCAL_WATCHER_COUNT = 1
SHARED_WATCHER_COUNT = 2
# Deputies are the VMs ranked next after the watchers. Followers try them when the watchers fail,
# and deputies turn to the store before the other followers do.
DEPUTY_COUNT = 3
# Registrations with values beyond these are not valid.
MAX_PORT = 65535
MAX_CAPACITY = 10_000.0


@dataclass(frozen=True, slots=True)
class Member:
    """One registered VM; ``peer_address`` is ``host:port``, ``capacity`` is in CPU cores."""

    vm: VmName
    peer_address: str
    data_centre: DataCentreId
    capacity: float = 1.0

    def write(self) -> dict[str, str | float]:
        """Return the registration as a document for the store."""
        return {
            "peer_address": self.peer_address,
            "data_centre": self.data_centre,
            "capacity": self.capacity,
        }


def read_member(name: str, document: Any) -> Member | None:
    """Return the VM of a registration document, None if the document is not valid."""
    if not isinstance(document, dict):
        return None
    address = document.get("peer_address")
    data_centre = document.get("data_centre", "")
    if not isinstance(address, str) or not isinstance(data_centre, str):
        return None
    port = address.rpartition(":")[2]
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        return None
    capacity = document.get("capacity", 1.0)
    if isinstance(capacity, bool) or not isinstance(capacity, int | float):
        return None
    if not 0 < capacity <= MAX_CAPACITY:
        return None
    return Member(VmName(name), address, DataCentreId(data_centre), float(capacity))


def rank_names(names: Iterable[str]) -> list[str]:
    """Return names ordered by their checksums, which gives the same mixed order on every VM."""
    return sorted(names, key=lambda name: (zlib.crc32(name.encode()), name))


def find_watchers(members: Mapping[str, Member], own: Member) -> tuple[list[Member], int]:
    """Return the VMs that the VM ``own`` may follow, best first, and how many of them are watchers.

    The remaining VMs are deputies. The list is empty if ``own`` is itself a watcher.
    """
    known = {**members, own.vm: own}
    local = {vm for vm, member in known.items() if member.data_centre == own.data_centre}
    has_local_watcher = len(local) >= MIN_VMS_FOR_LOCAL_WATCHER
    ranked = rank_names(local if has_local_watcher else known)
    count = LOCAL_WATCHER_COUNT if has_local_watcher else SHARED_WATCHER_COUNT
    candidates = ranked[: ranked.index(own.vm)][: count + DEPUTY_COUNT]
    if len(candidates) < count:
        return [], 0
    return [known[vm] for vm in candidates], count


def find_all_watchers(members: Mapping[str, Member]) -> list[Member]:
    """Return the watchers among all VMs."""
    return [member for member in members.values() if not find_watchers(members, member)[0]]
