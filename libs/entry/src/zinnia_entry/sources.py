"""Choice of the source of store changes: the platform's store, or a VM that watches the store."""

from collections.abc import Callable, Mapping
from math import inf
from random import Random

import trio

from zinnia_catalog.members import Member, find_all_watchers
from zinnia_catalog.objects import HistoryLostError, ObjectKind, ObjectStore, StoreError
from zinnia_entry.feeds import StoreFeed
from zinnia_entry.metrics import Metrics
from zinnia_entry.peersearch import PEER_SEARCH_INTERVAL_S, Candidate, PeerSearch, parse_address
from zinnia_entry.settings import Address, EntrySettings
from zinnia_relay.client import (
    ANSWER_MARGIN_S,
    CONNECT_TIMEOUT_S,
    PeerConnection,
    PeerLostError,
    PeerSilentError,
)
from zinnia_relay.store_cache import StoreCache
from zinnia_sending.events import EventSink

FOLLOWED_KINDS = (
    ObjectKind.CONFIGURATION,
    ObjectKind.REPLICAS,
    ObjectKind.DATA_CENTRES_OUT,
    ObjectKind.RELEASES,
)
# Maximum age of the data of a peer; if it is older, this VM turns to the store itself.
MAX_DATA_AGE_S = {
    ObjectKind.CONFIGURATION: 2.3,
    ObjectKind.REPLICAS: 2.3,
    ObjectKind.DATA_CENTRES_OUT: 4.0,
    ObjectKind.RELEASES: 4.0,
}
# How long a peer may delay its reply to a poll while nothing has changed.
POLL_TIMEOUT_S = 0.5
# A VM that has lost its watchers watches the store itself for this time.
DIRECT_WATCH_S = 4.0
# Average delay after a failed store call, unless the error asks for a longer one. The delay is
# randomized, because other VMs call the store again at the same time.
STORE_RETRY_DELAY_S = 1.5
SOURCE_CHECK_INTERVAL_S = 0.5
STORE_SOURCE = "store"
AGE_CHECK_INTERVAL_S = 0.4
# How often watchers exchange their observations of slow replicas.
OBSERVATIONS_INTERVAL_S = 0.7
# Time that a starting VM gives a peer to accept a connection and to send all its data, before it
# calls the store. If all VMs restart at once, no peer accepts, and the wait delays the first reply.
# Watchers that exchange observations also use ``START_POLL_TIMEOUT_S``, as the connect timeout.
START_CONNECT_TIMEOUT_S = 0.03
START_POLL_TIMEOUT_S = 0.4
# VMs that start together have found each other after this time, and most of them then follow
# another VM. Until then they list the objects of the store, but do not watch them.
START_WATCH_DELAY_S = 1.8
# A VM that starts waits this long for a source with current data, before it serves with older data.
CURRENT_DATA_TIMEOUT_S = 3.0


