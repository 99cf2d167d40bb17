"""Keeps the store cache up to date by watching one kind of object in the platform's store."""

from random import Random

import trio

from zinnia_catalog.objects import (
    Changes,
    HistoryLostError,
    ObjectKind,
    ObjectStore,
    StoreError,
    StorePosition,
)
from zinnia_entry.metrics import Metrics
from zinnia_relay.store_cache import StoreCache
from zinnia_sending.events import EventSink

# A watch returns after this time if nothing changed. This bounds how long a dead connection goes
# unnoticed, and how old the data of a VM that others follow can be.
WATCH_TIMEOUT_S = {
    ObjectKind.CONFIGURATION: 1.5,
    ObjectKind.REPLICAS: 1.5,
    ObjectKind.DATA_CENTRES_OUT: 3.0,
    ObjectKind.RELEASES: 3.0,
}
# Delay before the next call, so that changes of many replicas are fetched with one call.
BATCH_DELAY_S = {ObjectKind.REPLICAS: 0.25}
MIN_RETRY_DELAY_S = 0.15
MAX_RETRY_DELAY_S = 1.5


class StoreFeed:
    """Lists the objects of one kind, then watches them for changes.

    Parameters
    ----------
    kind : ObjectKind
        The kind to watch.
    store_cache : StoreCache
        The cache to update; replies of peers may update it at the same time.
    watch_from : float, optional
        Time on the runtime's clock before which objects are only listed, not watched.
    """

    def __init__(
        self,
        kind: ObjectKind,
        store: ObjectStore,
        store_cache: StoreCache,
        metrics: Metrics,
        events: EventSink,
        random: Random,
        watch_from: float = 0.0,
    ) -> None:
        self.is_unavailable = False
        self._is_behind = False
        self._watch_from = watch_from
        self._kind = kind
        self._store = store
        self._store_cache = store_cache
        self._metrics = metrics
        self._events = events
        self._random = random
        self._must_list = not store_cache.collections[kind].is_known

    async def run(self) -> None:
        """Update the cache until cancelled; retry failed calls with growing, random delays."""
        delay_s = MIN_RETRY_DELAY_S
        while True:
            try:
                has_changed = await self._fetch_changes()
            except HistoryLostError:
                self._store_cache.note_served()
                self._must_list = True
                self._events.note("history_lost", kind=self._kind.value)
                await trio.sleep(self._random.random() * MIN_RETRY_DELAY_S)
                continue
            except StoreError as error:
                self._note_failure(error)
                await trio.sleep(max(error.retry_after_s, delay_s * (0.5 + self._random.random())))
                delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)
                continue
            delay_s = MIN_RETRY_DELAY_S
            self._note_success()
            if has_changed:
                await trio.sleep(BATCH_DELAY_S.get(self._kind, 0.0))

    async def _fetch_changes(self) -> bool:
        collection = self._store_cache.collections[self._kind]
        if self._must_list:
            listing = await self._store.list(self._kind)
            self._check_position(listing.position, collection.position)
            changes = self._store_cache.apply_listing(self._kind, listing)
            self._must_list = False
        else:
            timeout_s = WATCH_TIMEOUT_S[self._kind]
            if trio.current_time() < self._watch_from:
                timeout_s = await self._wait_to_watch(timeout_s)
            update = await self._watch(collection.position, timeout_s)
            changes = self._store_cache.apply_changes(self._kind, update)
        return bool(changes)

    async def _watch(self, position: StorePosition, timeout_s: float) -> Changes:
        """Return the changes after a position; after a failure, return at once.

        Raises
        ------
        HistoryLostError
            The store doesn't have this history. Its revision may have been given out again.
        """
        if self.is_unavailable:
            timeout_s = 0.0
        update: Changes | None = None
        with self._store_cache.cancel_on_new_era():
            update = await self._store.watch(self._kind, position.revision, timeout_s)
        if update is None or update.era > position.era:
            raise HistoryLostError
        return update

    async def _wait_to_watch(self, timeout_s: float) -> float:
        """Return the timeout of the first watch: 0 at once if the data of a peer is too old."""
        age_s = self._store_cache.get_age(self._kind)
        if age_s is None or age_s > timeout_s:
            return 0.0
        await trio.sleep_until(self._watch_from)
        return timeout_s

    def _check_position(self, position: StorePosition, known: StorePosition) -> None:
        """Log a new era.

        Raises
        ------
        StoreError
            The store is behind what is known, so its listing must not be used.
        """
        if known.era < position.era and known.revision:
            self._events.note("store_restored", kind=self._kind.value, era=position.era)
        is_behind, self._is_behind = self._is_behind, position < known
        if not self._is_behind:
            return
        if not is_behind:
            self._events.note(
                "store_behind",
                kind=self._kind.value,
                era=position.era,
                revision=position.revision,
                known=known.revision,
            )
        raise StoreError("its listing is behind what is known")

    def _note_failure(self, error: StoreError) -> None:
        self._store_cache.note_failure()
        self._metrics.count_store_call(self._kind.value, "failed")
        if not self.is_unavailable:
            self.is_unavailable = True
            self._events.note("store_lost", kind=self._kind.value, cause=error.cause)

    def _note_success(self) -> None:
        self._metrics.count_store_call(self._kind.value, "served")
        if self.is_unavailable:
            self.is_unavailable = False
            revision = self._store_cache.collections[self._kind].revision
            self._events.note("store_regained", kind=self._kind.value, revision=revision)
