"""The collections that a VM shares with its peers, with the age of what it knows."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

import trio

from zinnia_catalog.collections import Collection
from zinnia_catalog.objects import Change, ObjectKind
from zinnia_catalog.observations import Observation, ObservationBoard
from zinnia_relay.messages import (
    Follow,
    KindUpdate,
    ObservedReplica,
    Update,
    apply_update,
    make_update,
    read_observations,
    write_observations,
)

# The entries of living replicas may have lapsed while the store was away within this time.
OUTAGE_MEMORY_S = 5.0

Applier = Callable[[ObjectKind, tuple[Change, ...], bool], None]


class ReplicaObserver(ABC):
    """What a VM sees of replicas itself, and where it takes what others see."""

    @abstractmethod
    def list_observations(self) -> list[Observation]:
        """Return the replicas that this VM itself sees as slow or failing."""

    @abstractmethod
    def take_observations(self, observations: Iterable[Observation]) -> None:
        """Take what other VMs saw."""


class Beliefs:
    """What this VM knows of each kind, and how recently that was confirmed.

    Parameters
    ----------
    kinds : tuple[ObjectKind, ...]
        The kinds that are followed.
    apply : Callable
        Told of changes, and whether the store was away shortly before.
    observer : ReplicaObserver, optional
        Gives what this VM sees of replicas, and takes what others see.
    """

    def __init__(
        self,
        kinds: tuple[ObjectKind, ...],
        apply: Applier,
        observer: ReplicaObserver | None = None,
    ) -> None:
        self.collections = {kind: Collection(kind) for kind in kinds}
        self._apply = apply
        self._confirmed_at: dict[ObjectKind, float] = {}
        self._failed_at: dict[ObjectKind, float] = {}
        self._news = trio.Event()
        self._observer = observer
        self._board = ObservationBoard(trio.current_time)

    @property
    def is_complete(self) -> bool:
        """Whether every kind is known."""
        return all(collection.is_known for collection in self.collections.values())

    def get_age(self, kind: ObjectKind) -> float | None:
        """Return the seconds since a kind was last confirmed, None if it never was."""
        confirmed_at = self._confirmed_at.get(kind)
        return None if confirmed_at is None else trio.current_time() - confirmed_at

    def confirm(self, kind: ObjectKind, changes: tuple[Change, ...], age_s: float = 0.0) -> None:
        """Note that a kind is known as of ``age_s`` seconds ago, and apply what changed."""
        confirmed_at = trio.current_time() - age_s
        self._confirmed_at[kind] = max(confirmed_at, self._confirmed_at.get(kind, confirmed_at))
        if changes:
            self._apply(kind, changes, self._was_away(kind))
            self._news.set()
            self._news = trio.Event()

    def note_failure(self, kind: ObjectKind) -> None:
        """Note that the store did not serve a call for a kind."""
        self._failed_at[kind] = trio.current_time()

    def is_fresh(self, limits: dict[ObjectKind, float]) -> bool:
        """Whether every kind was confirmed within its limit in seconds."""
        ages = {kind: self.get_age(kind) for kind in limits}
        return all(age is not None and age <= limits[kind] for kind, age in ages.items())

    def make_follow(self, vm: str, wait_s: float) -> Follow:
        """Return a request for news."""
        revisions = {kind.value: item.revision for kind, item in self.collections.items()}
        self._share(())
        observed = write_observations(self._board.list_fresh())
        return Follow(vm, revisions, int(wait_s * 1000), observed)

    async def answer(self, vm: str, follow: Follow) -> Update:
        """Return news for a peer, as soon as there is some."""
        self._share(follow.observed)
        with trio.move_on_after(follow.wait_ms / 1000):
            while not self._has_news(follow):
                await self._news.wait()
        kinds = [self._make_update(kind, follow) for kind in self.collections]
        return Update(vm, kinds, write_observations(self._board.list_fresh()))

    def take(self, update: Update) -> None:
        """Take a peer's news."""
        self._share(update.observed)
        for row in update.kinds:
            kind = _find_kind(row.kind)
            if kind is None or kind not in self.collections or row.age_ms < 0:
                continue
            self._take_outage(kind, row.outage_age_ms)
            changes = apply_update(self.collections[kind], row)
            if row.revision >= self.collections[kind].revision:
                self.confirm(kind, changes, row.age_ms / 1000)

    def _take_outage(self, kind: ObjectKind, outage_age_ms: int) -> None:
        """Take a peer's word on the store; that it turns this VM away says nothing of the store."""
        if outage_age_ms < 0:
            self._failed_at.pop(kind, None)
        else:
            self._failed_at[kind] = trio.current_time() - outage_age_ms / 1000

    def _share(self, observed: Iterable[ObservedReplica]) -> None:
        """Note what this VM sees, and pass what others see on to it."""
        if self._observer is None:
            return
        self._board.merge(self._observer.list_observations())
        news = self._board.merge(read_observations(observed))
        self._observer.take_observations(news)

    def _has_news(self, follow: Follow) -> bool:
        return any(
            collection.revision > follow.revisions.get(kind.value, 0) and collection.is_known
            for kind, collection in self.collections.items()
        )

    def _make_update(self, kind: ObjectKind, follow: Follow) -> KindUpdate:
        age_s = self.get_age(kind)
        failed_at = self._failed_at.get(kind)
        outage_ms = -1 if failed_at is None else int((trio.current_time() - failed_at) * 1000)
        age_ms = -1 if age_s is None else int(age_s * 1000)
        revision = follow.revisions.get(kind.value, 0)
        return make_update(self.collections[kind], revision, age_ms, outage_ms)

    def _was_away(self, kind: ObjectKind) -> bool:
        failed_at = self._failed_at.get(kind)
        return failed_at is not None and trio.current_time() - failed_at < OUTAGE_MEMORY_S


def _find_kind(word: str) -> ObjectKind | None:
    try:
        return ObjectKind(word)
    except ValueError:
        return None
