"""Decides where this VM learns changes: from the platform's store, or from a VM that watches it."""

import zlib
from collections.abc import Callable
from random import Random

import trio

from zinnia_catalog.objects import ObjectKind, ObjectStore
from zinnia_entry.feeds import StoreFeed
from zinnia_entry.metrics import Metrics
from zinnia_entry.settings import Address, EntrySettings
from zinnia_relay.beliefs import Beliefs
from zinnia_relay.client import PeerConnection, PeerLostError
from zinnia_sending.events import EventSink

FOLLOWED_KINDS = (
    ObjectKind.CONFIGURATION,
    ObjectKind.REPLICAS,
    ObjectKind.DATA_CENTRES_OUT,
    ObjectKind.RELEASES,
)
# VMs that watch the store themselves while it serves them; the others follow one of them.
WATCHERS = 2
# Largest age of a peer's news, in seconds; beyond it this VM asks the store itself.
FRESH_LIMITS_S = {
    ObjectKind.CONFIGURATION: 2.3,
    ObjectKind.REPLICAS: 2.3,
    ObjectKind.DATA_CENTRES_OUT: 4.0,
    ObjectKind.RELEASES: 4.0,
}
# How long a peer may hold its answer back while there is no news.
POLL_WAIT_S = 1.0
# After its watcher was lost, a VM watches the store itself for this long.
DIRECT_HOLD_S = 6.0
DECIDE_INTERVAL_S = 0.5
RESCUE_INTERVAL_S = 0.4


class SourceController:
    """Keeps beliefs up to date from the best source.

    Parameters
    ----------
    get_members : Callable[[], dict[str, str]]
        Names and peer addresses of all registered VMs.
    """

    def __init__(
        self,
        settings: EntrySettings,
        beliefs: Beliefs,
        store: ObjectStore,
        get_members: Callable[[], dict[str, str]],
        metrics: Metrics,
        events: EventSink,
        random: Random,
    ) -> None:
        self._settings = settings
        self.seeds = settings.seeds
        self._beliefs = beliefs
        self._store = store
        self._get_members = get_members
        self._metrics = metrics
        self._events = events
        self._random = random
        self._direct: trio.CancelScope | None = None
        self._hold_until = 0.0

    @property
    def is_direct(self) -> bool:
        """Whether this VM watches the store itself."""
        return self._direct is not None

    async def run(self) -> None:
        """Follow the best source until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._rescue)
            while True:
                watchers = self._find_watchers()
                if watchers and trio.current_time() >= self._hold_until:
                    await self._follow_any(watchers)
                    self._hold_until = trio.current_time() + DIRECT_HOLD_S
                if self._direct is None:
                    self._events.note("source_changed", source="store")
                    self._direct = trio.CancelScope()
                    nursery.start_soon(self._watch_store, self._direct)
                await trio.sleep(DECIDE_INTERVAL_S)

    def _find_watchers(self) -> list[tuple[str, Address]]:
        """Return the VMs to follow, best first; none if this VM watches the store itself."""
        members = self._get_members()
        if not self._beliefs.is_complete or len(members) <= WATCHERS:
            return []
        ranked = rank_members(set(members) | {self._settings.vm})[:WATCHERS]
        if self._settings.vm in ranked:
            return []
        self._random.shuffle(ranked)
        return [(name, parse_address(members[name])) for name in ranked]

    async def _follow_any(self, watchers: list[tuple[str, Address]]) -> None:
        """Follow one watcher after the other until none is of use."""
        for name, address in watchers:
            try:
                await self._follow(name, address)
            except PeerLostError as error:
                self._metrics.count_peer_call("failed")
                self._events.note("watcher_lost", peer=name, cause=str(error))

    async def _follow(self, name: str, address: Address) -> None:
        async with self._connect(address) as peer:
            while True:
                await peer.poll(POLL_WAIT_S)
                self._metrics.count_peer_call("served")
                if not self._beliefs.is_fresh(FRESH_LIMITS_S):
                    raise PeerLostError("its news is too old")
                self._stop_direct(name)

    def _stop_direct(self, name: str) -> None:
        if self._direct is not None:
            self._direct.cancel()
            self._direct = None
            self._events.note("source_changed", source=name)

    async def _watch_store(self, scope: trio.CancelScope) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                for kind in FOLLOWED_KINDS:
                    feed = StoreFeed(
                        kind,
                        self._store,
                        self._beliefs,
                        self._metrics,
                        self._events,
                        self._random,
                    )
                    nursery.start_soon(feed.run)

    async def _rescue(self) -> None:
        """Ask peers for news while the store does not answer."""
        while True:
            await trio.sleep(RESCUE_INTERVAL_S)
            if self._beliefs.is_fresh(FRESH_LIMITS_S):
                continue
            peers = self._list_peers()
            if peers:
                await self._ask_once(self._random.choice(peers))

    async def _ask_once(self, address: Address) -> None:
        was_complete = self._beliefs.is_complete
        try:
            async with self._connect(address) as peer:
                await peer.poll(0.0)
                self._metrics.count_peer_call("served")
        except PeerLostError:
            self._metrics.count_peer_call("failed")
            return
        if self._beliefs.is_complete and not was_complete:
            self._events.note("learned_from_peer", peer=str(address))

    def _connect(self, address: Address) -> PeerConnection:
        return PeerConnection(self._settings.vm, address.host, address.port, self._beliefs)

    def _list_peers(self) -> list[Address]:
        addresses = {parse_address(text) for text in self._get_members().values()}
        addresses.update(self.seeds)
        addresses.discard(self._settings.peers)
        return sorted(addresses, key=str)


def rank_members(names: set[str]) -> list[str]:
    """Return names in an order that is the same on every VM and unrelated to the names."""
    return sorted(names, key=lambda name: (zlib.crc32(name.encode()), name))


def parse_address(text: str) -> Address:
    """Return the address that a registration names."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