class SourceController:
    """Keeps the store cache up to date from the best available source.

    A few VMs watch the store, and the others follow one of these watchers or, if none has fresh
    data, a deputy. A VM that finds neither watches the store itself for a limited time.

    Parameters
    ----------
    get_members : Callable[[], Mapping[str, Member]]
        Returns all registered VMs.
    """

    def __init__(
        self,
        settings: EntrySettings,
        store_cache: StoreCache,
        store: ObjectStore,
        get_members: Callable[[], Mapping[str, Member]],
        metrics: Metrics,
        events: EventSink,
        random: Random,
    ) -> None:
        self._settings = settings
        self.seeds = settings.seeds
        self._own = make_member(settings)
        self._store_cache = store_cache
        self._store = store
        self._get_members = get_members
        self._metrics = metrics
        self._events = events
        self._random = random
        self._search = PeerSearch(self._own, get_members, random)
        self._watch_scope: trio.CancelScope | None = None
        self._direct_until = 0.0
        self._watch_start_at = 0.0
        self._current_data_due = inf
        self._source = ""
        self._ranked_vms: set[str] = set()
        self._watchers: list[Member] = []

    def has_started(self) -> bool:
        """Return whether the data has been current since the start, or no source has such data.

        The first data may come from a VM that is cut off from the store; it then names replicas
        that have left since.
        """
        if not self._store_cache.is_complete:
            return False
        if self._store_cache.is_fresh(MAX_DATA_AGE_S):
            self._current_data_due = -inf
        return trio.current_time() >= self._current_data_due

    async def run(self) -> None:
        """Update the cache from the best source until cancelled."""
        self._watch_start_at = trio.current_time() + START_WATCH_DELAY_S
        self._current_data_due = trio.current_time() + CURRENT_DATA_TIMEOUT_S
        with trio.move_on_after(START_POLL_TIMEOUT_S):
            await self._poll_random_peer(START_CONNECT_TIMEOUT_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._refresh_old_data)
            nursery.start_soon(self._exchange_with_watchers)
            while True:
                await self._follow_peers()
                if self._watch_scope is None and await self._can_watch_store():
                    self._set_source(STORE_SOURCE)
                    self._watch_scope = trio.CancelScope()
                    nursery.start_soon(self._watch_store, self._watch_scope)
                await trio.sleep(SOURCE_CHECK_INTERVAL_S)

    async def _follow_peers(self) -> None:
        """Follow watchers or deputies until none has had fresh data for a while."""
        if trio.current_time() < self._direct_until or not self._has_peers_to_follow():
            return
        search_until = trio.current_time() + self._search.timeout_s
        while trio.current_time() < search_until:
            candidates = self._search.list_candidates()
            if not candidates:
                break
            for candidate in candidates:
                if await self._follow_peer(candidate, search_until):
                    search_until = trio.current_time() + self._search.timeout_s
            await trio.sleep(PEER_SEARCH_INTERVAL_S)
        self._direct_until = trio.current_time() + DIRECT_WATCH_S

    def _has_peers_to_follow(self) -> bool:
        return self._store_cache.is_complete and self._search.has_peers

    async def _can_watch_store(self) -> bool:
        """Whether to watch the store; a VM with peers to follow checks that the store answers."""
        if not self._has_peers_to_follow():
            return True
        kind = ObjectKind.CONFIGURATION
        try:
            revision = self._store_cache.collections[kind].revision
            await self._store.watch(kind, revision, 0.0)
        except HistoryLostError:
            self._store_cache.note_served()
            return True
        except StoreError as error:
            self._metrics.count_store_call(kind.value, "failed")
            self._store_cache.note_failure()
            self._direct_until = 0.0
            await trio.sleep(
                max(error.retry_after_s, STORE_RETRY_DELAY_S * (0.5 + self._random.random()))
            )
            return False
        self._metrics.count_store_call(kind.value, "served")
        self._store_cache.note_served()
        return True

    async def _follow_peer(self, candidate: Candidate, search_until: float) -> bool:
        """Follow a VM until it fails; return whether it had fresh data.

        The VM has to provide the first data by ``search_until``, a monotonic time in seconds.
        """
        was_useful = False
        try:
            async with self._connect(
                candidate.address, _limit(CONNECT_TIMEOUT_S, search_until)
            ) as peer:
                await self._poll_candidate(
                    peer, candidate, 0.0, _limit(ANSWER_MARGIN_S, search_until)
                )
                was_useful = True
                while True:
                    # The reply comes as soon as the data would be too old, not some time later.
                    left_s = max(0.0, self._store_cache.find_time_left(MAX_DATA_AGE_S))
                    wait_s = min(POLL_TIMEOUT_S, left_s)
                    await self._poll_candidate(peer, candidate, wait_s, ANSWER_MARGIN_S)
        except PeerLostError as error:
            self._metrics.count_peer_call("failed")
            if isinstance(error, PeerSilentError):
                self._search.record_silence(candidate)
            if was_useful:
                self._events.note("watcher_lost", peer=candidate.vm, cause=str(error))
        return was_useful

    async def _poll_candidate(
        self, peer: PeerConnection, candidate: Candidate, wait_s: float, margin_s: float
    ) -> None:
        """Poll a VM once.

        Raises
        ------
        PeerLostError
            The VM did not answer, or its data is too old.
        """
        await peer.poll(wait_s, margin_s)
        self._metrics.count_peer_call("served")
        if not self._store_cache.is_fresh(MAX_DATA_AGE_S):
            raise PeerLostError("the peer's copy of the store is too old")
        self._set_source(candidate.vm)

    def _set_source(self, name: str) -> None:
        """Record the current source; stop this VM's own watches if the source is a peer."""
        if name != STORE_SOURCE and self._watch_scope is not None:
            self._watch_scope.cancel()
            self._watch_scope = None
        if name != self._source:
            self._source = name
            self._events.note("source_changed", source=name)

    async def _watch_store(self, scope: trio.CancelScope) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                for kind in FOLLOWED_KINDS:
                    feed = StoreFeed(
                        kind,
                        self._store,
                        self._store_cache,
                        self._metrics,
                        self._events,
                        self._random,
                        self._watch_start_at,
                    )
                    nursery.start_soon(feed.run)

    async def _refresh_old_data(self) -> None:
        """Poll random peers while the cached data is too old."""
        while True:
            await trio.sleep(AGE_CHECK_INTERVAL_S)
            if self._store_cache.is_fresh(MAX_DATA_AGE_S):
                continue
            await self._poll_random_peer()

    async def _exchange_with_watchers(self) -> None:
        """Exchange observations with the other watchers while this VM watches the store."""
        while True:
            await trio.sleep(OBSERVATIONS_INTERVAL_S)
            if self._watch_scope is None:
                continue
            async with trio.open_nursery() as nursery:
                for member in self._list_watchers():
                    if member.vm != self._own.vm:
                        address = parse_address(member.peer_address)
                        nursery.start_soon(self._poll_once, address, START_POLL_TIMEOUT_S)

    def _list_watchers(self) -> list[Member]:
        members = self._get_members()
        if members.keys() != self._ranked_vms:
            self._ranked_vms = set(members)
            self._watchers = find_all_watchers(members)
        return self._watchers

    async def _poll_random_peer(self, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        """Poll one random peer for all changes that this VM lacks."""
        peers = self._list_peers()
        if peers:
            await self._poll_once(self._random.choice(peers), connect_timeout_s)

    async def _poll_once(self, address: Address, connect_timeout_s: float) -> None:
        was_complete = self._store_cache.is_complete
        try:
            async with self._connect(address, connect_timeout_s) as peer:
                await peer.poll(0.0)
                self._metrics.count_peer_call("served")
        except PeerLostError:
            self._metrics.count_peer_call("failed")
            return
        if self._store_cache.is_complete and not was_complete:
            self._events.note("learned_from_peer", peer=str(address))

    def _connect(
        self, address: Address, connect_timeout_s: float = CONNECT_TIMEOUT_S
    ) -> PeerConnection:
        return PeerConnection(
            self._settings.vm, address.host, address.port, self._store_cache, connect_timeout_s
        )

    def _list_peers(self) -> list[Address]:
        addresses = {parse_address(item.peer_address) for item in self._get_members().values()}
        addresses.update(self.seeds)
        addresses.discard(self._settings.peers)
        return sorted(addresses, key=str)


def _limit(timeout_s: float, until: float) -> float:
    """Return a timeout that ends at ``until`` at the latest, a monotonic time in seconds."""
    return max(0.0, min(timeout_s, until - trio.current_time()))


def make_member(settings: EntrySettings) -> Member:
    """Return the registration of this VM."""
    address = str(settings.peers or settings.callers)
    return Member(settings.vm, address, settings.data_centre, settings.capacity)
