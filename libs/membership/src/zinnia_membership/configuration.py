"""The newest configuration document of this VM and the revisions that other VMs reported."""

from zinnia_membership.member_list import View
from zinnia_membership.rendezvous import rank
from zinnia_model.configuration import ConfigDocument
from zinnia_model.ids import Revision, VmId

# A revision reported by a VM or read from the platform counts as current for this long.
REPORT_TTL_S = 3.0
WATCHER_COUNT = 3
WATCH_SUBJECT = "config/current"
NEVER = float("-inf")


class ConfigHolder:
    """Holds the newest configuration document; its revision never decreases."""

    def __init__(self, vm: VmId) -> None:
        self.document: ConfigDocument | None = None
        self._vm = vm
        self._view = View(0, 0, (), 0)
        self._revisions: dict[VmId, Revision] = {}
        self._reported_at: dict[VmId, float] = {}
        self._platform_revision = Revision(0)
        self._platform_read_at = NEVER
        self._has_synced = False

    @property
    def revision(self) -> Revision:
        """Revision of the held document, or 0 if there is none."""
        return Revision(self.document.revision if self.document else 0)

    def adopt(self, document: ConfigDocument) -> bool:
        """Replace the held document if the revision is higher; return whether it was replaced."""
        if self.document is not None and document.revision <= self.document.revision:
            return False
        self.document = document
        return True

    def adopt_view(self, view: View) -> None:
        """Use the members of this view for majorities and for the choice of watchers."""
        self._view = view

    def record_revision(self, vm: VmId, revision: Revision, now: float) -> None:
        """Record the configuration revision that another VM reported."""
        self._revisions[vm] = max(revision, self._revisions.get(vm, Revision(0)))
        self._reported_at[vm] = now
        self._check_synced(now)

    def record_platform_revision(self, revision: Revision, now: float) -> None:
        """Record the revision stored in the platform, 0 if none is stored."""
        self._platform_revision = max(revision, self._platform_revision)
        self._platform_read_at = now
        self._has_synced = True

    def is_current(self, now: float) -> bool:
        """Whether the held configuration is the newest one that is known.

        That takes a recent read of the platform or recent reports of a majority of the members.
        """
        if self.document is None or not self._has_synced:
            return False
        if self.revision < self.find_highest():
            return False
        if now - self._platform_read_at <= REPORT_TTL_S:
            return True
        own = self._vm in self._view.vms
        return self._count_recent_reports(now) + own >= self._view.majority

    def find_highest(self) -> Revision:
        """Return the highest revision that is held, was reported or was read."""
        return max(self.revision, self._platform_revision, *self._revisions.values(), Revision(0))

    def find_newer_source(self) -> VmId | None:
        """Return the VM with the highest revision, or None if it is not above the held one."""
        newest = max(self._revisions, key=lambda vm: (self._revisions[vm], vm), default=None)
        if newest is None or self._revisions[newest] <= self.revision:
            return None
        return newest

    def list_outdated_vms(self) -> tuple[VmId, ...]:
        """Return the VMs whose last reported revision is lower than the held one."""
        return tuple(vm for vm, revision in self._revisions.items() if revision < self.revision)

    def find_last_report(self, vm: VmId, now: float) -> tuple[Revision, float]:
        """Return the last reported revision of a VM and the age of that report in seconds."""
        if vm == self._vm:
            return self.revision, 0.0
        return self._revisions.get(vm, Revision(0)), now - self._reported_at.get(vm, NEVER)

    def forget(self, vm: VmId) -> None:
        """Drop the reports of a VM that lost its seat.

        Its revision may exist nowhere else and would keep this VM from being current.
        """
        self._revisions.pop(vm, None)
        self._reported_at.pop(vm, None)

    def is_watcher(self, now: float) -> bool:
        """Whether this VM is one of the three members that watch the platform for all VMs."""
        alive = {
            vm for vm in self._view.vms if now - self._reported_at.get(vm, NEVER) < REPORT_TTL_S
        }
        return self._vm in rank(WATCH_SUBJECT, alive | {self._vm})[:WATCHER_COUNT]

    def _check_synced(self, now: float) -> None:
        # A newly started process holds no document yet, so its own vote is no evidence of the
        # newest revision: the other members must form a majority without it.
        if self._view.vms and self._count_recent_reports(now) >= self._view.majority:
            self._has_synced = True

    def _count_recent_reports(self, now: float) -> int:
        return sum(
            vm != self._vm and now - self._reported_at.get(vm, NEVER) <= REPORT_TTL_S
            for vm in self._view.vms
        )
