"""Assigns parts of fan-outs to other VMs, and keeps connections to these VMs."""

from collections.abc import Callable, Mapping, Sequence

import trio

from zinnia_catalog.ids import ServiceName, VmName
from zinnia_catalog.members import Member
from zinnia_delegation.links import PeerLink
from zinnia_delegation.ranking import MAX_PARTS, rank_members, split_shards
from zinnia_sending.delegation import Assignment, Delegation, DelegationEnd, Delegator
from zinnia_sending.events import EventSink

REFRESH_INTERVAL_S = 1.0
# Connections kept for each part: one to the VM that runs it, and one spare.
LINKS_PER_PART = 2


class PeerDelegator(Delegator):
    """Delegates parts of fan-outs to the fastest VMs of this data centre.

    Parameters
    ----------
    own : Member
        This VM.
    get_members : Callable[[], Mapping[str, Member]]
        Returns all registered VMs.
    events : EventSink
        Receives log events of connections that open and close.
    min_shards : int
        Minimum number of shards for which a fan-out is split.
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
        """Keep rankings and connections up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._refresh(nursery)
                await trio.sleep(REFRESH_INTERVAL_S)

    def assign(self, services: Sequence[ServiceName]) -> list[Assignment]:
        """Return which other VMs run which shards."""
        usable = {vm for vm, link in self._links.items() if link.is_usable}
        usable.add(self._own.vm)
        return split_shards(services, self._ranked, usable, self._own.vm, self._min_shards)

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
        """Withdraw a delegation that got no reply, and don't use its VM until it sends a reply."""
        link = self._links.get(delegation.assignment.vm)
        if link is not None:
            link.finish(delegation, False)
            link.record_silence()

    def _refresh(self, nursery: trio.Nursery) -> None:
        """Rank the VMs, open links to those that are needed, and close idle links to the others."""
        members = dict(self._get_members())
        members[self._own.vm] = self._own
        local = [
            member for member in members.values() if member.data_centre == self._own.data_centre
        ]
        self._ranked = [rank_members(local, part) for part in range(MAX_PARTS)]
        needed = self._find_needed_peers()
        for vm, link in list(self._links.items()):
            if vm not in needed and not link.is_busy:
                link.close()
                del self._links[vm]
        for vm, member in needed.items():
            if vm not in self._links:
                self._links[vm] = link = PeerLink(self._own, member, self._events)
                nursery.start_soon(link.run)

    def _find_needed_peers(self) -> dict[VmName, Member]:
        """Return the VMs to connect to.

        A link that is failing is kept for retries but doesn't count, so the next VM is added too.
        """
        needed: dict[VmName, Member] = {}
        for ranked in self._ranked:
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
