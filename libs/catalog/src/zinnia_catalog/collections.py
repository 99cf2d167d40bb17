"""The last known objects of one kind, with a bounded history of their changes."""

from collections import deque

from zinnia_catalog.objects import Change, Changes, Listing, ObjectKind, StoredObject

# Changes kept for peers that follow this VM instead of the store.
MAX_HISTORY_CHANGES = 4096


class Collection:
    """Objects of one kind at one revision of the store; the revision never decreases."""

    def __init__(self, kind: ObjectKind) -> None:
        self.kind = kind
        self.revision = 0
        self.objects: dict[str, StoredObject] = {}
        self._history: deque[tuple[int, Change]] = deque(maxlen=MAX_HISTORY_CHANGES)
        self._history_start = 0

    @property
    def is_known(self) -> bool:
        """Whether a listing or a change was ever received."""
        return self.revision > 0

    def replace(self, listing: Listing) -> tuple[Change, ...]:
        """Replace all objects by a full listing; return the changes that this makes.

        A listing that is older than this collection is ignored.
        """
        if listing.revision < self.revision:
            return ()
        names = {item.name for item in listing.objects}
        removed = [item for name, item in self.objects.items() if name not in names]
        changes = [Change(item, True) for item in removed]
        changes += [Change(item, False) for item in listing.objects]
        changes = [change for change in changes if self._apply_change(change)]
        if not self.is_known:
            self._history_start = listing.revision
        self._history.extend((listing.revision, change) for change in changes)
        self.revision = listing.revision
        return tuple(changes)

    def advance(self, update: Changes) -> tuple[Change, ...]:
        """Apply changes that follow this collection's revision; return those that took effect."""
        if update.revision < self.revision:
            return ()
        changes = [change for change in update.changes if self._apply_change(change)]
        self._history.extend((update.revision, change) for change in changes)
        self.revision = update.revision
        return tuple(changes)

    def find_changes(self, revision: int) -> Changes | None:
        """Return the last change of each object after a revision.

        Returns None if the history doesn't reach back that far and a full listing is needed.
        """
        if revision < self._history_start or self._has_dropped_changes(revision):
            return None
        latest = {
            change.object.name: change
            for changed_at, change in self._history
            if changed_at > revision
        }
        return Changes(tuple(latest.values()), self.revision)

    def make_listing(self) -> Listing:
        """Return all objects with the collection's revision."""
        return Listing(tuple(self.objects.values()), self.revision)

    def _has_dropped_changes(self, revision: int) -> bool:
        is_full = len(self._history) == MAX_HISTORY_CHANGES
        return is_full and revision < self._history[0][0]

    def _apply_change(self, change: Change) -> bool:
        """Apply a change unless the known object is newer; return whether it was applied."""
        item = change.object
        known = self.objects.get(item.name)
        if change.is_deleted:
            if known is None or known.revision > item.revision:
                return False
            del self.objects[item.name]
            return True
        if known is not None and known.revision >= item.revision:
            return False
        self.objects[item.name] = item
        return True
