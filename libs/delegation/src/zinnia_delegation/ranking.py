"""Choice of the VMs of a data centre that run the parts of a fan-out."""

import zlib
from collections.abc import Collection, Iterable, Sequence
from math import log2

from zinnia_catalog.ids import DataCentreId, ServiceName, VmName
from zinnia_catalog.members import Member
from zinnia_sending.delegation import Assignment

# Delegating a part with fewer shards costs about as much as sending its subrequests.
MIN_PART_SHARDS = 30
MAX_PARTS = 3


def classify_speed(capacity: float) -> int:
    """Return the speed class of a VM by its capacity in cores; each class is twice as fast."""
    return round(log2(capacity)) if capacity > 0 else -99


def rank_members(members: Iterable[Member], part: int) -> list[Member]:
    """Return the VMs for one part, best first: by speed class, then in the same order on all VMs.

    A VM gets the same part of all requests, which keeps its connections to the replicas in use and
    gives it recent statistics of them.
    """

    def order(member: Member) -> tuple[int, int, str]:
        checksum = zlib.crc32(f"{member.vm}/{part}".encode())
        return -classify_speed(member.capacity), checksum, member.vm

    return sorted(members, key=order)


def find_runners(members: Iterable[Member]) -> set[VmName]:
    """Return the VMs of all data centres that run parts of fan-outs if every VM is available."""
    by_data_centre: dict[DataCentreId, list[Member]] = {}
    for member in members:
        by_data_centre.setdefault(member.data_centre, []).append(member)
    runners: set[VmName] = set()
    for local in by_data_centre.values():
        ranked = [rank_members(local, part) for part in range(MAX_PARTS)]
        runners.update(_choose_runners(ranked, {member.vm for member in local}, MAX_PARTS))
    return runners


def _choose_runners(
    ranked: Sequence[Sequence[Member]], usable: Collection[VmName], max_parts: int
) -> list[VmName]:
    """Return one VM per part; at most ``max_parts``, and no more than VMs of the fastest class."""
    available = [member for member in ranked[0] if member.vm in usable]
    if not available:
        return []
    best = classify_speed(available[0].capacity)
    fastest_count = sum(classify_speed(member.capacity) == best for member in available)
    chosen: list[VmName] = []
    for part in range(max(1, min(len(ranked), fastest_count, max_parts))):
        chosen.append(
            next(
                member.vm
                for member in ranked[part]
                if member.vm in usable and member.vm not in chosen
            )
        )
    return chosen


def split_shards(
    services: Sequence[ServiceName],
    ranked: Sequence[Sequence[Member]],
    usable: Collection[VmName],
    own: VmName,
    min_shards: int,
) -> list[Assignment]:
    """Return the shards that other VMs run; this VM runs the shards that are not listed.

    Parameters
    ----------
    services : Sequence[ServiceName]
        All shards of the request.
    ranked : Sequence[Sequence[Member]]
        The VMs of the data centre for each part, best first.
    usable : Collection[VmName]
        VMs that accept delegations now, and this VM.
    own : VmName
        This VM; its part is left out of the result.
    min_shards : int
        Minimum number of shards for which delegation is worth the latency of the extra hop.
    """
    if len(services) < min_shards or not ranked:
        return []
    chosen = _choose_runners(ranked, usable, len(services) // MIN_PART_SHARDS)
    parts = len(chosen)
    return [
        Assignment(vm, tuple(services[part::parts])) for part, vm in enumerate(chosen) if vm != own
    ]
