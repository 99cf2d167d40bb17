"""Construction and lifecycle of one daemon; its external dependencies are parameters."""

import secrets
from random import Random

import trio
from loguru import logger

from zinnia_backends.crashes import CrashRegistry
from zinnia_backends.dispatcher import ReplicaDispatcher
from zinnia_claims.claims import Claims
from zinnia_facts.table import Fact, FactTable
from zinnia_membership.member_list_updater import MemberListUpdater
from zinnia_membership.membership import Membership
from zinnia_model.configuration import ConfigDocument
from zinnia_model.ids import ReplicaId, ServiceId, VmId
from zinnia_model.members import Member, MemberList
from zinnia_model.messages import MemberPush
from zinnia_model.ownership import OwnershipState
from zinnia_model.shardmaps import ShardMap
from zinnia_peers.links import PeerLinks
from zinnia_peers.server import PeerServer
from zinnia_releases.evidence import FaultEvidence
from zinnia_releases.report import report_moves
from zinnia_releases.vetoes import VetoRaiser
from zinnia_routing.context import Switches as RoutingSwitches
from zinnia_routing.execution import QueryExecutor
from zinniarouterd.admin import AdminInterface, AdminSources
from zinniarouterd.baseline import make_baseline_choice
from zinniarouterd.callers import CallerInterface
from zinniarouterd.counters import ExecutorCounters
from zinniarouterd.departure import Departure
from zinniarouterd.dependencies import Dependencies
from zinniarouterd.driver import MoveDriver
from zinniarouterd.exchange import FactExchange
from zinniarouterd.gate import Gate
from zinniarouterd.handler import NodeHandler, make_config_push
from zinniarouterd.handovers import Handovers
from zinniarouterd.heartbeats import Heartbeats
from zinniarouterd.history import TraceHistory
from zinniarouterd.holders import HolderQueries
from zinniarouterd.maps import ShardMaps, list_all_records
from zinniarouterd.metrics import Metrics
from zinniarouterd.observers import Observers
from zinniarouterd.platform_watch import PlatformWatch
from zinniarouterd.readiness import Readiness
from zinniarouterd.senders import CountingSender, SenderDirectory
from zinniarouterd.settings import Settings
from zinniarouterd.status import StatusReport
from zinniarouterd.topology import LiveTopology, make_refusal_check
from zinniarouterd.writer import ConfigWriter

FACT_EXPIRY_INTERVAL_S = 5.0
CLAIMS_FLUSH_TIMEOUT_S = 1.0
DATA_CENTRE_POLL_INTERVAL_S = 0.2
# How long accepted sub-requests may still run after their data centre was taken out.
WITHDRAWAL_DRAIN_TIMEOUT_S = 2.0


