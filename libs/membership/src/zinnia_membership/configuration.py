"""The configuration that this VM holds and whether it is the newest."""

from zinnia_membership.member_list import View
from zinnia_membership.rendezvous import rank
from zinnia_model.configuration import ConfigDocument
from zinnia_model.ids import Revision, VmId

REPORT_TTL_S = 3.0
WATCHER_COUNT = 3
WATCH_SUBJECT = "config/current"
NEVER = float("-inf")


class ConfigHolder:
    """Holds the newest configuration document; revisions never go back."""

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
        """Revision of the held document, 0 without one."""
        return Revision(self.document.revision if self.document else 0)

    def adopt(self, document: ConfigDocument) -> bool:
        """Take over a document if its revision is higher; return whether it was."""
        if self.document is not None and document.revision <= self.document.revision:
            return False
        self.document = document
        return True

    def adopt_view(self, view: View) -> None:
        """Count majorities over the members of this view."""
        self._view = view

    def record_revision(self, vm: VmId, revision: Revision, now: float) -> None:
        """Note the revision that another VM told."""
        self._revisions[vm] = max(revision, self._revisions.get(vm, Revision(0)))
        self._reported_at[vm] = now
        self._check_synced(now)

    def heard_platform(self, revision: Revision, now: float) -> None:
        """Note the revision that the platform holds, 0 if it holds none."""
        self._platform_revision = max(revision, self._platform_revision)
        self._platform_read_at = now
        self._has_synced = True

    def is_current(self, now: float) -> bool:
        """Whether this VM holds the newest configuration as far as anyone within reach knows."""
        if self.document is None or not self._has_synced:
            return False
        if self.revision < self.find_highest():
            return False
        if now - self._platform_read_at <= REPORT_TTL_S:
            return True
        own = self._vm in self._view.vms
        return self._count_recent_reports(now) + own >= self._view.majority

    def find_highest(self) -> Revision:
        """Return the highest revision heard of."""
        return max(self.revision, self._platform_revision, *self._revisions.values(), Revision(0))

    def find_newer_source(self) -> VmId | None:
        """Return a VM to pull a newer document from, or None."""
        newest = max(self._revisions, key=lambda vm: (self._revisions[vm], vm), default=None)
        if newest is None or self._revisions[newest] <= self.revision:
            return None
        return newest

    def list_outdated_vms(self) -> tuple[VmId, ...]:
        """Return the VMs that last told a lower revision than the held one."""
        return tuple(vm for vm, revision in self._revisions.items() if revision < self.revision)

    def describe(self, vm: VmId, now: float) -> tuple[Revision, float]:
        """Return the revision that a VM last told and the seconds since it was heard."""
        if vm == self._vm:
            return self.revision, 0.0
        return self._revisions.get(vm, Revision(0)), now - self._reported_at.get(vm, NEVER)

    def forget(self, vm: VmId) -> None:
        """Drop what a VM told that is gone; its document may have gone with it."""
        self._revisions.pop(vm, None)
        self._reported_at.pop(vm, None)

    def is_watcher(self, now: float) -> bool:
        """Whether this VM is one of the three that watch the platform for all."""
        alive = {
            vm for vm in self._view.vms if now - self._reported_at.get(vm, NEVER) < REPORT_TTL_S
        }
        return self._vm in rank(WATCH_SUBJECT, alive | {self._vm})[:WATCHER_COUNT]

    def _check_synced(self, now: float) -> None:
        # This run holds nothing of its own yet, so its own vote says nothing about the newest
        # revision: the others must be a majority without it.
        if self._view.vms and self._count_recent_reports(now) >= self._view.majority:
            self._has_synced = True

    def _count_recent_reports(self, now: float) -> int:
        return sum(
            vm != self._vm and now - self._reported_at.get(vm, NEVER) <= REPORT_TTL_S
            for vm in self._view.vms
        )
