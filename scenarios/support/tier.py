"""Several daemons in one loop, with the platform and the backend servers around them."""

import itertools
import json
from dataclasses import dataclass, field
from random import Random

import trio

from support.backends import FakeConnector, FakeReplica, Run
from support.network import Network, PeerStream, make_pair
from support.runtime import Freezer
from zinnia_model.configuration import ConfigDocument
from zinnia_model.members import VmState
from zinnia_model.ownership import OwnershipState
from zinnia_platform.limiter import CallLimiter
from zinnia_standins import platform_store
from zinnia_standins.deployment import ReplicaSpec
from zinnia_standins.platform_core import PlatformCore, Write
from zinnia_standins.platform_store import FakeObjectStore
from zinniarouterd.dependencies import Dependencies
from zinniarouterd.node import Node
from zinniarouterd.settings import Settings
from zinniarouterd.web import WebRequest

EPOCH_MS = 1_700_000_000_000
SERVICE = "bells"
# With 2 slots and 2 replicas a shard bears about 100 queries a second.
SERVICE_TIME_MS = 40.0
# A shorter interval makes the watches the larger part of the run time.
platform_store.WATCH_POLL_S = 0.1


@dataclass(slots=True)
class Exchange:
    """One request of a caller; ``status`` is 0 while there is no answer, -1 if the VM died."""

    vm: str
    value: dict
    key: str
    sent_at: float
    status: int = 0
    answer: dict = field(default_factory=dict)
    done_at: float = 0.0
    done: trio.Event = field(default_factory=trio.Event)

    @property
    def outcome(self) -> str:
        return self.answer.get("outcome", "")


@dataclass(slots=True)
class FakeVm:
    """One VM: its node, its ways to the outside and its life."""

    name: str
    nursery: trio.Nursery
    store: FakeObjectStore
    connector: FakeConnector
    node: Node | None = None
    streams: list[PeerStream] = field(default_factory=list)
    exchanges: list[Exchange] = field(default_factory=list)
    revisions: list[int] = field(default_factory=list)
    is_paused: bool = False


