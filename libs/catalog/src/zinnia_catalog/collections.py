"""The last known objects of one kind, with the changes that led there."""

from collections import deque

from zinnia_catalog.objects import Change, Changes, Listing, ObjectKind, StoredObject

# Changes kept for peers that follow this VM instead of the store.
HISTORY_CHANGES = 4096


class Collection:
    """Objects of one kind at one revision of the store; never goes back to an older revision."""

    def __init__(self, kind: ObjectKind) -> None:
        self.kind = kind
        self.revision = 0
        self.objects: dict[str, StoredObject] = {}
        self._history: deque[tuple[int, Change]] = deque(maxlen=HISTORY_CHANGES)
        self._history_start = 0

    @property
    def is_known(self) -> bool:
        """Whether the objects were ever listed."""
        return self.revision > 0

    def replace(self, listing: Listing) -> tuple[Change, ...]:
        """Take a full listing; return what it changes. An older listing changes nothing."""
        if listing.revision < self.revision:
            return ()
        names = {item.name for item in listing.objects}
        gone = [item for name, item in self.objects.items() if name not in names]
        changes = [Change(item, True) for item in gone]
        changes += [Change(item, False) for item in listing.objects]
        changes = [change for change in changes if self._apply_one(change)]
        if not self.is_known:
            self._history_start = listing.revision
        self._history.extend((listing.revision, change) for change in changes)
        self.revision = listing.revision
        return tuple(changes)

    def advance(self, news: Changes) -> tuple[Change, ...]:
        """Take changes that follow this collection's revision; return those that are new."""
        if news.revision < self.revision:
            return ()
        changes = [change for change in news.changes if self._apply_one(change)]
        self._history.extend((news.revision, change) for change in changes)
        self.revision = news.revision
        return tuple(changes)

    def find_changes(self, revision: int) -> Changes | None:
        """Return the last change of each object after a revision, None if a listing is needed."""
        if revision < self._history_start or self._has_dropped(revision):
            return None
        latest = {change.object.name: change for at, change in self._history if at > revision}
        return Changes(tuple(latest.values()), self.revision)

    def make_listing(self) -> Listing:
        """Return all objects."""
        return Listing(tuple(self.objects.values()), self.revision)

    def _has_dropped(self, revision: int) -> bool:
        is_full = len(self._history) == HISTORY_CHANGES
        return is_full and revision < self._history[0][0]

    def _apply_one(self, change: Change) -> bool:
        """Apply a change unless a newer one is known; return whether it was applied."""
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
