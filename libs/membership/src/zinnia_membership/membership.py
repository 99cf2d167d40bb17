"""Entry point to the promises, ownership, member list and configuration of one VM."""

from collections.abc import Iterable
from dataclasses import dataclass

from zinnia_membership.configuration import ConfigHolder
from zinnia_membership.member_list import MemberListError, MemberRegistry, View, find_member
from zinnia_membership.ownership import TAKEOVER_WAIT_S, Ownership
from zinnia_membership.promises import Promises
from zinnia_model.ids import ReplicaId, VmId
from zinnia_model.members import Member, MemberList
from zinnia_model.messages import FactRecord, Heartbeat, HeartbeatReply, SeatTransfer
from zinnia_model.ownership import OwnershipState

HEARTBEAT_INTERVAL_S = 0.2


@dataclass(frozen=True, slots=True)
class PeerDifference:
    """Which state of a peer this VM has to pull, by a heartbeat or reply of the peer.

    It pulls a member list that differs and is not older, and a newer configuration.
    """

    members_differ: bool
    config_is_newer: bool


class Membership:
    """Combines the promises, ownership, member list and configuration of one VM.

    Does no I/O and reads no clock: ``now`` is the time in seconds on the runtime's clock.
    """

    def __init__(
        self,
        vm: VmId,
        incarnation: str,
        now: float,
        takeover_wait_s: float = TAKEOVER_WAIT_S,
        peer_address: str = "",
        data_centre: str = "",
    ) -> None:
        self.vm = vm
        self._peer_address = peer_address
        self._data_centre = data_centre
        self.incarnation = incarnation
        self.promises = Promises(vm, incarnation, now)
        self._takeover_wait_s = takeover_wait_s
        self.ownership = Ownership(self.promises, takeover_wait_s)
        self.configuration = ConfigHolder(vm)
        self._registry = MemberRegistry()

    def members(self) -> MemberList:
        """Return the newest known member list."""
        return self._registry.current

    @property
    def view(self) -> View:
        """The view of the newest known member list."""
        return self._registry.view

    @property
    def is_member(self) -> bool:
        """Whether this VM holds a seat."""
        return self.vm in self.view.vms

    @property
    def is_leaving(self) -> bool:
        """Whether this VM has given up ownership for good."""
        return self.promises.released

    def adopt_members(self, members: MemberList, now: float) -> bool:
        """Adopt a member list if it is newer; return whether the view changed."""
        if not self._registry.adopt(members):
            return False
        self._apply_view(now)
        return True

    def make_heartbeat(self, peer: VmId, now: float, facts: Iterable[FactRecord] = ()) -> Heartbeat:
        """Return the next heartbeat to a peer; it must be sent at ``now``, when promises start."""
        return Heartbeat(
            self.vm,
            self.incarnation,
            self.view.epoch,
            self.view.digest,
            self.promises.record_sent_heartbeat(peer, now),
            self.configuration.revision,
            self.promises.released,
            tuple(facts),
            not self.promises.own_standby.is_withdrawn,
            "" if self.is_member else self._peer_address,
            "" if self.is_member else self._data_centre,
        )

    def receive_heartbeat(
        self, message: Heartbeat, now: float, facts: Iterable[FactRecord] = ()
    ) -> HeartbeatReply:
        """Process a heartbeat and return the reply with this member's promises."""
        self.configuration.record_revision(message.vm, message.config_revision, now)
        grant = self.promises.given.answer_heartbeat(message, now)
        standby = self.promises.answer_standby(message, now)
        return HeartbeatReply(
            self.vm,
            self.view.epoch,
            self.view.digest,
            message.sequence,
            message.incarnation,
            grant.alive,
            grant.settled,
            grant.dead,
            self.configuration.revision,
            tuple(facts),
            standby,
        )

    def receive_reply(self, message: HeartbeatReply, now: float) -> PeerDifference:
        """Record the promises of a reply and return which state of the peer differs."""
        if self.promises.record_reply(message, now):
            self.configuration.record_revision(message.vm, message.config_revision, now)
        self.tick(now)
        return self.compare(message)

    def compare(self, message: Heartbeat | HeartbeatReply) -> PeerDifference:
        """Return which state of the sender differs from that of this VM."""
        differ = message.view != self.view.digest and message.epoch >= self.view.epoch
        return PeerDifference(differ, message.config_revision > self.configuration.revision)

    def tick(self, now: float) -> None:
        """Renew the promises of this VM; must be called once per heartbeat interval or more."""
        self.promises.tick(now)
        self.ownership.tick(now)

    def ownership_state(self, replica: ReplicaId, now: float) -> OwnershipState:
        """Return whether this VM may send to a replica; must be checked before each send."""
        return self.ownership.ownership_state(replica, now)

    def owner(self, replica: ReplicaId, now: float) -> VmId | None:
        """Return the VM to forward sub-requests for a replica to, or None if none is available."""
        return self.ownership.owner(replica, now)

    def has_majority(self, now: float) -> bool:
        """Whether this VM holds ALIVE from a majority or, without a seat, got replies from one."""
        if self.is_member:
            return self.promises.has_majority(now)
        return self.promises.has_contact(now)

    def is_ready(self, now: float) -> bool:
        """Whether this VM may accept requests."""
        if self.is_leaving or not self.configuration.is_current(now):
            return False
        if self.is_member and not self.promises.given.can_give(now):
            # A new member cannot act as owner yet, but it can forward, as it did without a seat.
            return self.promises.has_contact(now)
        return self.has_majority(now)

    def is_degraded(self, now: float) -> bool:
        """Whether this VM serves without a majority during a long outage of the platform."""
        return not self.is_leaving and self.is_member and self.ownership.is_degraded(now)

    def can_change_members(self, now: float) -> bool:
        """Whether a majority replied lately and has settled on the current view.

        Otherwise two consecutive changes could leave two majorities without a common seat.
        """
        return self.promises.is_settled(now) and self.promises.has_contact(now)

    def list_lost_members(self, now: float, for_s: float) -> tuple[VmId, ...]:
        """Return the members that a majority has promised DEAD for at least ``for_s`` seconds."""
        return tuple(
            vm
            for vm in self.view.vms
            if self.promises.holds_dead(vm, now)
            and now - self.promises.find_dead_since(vm) >= for_s
        )

    def begin_leave(self) -> None:
        """Give up ownership for this incarnation; all requests in flight must have ended."""
        self.promises.release()

    def rejoin(self, incarnation: str, now: float) -> None:
        """Join again under a new incarnation, as after a restart of the process.

        The promises given before are dropped, so this VM again waits until they have expired, as
        after a start.
        """
        earlier = self.promises
        self.incarnation = incarnation
        self.promises = Promises(self.vm, incarnation, now)
        self.promises.copy_contact(earlier)
        self.ownership = Ownership(self.promises, self._takeover_wait_s)
        self.promises.adopt_view(self.view, now)

    def accept_handover(self, replicas: Iterable[ReplicaId], now: float) -> None:
        """Record that the previous owner has stopped sending to these replicas."""
        self.ownership.accept_handover(replicas, now)

    def transfer_seat(self, successor: Member, now: float) -> SeatTransfer:
        """Transfer the seat of this VM; return the message to send to all peers.

        Raises
        ------
        MemberListError
            If this VM has no seat or the successor already has one.
        """
        held = find_member(self.members(), self.vm)
        if held is None or find_member(self.members(), VmId(successor.vm)) is not None:
            raise MemberListError(
                f"seat of {self.vm} cannot go to {successor.vm}; choose a VM without a seat"
            )
        self.begin_leave()
        update = {"seat": held.seat, "holder_version": held.holder_version + 1}
        member = successor.model_copy(update=update)
        transfer = SeatTransfer(self.members().epoch, self.vm, member)
        self.receive_seat_transfer(transfer, now)
        return transfer

    def receive_seat_transfer(self, transfer: SeatTransfer, now: float) -> bool:
        """Apply the transfer of a seat to another VM; return whether the view changed."""
        if not self._registry.transfer(transfer):
            return False
        self._apply_view(now)
        return True

    def _apply_view(self, now: float) -> None:
        gone = set(self.promises.view.vms) - set(self.view.vms)
        self.promises.adopt_view(self.view, now)
        self.configuration.adopt_view(self.view)
        for vm in gone:
            self.configuration.forget(vm)
