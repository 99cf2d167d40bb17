"""The list of voting members and its changes.

Each list written to the platform differs from its predecessor in one member, except that one write
replaces all members whose VMs no longer exist (``replace_missing_members``). During a platform
outage a seat can be transferred to another VM without a write, which increments its holder version.
The epoch of the next written list also counts these transfers and holder versions restart at 0, so
the difference between the change counts of two views is the number of changes between them.
"""

from dataclasses import dataclass, replace

import xxhash

from zinnia_model.errors import ZinniaError
from zinnia_model.ids import VmId
from zinnia_model.members import Member, MemberList
from zinnia_model.messages import SeatTransfer

MAX_SEATS = 8
VIEW_DIGEST_BITS = 63


class MemberListError(ZinniaError):
    """A change of the member list is impossible; the message gives the reason."""


@dataclass(frozen=True, slots=True)
class View:
    """The VMs that hold the seats at one moment.

    ``digest`` is a hash of the epoch and the seats. ``changes`` counts list changes and transfers.
    """

    epoch: int
    digest: int
    vms: tuple[VmId, ...]
    changes: int

    @property
    def majority(self) -> int:
        """Number of members that form a majority."""
        return len(self.vms) // 2 + 1


def make_view(members: MemberList) -> View:
    """Return the view that a member list describes."""
    seats = sorted((m.seat, m.holder_version, m.vm) for m in members.members)
    digest = xxhash.xxh3_64_intdigest(repr((members.epoch, seats)).encode()) >> (
        64 - VIEW_DIGEST_BITS
    )
    # Each list change and each seat transfer counts as one change.
    changes = members.epoch + sum(version for _, version, _ in seats)
    return View(members.epoch, digest, tuple(VmId(vm) for _, _, vm in seats), changes)


def find_member(members: MemberList, vm: VmId) -> Member | None:
    """Return the entry of a VM in the member list, or None."""
    return next((member for member in members.members if member.vm == vm), None)


def add_member(members: MemberList, member: Member) -> MemberList:
    """Return the next list, with a member added in the lowest free seat.

    Raises
    ------
    MemberListError
        If the VM already has a seat or no seat is free.
    """
    if find_member(members, VmId(member.vm)) is not None:
        raise MemberListError(f"VM {member.vm} has a seat already; nothing to do")
    taken = {m.seat for m in members.members}
    free = [seat for seat in range(MAX_SEATS) if seat not in taken]
    if not free:
        raise MemberListError(f"all {MAX_SEATS} seats are taken; wait until one becomes free")
    seated = member.model_copy(update={"seat": free[0]})
    return _make_next_list(members, (*members.members, seated))


def remove_member(members: MemberList, vm: VmId) -> MemberList:
    """Return the next list, with a member removed.

    Raises
    ------
    MemberListError
        If the VM has no seat.
    """
    if find_member(members, vm) is None:
        raise MemberListError(f"VM {vm} has no seat; nothing to remove")
    rest = tuple(member for member in members.members if member.vm != vm)
    return _make_next_list(members, rest)


def update_member(members: MemberList, member: Member) -> MemberList:
    """Return the next list, with the entry of a restarted member replaced.

    Raises
    ------
    MemberListError
        If the VM has no seat.
    """
    held = find_member(members, VmId(member.vm))
    if held is None:
        raise MemberListError(f"VM {member.vm} has no seat; join first")
    updated = member.model_copy(update={"seat": held.seat})
    return _make_next_list(members, tuple(updated if m is held else m for m in members.members))


def replace_missing_members(members: MemberList, missing: set[VmId], member: Member) -> MemberList:
    """Return the next list, with one member in place of all members whose VMs do not exist."""
    rest = tuple(m for m in members.members if m.vm not in missing and m.vm != member.vm)
    return add_member(MemberList(epoch=make_view(members).changes, members=rest), member)


def _make_next_list(members: MemberList, changed: tuple[Member, ...]) -> MemberList:
    reset = tuple(member.model_copy(update={"holder_version": 0}) for member in changed)
    return MemberList(epoch=make_view(members).changes + 1, members=reset)


class MemberRegistry:
    """Holds the newest member list that this VM knows and the transfers applied to it."""

    def __init__(self) -> None:
        self.current = MemberList()
        self.view = make_view(self.current)
        self._transfers: list[SeatTransfer] = []

    def adopt(self, members: MemberList) -> bool:
        """Adopt a newer list or later holders of its seats; return whether the view changed."""
        if members.epoch < self.current.epoch:
            return False
        if members.epoch > self.current.epoch:
            self._replace(self._reapply(members))
            return True
        merged = self._merge_holders(members)
        if merged == self.current:
            return False
        self._replace(merged)
        return True

    def transfer(self, transfer: SeatTransfer) -> bool:
        """Apply the transfer of a seat to another VM; return whether the view changed."""
        if transfer.epoch + 1 == self.current.epoch:
            # The current list was written by a VM that did not know of the transfer yet.
            transfer = replace(transfer, epoch=self.current.epoch)
        if transfer.epoch != self.current.epoch:
            return False
        self._record_transfer(transfer)
        updated = self.current
        for known in self._transfers:
            updated = _apply_transfer(updated, known)
        if updated is self.current:
            return False
        self._replace(updated)
        return True

    def _replace(self, members: MemberList) -> None:
        self.current = members
        self.view = make_view(members)

    def _record_transfer(self, transfer: SeatTransfer) -> None:
        if transfer in self._transfers:
            return
        self._transfers.append(transfer)
        self._transfers.sort(key=lambda t: (t.member.seat, t.member.holder_version))

    def _reapply(self, members: MemberList) -> MemberList:
        """Apply again the transfers that the writer of the next list did not know of."""
        remembered, self._transfers = self._transfers, []
        for transfer in remembered:
            if transfer.epoch + 1 != members.epoch:
                continue
            updated = _apply_transfer(members, transfer)
            if updated is not members:
                self._record_transfer(replace(transfer, epoch=members.epoch))
            members = updated
        return members

    def _merge_holders(self, members: MemberList) -> MemberList:
        """Return the list with the later holder of each seat; lists of one epoch share seats."""
        offered = {member.seat: member for member in members.members}
        merged = []
        for held in self.current.members:
            other = offered.get(held.seat, held)
            if other.holder_version > held.holder_version:
                self._record_transfer(SeatTransfer(members.epoch, VmId(held.vm), other))
                held = other
            merged.append(held)
        return MemberList(epoch=self.current.epoch, members=tuple(merged))


def _apply_transfer(members: MemberList, transfer: SeatTransfer) -> MemberList:
    """Return the list after a transfer, or the same object if the transfer no longer applies."""
    new = transfer.member
    for held in members.members:
        if held.seat != new.seat or held.vm != transfer.previous:
            continue
        if held.holder_version >= new.holder_version:
            continue
        rest = tuple(new if member is held else member for member in members.members)
        return MemberList(epoch=members.epoch, members=rest)
    return members
