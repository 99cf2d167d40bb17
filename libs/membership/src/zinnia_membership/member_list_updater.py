"""Updates the member list in the platform: joins, removes lost members, leaves and watches."""

from collections.abc import Callable
from random import Random

import trio
from loguru import logger

from zinnia_membership.member_list import (
    MAX_SEATS,
    add_member,
    find_member,
    remove_member,
    replace_missing_members,
    update_member,
)
from zinnia_membership.membership import Membership
from zinnia_membership.rendezvous import rank
from zinnia_model.errors import ConflictError, PlatformUnavailableError
from zinnia_model.ids import VmId
from zinnia_model.members import Member, MemberList
from zinnia_model.messages import SeatTransfer
from zinnia_platform.store import CREATE_ONLY, ObjectStore

OBJECT_KIND = "members"
OBJECT_NAME = "current"
# A member keeps its seat for this long while it is unreachable, for example paused or cut off.
LOST_MEMBER_TIMEOUT_S = 30.0
RUN_INTERVAL_S = 1.0
WATCH_TIMEOUT_S = 2.0
LEAVE_TIMEOUT_S = 3.0
LEAVE_RETRY_S = 0.1
# VMs without a seat, and VMs whose list differs from the stored one, read it this often.
UNSYNCED_READ_INTERVAL_S = 2.0
NEVER = float("-inf")


