"""The last known objects of one kind, with a bounded history of their changes."""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable

from zinnia_catalog.objects import (
    Change,
    Changes,
    Listing,
    ObjectKind,
    StoredObject,
    StorePosition,
)
from zinnia_catalog.restores import Hold, HoldTimes, PeerHold, find_hold_times

# Changes kept for peers that follow this VM instead of the store.
MAX_HISTORY_CHANGES = 4096
# Removed objects that are remembered, in case a restored store has them again.
MAX_REMOVED_OBJECTS = 1024

OrderKey = tuple[int, ...]
# Returns a key that is higher for later states of an object, None if its contents don't tell.
KeyReader = Callable[[StoredObject], OrderKey | None]


class Collection:
    """Objects of one kind at one position of the store; the position never decreases.

    After the store was restored from an older copy, ``objects`` differs from the store where the
    copy is older than what was known; see ``zinnia_catalog.restores``.

    Parameters
    ----------
    kind : ObjectKind
        The kind of the objects.
    read_key : KeyReader, optional
        Orders the states of an object by their contents.
    hold_times : HoldTimes, optional
        How long to go by what was known before the store was restored.
    """

    def __init__(
        self,
        kind: ObjectKind,
        read_key: KeyReader = lambda item: None,
        hold_times: HoldTimes | None = None,
    ) -> None:
        self.kind = kind
        self.position = StorePosition()
        self.objects: dict[str, StoredObject] = {}
        self._read_key = read_key
        self._hold_times = hold_times or find_hold_times(kind)
        self._holds: dict[str, Hold] = {}
        self._settled: set[str] = set()  # had a hold in this era
        self._removed: OrderedDict[str, StoredObject] = OrderedDict()
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

    def replace(self, listing: Listing, now: float = 0.0) -> tuple[Change, ...]:
        """Replace all objects by a full listing; return the changes that this makes.

        A listing that is older than this collection is ignored. If the listing is the first one of
        an era, objects that are older in it than they are known are held.
        """
        if listing.position < self.position:
            return ()
        is_restored = self.is_known and listing.era > self.position.era
        if is_restored or not self.is_known:
            self._start_history(listing.revision)
        listed = {item.name: item for item in listing.objects}
        missing = [name for name in self.objects if name not in listed]
        if is_restored:
            changes = self._take_restored(listed, missing, now)
        else:
            changes = self._take_listed(listed, missing, now)
        self._history.extend((listing.revision, change) for change in changes)
        self.position = listing.position
        return tuple(changes)

    def advance(self, update: Changes, now: float = 0.0) -> tuple[Change, ...]:
        """Apply changes that follow this collection's revision; return those that took effect.

        Changes of another era are ignored: the objects have to be listed first.
        """
        if update.era != self.position.era or update.revision < self.revision:
            return ()
        changes = [change for change in update.changes if self._apply_change(change, now)]
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
        """Return all objects of the store, as far as they are known, with their position."""
        listed = dict(self.objects)
        for name, hold in self._holds.items():
            listed.pop(name, None)
            if hold.listed is not None:
                listed[name] = hold.listed
        return Listing(tuple(listed.values()), self.revision, self.position.era)

    def list_holds(self, now: float) -> list[PeerHold]:
        """Return the holds, for peers that have not known the store before it was restored."""
        return [
            PeerHold(name, self.objects.get(name), hold.listed, hold.until - now)
            for name, hold in self._holds.items()
        ]

    def adopt_holds(self, holds: Iterable[PeerHold], now: float) -> tuple[Change, ...]:
        """Hold what a peer holds where this VM goes by the copy; return the changes."""
        changes = []
        for hold in holds:
            known = self.objects.get(hold.name)
            is_new = hold.name not in self._holds and hold.name not in self._settled
            if not is_new or _get_revision(known) != _get_revision(hold.listed):
                continue
            self._hold(hold.name, hold.listed, now + hold.left_s)
            change = self._set(hold.name, hold.known)
            if change is not None:
                changes.append(change)
        return tuple(changes)

    def find_expiry(self) -> float | None:
        """Return the time at which ``expire_holds`` is due, None if nothing is held."""
        return min((hold.until for hold in self._holds.values()), default=None)

    def expire_holds(self, now: float) -> tuple[Change, ...]:
        """Go by the store for objects that were not written again in time; return the changes."""
        due = [name for name, hold in self._holds.items() if hold.until <= now]
        changes = [self._set(name, self._holds.pop(name).listed) for name in due]
        return tuple(change for change in changes if change is not None)

    def _take_restored(
        self, listed: dict[str, StoredObject], missing: list[str], now: float
    ) -> list[Change]:
        """Apply the first listing of an era; hold the objects that are older in it."""
        self._holds.clear()
        self._settled.clear()
        for name in missing:
            self._hold(name, None, now + self._hold_times.missing_s)
        changes = []
        for name, item in listed.items():
            known = self.objects.get(name)
            if self._is_from_copy(item):
                self._hold(name, item, now + self._hold_times.present_s)
                continue
            self._set(name, item)
            if known is None or not _is_same(item, known):
                changes.append(Change(item, False))
        return changes

    def _take_listed(
        self, listed: dict[str, StoredObject], missing: list[str], now: float
    ) -> list[Change]:
        """Apply a later listing of the same era; holds go on until their objects are written."""
        changes = []
        for name in missing:
            hold = self._holds.get(name)
            if hold is None or hold.listed is not None:
                changes.append(Change(self.objects[name], True))
        for name, item in listed.items():
            hold = self._holds.get(name)
            if hold is None or _get_revision(hold.listed) != item.revision:
                changes.append(Change(item, False))
        for name in [key for key, hold in self._holds.items() if hold.listed and key not in listed]:
            del self._holds[name]
        return [change for change in changes if self._apply_change(change, now)]

    def _apply_change(self, change: Change, now: float) -> bool:
        """Apply a change unless the known object is newer; return whether it was applied."""
        item = change.object
        known = self.objects.get(item.name)
        is_written_again = self._holds.pop(item.name, None) is not None
        if change.is_deleted:
            if known is None or (known.revision > item.revision and not is_written_again):
                return False
            self._set(item.name, None)
            return True
        if known is not None and known.revision >= item.revision and not is_written_again:
            return False
        if known is not None and self._is_earlier(item, known) is True:
            self._hold(item.name, item, now + self._hold_times.present_s)
            return False
        self._set(item.name, item)
        return True

    def _set(self, name: str, item: StoredObject | None) -> Change | None:
        """Set an object, or remove it; return the change, None if it was not there before."""
        if item is not None:
            self.objects[name] = item
            self._removed.pop(name, None)
            return Change(item, False)
        known = self.objects.pop(name, None)
        if known is None:
            return None
        self._removed[name] = known
        if len(self._removed) > MAX_REMOVED_OBJECTS:
            self._removed.popitem(last=False)
        return Change(known, True)

    def _hold(self, name: str, listed: StoredObject | None, until: float) -> None:
        self._holds[name] = Hold(listed, until)
        self._settled.add(name)

    def _is_from_copy(self, item: StoredObject) -> bool:
        """Whether an object of a restored store is as it was before its last known change.

        Without keys only revisions tell; a restored store gives some of them out again.
        """
        known = self.objects.get(item.name)
        removed = self._removed.get(item.name)
        if known is not None:
            is_earlier = self._is_earlier(item, known)
            if is_earlier is None:
                return item.spec != known.spec and item.revision < known.revision
            return is_earlier
        if removed is None:
            return False
        is_later = self._is_earlier(removed, item)
        return item.revision <= removed.revision if is_later is None else not is_later

    def _is_earlier(self, item: StoredObject, known: StoredObject) -> bool | None:
        """Whether a state of an object is earlier than another one, None without keys."""
        item_key, known_key = self._read_key(item), self._read_key(known)
        return None if item_key is None or known_key is None else item_key < known_key

    def _start_history(self, revision: int) -> None:
        self._history.clear()
        self._history_start = revision

    def _has_dropped_changes(self, revision: int) -> bool:
        is_full = len(self._history) == MAX_HISTORY_CHANGES
        return is_full and revision < self._history[0][0]


def _get_revision(item: StoredObject | None) -> int | None:
    return None if item is None else item.revision


def _is_same(item: StoredObject, known: StoredObject) -> bool:
    return (item.spec, item.status) == (known.spec, known.status)