class FakeTier:
    """All VMs on one clock.

    Attributes
    ----------
    runs : list of Run
        Every run on every backend server.
    exchanges : list of Exchange
        Every request of a caller.
    """

    def __init__(self, nursery: trio.Nursery, freezer: Freezer, seed: int) -> None:
        self.nursery = nursery
        self.freezer = freezer
        self.seed = seed
        self.random = Random(f"tier/{seed}")
        self.network = Network()
        self.core = PlatformCore()
        self.vms: dict[str, FakeVm] = {}
        self.ended: list[FakeVm] = []
        self.replicas: dict[str, FakeReplica] = {}
        self.runs: list[Run] = []
        self.exchanges: list[Exchange] = []
        self.load_ends = trio.Event()
        self._addresses: dict[str, FakeReplica] = {}
        self._numbers = itertools.count(1)

    # Platform and backend servers

    def add_replica(self, name: str, shard: str, **values) -> FakeReplica:
        """Start a warm replica of one shard."""
        fixed = {"service": SERVICE, "seed": self.seed, "cold": {"at_start": False}}
        fixed |= {"median_ms": SERVICE_TIME_MS}
        spec = ReplicaSpec(id=name, shards=(shard,), **(fixed | values))
        replica = self.replicas[name] = FakeReplica(spec, self.nursery, self.runs)
        self._addresses[find_address(name)] = replica
        return replica

    def write(self, kind: str, name: str, value: dict) -> None:
        """Write an object as the operators' other tools do."""
        self.core.apply(Write(kind, name, value, None))

    def write_map(self, snapshot: str, replicas: list[FakeReplica], previous=None) -> None:
        """Publish the shard map of the service."""
        shards: dict[str, list[dict]] = {}
        for replica in replicas:
            spec = replica.spec
            row = {"id": spec.id, "address": find_address(spec.id)}
            row |= {"data_centre": spec.data_centre, "version": spec.version}
            shards.setdefault(spec.shards[0], []).append(row)
        value = {"service": SERVICE, "snapshot": snapshot, "shards": shards, "previous": previous}
        self.write("shardmaps", SERVICE, value)

    def wall_ms(self) -> int:
        return EPOCH_MS + int(trio.current_time() * 1000)

    # VMs

    async def start(self, name: str, data_centre: str = "dc-a") -> FakeVm:
        """Start a VM; a name that ran before stands for a restarted process."""
        started = trio.Event()
        self.nursery.start_soon(self._run_vm, name, data_centre, started)
        await started.wait()
        self._list_vms()
        return self.vms[name]

    async def _run_vm(self, name: str, data_centre: str, started: trio.Event) -> None:
        async with trio.open_nursery() as nursery:
            vm = FakeVm(name, nursery, FakeObjectStore(self.core), FakeConnector(self._addresses))
            dependencies = Dependencies(
                vm.store,
                CallLimiter(),
                vm.connector,
                lambda address: self._connect(vm, address),
                self.wall_ms,
                listen=False,
            )
            vm.node = node = Node(self._make_settings(name, data_centre), dependencies, nursery)
            self.vms[name] = vm
            note_revisions(vm)
            with node.links, node.dispatcher:
                await nursery.start(node.run)
                started.set()
                await trio.sleep_forever()

    def _make_settings(self, name: str, data_centre: str) -> Settings:
        listen = {kind: find_peer_address(name) for kind in ("callers", "admin", "peers")}
        peers = {other: find_peer_address(other) for other in self.vms if other != name}
        values = {"vm": name, "data_centre": data_centre, "listen": listen, "peers": peers}
        seed = self.seed * 1000 + next(self._numbers)
        return Settings.model_validate(values | {"platform": {"url": "http://p"}, "seed": seed})

    async def _connect(self, vm: FakeVm, address: str) -> trio.abc.Stream:
        target = next((v for v in self.vms.values() if find_peer_address(v.name) == address), None)
        peer = target.name if target else address
        await self.network.pass_data(vm.name, peer)
        if self.vms.get(peer) is not target or target is None:
            raise ConnectionRefusedError(address)
        near, far = make_pair(self.network, vm.name, peer)
        vm.streams.append(near)
        target.streams.append(far)
        target.nursery.start_soon(target.node.server.serve_stream, far)
        return near

    def kill(self, name: str) -> None:
        """End a VM at once; nothing that it does on the way out reaches anyone."""
        vm = self.vms.pop(name)
        self.ended.append(vm)
        vm.connector.kill()
        vm.store.reachable = False
        for stream in vm.streams:
            stream.close()
        if vm.is_paused:
            self.freezer.resume(vm.nursery)
        vm.nursery.cancel_scope.cancel()
        for exchange in vm.exchanges:
            if not exchange.done.is_set():
                self._settle(exchange, -1, b"{}")
        self._list_vms()

    async def stop(self, name: str) -> None:
        """Stop a VM gracefully."""
        await self.vms[name].node.stop()
        self.kill(name)

    def pause(self, name: str) -> None:
        vm = self.vms[name]
        vm.is_paused = True
        self.freezer.pause(vm.nursery)

    def resume(self, name: str) -> None:
        vm = self.vms[name]
        vm.is_paused = False
        self.freezer.resume(vm.nursery)

    def isolate(self, name: str) -> None:
        """Cut a VM off from all others."""
        for other in self.vms:
            if other != name:
                self.network.cut(name, other)

    def _list_vms(self) -> None:
        rows = [VmState(id=v, address="", data_centre="", state="live") for v in self.vms]
        self.core.set_vms(rows, trio.current_time())

    def list_ready(self) -> list[str]:
        """Return the VMs to which the balancer sends requests."""
        vms = self.vms.values()
        return [
            v.name for v in vms if not v.is_paused and v.node.gate.find_unready_reason() is None
        ]

    def is_settled(self) -> bool:
        """Whether every VM is ready and has a seat, and every replica has an owner."""
        vms = [vm.node for vm in self.vms.values()]
        owned = all(
            any(node.find_ownership_state(name) is OwnershipState.OWNER for node in vms)
            for name in self.replicas
        )
        seated = all(node.membership.is_member for node in vms)
        return owned and seated and len(self.list_ready()) == len(vms)

    # Callers

    def send(self, vm: str, path: str, value: dict, key: str = "") -> Exchange:
        """Send a request of a caller to a VM."""
        exchange = Exchange(vm, value, key, trio.current_time())
        self.exchanges.append(exchange)
        target = self.vms.get(vm)
        if target is None:
            self._settle(exchange, -1, b"{}")
        else:
            target.exchanges.append(exchange)
            target.nursery.start_soon(self._serve, target, exchange, path)
        return exchange

    def command(self, vm: str, key: str, deadline_ms: int = 2000) -> Exchange:
        """Send a command; its body is made from its key."""
        value = {"service": SERVICE, "route": "licence", "deadline_ms": deadline_ms}
        return self.send(vm, "/v1/command", value | {"body": {"licence": key}}, key)

    def query(self, vm: str, deadline_ms: int = 1000, route: str = "search", text="") -> Exchange:
        """Send a query with a body of its own."""
        body = {"number": next(self._numbers), "text": text}
        value = {"service": SERVICE, "route": route, "deadline_ms": deadline_ms, "body": body}
        return self.send(vm, "/v1/query", value)

    async def _serve(self, vm: FakeVm, exchange: Exchange, path: str) -> None:
        headers = {b"idempotency-key": exchange.key.encode()} if exchange.key else {}
        request = WebRequest("POST", path, "", headers, json.dumps(exchange.value).encode())
        response = await vm.node.callers.handle(request)
        if self.vms.get(vm.name) is vm:
            self._settle(exchange, response.status, response.body)

    def _settle(self, exchange: Exchange, status: int, body: bytes) -> None:
        exchange.status, exchange.answer = status, json.loads(body)
        exchange.done_at = trio.current_time()
        exchange.done.set()

    async def admin(self, vm: str, method: str, path: str, value: dict | str) -> tuple[int, dict]:
        """Call the operators' interface of a VM."""
        body = value if isinstance(value, str) else json.dumps(value)
        request = WebRequest(method, f"/admin/{path}", "", {}, body.encode())
        response = await self.vms[vm].node.admin.handle(request)
        return response.status, json.loads(response.body)

    async def load(self, rate: float, deadline_ms: int = 1000) -> None:
        """Send queries to the ready VMs at a rate per second until ``load_ends`` is set."""
        ends = self.load_ends
        while not ends.is_set():
            ready = self.list_ready()
            if ready:
                route = self.random.choice(("search", "lookup"))
                self.query(self.random.choice(ready), deadline_ms, route)
            await trio.sleep(self.random.expovariate(rate))


def note_revisions(vm: FakeVm) -> None:
    """Record every revision that a VM puts in force."""
    holder = vm.node.membership.configuration
    adopt = holder.adopt

    def adopt_and_note(document: ConfigDocument) -> bool:
        adopted = adopt(document)
        vm.revisions.append(holder.revision)
        return adopted

    holder.adopt = adopt_and_note


def find_address(replica: str) -> str:
    """Return the address of a replica; names stand for IP numbers."""
    return f"{replica}:80"


def find_peer_address(vm: str) -> str:
    """Return the peer address of a VM, whose name ends with its number."""
    return f"10.0.0.{vm.rpartition('-')[2]}:7000"
