"""Chooses VMs that run parts of fan-outs, and keeps connections to them."""

from collections.abc import Callable, Mapping, Sequence

import trio

from zinnia_catalog.ids import ServiceName, VmName
from zinnia_catalog.members import Member
from zinnia_delegation.links import PeerLink
from zinnia_delegation.ranking import MAX_PARTS, rank_members, split_shards
from zinnia_sending.delegation import Assignment, Delegation, DelegationEnd, Delegator
from zinnia_sending.events import EventSink

REFRESH_INTERVAL_S = 1.0
# Connections kept for each part: one to the VM that runs it, and one in reserve.
LINKS_PER_PART = 2


class PeerDelegator(Delegator):
    """Has the fastest VMs of this data centre run the parts of a fan-out.

    Parameters
    ----------
    own : Member
        This VM.
    get_members : Callable[[], Mapping[str, Member]]
        All registered VMs.
    events : EventSink
        Told of connections that are made and lost.
    min_shards : int
        Least number of shards for which a fan-out is split.
    """

    def __init__(
        self,
        own: Member,
        get_members: Callable[[], Mapping[str, Member]],
        events: EventSink,
        min_shards: int,
    ) -> None:
        self._min_shards = min_shards
        self._own = own
        self._get_members = get_members
        self._events = events
        self._links: dict[VmName, PeerLink] = {}
        self._ranked: list[list[Member]] = []

    async def run(self) -> None:
        """Keep connections until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._refresh(nursery)
                await trio.sleep(REFRESH_INTERVAL_S)

    def assign(self, services: Sequence[ServiceName]) -> list[Assignment]:
        """Return which VMs run which shards."""
        usable = {vm for vm, link in self._links.items() if link.is_usable}
        usable.add(self._own.vm)
        return split_shards(services, self._ranked, usable, self._own.vm, self._min_shards)

    def start(self, delegation: Delegation) -> None:
        """Send a delegation to its VM."""
        link = self._links.get(delegation.assignment.vm)
        if link is None:
            delegation.end(DelegationEnd.NOT_SENT)
            return
        link.start(delegation)

    def finish(self, delegation: Delegation, is_answered: bool) -> None:
        """Tell the VM that the request has ended."""
        link = self._links.get(delegation.assignment.vm)
        if link is not None:
            link.finish(delegation, is_answered)

    def note_silence(self, delegation: Delegation) -> None:
        """Use the VM no more until it says something."""
        link = self._links.get(delegation.assignment.vm)
        if link is not None:
            link.finish(delegation, False)
            link.note_silence()

    def _refresh(self, nursery: trio.Nursery) -> None:
        """Rank the VMs, open connections to those that are wanted, and close the others."""
        members = dict(self._get_members())
        members[self._own.vm] = self._own
        local = [row for row in members.values() if row.data_centre == self._own.data_centre]
        self._ranked = [rank_members(local, part) for part in range(MAX_PARTS)]
        wanted = self._find_wanted()
        for vm, link in list(self._links.items()):
            if vm not in wanted and not link.is_busy:
                link.close()
                del self._links[vm]
        for vm, member in wanted.items():
            if vm not in self._links:
                self._links[vm] = link = PeerLink(self._own, member, self._events)
                nursery.start_soon(link.run)

    def _find_wanted(self) -> dict[VmName, Member]:
        """Return the VMs to connect to; one that fails is tried on, but the next ones as well."""
        wanted: dict[VmName, Member] = {}
        for ranked in self._ranked:
            found = 0
            for member in ranked:
                if found >= LINKS_PER_PART:
                    break
                if member.vm == self._own.vm:
                    continue
                wanted[member.vm] = member
                link = self._links.get(member.vm)
                found += link is None or not link.is_failing
        return wanted