class MemberListUpdater:
    """Follows the stored member list and writes the changes that this VM is responsible for.

    Parameters
    ----------
    own : Member
        The entry of this VM; its seat and holder version are ignored.
    publish : callable
        Called with each list that changed the view of this VM, to push it to the peers.
    """

    def __init__(
        self,
        store: ObjectStore,
        membership: Membership,
        own: Member,
        publish: Callable[[MemberList], None],
        seed: int = 0,
    ) -> None:
        self._store = store
        self._membership = membership
        self._own = own
        self._publish = publish
        self._random = Random(f"{seed}/{own.vm}")
        self._version = CREATE_ONLY
        self._stored: MemberList | None = None
        self._cursor = 0
        self._last_read_at = NEVER
        self._no_majority_since: float | None = None

    async def run(self) -> None:
        """Read, watch and update the member list until this VM leaves."""
        while not self._membership.is_leaving:
            await self.run_once()
            if self._is_watcher() and self._membership.is_member:
                await self._watch()
            else:
                await trio.sleep(RUN_INTERVAL_S * self._random.uniform(0.5, 1.5))

    async def run_once(self) -> None:
        """Read the member list if a read is due and write at most one change."""
        now = trio.current_time()
        if self._needs_read(now):
            await self._read_stored_list()
        if self._stored is None:
            return
        changed = self._choose_change(trio.current_time())
        if changed is None:
            changed = await self._choose_reset(trio.current_time())
        if changed is not None:
            await self._write(changed)

    async def leave(self, find_successor: Callable[[], Member | None]) -> SeatTransfer | None:
        """Give up the seat of this VM; ownership must already have been given up.

        Returns
        -------
        SeatTransfer or None
            The transfer to send to all peers if the platform is unavailable. None if the stored
            list was changed, no VM can take the seat or ``LEAVE_TIMEOUT_S`` has passed; in the last
            two cases the other members remove this VM later.
        """
        with trio.move_on_after(LEAVE_TIMEOUT_S):
            while self._membership.is_member:
                if not await self._read_stored_list():
                    return self._transfer_seat(find_successor())
                now = trio.current_time()
                if self._can_write_next_list(now):
                    await self._write(remove_member(self._membership.members(), self._vm))
                await trio.sleep(LEAVE_RETRY_S)
        return None

    @property
    def _vm(self) -> VmId:
        return VmId(self._own.vm)

    def _transfer_seat(self, successor: Member | None) -> SeatTransfer | None:
        if successor is None:
            logger.warning(
                "no VM can take over the seat of {}; the other members remove it later",
                self._own.vm,
            )
            return None
        return self._membership.transfer_seat(successor, trio.current_time())

    def _is_watcher(self) -> bool:
        return self._membership.configuration.is_watcher(trio.current_time())

    def _needs_read(self, now: float) -> bool:
        if self._stored is None or not self._membership.has_majority(now):
            return now - self._last_read_at >= RUN_INTERVAL_S / 2
        if not self._membership.is_member or not self._is_list_in_sync():
            return now - self._last_read_at >= UNSYNCED_READ_INTERVAL_S
        return False

    def _is_list_in_sync(self) -> bool:
        """Whether the list known to this VM has the epoch of the last stored list it read."""
        return self._stored is not None and self._stored.epoch == self._membership.view.epoch

    def _can_write_next_list(self, now: float) -> bool:
        """Whether this VM may write a successor of the list that it knows."""
        return self._is_list_in_sync() and self._membership.can_change_members(now)

    async def _read_stored_list(self) -> bool:
        self._last_read_at = trio.current_time()
        try:
            stored = await self._store.get(OBJECT_KIND, OBJECT_NAME)
        except PlatformUnavailableError as error:
            logger.debug("cannot read the member list: {}", error)
            self._membership.ownership.record_platform_state(False, trio.current_time())
            return False
        self._membership.ownership.record_platform_state(True, trio.current_time())
        if stored is None:
            self._version, self._stored = CREATE_ONLY, MemberList()
            return True
        self._apply_stored_list(stored.value, stored.version)
        return True

    def _apply_stored_list(self, value: dict, version: int) -> None:
        self._version = version
        self._cursor = max(self._cursor, version)
        self._stored = MemberList.model_validate(value)
        if self._membership.adopt_members(self._stored, trio.current_time()):
            self._publish(self._membership.members())

    async def _watch(self) -> None:
        try:
            items, self._cursor = await self._store.watch(
                OBJECT_KIND, self._cursor, WATCH_TIMEOUT_S
            )
        except PlatformUnavailableError as error:
            logger.debug("cannot watch the member list: {}", error)
            self._membership.ownership.record_platform_state(False, trio.current_time())
            await trio.sleep(RUN_INTERVAL_S * self._random.uniform(0.5, 1.5))
            return
        self._membership.ownership.record_platform_state(True, trio.current_time())
        for item in items:
            if item.name == OBJECT_NAME and not item.deleted:
                self._apply_stored_list(item.value, item.version)

    def _choose_change(self, now: float) -> MemberList | None:
        members = self._membership.members()
        if self._membership.is_leaving:
            return None
        if not self._stored.members and not members.members:
            return add_member(self._stored, self._own)
        if not self._can_write_next_list(now):
            return None
        held = find_member(members, self._vm)
        if held is not None and not self._matches_own(held):
            return update_member(members, self._own)
        lost = self._membership.list_lost_members(now, LOST_MEMBER_TIMEOUT_S)
        if lost and self._writes_removals(lost):
            return remove_member(members, lost[0])
        if held is None and len(members.members) < MAX_SEATS:
            return add_member(members, self._own)
        return None

    def _matches_own(self, held: Member) -> bool:
        own = (self._own.incarnation, self._own.peer_address, self._own.data_centre)
        return (held.incarnation, held.peer_address, held.data_centre) == own

    def _writes_removals(self, lost: tuple[VmId, ...]) -> bool:
        """Whether this VM writes the removals; a single writer avoids write conflicts."""
        living = [vm for vm in self._membership.view.vms if vm not in lost]
        return not living or rank(OBJECT_KIND, living)[0] == self._vm

    async def _choose_reset(self, now: float) -> MemberList | None:
        """Return a new list if the members can never form a majority again, else None.

        That is so if the platform's list of VMs no longer has enough of them. That list lags, so
        this VM must also have been without a majority for the timeout of a lost member.
        """
        members = self._membership.members()
        if self._membership.has_majority(now) or not members.members:
            self._no_majority_since = None
            return None
        if self._no_majority_since is None:
            self._no_majority_since = now
        if now - self._no_majority_since < LOST_MEMBER_TIMEOUT_S or not self._is_list_in_sync():
            return None
        try:
            existing = {vm.id for vm in await self._store.list_vms()}
        except PlatformUnavailableError:
            return None
        missing = {VmId(m.vm) for m in members.members if m.vm not in existing}
        if len(members.members) - len(missing) >= self._membership.view.majority:
            return None
        logger.warning(
            "VMs {} no longer exist and the rest is no majority; replacing them in the member list",
            sorted(missing),
        )
        return replace_missing_members(members, missing, self._own)

    async def _write(self, changed: MemberList) -> None:
        value = changed.model_dump(mode="json")
        try:
            version = await self._store.put(OBJECT_KIND, OBJECT_NAME, value, self._version)
        except ConflictError:
            await self._read_stored_list()
        except PlatformUnavailableError as error:
            # The write may still have taken effect; the next read shows it.
            logger.info("cannot confirm the write of the member list, reading it again: {}", error)
            self._stored = None
        else:
            logger.info(
                "member list of epoch {} written: {}",
                changed.epoch,
                [m.vm for m in changed.members],
            )
            self._apply_stored_list(value, version)
