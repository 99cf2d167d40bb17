"""Decides where this VM learns changes: from the platform's store, or from a VM that watches it."""

from collections.abc import Callable, Mapping
from random import Random

import trio

from zinnia_catalog.members import Member, find_all_watchers, find_watchers
from zinnia_catalog.objects import HistoryLostError, ObjectKind, ObjectStore, StoreError
from zinnia_entry.feeds import StoreFeed
from zinnia_entry.metrics import Metrics
from zinnia_entry.settings import Address, EntrySettings
from zinnia_relay.client import CONNECT_TIMEOUT_S, PeerConnection, PeerLostError
from zinnia_relay.store_cache import StoreCache
from zinnia_sending.events import EventSink

FOLLOWED_KINDS = (
    ObjectKind.CONFIGURATION,
    ObjectKind.REPLICAS,
    ObjectKind.DATA_CENTRES_OUT,
    ObjectKind.RELEASES,
)
# Largest age of a peer's news, in seconds; beyond it this VM asks the store itself.
FRESH_LIMITS_S = {
    ObjectKind.CONFIGURATION: 2.3,
    ObjectKind.REPLICAS: 2.3,
    ObjectKind.DATA_CENTRES_OUT: 4.0,
    ObjectKind.RELEASES: 4.0,
}
# How long a peer may hold its answer back while there is no news.
POLL_WAIT_S = 0.5
# After its watchers were lost, a VM watches the store itself for this long.
DIRECT_HOLD_S = 4.0
# How long a VM looks for a deputy that has the store's news before it asks the store itself.
DEPUTY_WAIT_S = 0.6
DEPUTY_PAUSE_S = 0.2
# Pause before the next call of a VM that the store does not serve, while others ask it as well.
PROBE_PAUSE_S = 1.5
DECIDE_INTERVAL_S = 0.5
STORE_SOURCE = "store"
RESCUE_INTERVAL_S = 0.4
# How often watchers tell each other which replicas are slow.
EXCHANGE_INTERVAL_S = 0.7
# A VM that starts gives a peer this long to accept a connection and to tell it everything, before
# it asks the store. After a loss of all VMs no peer accepts, and the wait delays the first answer.
FIRST_CONNECT_S = 0.03
FIRST_ASK_S = 0.4
# VMs that start together know each other after this time, and most of them follow another one then.
# Until then they list the store, but do not watch it.
START_SETTLE_S = 1.8


