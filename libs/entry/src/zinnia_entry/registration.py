"""Registers this VM in the store, and keeps the list of the registered VMs up to date."""

from collections.abc import Callable
from random import Random

import trio

from zinnia_catalog.catalog import Catalog
from zinnia_catalog.collections import Collection
from zinnia_catalog.members import Member
from zinnia_catalog.objects import Listing, ObjectKind, ObjectStore, StoreError
from zinnia_relay.store_cache import StoreCache
from zinnia_sending.events import EventSink

MEMBERS_INTERVAL_S = 10.0
# Delay before the second listing, also after the store was restored: VMs that start together have
# registered by then. Later delays grow by this factor.
FIRST_MEMBERS_INTERVAL_S = 1.0
INTERVAL_GROWTH = 3.0
# The delays are spread by this fraction either way, so that VMs do not call the store together.
INTERVAL_SPREAD = 0.2


class Registration:
    """Registers a VM once in each era of the store, and lists all registered VMs.

    ``has_listed`` is set once they have been listed.

    Parameters
    ----------
    own : Member
        The registration of this VM.
    store : ObjectStore
        Holds the registrations.
    members : Collection
        The last known registrations.
    catalog : Catalog
        Receives their changes.
    store_cache : StoreCache
        Knows the era of the store: a restored store may have lost registrations.
    note_new_vm : Callable[[], None]
        Called if this VM has never been registered when it starts.
    """

    def __init__(
        self,
        own: Member,
        store: ObjectStore,
        members: Collection,
        catalog: Catalog,
        store_cache: StoreCache,
        events: EventSink,
        random: Random,
        note_new_vm: Callable[[], None],
    ) -> None:
        self._own = own
        self._store = store
        self._members = members
        self._catalog = catalog
        self._store_cache = store_cache
        self._events = events
        self._random = random
        self._note_new_vm = note_new_vm
        self._registered_era: int | None = None
        self.has_listed = False

    async def run(self) -> None:
        """Register and list until cancelled."""
        interval_s = FIRST_MEMBERS_INTERVAL_S
        while True:
            try:
                await self._update()
            except StoreError as error:
                self._store_cache.note_failure()
                self._events.note("members_unknown", cause=error.cause)
            spread = 1.0 + INTERVAL_SPREAD * (2.0 * self._random.random() - 1.0)
            with self._store_cache.cancel_on_new_era() as scope:
                await trio.sleep(interval_s * spread)
            interval_s = min(MEMBERS_INTERVAL_S, interval_s * INTERVAL_GROWTH)
            if scope.cancelled_caught:
                interval_s = FIRST_MEMBERS_INTERVAL_S
                await trio.sleep(interval_s * spread)

    async def _update(self) -> None:
        listing = await self._store.list(ObjectKind.MEMBERS, allow_stale=True)
        self._store_cache.note_served()
        changes = self._members.replace(listing, trio.current_time())
        self._catalog.apply(ObjectKind.MEMBERS, changes, None)
        self.has_listed = True
        if listing.era == self._registered_era:
            return
        if not self._is_listed(listing):
            await self._register()
        self._registered_era = listing.era

    async def _register(self) -> None:
        is_new = await self._store.create(ObjectKind.MEMBERS, self._own.vm, self._own.write())
        if is_new and self._registered_era is None:
            self._note_new_vm()

    def _is_listed(self, listing: Listing) -> bool:
        return any(item.name == self._own.vm for item in listing.objects)
