"""VMs of the tier as they register themselves, and the order in which they take up duties."""

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from zinnia_catalog.ids import DataCentreId, VmName

# A data centre with at least this many VMs has a watcher of its own, which saves bytes between data
# centres; VMs of smaller ones share watchers.
LOCAL_VMS = 4
LOCAL_WATCHERS = 1
SHARED_WATCHERS = 2
# VMs after the watchers in rank that the others try next; they ask the store before the rest do.
DEPUTIES = 3


@dataclass(frozen=True, slots=True)
class Member:
    """One registered VM; ``peer_address`` is ``host:port``, ``capacity`` is in cores."""

    vm: VmName
    peer_address: str
    data_centre: DataCentreId
    capacity: float = 1.0

    def write(self) -> dict[str, str | float]:
        """Return the document of the registration."""
        return {
            "peer_address": self.peer_address,
            "data_centre": self.data_centre,
            "capacity": self.capacity,
        }


def read_member(name: str, document: Any) -> Member | None:
    """Return the VM that a registration names, None if it is not readable."""
    if not isinstance(document, dict):
        return None
    address = document.get("peer_address")
    data_centre = document.get("data_centre", "")
    if not isinstance(address, str) or not isinstance(data_centre, str):
        return None
    if not address.rpartition(":")[2].isdigit():
        return None
    capacity = document.get("capacity", 1.0)
    if isinstance(capacity, bool) or not isinstance(capacity, int | float):
        return None
    return Member(VmName(name), address, DataCentreId(data_centre), float(capacity))


def rank_names(names: Iterable[str]) -> list[str]:
    """Return names in an order that is the same on every VM and unrelated to the names."""
    return sorted(names, key=lambda name: (zlib.crc32(name.encode()), name))


def find_watchers(members: Mapping[str, Member], own: Member) -> tuple[list[Member], int]:
    """Return the VMs that one VM may follow, best first, and how many of them are watchers.

    The list is empty if the VM itself is to watch the store.
    """
    known = {**members, own.vm: own}
    local = {vm for vm, row in known.items() if row.data_centre == own.data_centre}
    is_local = len(local) >= LOCAL_VMS
    ranked = rank_names(local if is_local else known)
    count = LOCAL_WATCHERS if is_local else SHARED_WATCHERS
    before = ranked[: ranked.index(own.vm)][: count + DEPUTIES]
    if len(before) < count:
        return [], 0
    return [known[vm] for vm in before], count


def find_all_watchers(members: Mapping[str, Member]) -> list[Member]:
    """Return all VMs that are to watch the store."""
    return [row for row in members.values() if not find_watchers(members, row)[0]]