class Node:
    """One daemon without its HTTP servers.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    dependencies : Dependencies
        Access to the platform, backend servers, peers and the wall clock.
    nursery : trio.Nursery
        Runs the peer links and the handovers.
    """

    def __init__(
        self, settings: Settings, dependencies: Dependencies, nursery: trio.Nursery
    ) -> None:
        self.settings = settings
        self.dependencies = dependencies
        self.vm = VmId(settings.vm)
        self.incarnation = secrets.token_hex(6)
        self.random = Random(settings.seed or secrets.randbits(64))
        self.metrics = Metrics()
        self.history = TraceHistory()
        self.facts = FactTable()
        self.membership = Membership(
            self.vm,
            self.incarnation,
            trio.current_time(),
            peer_address=settings.listen.peers,
            data_centre=settings.data_centre,
        )
        self.links = PeerLinks(
            self.vm,
            nursery,
            self.random.getrandbits(32),
            connect=dependencies.connect,
            incarnation=self.incarnation,
        )
        self.exchange = FactExchange(self.vm, self.facts, self.links, self._apply_facts)
        self._build_local_view()
        self._build_backends()
        self._build_requests()
        self._build_operations()
        self._build_peers(nursery)

    def _build_local_view(self) -> None:
        self.maps = ShardMaps(self._apply_shard_map)
        self.watch = PlatformWatch(
            self.dependencies.store,
            lambda: self.membership,
            self.maps,
            self.adopt_config,
            self.exchange.publish,
            self.settings.platform.poll_s,
            self.random,
        )
        self.readiness = Readiness(
            self.vm, self.settings.data_centre, self.membership, lambda: self.watch.is_up
        )
        self.topology = LiveTopology(
            lambda: self.membership.configuration.document,
            self.maps,
            self.facts,
            self.membership.owner,
            self.watch.is_leaving,
            self.dependencies.wall_ms,
        )

    def _build_peers(self, nursery: trio.Nursery) -> None:
        peers = {VmId(vm): address for vm, address in self.settings.peers.items()}
        self.observers = Observers()
        self.heartbeats = Heartbeats(
            self.membership, self.links, self.exchange, peers, self.adopt_config, self.observers
        )
        handler = NodeHandler(
            self.sender,
            self.membership,
            self.exchange,
            self.heartbeats,
            self.claims,
            self.dispatcher.import_states,
            lambda vm: vm in self.links.list_peers(),
            self.observers,
            Handovers(self.membership, self.dispatcher, self.links, nursery),
        )
        self.server = PeerServer(self.settings.listen.peers, handler, self.links.counters)
        self.departure = Departure(
            self.membership, self.dispatcher, self.links, self.heartbeats, self.observers
        )

    def _build_backends(self) -> None:
        self.crashes = CrashRegistry(self.facts, self.exchange.publish, self.vm)
        self.evidence = FaultEvidence(f"{self.vm}/{self.incarnation}", self.facts)
        self.dispatcher = ReplicaDispatcher(
            self.topology.service,
            self.find_ownership_state,
            self.topology.find_block_reason,
            self.facts,
            self.exchange.publish,
            self.crashes,
            self.evidence,
            self.dependencies.connector,
            self.vm,
            self.random,
            self.dependencies.wall_ms,
        )
        self.sender = CountingSender(self.dispatcher, self.metrics)

    def _build_requests(self) -> None:
        settings = self.settings
        find_crash_refusal, is_suspect = make_refusal_check(self.crashes)
        switches = settings.switches
        self.executor = QueryExecutor(
            self.topology,
            SenderDirectory(self.vm, self.sender, self.links).find,
            self.vm,
            ExecutorCounters(self.metrics),
            self.random,
            find_crash_refusal,
            is_suspect,
            RoutingSwitches(switches.hedging, switches.load_aware, switches.admission),
            make_baseline_choice(switches),
        )
        self.claims = Claims(
            self.dependencies.store,
            self.vm,
            HolderQueries(self.vm, self.links).ask,
            lambda: self.dependencies.wall_ms() / 1000,
            self.random.getrandbits(32),
        )
        self.gate = Gate(self.readiness.find_unready_reason, self.readiness.find_refusal)
        self.callers = CallerInterface(
            f"{self.vm}-{self.incarnation}",
            self.gate,
            self.topology,
            self.executor,
            self.claims,
            self.history,
            self.metrics,
            settings.limits.max_deadline_ms,
        )

    def _build_operations(self) -> None:
        self.writer = ConfigWriter(self.dependencies.store, self.publish_config)
        self.driver = MoveDriver(
            lambda: self.membership.configuration.document,
            self.topology,
            self.evidence,
            VetoRaiser(f"{self.vm}/{self.incarnation}", self.facts),
            self.writer,
            self.exchange.push,
            self.readiness.find_rank,
            lambda: self.readiness.find_refusal() is None,
            self.dependencies.wall_ms,
            self.metrics,
        )
        report = StatusReport(
            self.vm,
            self.settings.data_centre,
            self.incarnation,
            self.gate,
            self.maps,
            self.topology,
            self.dispatcher,
        )
        sources = AdminSources(
            self.vm,
            lambda: report.build(self.membership, self.watch.is_up),
            lambda: self.membership.configuration.document,
            self.list_moves,
            self.dependencies.wall_ms,
            self.callers.look_up_outcome,
        )
        self.admin = AdminInterface(sources, self.writer, self.history)

    # Queries

    def find_ownership_state(self, replica: ReplicaId) -> OwnershipState:
        """Return the ownership state of this VM for a replica now."""
        return self.membership.ownership_state(replica, trio.current_time())

    def list_moves(self) -> list[dict]:
        """Return the reports of all moves as JSON values."""
        document = self.membership.configuration.document
        if document is None:
            return []
        pooled = self.evidence.pool(trio.current_time())
        reports = report_moves(
            document, pooled, self.topology.vetoes(), self.dependencies.wall_ms()
        )
        return [report.model_dump(mode="json") for report in reports]

    # Changes of configuration, members, shard maps and facts

    def adopt_config(self, document: ConfigDocument) -> None:
        """Apply a configuration on this VM if it is newer than the current one.

        A VM that watches the platform also pushes the configuration to its peers.
        """
        if not self.membership.configuration.adopt(document):
            return
        logger.bind(revision=document.revision, by=document.changed_by).info("config_adopted")
        self.metrics.config_changes.inc()
        self.metrics.revision.set(document.revision)
        self.evidence.adopt(document)
        self.topology.clear_shares_cache()
        for service in document.services:
            shard_map = self.maps.get(ServiceId(service))
            if shard_map is not None:
                self._apply_shard_map(ServiceId(service), shard_map)
        if self.membership.configuration.is_watcher(trio.current_time()):
            self.push_config()

    def publish_config(self, document: ConfigDocument) -> None:
        """Apply an accepted configuration on this VM and push it to all peers."""
        self.adopt_config(document)
        self.push_config()

    def push_config(self) -> None:
        """Send the current configuration to all peers."""
        message = make_config_push(self.membership)
        for peer in self.links.list_peers():
            self.links.get(peer).notify(message)

    def push_members(self, members: MemberList) -> None:
        """Send a member list that this VM wrote or read to all peers."""
        self.dependencies.limiter.set_fleet_size(len(members.members), trio.current_time())
        self.heartbeats.update_links()
        message = MemberPush(self.vm, members, self.membership.configuration.revision)
        for peer in self.links.list_peers():
            self.links.get(peer).notify(message)

    def _apply_shard_map(self, service: ServiceId, shard_map: ShardMap) -> None:
        self.dispatcher.set_replicas(service, list_all_records(shard_map), shard_map.shards)

    def _apply_facts(self, facts: list[Fact]) -> None:
        self.maps.adopt_facts(facts)

    # Lifecycle

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Run all background tasks until cancelled."""
        self.make_member_list_updater()
        async with trio.open_nursery() as nursery:
            await nursery.start(self.dispatcher.run)
            await nursery.start(self.claims.run)
            if self.dependencies.listen:
                await nursery.start(self.server.serve)
            await nursery.start(self.heartbeats.run)
            nursery.start_soon(self.watch.run)
            nursery.start_soon(self.maintain_membership)
            nursery.start_soon(self.driver.run)
            nursery.start_soon(self._expire_facts)
            task_status.started()

    async def maintain_membership(self) -> None:
        """Hold a seat in the member list while the data centre of this VM is in service.

        Replicas and seat are given up while it is out; the VM rejoins with a new incarnation.
        """
        while True:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.member_list_updater.run)
                await self._wait_for_data_centre(out=True)
                logger.info("ownership_withdrawn")
                await self.departure.hand_over(trio.current_time() + WITHDRAWAL_DRAIN_TIMEOUT_S)
                await self.departure.give_up_seat(self.member_list_updater)
                nursery.cancel_scope.cancel()
            await self._wait_for_data_centre(out=False)
            self.incarnation = secrets.token_hex(6)
            self.membership.rejoin(self.incarnation, trio.current_time())
            self.dispatcher.end_drain()
            self.make_member_list_updater()
            logger.bind(incarnation=self.incarnation).info("membership_resumed")

    async def _wait_for_data_centre(self, out: bool) -> None:
        # The configuration is changed from several places, so its state is polled.
        while self.readiness.is_data_centre_out() is not out:  # noqa: ASYNC110
            await trio.sleep(DATA_CENTRE_POLL_INTERVAL_S)

    def make_member_list_updater(self) -> MemberListUpdater:
        """Create the member list updater for the current incarnation and return it."""
        own = Member(
            seat=0,
            vm=self.vm,
            incarnation=self.incarnation,
            peer_address=self.settings.listen.peers,
            data_centre=self.settings.data_centre,
        )
        self.member_list_updater = MemberListUpdater(
            self.dependencies.store,
            self.membership,
            own,
            self.push_members,
            self.random.getrandbits(32),
        )
        return self.member_list_updater

    async def _expire_facts(self) -> None:
        while True:
            await trio.sleep(FACT_EXPIRY_INTERVAL_S)
            self.facts.expire(trio.current_time())

    async def stop(self) -> None:
        """Shut down gracefully: drain requests, hand over replicas, flush claims, give up the seat.

        Requests that are still in flight at the drain limit are not waited for.
        """
        limit_s = self.settings.shutdown.drain_limit_s
        deadline = trio.current_time() + limit_s
        self.gate.begin_shutdown()
        logger.info("shutdown_announced")
        await trio.sleep(self.settings.shutdown.ready_grace_s)
        self.gate.close()
        with trio.move_on_at(deadline):
            await self.gate.wait_idle()
        await self.departure.hand_over(deadline)
        left = await self.claims.flush(trio.current_time() + CLAIMS_FLUSH_TIMEOUT_S)
        if left:
            logger.bind(records=left).warning("claims_not_recorded")
        await self.departure.give_up_seat(self.member_list_updater)
        logger.bind(in_flight=self.gate.in_flight).info("shutdown_complete")
