"""Which VMs of a data centre run which part of a fan-out."""

import zlib
from collections.abc import Collection, Iterable, Sequence
from math import log2

from zinnia_catalog.ids import DataCentreId, ServiceName, VmName
from zinnia_catalog.members import Member
from zinnia_sending.delegation import Assignment

# A part with fewer shards costs about as much to delegate as to send.
MIN_PART_SHARDS = 30
MAX_PARTS = 3


def classify_speed(capacity: float) -> int:
    """Return the speed class of a processor; each class is twice as fast as the one below."""
    return round(log2(capacity)) if capacity > 0 else -99


def rank_members(members: Iterable[Member], part: int) -> list[Member]:
    """Return the VMs for one part, best first: fast ones first, in an order that all VMs share.

    The same VM gets the same part of all requests, which keeps its connections in use and lets it
    know the replicas of its shards well.
    """

    def order(member: Member) -> tuple[int, int, str]:
        mixed = zlib.crc32(f"{member.vm}/{part}".encode())
        return -classify_speed(member.capacity), mixed, member.vm

    return sorted(members, key=order)


def find_runners(members: Iterable[Member]) -> set[VmName]:
    """Return the VMs of all data centres that run parts of fan-outs while none is lost."""
    by_data_centre: dict[DataCentreId, list[Member]] = {}
    for member in members:
        by_data_centre.setdefault(member.data_centre, []).append(member)
    runners: set[VmName] = set()
    for local in by_data_centre.values():
        ranked = [rank_members(local, part) for part in range(MAX_PARTS)]
        runners.update(_choose_runners(ranked, {row.vm for row in local}, MAX_PARTS))
    return runners


def _choose_runners(
    ranked: Sequence[Sequence[Member]], usable: Collection[VmName], most: int
) -> list[VmName]:
    """Return the VM for each part; there are as many parts as VMs of the best class, if allowed."""
    able = [row for row in ranked[0] if row.vm in usable]
    if not able:
        return []
    best = classify_speed(able[0].capacity)
    fastest = sum(classify_speed(row.capacity) == best for row in able)
    chosen: list[VmName] = []
    for part in range(max(1, min(len(ranked), fastest, most))):
        chosen.append(
            next(row.vm for row in ranked[part] if row.vm in usable and row.vm not in chosen)
        )
    return chosen


def split_shards(
    services: Sequence[ServiceName],
    ranked: Sequence[Sequence[Member]],
    usable: Collection[VmName],
    own: VmName,
    min_shards: int,
) -> list[Assignment]:
    """Return what other VMs are to run.

    Parameters
    ----------
    services : Sequence[ServiceName]
        All shards of the request.
    ranked : Sequence[Sequence[Member]]
        For each part, the VMs of the data centre, best first.
    usable : Collection[VmName]
        VMs that take delegations now, and this VM.
    own : VmName
        This VM; its part is not named in the result.
    min_shards : int
        Least number of shards for which a hop is worth its time.
    """
    if len(services) < min_shards or not ranked:
        return []
    chosen = _choose_runners(ranked, usable, len(services) // MIN_PART_SHARDS)
    parts = len(chosen)
    return [
        Assignment(vm, tuple(services[part::parts])) for part, vm in enumerate(chosen) if vm != own
    ]
