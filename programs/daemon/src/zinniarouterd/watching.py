"""Follows the platform: configuration, shard maps and the list of VMs."""

from collections.abc import Callable
from random import Random

import trio
from loguru import logger

from zinnia_facts.table import Fact
from zinnia_membership.membership import Membership
from zinnia_model.configuration import ConfigDocument
from zinnia_model.errors import PlatformUnavailableError
from zinnia_model.ids import Revision
from zinnia_platform.store import ObjectStore, StoredObject
from zinniarouterd.maps import MAPS_KIND, ShardMaps
from zinniarouterd.writer import CONFIG_KIND, CONFIG_NAME, read_document

# Each renewal is a call on the platform. Contact with the members shows that a VM is current.
WATCH_TIMEOUT_S = 10.0
LEAVING = "leaving"


class PlatformWatch:
    """Loops that keep this VM in step with the platform.

    The three highest-ranked members watch; the other VMs hear from them. A VM that has nothing yet
    reads for itself.

    Parameters
    ----------
    adopt : callable
        Called with each configuration document that the platform holds.
    publish : callable
        Called with the fact of each new shard map.
    poll_s : float
        Seconds between two reads of the list of VMs, and before a failed call is repeated.
    """

    def __init__(
        self,
        store: ObjectStore,
        find_membership: Callable[[], Membership],
        maps: ShardMaps,
        adopt: Callable[[ConfigDocument], None],
        publish: Callable[[Fact], None],
        poll_s: float,
        random: Random,
    ) -> None:
        self._store = store
        self._find_membership = find_membership
        self._maps = maps
        self._adopt = adopt
        self._publish = publish
        self._poll_s = poll_s
        self._random = random
        self._leaving: frozenset[str] = frozenset()
        self.is_up = False

    def is_leaving(self, address: str) -> bool:
        """Return whether the list of VMs says that an address (or its host) is leaving."""
        if not self._leaving:
            return False
        return address in self._leaving or address.rpartition(":")[0] in self._leaving

    async def run(self) -> None:
        """Follow all three until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow, CONFIG_KIND, self._take_config)
            nursery.start_soon(self._follow, MAPS_KIND, self._take_maps)
            nursery.start_soon(self._poll_vms)

    async def _follow(self, kind: str, take: Callable[[list[StoredObject]], None]) -> None:
        while True:
            try:
                items, cursor = await self._store.list(kind)
                self._note_up(True)
                take(items)
                await self._watch(kind, cursor, take)
            except PlatformUnavailableError as error:
                self._note_up(False)
                logger.bind(kind=kind, error=str(error)).debug("platform_unavailable")
                # Jitter keeps the VMs from calling together when the platform is back.
                await trio.sleep(self._poll_s * self._random.uniform(0.5, 1.5))

    async def _watch(
        self, kind: str, cursor: int, take: Callable[[list[StoredObject]], None]
    ) -> None:
        """Watch while this VM is a watcher; return when the kind must be listed anew."""
        while self._is_watcher():
            items, cursor = await self._store.watch(kind, cursor, WATCH_TIMEOUT_S)
            self._note_up(True)
            take(items)
        # Rank and contact change with time alone, so there is no event to wait for.
        while not self._is_watcher() and not self._needs_read():  # noqa: ASYNC110
            await trio.sleep(self._poll_s * self._random.uniform(0.5, 1.5))

    def _is_watcher(self) -> bool:
        membership = self._find_membership()
        return membership.configuration.is_watcher(trio.current_time())

    def _needs_read(self) -> bool:
        """Whether the peers do not tell enough; then this VM reads for itself."""
        now = trio.current_time()
        membership = self._find_membership()
        return membership.configuration.document is None or not membership.has_majority(now)

    def _take_config(self, items: list[StoredObject]) -> None:
        now = trio.current_time()
        holder = self._find_membership().configuration
        found = [item for item in items if item.name == CONFIG_NAME and not item.deleted]
        for item in found:
            document = read_document(item)
            holder.heard_platform(Revision(document.revision), now)
            self._adopt(document)
        if not found:
            holder.heard_platform(holder.revision, now)

    def _take_maps(self, items: list[StoredObject]) -> None:
        for service in self._maps.adopt_objects(items):
            self._publish(self._maps.make_fact(service))

    async def _poll_vms(self) -> None:
        while True:
            try:
                vms = await self._store.list_vms()
                self._leaving = frozenset(vm.address for vm in vms if vm.state == LEAVING)
            except PlatformUnavailableError:
                pass  # the last list holds; it lags in any case
            await trio.sleep(self._poll_s * self._random.uniform(0.5, 1.5))

    def _note_up(self, up: bool) -> None:
        if up != self.is_up:
            logger.bind(up=up).info("platform_state_changed")
        self.is_up = up
