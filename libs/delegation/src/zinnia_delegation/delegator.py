"""Assigns parts of fan-outs to other VMs, and keeps connections to these VMs."""

import zlib
from collections.abc import Callable, Mapping, Sequence

import trio

from zinnia_catalog.ids import DataCentreId, ServiceName, VmName
from zinnia_catalog.members import Member
from zinnia_delegation.links import PeerLink
from zinnia_delegation.placement import (
    DataCentreChooser,
    find_remaining_shards,
    group_remote_shards,
)
from zinnia_delegation.ranking import (
    LOCAL_REPORT_LEAD_S,
    MAX_PARTS,
    MIN_PART_SHARDS,
    group_members,
    rank_members,
    rank_runners,
    split_shards,
)
from zinnia_sending.delegation import Assignment, Delegation, DelegationEnd, Delegator
from zinnia_sending.events import EventSink

REFRESH_INTERVAL_S = 1.0
# Connections kept for each part: one to the VM that runs it, and one spare.
LINKS_PER_PART = 2
# As ``LOCAL_REPORT_LEAD_S``; the start message and the report also cross between data centres.
REMOTE_REPORT_LEAD_S = 0.008
# Connections to another data centre are kept this long after its last group of shards.
REMOTE_LINK_IDLE_S = 60.0


class PeerDelegator(Delegator):
    """Delegates parts of fan-outs to the fastest VMs of the data centres of the replicas.

    Shards with a replica in this data centre go to VMs of this data centre. The others go to one VM
    of each data centre that has their replicas, so that one merged result crosses the link between
    the data centres instead of an answer for each shard.

    Parameters
    ----------
    own : Member
        This VM.
    get_members : Callable[[], Mapping[str, Member]]
        Returns all registered VMs.
    choose_data_centre : Callable[[ServiceName], DataCentreId | None]
        Returns the data centre whose replicas should answer a shard, None if it has no replica.
    events : EventSink
        Receives log events of connections that open and close.
    min_shards : int
        Minimum number of shards for which a fan-out is split.
    """

    def __init__(
        self,
        own: Member,
        get_members: Callable[[], Mapping[str, Member]],
        choose_data_centre: DataCentreChooser,
        events: EventSink,
        min_shards: int,
    ) -> None:
        self._min_shards = min_shards
        self._own = own
        self._get_members = get_members
        self._choose_data_centre = choose_data_centre
        self._events = events
        self._links: dict[VmName, PeerLink] = {}
        self._ranked: list[list[Member]] = []
        self._runners: dict[DataCentreId, list[Member]] = {}
        self._members: dict[VmName, Member] = {}
        self._remote_used_at: dict[DataCentreId, float] = {}
        # VMs differ in the part that they use for small groups, which spreads the groups over the
        # VMs that run parts.
        self._preferred_part = zlib.crc32(own.vm.encode()) % MAX_PARTS

    async def run(self) -> None:
        """Keep rankings and connections up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._refresh(nursery)
                await trio.sleep(REFRESH_INTERVAL_S)

    def assign(self, services: Sequence[ServiceName]) -> list[Assignment]:
        """Return which other VMs run which shards."""
        if len(services) < self._min_shards:
            return []
        own_data_centre = self._own.data_centre
        groups = group_remote_shards(services, self._choose_data_centre, own_data_centre)
        remote = []
        for data_centre, group in groups.items():
            self._remote_used_at[data_centre] = trio.current_time()
            remote += self._assign_group(group, data_centre, REMOTE_REPORT_LEAD_S)
        delegated = {assignment.data_centre: assignment.services for assignment in remote}
        return [*self._assign_local(find_remaining_shards(services, delegated)), *remote]

    def _assign_local(self, services: Sequence[ServiceName]) -> list[Assignment]:
        """Assign shards to VMs of this data centre; this VM runs those that are left out."""
        if len(services) < 2 * MIN_PART_SHARDS:
            return self._assign_group(services, self._own.data_centre, LOCAL_REPORT_LEAD_S)
        return split_shards(services, self._ranked, self._find_usable(), self._own)

    def _assign_group(
        self, services: Sequence[ServiceName], data_centre: DataCentreId, report_lead_s: float
    ) -> list[Assignment]:
        """Assign shards to one VM of a data centre; empty if that is this VM or none is usable."""
        usable = self._find_usable()
        runners = self._runners.get(data_centre, ())
        vm = next((member.vm for member in runners if member.vm in usable), self._own.vm)
        if vm == self._own.vm or not services:
            return []
        return [Assignment(vm, tuple(services), data_centre, report_lead_s)]

    def _find_usable(self) -> set[VmName]:
        """Return the VMs that accept delegations now, and this VM."""
        usable = {vm for vm, link in self._links.items() if link.is_usable}
        usable.add(self._own.vm)
        return usable

    def start(self, delegation: Delegation) -> None:
        """Send a delegation to its VM; end it as not sent if there is no link to that VM."""
        link = self._links.get(delegation.assignment.vm)
        if link is None:
            delegation.end(DelegationEnd.NOT_SENT)
            return
        link.start(delegation)

    def finish(self, delegation: Delegation, is_answered: bool) -> None:
        """Tell the VM that the request has ended, and whether it was answered."""
        link = self._links.get(delegation.assignment.vm)
        if link is not None:
            link.finish(delegation, is_answered)

    def record_silence(self, delegation: Delegation) -> None:
        """Don't use the VM of a delegation until it sends a reply."""
        link = self._links.get(delegation.assignment.vm)
        if link is not None:
            link.record_silence()

    def _refresh(self, nursery: trio.Nursery) -> None:
        """Rank the VMs, open links to those that are needed, and close idle links to the others."""
        members = {**self._get_members(), self._own.vm: self._own}
        if members != self._members:
            self._rank(members)
        needed = self._find_needed_peers()
        for vm, link in list(self._links.items()):
            if vm not in needed and not link.is_busy:
                link.close()
                del self._links[vm]
        for vm, member in needed.items():
            if vm not in self._links:
                self._links[vm] = link = PeerLink(self._own, member, self._events)
                nursery.start_soon(link.run)

    def _rank(self, members: dict[VmName, Member]) -> None:
        """Order the VMs of each data centre; all VMs compute the same orders."""
        self._members = members
        by_data_centre = group_members(members.values())
        local = by_data_centre[self._own.data_centre]
        self._ranked = [rank_members(local, part) for part in range(MAX_PARTS)]
        self._runners = {
            data_centre: rank_runners(vms, self._preferred_part)
            for data_centre, vms in by_data_centre.items()
        }

    def _find_needed_peers(self) -> dict[VmName, Member]:
        """Return the VMs to connect to.

        A link that is failing is kept for retries but doesn't count, so the next VM is added too.
        """
        in_use_since = trio.current_time() - REMOTE_LINK_IDLE_S
        remote = [
            self._runners.get(data_centre, [])
            for data_centre, used_at in self._remote_used_at.items()
            if used_at > in_use_since
        ]
        needed: dict[VmName, Member] = {}
        for ranked in (*self._ranked, *remote):
            working = 0
            for member in ranked:
                if working >= LINKS_PER_PART:
                    break
                if member.vm == self._own.vm:
                    continue
                needed[member.vm] = member
                link = self._links.get(member.vm)
                working += link is None or not link.is_failing
        return needed
