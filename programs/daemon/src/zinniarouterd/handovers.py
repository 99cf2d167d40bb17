"""Handover of replicas to a higher-ranked VM whose standby has ended."""

from collections.abc import Iterable

import trio
from loguru import logger

from zinnia_backends.dispatcher import ReplicaDispatcher
from zinnia_membership.membership import Membership
from zinnia_membership.ownership import TAKEOVER_WAIT_S
from zinnia_model.ids import ReplicaId, VmId
from zinnia_model.messages import HandedReplica, Handover, Heartbeat
from zinnia_model.ownership import OwnershipState
from zinnia_model.replicas import ReplicaFact
from zinnia_peers.links import PeerLinks, PeerLostError, PeerTimeoutError

HANDOVER_TIMEOUT_S = 1.0


def make_handed_replica(state: ReplicaFact) -> HandedReplica:
    """Return the state of a replica as the message row for its next owner."""
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
    """Send the states of replicas to their next owner.

    If the message does not arrive, the next owner starts with these replicas as cold.
    """
    handed = tuple(make_handed_replica(state) for state in states)
    message = Handover(membership.vm, membership.incarnation, handed)
    try:
        await links.get(vm).call(message, HANDOVER_TIMEOUT_S)
    except (PeerLostError, PeerTimeoutError) as error:
        logger.bind(vm_to=vm, error=str(error)).warning("handover_failed")
        return
    logger.bind(vm_to=vm, replicas=len(handed)).info("handed_over")


class Handovers:
    """Gives up the replicas that this VM owned only while a higher-ranked VM was in standby."""

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

    def list_replicas_to_hand_over(self, heartbeat: Heartbeat, now: float) -> list[ReplicaId]:
        """Return the replicas that this VM owns now, if the heartbeat ends the sender's standby.

        Call this before the membership handles the heartbeat, which ends this VM's ownership of
        the replicas that go to the sender.
        """
        standby = self._membership.promises.standby
        if heartbeat.standby or not standby.is_announced(heartbeat.vm):
            return []
        acting = [ReplicaId(state.replica) for state in self._dispatcher.export_states()]
        return [
            r for r in acting if self._membership.ownership_state(r, now) is OwnershipState.OWNER
        ]

    def start(self, vm: VmId, candidates: list[ReplicaId], now: float) -> None:
        """Start to hand over those of the ``candidates`` whose owner is ``vm`` now."""
        moved = [r for r in candidates if self._has_moved_to(r, vm, now)]
        if moved:
            self._nursery.start_soon(self._hand_over, vm, moved, now + TAKEOVER_WAIT_S)

    def _has_moved_to(self, replica: ReplicaId, vm: VmId, now: float) -> bool:
        if self._membership.owner(replica, now) != vm:
            return False
        return self._membership.ownership_state(replica, now) is OwnershipState.NOT_OWNER

    async def _hand_over(self, vm: VmId, replicas: list[ReplicaId], deadline_at: float) -> None:
        states = await self._dispatcher.release_replicas(replicas, deadline_at)
        if not states or vm not in self._links.list_peers():
            return
        await send_handover(self._membership, self._links, vm, states)