class SourceController:
    """Keeps beliefs up to date from the best source.

    Parameters
    ----------
    get_members : Callable[[], Mapping[str, Member]]
        All registered VMs.
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
        self._direct: trio.CancelScope | None = None
        self._hold_until = 0.0
        self._watch_from = 0.0
        self._source = ""
        self._ranked_vms: set[str] = set()
        self._watchers: list[Member] = []

    async def run(self) -> None:
        """Follow the best source until cancelled."""
        self._watch_from = trio.current_time() + START_SETTLE_S
        with trio.move_on_after(FIRST_ASK_S):
            await self._ask_any(FIRST_CONNECT_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._rescue)
            nursery.start_soon(self._exchange_with_watchers)
            while True:
                await self._follow_while_useful()
                if self._direct is None and await self._should_watch():
                    self._set_source(STORE_SOURCE)
                    self._direct = trio.CancelScope()
                    nursery.start_soon(self._watch_store, self._direct)
                await trio.sleep(DECIDE_INTERVAL_S)

    async def _follow_while_useful(self) -> None:
        """Follow watchers until none has news that are fresh enough."""
        if trio.current_time() < self._hold_until or not self._find_watchers():
            return
        give_up_at = trio.current_time() + DEPUTY_WAIT_S
        while True:
            if await self._follow_any(self._find_watchers()):
                give_up_at = trio.current_time() + DEPUTY_WAIT_S
            if trio.current_time() >= give_up_at:
                self._hold_until = trio.current_time() + DIRECT_HOLD_S
                return
            await trio.sleep(DEPUTY_PAUSE_S)

    async def _should_watch(self) -> bool:
        """Whether to watch the store; a VM with others before it first sees if it is served."""
        if not self._find_watchers():
            return True
        kind = ObjectKind.CONFIGURATION
        try:
            revision = self._store_cache.collections[kind].revision
            await self._store.watch(kind, revision, 0.0)
        except HistoryLostError:
            return True
        except StoreError as error:
            self._metrics.count_store_call(kind.value, "failed")
            self._store_cache.note_failure(kind)
            self._hold_until = 0.0
            await trio.sleep(
                max(error.retry_after_s, PROBE_PAUSE_S * (0.5 + self._random.random()))
            )
            return False
        self._metrics.count_store_call(kind.value, "served")
        return True

    def _find_watchers(self) -> list[tuple[str, Address]]:
        """Return the VMs to follow, best first; none if this VM watches the store itself."""
        if not self._store_cache.is_complete:
            return []
        found, count = find_watchers(self._get_members(), self._own)
        watchers, deputies = found[:count], found[count:]
        self._random.shuffle(watchers)
        self._random.shuffle(deputies)
        return [(row.vm, parse_address(row.peer_address)) for row in [*watchers, *deputies]]

    async def _follow_any(self, watchers: list[tuple[str, Address]]) -> bool:
        """Follow one VM after the other until none is of use; return whether one was."""
        was_useful = False
        for name, address in watchers:
            started = trio.current_time()
            try:
                await self._follow(name, address)
            except PeerLostError as error:
                self._metrics.count_peer_call("failed")
                if trio.current_time() - started > POLL_WAIT_S:
                    was_useful = True
                    self._events.note("watcher_lost", peer=name, cause=str(error))
        return was_useful

    async def _follow(self, name: str, address: Address) -> None:
        async with self._connect(address) as peer:
            wait_s = 0.0
            while True:
                await peer.poll(wait_s)
                wait_s = POLL_WAIT_S
                self._metrics.count_peer_call("served")
                if not self._store_cache.is_fresh(FRESH_LIMITS_S):
                    raise PeerLostError("its news is too old")
                self._set_source(name)

    def _set_source(self, name: str) -> None:
        """Note where news comes from; watches of this VM end once it follows another one."""
        if name != STORE_SOURCE and self._direct is not None:
            self._direct.cancel()
            self._direct = None
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
                        self._watch_from,
                    )
                    nursery.start_soon(feed.run)

    async def _rescue(self) -> None:
        """Ask peers for news while the store does not answer."""
        while True:
            await trio.sleep(RESCUE_INTERVAL_S)
            if self._store_cache.is_fresh(FRESH_LIMITS_S):
                continue
            await self._ask_any()

    async def _exchange_with_watchers(self) -> None:
        """While this VM watches the store, trade observations with the other watchers."""
        while True:
            await trio.sleep(EXCHANGE_INTERVAL_S)
            if self._direct is None:
                continue
            for member in self._list_watchers():
                if member.vm != self._own.vm:
                    await self._ask_once(parse_address(member.peer_address), FIRST_ASK_S)

    def _list_watchers(self) -> list[Member]:
        members = self._get_members()
        if members.keys() != self._ranked_vms:
            self._ranked_vms = set(members)
            self._watchers = find_all_watchers(members)
        return self._watchers

    async def _ask_any(self, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        """Ask one peer for all that it knows."""
        peers = self._list_peers()
        if peers:
            await self._ask_once(self._random.choice(peers), connect_timeout_s)

    async def _ask_once(self, address: Address, connect_timeout_s: float) -> None:
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
        addresses = {parse_address(row.peer_address) for row in self._get_members().values()}
        addresses.update(self.seeds)
        addresses.discard(self._settings.peers)
        return sorted(addresses, key=str)


def parse_address(text: str) -> Address:
    """Return the address that a registration names."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def make_member(settings: EntrySettings) -> Member:
    """Return the registration of this VM."""
    address = str(settings.peers or settings.callers)
    return Member(settings.vm, address, settings.data_centre, settings.capacity)
