"""Follows the objects of one kind in the platform's store."""

from random import Random

import trio

from zinnia_catalog.objects import HistoryLostError, ObjectKind, ObjectStore, StoreError
from zinnia_entry.metrics import Metrics
from zinnia_relay.store_cache import StoreCache
from zinnia_sending.events import EventSink

# A watch ends after this time without a change. It bounds how long a silent connection goes
# unnoticed, and how old the news of a VM that others follow can be.
WATCH_WAIT_S = {
    ObjectKind.CONFIGURATION: 1.5,
    ObjectKind.REPLICAS: 1.5,
    ObjectKind.DATA_CENTRES_OUT: 3.0,
    ObjectKind.RELEASES: 3.0,
}
# Changes of many replicas within this time are fetched with one call.
GATHER_S = {ObjectKind.REPLICAS: 0.25}
RETRY_FIRST_S = 0.15
RETRY_MAX_S = 1.5


class StoreFeed:
    """Keeps what is known of one kind up to date with a watch.

    Parameters
    ----------
    kind : ObjectKind
        The kind to follow.
    store_cache : StoreCache
        What is kept up to date; a peer may advance it meanwhile.
    watch_from : float, optional
        Time of the runtime's clock before which the store is not watched, only listed.
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
        self.is_lost = False
        self._watch_from = watch_from
        self._kind = kind
        self._store = store
        self._store_cache = store_cache
        self._metrics = metrics
        self._events = events
        self._random = random
        self._must_list = not store_cache.collections[kind].is_known

    async def run(self) -> None:
        """Follow the store until cancelled."""
        pause_s = RETRY_FIRST_S
        while True:
            try:
                has_changed = await self._step()
            except HistoryLostError:
                self._must_list = True
                self._events.note("history_lost", kind=self._kind.value)
                await trio.sleep(self._random.random() * RETRY_FIRST_S)
                continue
            except StoreError as error:
                self._note_failure(error)
                await trio.sleep(max(error.retry_after_s, pause_s * (0.5 + self._random.random())))
                pause_s = min(RETRY_MAX_S, pause_s * 2)
                continue
            pause_s = RETRY_FIRST_S
            self._note_success()
            if has_changed:
                await trio.sleep(GATHER_S.get(self._kind, 0.0))

    async def _step(self) -> bool:
        collection = self._store_cache.collections[self._kind]
        if self._must_list:
            changes = collection.replace(await self._store.list(self._kind))
            self._must_list = False
        else:
            await trio.sleep_until(self._watch_from)
            wait_s = WATCH_WAIT_S[self._kind]
            news = await self._store.watch(self._kind, collection.revision, wait_s)
            changes = collection.advance(news)
        self._store_cache.confirm(self._kind, changes)
        return bool(changes)

    def _note_failure(self, error: StoreError) -> None:
        self._store_cache.note_failure(self._kind)
        self._metrics.count_store_call(self._kind.value, "failed")
        if not self.is_lost:
            self.is_lost = True
            self._events.note("store_lost", kind=self._kind.value, cause=error.cause)

    def _note_success(self) -> None:
        self._metrics.count_store_call(self._kind.value, "served")
        if self.is_lost:
            self.is_lost = False
            revision = self._store_cache.collections[self._kind].revision
            self._events.note("store_regained", kind=self._kind.value, revision=revision)
