"""Handover of replicas and seat before this VM stops or its data centre goes out of service."""

import trio

from zinnia_backends.dispatcher import ReplicaDispatcher
from zinnia_membership.member_list_updater import MemberListUpdater
from zinnia_membership.membership import Membership
from zinnia_model.ids import ReplicaId, VmId
from zinnia_model.replicas import ReplicaFact
from zinnia_peers.links import PeerLinks
from zinniarouterd.handovers import send_handover
from zinniarouterd.heartbeats import Heartbeats
from zinniarouterd.observers import Observers

# Leaves time for the heartbeats that announce the change to reach the peers before the next step.
LEAVE_HEARTBEAT_DELAY_S = 0.05


class Departure:
    """Hands over the replicas and the seat of this VM to other VMs."""

    def __init__(
        self,
        membership: Membership,
        dispatcher: ReplicaDispatcher,
        links: PeerLinks,
        heartbeats: Heartbeats,
        observers: Observers,
    ) -> None:
        self._membership = membership
        self._dispatcher = dispatcher
        self._links = links
        self._heartbeats = heartbeats
        self._observers = observers

    async def hand_over(self, deadline: float) -> None:
        """Finish accepted sub-requests, then give the replicas to their next owners."""
        await self._dispatcher.drain(deadline)
        states = {ReplicaId(state.replica): state for state in self._dispatcher.export_states()}
        by_vm: dict[VmId, list[ReplicaFact]] = {}
        for replica, vm in self._membership.ownership.list_successors(states).items():
            by_vm.setdefault(vm, []).append(states[replica])
        self._membership.begin_leave()
        async with trio.open_nursery() as nursery:
            for vm, handed in by_vm.items():
                nursery.start_soon(send_handover, self._membership, self._links, vm, handed)
        await self._send_heartbeats_now()

    async def give_up_seat(self, member_list_updater: MemberListUpdater) -> None:
        """Leave the member list, or transfer the seat to an observer while the platform is down."""
        transfer = await member_list_updater.leave(
            lambda: self._observers.find_longest_seen(trio.current_time())
        )
        if transfer is None:
            return
        for peer in self._links.list_peers():
            self._links.get(peer).notify(transfer)
        await self._send_heartbeats_now()

    async def _send_heartbeats_now(self) -> None:
        self._heartbeats.send_now()
        await trio.sleep(LEAVE_HEARTBEAT_DELAY_S)
