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
# Covers the way of a report within a data centre, and a few milliseconds of a busy processor.
LOCAL_REPORT_LEAD_S = 0.004


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


def group_members(members: Iterable[Member]) -> dict[DataCentreId, list[Member]]:
    """Return the VMs of each data centre."""
    by_data_centre: dict[DataCentreId, list[Member]] = {}
    for member in members:
        by_data_centre.setdefault(member.data_centre, []).append(member)
    return by_data_centre


def find_runners(members: Iterable[Member]) -> set[VmName]:
    """Return the VMs of all data centres that run parts of fan-outs if every VM is available."""
    runners: set[VmName] = set()
    for local in group_members(members).values():
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


def rank_runners(members: Iterable[Member], first_part: int) -> list[Member]:
    """Return the VMs of a data centre for a group of shards that is not split, best first.

    The VMs that run the parts of split fan-outs come first, beginning with that of ``first_part``.
    """
    known = {member.vm: member for member in members}
    ranked = [rank_members(known.values(), part) for part in range(MAX_PARTS)]
    runners = _choose_runners(ranked, known, MAX_PARTS)
    first = first_part % max(1, len(runners))
    rotated = [known[vm] for vm in runners[first:] + runners[:first]]
    return rotated + [member for member in ranked[first] if member.vm not in runners]


def split_shards(
    services: Sequence[ServiceName],
    ranked: Sequence[Sequence[Member]],
    usable: Collection[VmName],
    own: Member,
) -> list[Assignment]:
    """Return the shards that other VMs run; this VM runs the shards that are not listed.

    Parameters
    ----------
    services : Sequence[ServiceName]
        Shards with replicas in this data centre.
    ranked : Sequence[Sequence[Member]]
        The VMs of the data centre for each part, best first.
    usable : Collection[VmName]
        VMs that accept delegations now, and this VM.
    own : Member
        This VM; its part is left out of the result.
    """
    if not services or not ranked:
        return []
    chosen = _choose_runners(ranked, usable, len(services) // MIN_PART_SHARDS)
    parts = len(chosen)
    return [
        Assignment(vm, tuple(services[part::parts]), own.data_centre, LOCAL_REPORT_LEAD_S)
        for part, vm in enumerate(chosen)
        if vm != own.vm
    ]
