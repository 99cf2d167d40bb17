"""Follows the objects of one kind in the platform's store."""

from collections.abc import Callable
from random import Random

import trio

from zinnia_catalog.collections import Collection
from zinnia_catalog.objects import (
    Change,
    HistoryLostError,
    ObjectKind,
    ObjectStore,
    StoreError,
)
from zinnia_entry.metrics import Metrics
from zinnia_sending.events import EventSink

# A watch ends after this time without a change, so a silent connection is found soon after.
WATCH_WAIT_S = 5.0
RETRY_FIRST_S = 0.15
RETRY_MAX_S = 1.5
# A store that was away this recently may have let entries of living replicas lapse.
OUTAGE_MEMORY_S = 5.0

Applier = Callable[[ObjectKind, tuple[Change, ...], bool], None]


class StoreFeed:
    """Keeps one collection up to date with a watch.

    Parameters
    ----------
    collection : Collection
        What is kept up to date; a peer may advance it meanwhile.
    apply : Applier
        Told of changes, and whether the store was away shortly before.
    """

    def __init__(
        self,
        collection: Collection,
        store: ObjectStore,
        apply: Applier,
        metrics: Metrics,
        events: EventSink,
        random: Random,
    ) -> None:
        self.collection = collection
        self.confirmed_at: float | None = None
        self.is_lost = False
        self._store = store
        self._apply = apply
        self._metrics = metrics
        self._events = events
        self._random = random
        self._failed_at: float | None = None
        self._must_list = True

    async def run(self) -> None:
        """Follow the store until cancelled."""
        pause_s = RETRY_FIRST_S
        while True:
            try:
                await self._step()
            except HistoryLostError:
                self._must_list = True
                self._events.note("history_lost", kind=self.collection.kind.value)
                await trio.sleep(self._random.random() * RETRY_FIRST_S)
                continue
            except StoreError as error:
                self._note_failure(error)
                await trio.sleep(max(error.retry_after_s, pause_s * (0.5 + self._random.random())))
                pause_s = min(RETRY_MAX_S, pause_s * 2)
                continue
            pause_s = RETRY_FIRST_S
            self._note_success()

    async def _step(self) -> None:
        collection = self.collection
        if self._must_list:
            listing = await self._store.list(collection.kind)
            self._must_list = False
            changes = collection.replace(listing)
        else:
            news = await self._store.watch(collection.kind, collection.revision, WATCH_WAIT_S)
            changes = collection.advance(news)
        if changes:
            self._apply(collection.kind, changes, self._was_away())

    def _was_away(self) -> bool:
        if self._failed_at is None:
            return False
        return trio.current_time() - self._failed_at < OUTAGE_MEMORY_S

    def _note_failure(self, error: StoreError) -> None:
        self._failed_at = trio.current_time()
        self._metrics.count_store_call(self.collection.kind.value, "failed")
        if not self.is_lost:
            self.is_lost = True
            self._events.note("store_lost", kind=self.collection.kind.value, cause=error.cause)

    def _note_success(self) -> None:
        self._metrics.count_store_call(self.collection.kind.value, "served")
        self.confirmed_at = trio.current_time()
        if self.is_lost:
            self.is_lost = False
            self._events.note(
                "store_regained",
                kind=self.collection.kind.value,
                revision=self.collection.revision,
            )
