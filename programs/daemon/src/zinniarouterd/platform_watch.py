"""Watches the platform for changes of configuration, shard maps and the list of VMs."""

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
from zinniarouterd.maps import SHARD_MAPS_KIND, ShardMaps
from zinniarouterd.writer import CONFIG_KIND, CONFIG_NAME, read_document

# Long, because each renewal costs a platform call; contact with the other members already shows
# that the configuration of this VM is current.
WATCH_TIMEOUT_S = 10.0
VM_STATE_LEAVING = "leaving"


class PlatformWatch:
    """Background tasks that bring changes on the platform to this VM.

    The three highest-ranked members watch the platform and forward changes to the other VMs. A VM
    without a configuration or without a majority reads from the platform itself.

    Parameters
    ----------
    adopt : callable
        Called with each configuration document that is read from the platform.
    publish : callable
        Called with each new shard map as a fact.
    poll_s : float
        Mean seconds between two reads of the list of VMs, and before a failed call is retried.
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
        """Return whether the list of VMs marks an address, or its host, as leaving."""
        if not self._leaving:
            return False
        return address in self._leaving or address.rpartition(":")[0] in self._leaving

    async def run(self) -> None:
        """Watch configuration and shard maps and poll the list of VMs until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow, CONFIG_KIND, self._apply_config)
            nursery.start_soon(self._follow, SHARD_MAPS_KIND, self._apply_maps)
            nursery.start_soon(self._poll_vms)

    async def _follow(self, kind: str, apply: Callable[[list[StoredObject]], None]) -> None:
        while True:
            try:
                items, cursor = await self._store.list(kind)
                self._set_platform_state(True)
                apply(items)
                await self._watch(kind, cursor, apply)
            except PlatformUnavailableError as error:
                self._set_platform_state(False)
                logger.bind(kind=kind, error=str(error)).debug("platform_unavailable")
                # Jitter keeps the VMs from calling all at once when the platform has recovered.
                await trio.sleep(self._poll_s * self._random.uniform(0.5, 1.5))

    async def _watch(
        self, kind: str, cursor: int, apply: Callable[[list[StoredObject]], None]
    ) -> None:
        """Watch a kind while this VM is a watcher; return when the kind must be listed again."""
        while self._is_watcher():
            items, cursor = await self._store.watch(kind, cursor, WATCH_TIMEOUT_S)
            self._set_platform_state(True)
            apply(items)
        # Rank and contact change as time passes, without an event to wait for. The sleep limits a
        # VM that its peers do not reach to one read per interval; without it, the VM would read in
        # a busy loop.
        while not self._is_watcher():
            await trio.sleep(self._poll_s * self._random.uniform(0.5, 1.5))
            if self._needs_own_read():
                return

    def _is_watcher(self) -> bool:
        membership = self._find_membership()
        return membership.configuration.is_watcher(trio.current_time())

    def _needs_own_read(self) -> bool:
        """Return whether this VM must read by itself, as its peers do not keep it current."""
        now = trio.current_time()
        membership = self._find_membership()
        return membership.configuration.document is None or not membership.has_majority(now)

    def _apply_config(self, items: list[StoredObject]) -> None:
        now = trio.current_time()
        holder = self._find_membership().configuration
        found = [item for item in items if item.name == CONFIG_NAME and not item.deleted]
        for item in found:
            document = read_document(item)
            holder.record_platform_revision(Revision(document.revision), now)
            self._adopt(document)
        if not found:
            holder.record_platform_revision(holder.revision, now)

    def _apply_maps(self, items: list[StoredObject]) -> None:
        for service in self._maps.adopt_objects(items):
            self._publish(self._maps.make_fact(service))

    async def _poll_vms(self) -> None:
        while True:
            try:
                vms = await self._store.list_vms()
                self._leaving = frozenset(vm.address for vm in vms if vm.state == VM_STATE_LEAVING)
            except PlatformUnavailableError:
                pass  # keep the last list, which lags behind the platform in any case
            await trio.sleep(self._poll_s * self._random.uniform(0.5, 1.5))

    def _set_platform_state(self, up: bool) -> None:
        if up != self.is_up:
            logger.bind(up=up).info("platform_state_changed")
        self.is_up = up
