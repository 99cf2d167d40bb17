"""A VM's cached copy of the store, which it exchanges with its peers, and the age of the copy."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from math import inf

import trio

from zinnia_catalog.collections import Collection
from zinnia_catalog.objects import Change, Changes, Listing, ObjectKind
from zinnia_catalog.restores import REANNOUNCE_TIMEOUT_S, find_min_outage
from zinnia_relay.exchange import FindingsExchange, FindingsSource
from zinnia_relay.messages import (
    FollowReply,
    FollowRequest,
    KindUpdate,
    apply_update,
    make_update,
)
from zinnia_relay.outages import OutageTracker

DEFAULT_MIN_OUTAGE_S = find_min_outage()

ChangeHandler = Callable[[ObjectKind, tuple[Change, ...], float | None], None]


class StoreCache:
    """Cached objects of each kind, and the time at which the store last confirmed them.

    Parameters
    ----------
    kinds : tuple[ObjectKind, ...]
        The kinds of objects to cache.
    apply : Callable
        Called with the kind, its changes, and the time until which removals may stem from an outage
        of the store; None if there was none.
    source : FindingsSource, optional
        Provides what this VM has found out, and receives what other VMs have.
    make_collection : Callable[[ObjectKind], Collection], optional
        Returns an empty collection of a kind.
    min_outage_s : float, optional
        Shortest outage of the store, in seconds, in which entries of running replicas may lapse.
    """

    def __init__(
        self,
        kinds: tuple[ObjectKind, ...],
        apply: ChangeHandler,
        source: FindingsSource | None = None,
        make_collection: Callable[[ObjectKind], Collection] = Collection,
        min_outage_s: float = DEFAULT_MIN_OUTAGE_S,
    ) -> None:
        self.collections = {kind: make_collection(kind) for kind in kinds}
        self._apply = apply
        self._confirmed_at: dict[ObjectKind, float] = {}
        self._outages = OutageTracker(min_outage_s)
        self._changed = trio.Event()
        self._findings = FindingsExchange(source)
        self._era = 0
        self._era_scopes: set[trio.CancelScope] = set()

    @property
    def is_complete(self) -> bool:
        """Whether every kind was received at least once."""
        return all(collection.is_known for collection in self.collections.values())

    @property
    def era(self) -> int:
        """The highest known era of the store."""
        return self._era

    def get_age(self, kind: ObjectKind) -> float | None:
        """Return the seconds since the store last confirmed a kind, None if it never did."""
        confirmed_at = self._confirmed_at.get(kind)
        return None if confirmed_at is None else trio.current_time() - confirmed_at

    def apply_listing(self, kind: ObjectKind, listing: Listing) -> tuple[Change, ...]:
        """Apply a listing of the store; return the changes that it makes."""
        self.note_served()
        changes = self.collections[kind].replace(listing, trio.current_time())
        self.confirm(kind, changes)
        self._check_era()
        return changes

    def apply_changes(self, kind: ObjectKind, update: Changes) -> tuple[Change, ...]:
        """Apply changes that the store has replied; return those that took effect."""
        self.note_served()
        changes = self.collections[kind].advance(update, trio.current_time())
        self.confirm(kind, changes)
        return changes

    @contextmanager
    def cancel_on_new_era(self) -> Iterator[trio.CancelScope]:
        """Cancel the block as soon as the store is known to be in a new era."""
        with trio.CancelScope() as scope:
            self._era_scopes.add(scope)
            try:
                yield scope
            finally:
                self._era_scopes.discard(scope)

    def find_hold_expiry(self) -> float | None:
        """Return the time at which ``expire_holds`` is due, None if nothing is held."""
        times = [collection.find_expiry() for collection in self.collections.values()]
        return min((time for time in times if time is not None), default=None)

    def expire_holds(self) -> None:
        """Go by the store for objects that were not written again after it was restored."""
        for kind, collection in self.collections.items():
            changes = collection.expire_holds(trio.current_time())
            if changes:
                self._apply(kind, changes, None)

    def confirm(self, kind: ObjectKind, changes: tuple[Change, ...], age_s: float = 0.0) -> None:
        """Record that the store confirmed a kind ``age_s`` seconds ago, and report its changes."""
        confirmed_at = trio.current_time() - age_s
        self._confirmed_at[kind] = max(confirmed_at, self._confirmed_at.get(kind, confirmed_at))
        if changes:
            self._apply(kind, changes, self._find_hold_end())
            self._notify_followers()

    def note_served(self) -> None:
        """Record that the store has answered a call."""
        self._outages.record_served()

    def note_failure(self) -> None:
        """Record that a call of the store failed."""
        self._outages.record_failed()

    def is_fresh(self, limits: dict[ObjectKind, float]) -> bool:
        """Whether every kind was confirmed within its limit in seconds."""
        return self.find_time_left(limits) >= 0

    def find_time_left(self, limits: dict[ObjectKind, float]) -> float:
        """Return the seconds until a kind was confirmed longer ago than its limit."""
        ages = {kind: self.get_age(kind) for kind in limits}
        return min(-inf if age is None else limits[kind] - age for kind, age in ages.items())

    def make_request(self, vm: str, wait_s: float) -> FollowRequest:
        """Return a request for the changes that this VM lacks, with its findings."""
        positions = {kind: item.position for kind, item in self.collections.items()}
        return FollowRequest(vm, positions, int(wait_s * 1000), self._findings.make_request())

    async def answer_request(self, vm: str, request: FollowRequest) -> FollowReply:
        """Return the changes that a peer lacks, once there are any or its wait is over."""
        self._findings.apply(request.findings)
        with trio.move_on_after(request.wait_ms / 1000):
            while not self._is_ahead_of(request):
                await self._changed.wait()
        kinds = [self._make_update(kind, request) for kind in self.collections]
        return FollowReply(vm, kinds, self._findings.make_reply())

    def apply_reply(self, reply: FollowReply) -> None:
        """Apply the changes, ages and findings of a peer's reply."""
        self._findings.apply(reply.findings)
        for update in reply.kinds:
            kind = _find_kind(update.kind)
            if kind is None or kind not in self.collections or update.age_ms < 0:
                continue
            if self._is_newer(kind, update):
                self._outages.adopt(_read_outage_end(update))
            changes = apply_update(self.collections[kind], update, trio.current_time())
            if update.position >= self.collections[kind].position:
                self.confirm(kind, changes, update.age_ms / 1000)
        self._check_era()

    def _is_newer(self, kind: ObjectKind, update: KindUpdate) -> bool:
        """Return whether the store has confirmed a kind to the sender later than to this VM."""
        if update.position < self.collections[kind].position:
            return False
        age_s = self.get_age(kind)
        return age_s is None or update.age_ms / 1000 < age_s

    def _check_era(self) -> None:
        """Tell followers and waiting calls of a new era, which holds for all kinds."""
        era = max(collection.position.era for collection in self.collections.values())
        if era == self._era:
            return
        self._era = era
        for scope in tuple(self._era_scopes):
            scope.cancel()
        self._notify_followers()

    def _notify_followers(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _is_ahead_of(self, request: FollowRequest) -> bool:
        return any(
            collection.position > request.get_position(kind) and collection.is_known
            for kind, collection in self.collections.items()
        )

    def _make_update(self, kind: ObjectKind, request: FollowRequest) -> KindUpdate:
        age_s = self.get_age(kind)
        ended_at = self._outages.ended_at
        outage_ms = -1 if ended_at is None else int((trio.current_time() - ended_at) * 1000)
        age_ms = -1 if age_s is None else int(age_s * 1000)
        position = request.get_position(kind)
        collection = self.collections[kind]
        return make_update(collection, position, age_ms, outage_ms, trio.current_time())

    def _find_hold_end(self) -> float | None:
        """Return the time until which lapsed entries of running replicas may be written again.

        It counts from the end of the outage, not from the time at which this VM hears of a removal.
        """
        ended_at = self._outages.ended_at
        return None if ended_at is None else ended_at + REANNOUNCE_TIMEOUT_S


def _read_outage_end(update: KindUpdate) -> float | None:
    """Return the time at which the latest outage ended that the sender knows."""
    if update.outage_age_ms < 0:
        return None
    return trio.current_time() - update.outage_age_ms / 1000


def _find_kind(value: str) -> ObjectKind | None:
    try:
        return ObjectKind(value)
    except ValueError:
        return None
