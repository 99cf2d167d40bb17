"""Many VMs that keep their copies of the store up to date, over connections in memory."""

from contextlib import contextmanager
from random import Random
from unittest.mock import patch

import trio
import trio.testing
from fakes import RecordingSink, make_settings

from zinnia_catalog.members import Member, rank_names
from zinnia_catalog.objects import Change, Changes, Listing, ObjectStore, StoredObject, StoreError
from zinnia_entry.metrics import Metrics
from zinnia_entry.settings import Address
from zinnia_entry.sources import FOLLOWED_KINDS, SourceController
from zinnia_relay.server import RelayServer
from zinnia_relay.store_cache import StoreCache

HOST = "10.0.0.1"
FIRST_PORT = 1000
STORE_LATENCY_S = 0.004
NETWORK_LATENCY_S = 0.002
# A VM that is rejected gets its answer after this time, as from a store that resets connections.
REJECTION_LATENCY_S = 0.01


class LiveStore(ObjectStore):
    """A store with one object of each kind, which changes with each revision."""

    def __init__(self):
        self.revision = 5
        self.changed = trio.Event()
        self.calls = []

    def change_all(self):
        """Change the object of each kind."""
        self.revision += 1
        self.changed.set()
        self.changed = trio.Event()

    def make_object(self):
        return StoredObject("a", self.revision, {"value": self.revision})

    async def list(self, kind, allow_stale=False):
        await trio.sleep(STORE_LATENCY_S)
        return Listing((self.make_object(),), self.revision)

    async def watch(self, kind, revision, wait_s):
        await trio.sleep(STORE_LATENCY_S)
        with trio.move_on_after(wait_s):
            while revision >= self.revision:
                await self.changed.wait()
        changes = (Change(self.make_object(), False),) if revision < self.revision else ()
        return Changes(changes, self.revision)

    async def create(self, kind, name, spec):
        raise NotImplementedError

    async def delete(self, kind, name):
        raise NotImplementedError

    async def write_release(self, order, state):
        raise NotImplementedError


class StoreOfVm(LiveStore):
    """The store as one VM reaches it: it may be rejected there."""

    def __init__(self, store, vm):
        self._store = store
        self._vm = vm

    async def list(self, kind, allow_stale=False):
        await self._check()
        return await self._store.list(kind, allow_stale)

    async def watch(self, kind, revision, wait_s):
        await self._check()
        self._store.calls.append((trio.current_time(), self._vm.name))
        changes = await self._store.watch(kind, revision, wait_s)
        await self._check()
        return changes

    async def _check(self):
        if self._vm.is_rejected:
            await trio.sleep(REJECTION_LATENCY_S)
            raise StoreError("rejected")


class VmStream(trio.abc.Stream):
    """The end of a connection at a VM; while the VM is frozen, it neither reads nor writes."""

    def __init__(self, stream, vm):
        self._stream = stream
        self._vm = vm

    async def send_all(self, data):
        await self._vm.wait_running()
        await trio.sleep(NETWORK_LATENCY_S)
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        data = await self._stream.receive_some(max_bytes)
        await self._vm.wait_running()
        return data

    async def aclose(self):
        await self._stream.aclose()


class SourceVm:
    """One VM with its copy of the store."""

    def __init__(self, fleet, member):
        self.name = member.vm
        self.member = member
        self.is_rejected = False
        self.events = RecordingSink()
        self.cache = StoreCache(FOLLOWED_KINDS, lambda *_: None)
        self.server = RelayServer(self.name, self.cache)
        self._running = trio.Event()
        self._running.set()
        self.controller = SourceController(
            make_settings(
                vm=self.name,
                data_centre=member.data_centre,
                peers=Address(HOST, int(member.peer_address.rpartition(":")[2])),
            ),
            self.cache,
            StoreOfVm(fleet.store, self),
            lambda: fleet.members,
            Metrics(),
            self.events,
            Random(len(fleet.vms)),
        )

    def freeze(self):
        self._running = trio.Event()

    async def wait_running(self):
        await self._running.wait()

    def is_current(self, revision):
        """Whether all kinds are known at a revision."""
        return all(item.revision >= revision for item in self.cache.collections.values())


class SourceFleet:
    """VMs in data centres of the given sizes, in the order in which they become watchers."""

    def __init__(self, sizes):
        self.store = LiveStore()
        self.members = {}
        for number in range(sum(sizes)):
            name = f"vm-{number}"
            data_centre = next(
                f"dc{index}" for index in range(len(sizes)) if number < sum(sizes[: index + 1])
            )
            address = f"{HOST}:{FIRST_PORT + number}"
            self.members[name] = Member(name, address, data_centre)
        self.vms = {}
        for name in rank_names(self.members):
            self.vms[name] = SourceVm(self, self.members[name])
        self._nursery = None

    @contextmanager
    def connect(self):
        """Replace the network by connections in memory, which frozen VMs accept."""
        with patch("zinnia_relay.client.open_stream", self._open_stream):
            yield

    async def _open_stream(self, _, port):
        vm = self.vms[f"vm-{port - FIRST_PORT}"]
        await trio.sleep(NETWORK_LATENCY_S)
        near, far = trio.testing.memory_stream_pair()
        self._nursery.start_soon(vm.server.serve_stream, VmStream(far, vm))
        return near

    def start(self, nursery, names):
        """Start the controllers of some VMs."""
        self._nursery = nursery
        for name in names:
            nursery.start_soon(self.vms[name].controller.run)


def find_change_delays(sizes, disturb, late_start=(), disturb_at_s=9.7, limit_s=10.0):
    """Change the store right after a disturbance; return when each sound VM knows the changes.

    ``disturb`` is called with the fleet at ``disturb_at_s`` and returns the names of the VMs that
    are not in touch. The VMs of ``late_start`` start only with the change. The second result has
    the names of the VMs that called the store after the change.
    """

    async def main():
        fleet = SourceFleet(sizes)
        delays = {}
        with fleet.connect():
            async with trio.open_nursery() as nursery:
                fleet.start(nursery, [name for name in fleet.vms if name not in late_start])
                await trio.sleep(disturb_at_s)
                disturbed = disturb(fleet)
                await trio.sleep(0.1)
                fleet.store.calls.clear()
                fleet.store.change_all()
                fleet.start(nursery, late_start)
                changed_at = trio.current_time()
                sound = [name for name in fleet.vms if name not in disturbed]
                while len(delays) < len(sound) and trio.current_time() < changed_at + limit_s:
                    await trio.sleep(0.02)
                    for name in sound:
                        if name not in delays and fleet.vms[name].is_current(fleet.store.revision):
                            delays[name] = trio.current_time() - changed_at
                nursery.cancel_scope.cancel()
        callers = {name for _, name in fleet.store.calls}
        return {name: delays.get(name, limit_s) for name in sound}, callers

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
