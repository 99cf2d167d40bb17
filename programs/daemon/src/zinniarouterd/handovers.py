"""Hands replicas to a VM that has become ready to act and ranks above this one for them."""

from collections.abc import Iterable

import trio
from loguru import logger

from zinnia_backends.dispatcher import ReplicaDispatcher
from zinnia_membership.membership import Membership
from zinnia_membership.ownership import TAKEOVER_WAIT_S
from zinnia_model.ids import ReplicaId, VmId
from zinnia_model.messages import HandedReplica, Handover, Heartbeat
from zinnia_model.ownership import Standing
from zinnia_model.replicas import ReplicaFact
from zinnia_peers.links import PeerLinks, PeerLostError, PeerTimeoutError

HANDOVER_LIMIT_S = 1.0


def make_handed(state: ReplicaFact) -> HandedReplica:
    """Return the state of a replica as it is sent to its next owner."""
    return HandedReplica(
        ReplicaId(state.replica),
        state.cold,
        state.draining,
        state.limit,
        state.in_flight,
        state.start_id,
        state.version,
    )


async def send_handover(
    membership: Membership, links: PeerLinks, vm: VmId, states: Iterable[ReplicaFact]
) -> None:
    """Give the states of replicas to their next owner; without an answer it starts them cold."""
    handed = tuple(make_handed(state) for state in states)
    message = Handover(membership.vm, membership.incarnation, handed)
    try:
        await links.get(vm).call(message, HANDOVER_LIMIT_S)
    except (PeerLostError, PeerTimeoutError) as error:
        logger.bind(vm_to=vm, error=str(error)).warning("handover_failed")
        return
    logger.bind(vm_to=vm, replicas=len(handed)).info("handed_over")


class Handovers:
    """Gives up the replicas that this VM had only while another was in standby."""

    def __init__(
        self,
        membership: Membership,
        dispatcher: ReplicaDispatcher,
        links: PeerLinks,
        nursery: trio.Nursery,
    ) -> None:
        self._membership = membership
        self._dispatcher = dispatcher
        self._links = links
        self._nursery = nursery

    def list_held_for(self, heartbeat: Heartbeat, now: float) -> list[ReplicaId]:
        """Return the replicas for which this VM acts, if the heartbeat ends a standby.

        To be asked before the membership takes the heartbeat, because this VM loses the right then.
        """
        standby = self._membership.promises.standby
        if heartbeat.standby or not standby.is_announced(heartbeat.vm):
            return []
        acting = [ReplicaId(state.replica) for state in self._dispatcher.export_states()]
        return [r for r in acting if self._membership.standing(r, now) is Standing.OWNER]

    def start(self, vm: VmId, held: list[ReplicaId], now: float) -> None:
        """Hand over those of the replicas that belong to a VM now."""
        moved = [r for r in held if self._is_moved(r, vm, now)]
        if moved:
            self._nursery.start_soon(self._hand_over, vm, moved, now + TAKEOVER_WAIT_S)

    def _is_moved(self, replica: ReplicaId, vm: VmId, now: float) -> bool:
        if self._membership.owner(replica, now) != vm:
            return False
        return self._membership.standing(replica, now) is Standing.NOT_OWNER

    async def _hand_over(self, vm: VmId, replicas: list[ReplicaId], deadline_at: float) -> None:
        states = await self._dispatcher.release_replicas(replicas, deadline_at)
        if not states or vm not in self._links.list_peers():
            return
        await send_handover(self._membership, self._links, vm, states)
