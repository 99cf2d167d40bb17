"""The last known objects of one kind, with the changes that led there."""

from collections import deque
from collections.abc import Iterable

from zinnia_catalog.objects import Change, Changes, Listing, ObjectKind, StoredObject

# Changes kept for peers that follow this VM instead of the store.
HISTORY_CHANGES = 512


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
        changes += [Change(item, False) for item in listing.objects if self._is_news(item)]
        self._apply(changes)
        self._history.clear()
        self.revision = self._history_start = listing.revision
        return tuple(changes)

    def advance(self, news: Changes) -> tuple[Change, ...]:
        """Take changes that follow this collection's revision; return those that are new."""
        if news.revision < self.revision:
            return ()
        changes = [change for change in news.changes if self._is_change(change)]
        self._apply(changes)
        self._history.extend((news.revision, change) for change in changes)
        self.revision = news.revision
        return tuple(changes)

    def find_changes(self, revision: int) -> Changes | None:
        """Return the changes after a revision, or None if a full listing is needed."""
        if revision < self._history_start or self._has_dropped(revision):
            return None
        changes = tuple(change for at, change in self._history if at > revision)
        return Changes(changes, self.revision)

    def make_listing(self) -> Listing:
        """Return all objects."""
        return Listing(tuple(self.objects.values()), self.revision)

    def _has_dropped(self, revision: int) -> bool:
        is_full = len(self._history) == HISTORY_CHANGES
        return is_full and revision < self._history[0][0]

    def _is_news(self, item: StoredObject) -> bool:
        known = self.objects.get(item.name)
        return known is None or known.revision < item.revision

    def _is_change(self, change: Change) -> bool:
        return (
            change.object.name in self.objects
            if change.is_deleted
            else self._is_news(change.object)
        )

    def _apply(self, changes: Iterable[Change]) -> None:
        for change in changes:
            if change.is_deleted:
                self.objects.pop(change.object.name, None)
            else:
                self.objects[change.object.name] = change.object
