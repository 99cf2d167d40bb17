"""The last known objects of one kind, with a bounded history of their changes."""

from collections import deque
from dataclasses import replace

from zinnia_catalog.objects import (
    Change,
    Changes,
    Listing,
    ObjectKind,
    StoredObject,
    StorePosition,
)

# Changes kept for peers that follow this VM instead of the store.
MAX_HISTORY_CHANGES = 4096


class Collection:
    """Objects of one kind at one position of the store; the position never decreases."""

    def __init__(self, kind: ObjectKind) -> None:
        self.kind = kind
        self.position = StorePosition()
        self.objects: dict[str, StoredObject] = {}
        self._history: deque[tuple[int, Change]] = deque(maxlen=MAX_HISTORY_CHANGES)
        self._history_start = 0

    @property
    def revision(self) -> int:
        """The revision within the current era."""
        return self.position.revision

    @property
    def is_known(self) -> bool:
        """Whether a listing or a change was ever received."""
        return self.revision > 0

    def replace(self, listing: Listing) -> tuple[Change, ...]:
        """Replace all objects by a full listing; return the changes that this makes.

        A listing that is older than this collection is ignored.
        """
        if listing.position < self.position:
            return ()
        if listing.era > self.position.era:
            self._start_era(listing)
        names = {item.name for item in listing.objects}
        removed = [item for name, item in self.objects.items() if name not in names]
        changes = [Change(item, True) for item in removed]
        changes += [Change(item, False) for item in listing.objects]
        changes = [change for change in changes if self._apply_change(change)]
        if not self.is_known:
            self._history_start = listing.revision
        self._history.extend((listing.revision, change) for change in changes)
        self.position = listing.position
        return tuple(changes)

    def advance(self, update: Changes) -> tuple[Change, ...]:
        """Apply changes that follow this collection's revision; return those that took effect.

        Changes of another era are ignored: the objects have to be listed first.
        """
        if update.era != self.position.era or update.revision < self.revision:
            return ()
        changes = [change for change in update.changes if self._apply_change(change)]
        self._history.extend((update.revision, change) for change in changes)
        self.position = update.position
        return tuple(changes)

    def find_changes(self, position: StorePosition) -> Changes | None:
        """Return the last change of each object after a position.

        Returns None if the history doesn't reach back that far and a full listing is needed.
        """
        revision = position.revision
        if position.era != self.position.era or revision < self._history_start:
            return None
        if self._has_dropped_changes(revision):
            return None
        latest = {
            change.object.name: change
            for changed_at, change in self._history
            if changed_at > revision
        }
        return Changes(tuple(latest.values()), self.revision, self.position.era)

    def make_listing(self) -> Listing:
        """Return all objects with the collection's position."""
        return Listing(tuple(self.objects.values()), self.revision, self.position.era)

    def _start_era(self, listing: Listing) -> None:
        """Forget the revisions of the objects and the changes, which belong to an earlier era."""
        self.objects = {name: replace(item, revision=0) for name, item in self.objects.items()}
        self._history.clear()
        self._history_start = listing.revision

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
